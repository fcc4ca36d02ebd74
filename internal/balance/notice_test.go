package balance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWhatUpstreamHasSaidBelongsToItsStart applies configurations after an
// upstream has said that it is leaving.
func TestWhatUpstreamHasSaidBelongsToItsStart(t *testing.T) {
	u := Upstream{ID: "u1", Address: "a:1", Zone: "a", Pool: "p", Started: 5, Slots: 2}
	moved, moved2, later, other := u, u, u, u
	moved.Address, moved2.Pool = "b:1", "q"
	later.Started, other.ID = 6, "u2"
	b := NewBalancer("a")
	b.Update(0, Config{Upstreams: []Upstream{u}})
	assert.Assert(t, b.RecordLeaving(u))
	for _, tc := range []struct {
		name      string
		upstreams []Upstream
		open      int
	}{
		{"same configuration", []Upstream{u}, 0},
		{"other address", []Upstream{moved}, 0},
		{"other pool", []Upstream{moved2}, 0},
		{"gone", nil, 0},
		{"still gone", nil, 0},
		{"back", []Upstream{u}, 0},
		{"other upstream at its address", []Upstream{other}, 1},
		{"later start", []Upstream{later}, 1},
		{"older configuration", []Upstream{u}, 0},
		{"later start again", []Upstream{later}, 1},
	} {
		b.Update(time.Second, Config{Upstreams: tc.upstreams})
		inP, _ := b.CountUpstreams(time.Second, "p")
		inQ, _ := b.CountUpstreams(time.Second, "q")
		assert.Equal(t, inP+inQ, tc.open, tc.name)
		for _, pool := range []string{"p", "q"} {
			candidates := b.Candidates(time.Second, pool, nil, 2, func() float64 { return 0 })
			assert.Assert(t, len(candidates) <= tc.open, tc.name)
		}
	}
	// An answer of the earlier start that arrives now.
	b.RecordPause(time.Second, u, time.Minute)
	_, ready := b.CountUpstreams(time.Second, "p")
	assert.Equal(t, ready, 1)
}

// Guards against requests to an upstream that has asked for a pause: its new start had asked
// before the announcement of that start arrived.
func TestPauseOfNewStartOutlivesItsLateAnnouncement(t *testing.T) {
	const startedMs = 1_000
	u := Upstream{ID: "u1", Address: "a:1", Zone: "a", Pool: "p", Started: startedMs, Slots: 2}
	for _, tc := range []struct {
		name    string
		later   Upstream
		saidMs  uint64
		carried bool
	}{
		{"asked for by the later start", Upstream{Started: startedMs + 500, Address: u.Address}, startedMs + 600, true},
		{"asked for by the earlier start", Upstream{Started: startedMs + 500, Address: u.Address}, startedMs + 400, false},
		{"another address", Upstream{Started: startedMs + 500, Address: "b:1"}, startedMs + 600, false},
		{"time not known", Upstream{Started: startedMs + 500, Address: u.Address}, 0, false},
	} {
		b := NewBalancer("a")
		b.Update(0, Config{Upstreams: []Upstream{u}})
		b.RecordPause(time.Second, u, time.Minute)
		b.RecordPauseTime(u, tc.saidMs)
		later := u
		later.Started, later.Address = tc.later.Started, tc.later.Address
		b.Update(2*time.Second, Config{Upstreams: []Upstream{later}})
		_, ready := b.CountUpstreams(3*time.Second, "p")
		assert.Equal(t, ready == 0, tc.carried, tc.name)
		_, ready = b.CountUpstreams(2*time.Minute, "p")
		assert.Equal(t, ready, 1, tc.name)
	}
}

// TestPauseWaitNamesFirstEnd lets upstreams pause, leave and drain.
func TestPauseWaitNamesFirstEnd(t *testing.T) {
	var all []Upstream
	for i := range 4 {
		all = append(all, Upstream{ID: fmt.Sprint("u", i), Zone: "a", Pool: "p", Slots: 2})
	}
	all[3].Draining = true
	b := NewBalancer("a")
	b.Update(0, Config{Upstreams: all})
	b.RecordLeaving(all[0])
	b.RecordPause(0, all[1], 5*time.Second)
	_, _, closed := b.PauseWait(time.Second, "p")
	assert.Assert(t, !closed, "one upstream takes requests")
	b.RecordPause(0, all[2], 3*time.Second)
	wait, paused, closed := b.PauseWait(time.Second, "p")
	assert.Assert(t, closed)
	assert.Equal(t, paused, 2)
	assert.Equal(t, wait, 2*time.Second)
	_, _, closed = b.PauseWait(3*time.Second, "p")
	assert.Assert(t, !closed)
	assert.Assert(t, b.Resuming(3*time.Second, "p", nil))
	assert.Assert(t, !b.Resuming(3*time.Second, "p", []string{"u2"}))
	b.RecordLeaving(all[1])
	b.RecordLeaving(all[2])
	_, paused, closed = b.PauseWait(time.Second, "p")
	assert.Assert(t, closed)
	assert.Equal(t, paused, 0)
	_, _, closed = b.PauseWait(time.Second, "empty")
	assert.Assert(t, !closed)
}

// BenchmarkChoiceWithPausedUpstreams measures the choice among 400 upstreams of
// which some pause.
func BenchmarkChoiceWithPausedUpstreams(b *testing.B) {
	const upstreams = 400
	for _, paused := range []int{0, 1, 200} {
		b.Run(fmt.Sprint(paused, " of ", upstreams), func(b *testing.B) {
			bal := NewBalancer("a")
			var cfg Config
			for i := range upstreams {
				cfg.Upstreams = append(cfg.Upstreams, Upstream{ID: fmt.Sprint("u", i), Zone: "a", Pool: "p", Slots: 4})
			}
			bal.Update(0, cfg)
			for _, u := range cfg.Upstreams[:paused] {
				bal.RecordPause(0, u, time.Hour)
			}
			ids := make([]string, 0, 2)
			b.ReportAllocs()
			for b.Loop() {
				ids = ids[:0]
				for _, c := range bal.Candidates(0, "p", nil, 2, func() float64 { return 0.5 }) {
					ids = append(ids, c.ID)
					bal.RecordProbe(0, 0, c.ID, ProbeResult{Load: Load{Slots: 4, SlowPercent: 100}})
				}
				if bal.Choose(0, ids, Requirements{MaxSlowdown: 2}).Outcome != Selected {
					b.Fatal("no upstream was chosen")
				}
			}
		})
	}
}
