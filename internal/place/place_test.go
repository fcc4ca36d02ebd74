package place

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func none() float64 { return 0 }

// boardOf returns a board of one pool of upstreams u0, u1 and so on, with two
// slots each, in zone a.
func boardOf(n int) *Balancer {
	b := NewBalancer("a")
	f := Config{ColdRate: map[string]float64{"p": 2}, OwnsCold: func(string) bool { return true }}
	for i := range n {
		f.Upstreams = append(f.Upstreams, Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: "a", Pool: "p", Started: 1, Slots: 2})
	}
	b.Update(0, f)
	return b
}

func quick(running int) ProbeResult {
	return ProbeResult{Load: Load{Running: running, Slots: 2, SlowPercent: 100}}
}

func anything() Requirements { return Requirements{MaxSlowdown: math.Inf(1)} }

// TestNoisyNeighbours replays a spell in which one of three upstreams works at
// a quarter of its speed: it gets nothing while another has room, and nothing
// at all from requests that would miss their target there.
func TestNoisyNeighbours(t *testing.T) {
	b := boardOf(3)
	slow := ProbeResult{Load: Load{Slots: 2, SlowPercent: 400}}
	b.RecordProbe(0, 0, "u0", slow)
	b.RecordProbe(0, 0, "u1", quick(1))
	b.RecordProbe(0, 0, "u2", quick(2))
	ids := []string{"u0", "u1", "u2"}
	assert.Equal(t, b.Choose(0, ids, anything()).Upstream.ID, "u1", "a slot above the knee costs 1.7, a slow spell 4")
	b.RecordProbe(0, 0, "u1", quick(2))
	assert.Equal(t, b.Choose(0, ids, anything()).Upstream.ID, "u0")
	assert.Equal(t, b.Choose(0, ids, Requirements{MaxSlowdown: 2}).Outcome, NoCapacity)
}

// TestFullUpstreamsGetNothing replays a burst that has filled every slot.
func TestFullUpstreamsGetNothing(t *testing.T) {
	b := boardOf(2)
	b.RecordProbe(0, 0, "u0", quick(2))
	b.RecordProbe(0, 0, "u1", ProbeResult{Load: Load{Running: 2, Waiting: 1, Slots: 2, SlowPercent: 100}})
	assert.Equal(t, b.Choose(0, []string{"u0", "u1"}, anything()).Outcome, NoCapacity)
}

// TestOwnRequestsCountBeforeTheNextReport replays two calls that arrive
// together: the second must not take the slot of the first.
func TestOwnRequestsCountBeforeTheNextReport(t *testing.T) {
	b := boardOf(1)
	b.RecordProbe(0, 0, "u0", quick(1))
	assert.Equal(t, b.Choose(0, []string{"u0"}, anything()).Outcome, Selected)
	b.RecordStart(5*time.Millisecond, "u0")
	assert.Equal(t, b.Choose(0, []string{"u0"}, anything()).Outcome, NoCapacity)
	b.RecordEnd("u0", 5*time.Millisecond)
	assert.Equal(t, b.Choose(0, []string{"u0"}, anything()).Outcome, Selected)
}

// TestReportThatMissesOwnRequests replays a burst at one entry VM: a report that
// was made before its requests arrived must not hide them.
func TestReportThatMissesOwnRequests(t *testing.T) {
	b := boardOf(1)
	asked := 10 * time.Millisecond
	for n := range 3 {
		now := asked + time.Duration(n+1)*time.Millisecond
		b.RecordProbe(now, asked, "u0", quick(0))
		want := Selected
		if n == 2 {
			want = NoCapacity
		}
		assert.Equal(t, b.Choose(now, []string{"u0"}, anything()).Outcome, want, "%d", n)
		b.RecordStart(now, "u0")
	}
	b.RecordProbe(time.Second, time.Second-time.Millisecond, "u0", quick(0))
	assert.Equal(t, b.Choose(time.Second, []string{"u0"}, anything()).Outcome, NoCapacity, "a report never hides what is in flight here")
	b.RecordEnd("u0", 11*time.Millisecond)
	b.RecordEnd("u0", 12*time.Millisecond)
	b.RecordProbe(time.Second, time.Second-time.Millisecond, "u0", quick(1))
	assert.Equal(t, b.Choose(time.Second, []string{"u0"}, anything()).Outcome, Selected, "an old request is in the report")
}

// TestOtherZoneIsUsedWhenItIsFaster weighs bytes between zones against slots.
func TestOtherZoneIsUsedWhenItIsFaster(t *testing.T) {
	b := NewBalancer("a")
	b.Update(0, Config{Upstreams: []Upstream{
		{ID: "near", Zone: "a", Pool: "p", Slots: 2}, {ID: "far", Zone: "b", Pool: "p", Slots: 2},
	}})
	ids := []string{"near", "far"}
	cases := []struct {
		name        string
		near, far   ProbeResult
		bytes       int64
		want        string
		firstToAsk  string
		maxFactorIs float64
	}{
		{"equal", quick(0), quick(0), 0, "near", "near", 9},
		{"near is above its knee", quick(1), quick(0), 0, "far", "near", 9},
		{"near is above its knee, but the body is large", quick(1), quick(0), 60 << 10, "near", "near", 9},
		{"near is full, and the body is large", quick(2), quick(0), 60 << 10, "far", "near", 9},
	}
	for _, c := range cases {
		b.RecordProbe(0, 0, "near", c.near)
		b.RecordProbe(0, 0, "far", c.far)
		got := b.Choose(0, ids, Requirements{MaxSlowdown: c.maxFactorIs, Bytes: c.bytes})
		assert.Equal(t, got.Upstream.ID, c.want, c.name)
		asked := b.Candidates(time.Second, "p", nil, 2, none)
		assert.Equal(t, asked[0].ID, c.firstToAsk, c.name)
	}
}

func TestDrainingAndClosedZonesGetNothing(t *testing.T) {
	b := NewBalancer("a")
	b.Update(0, Config{
		Upstreams: []Upstream{
			{ID: "leaving", Zone: "a", Pool: "p", Slots: 2, Draining: true},
			{ID: "out", Zone: "b", Pool: "p", Slots: 2},
			{ID: "in", Zone: "c", Pool: "p", Slots: 2},
		},
		ClosedZones: map[string]bool{"b": true},
	})
	got := b.Candidates(0, "p", nil, 3, none)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "in")
	for _, id := range []string{"leaving", "out", "in"} {
		b.RecordProbe(0, 0, id, quick(0))
	}
	assert.Equal(t, b.Choose(0, []string{"leaving", "out"}, anything()).Outcome, Unavailable)
}

// TestFailingUpstreamIsLeftAlone replays an upstream that fails each request
// although it says that it is well: the pauses grow, and end with an answer.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	b := boardOf(2)
	assert.Equal(t, b.RecordFailure(0, "u0"), firstHold)
	assert.Equal(t, b.Candidates(0, "p", nil, 1, none)[0].ID, "u1")
	assert.Equal(t, b.RecordFailure(time.Second, "u0"), 2*firstHold)
	for range 10 {
		assert.Assert(t, b.RecordFailure(time.Second, "u0") <= longestHold)
	}
	b.RecordSuccess("u0", time.Second, time.Second)
	assert.Equal(t, b.RecordFailure(time.Minute, "u0"), firstHold)
	_, ready := b.CountUpstreams(time.Minute, "p")
	assert.Equal(t, ready, 1)
}

// TestFullUpstreamsAreAskedAgainSoon replays a burst in which most upstreams are
// full and let questions wait: those that did not answer are asked again within
// the time in which a slot falls free, and one that stays silent less and less.
func TestFullUpstreamsAreAskedAgainSoon(t *testing.T) {
	b := boardOf(4)
	for _, id := range []string{"u0", "u1", "u2"} {
		assert.Equal(t, b.RecordProbeTimeout(0, id), firstPause)
	}
	_, ready := b.CountUpstreams(firstPause, "p")
	assert.Equal(t, ready, 4)
	assert.Equal(t, b.RecordProbeTimeout(firstPause, "u0"), 2*firstPause)
	for range 20 {
		assert.Assert(t, b.RecordProbeTimeout(time.Second, "u0") <= longestHold)
	}
	b.RecordProbe(time.Minute, time.Minute, "u0", quick(0))
	assert.Equal(t, b.RecordProbeTimeout(time.Minute, "u0"), firstPause)
}

func TestRestartedUpstreamIsNew(t *testing.T) {
	b := boardOf(1)
	b.RecordFailure(0, "u0")
	b.Update(time.Millisecond, Config{Upstreams: []Upstream{{ID: "u0", Zone: "a", Pool: "p", Started: 2, Slots: 2, ColdFor: time.Second}}})
	open, ready := b.CountUpstreams(500*time.Millisecond, "p")
	assert.Equal(t, open, 1)
	assert.Equal(t, ready, 0, "cold, but not held for the failure of the start before")
	_, ready = b.CountUpstreams(1100*time.Millisecond, "p")
	assert.Equal(t, ready, 1)
}

// TestColdRate draws entry VMs that disagree on who owns a cold upstream, and
// restarts of their processes; in every second the upstream must get no more
// than it bears.
func TestColdRate(t *testing.T) {
	const perS, overage, slack = 1.8, 1.5, 5.0
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 3).Draw(t, "owners")
		boards := make([]*Balancer, owners)
		fresh := func(now time.Duration) *Balancer {
			b := NewBalancer("a")
			b.Update(now, Config{
				Upstreams: []Upstream{{ID: "u", Zone: "a", Pool: "p", Slots: 100, ColdFor: time.Hour}},
				ColdRate:  map[string]float64{"p": perS * 0.8},
				OwnsCold:  func(string) bool { return true },
			})
			return b
		}
		for i := range boards {
			boards[i] = fresh(0)
		}
		var sent []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, owners-1).Draw(t, "vm")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				boards[i] = fresh(now)
			}
			boards[i].RecordProbe(now, now, "u", ProbeResult{Load: Load{Slots: 100}, ColdFor: time.Hour})
			assert.Equal(t, boards[i].Choose(now, []string{"u"}, anything()).Outcome, Unavailable)
			if boards[i].ChooseCold(now, []string{"u"}).Outcome == Selected {
				sent = append(sent, now)
			}
		}
		for _, end := range sent {
			n := 0
			for _, at := range sent {
				if at <= end && at > end-time.Second {
					n++
				}
			}
			assert.Assert(t, float64(n) <= perS*overage+slack, "%d in a second", n)
		}
	})
}

func TestColdUpstreamOfAnotherOwnerGetsNothing(t *testing.T) {
	b := NewBalancer("a")
	owner := false
	b.Update(0, Config{
		Upstreams: []Upstream{{ID: "u", Zone: "a", Pool: "p", Slots: 2, ColdFor: time.Hour}},
		ColdRate:  map[string]float64{"p": 2},
		OwnsCold:  func(string) bool { return owner },
	})
	b.RecordProbe(0, 0, "u", ProbeResult{Load: Load{Slots: 2}, ColdFor: time.Hour})
	assert.Equal(t, b.ChooseCold(10*time.Second, []string{"u"}).Outcome, Unavailable)
	owner = true
	// What was not used by the former owner is not saved up.
	assert.Equal(t, b.ChooseCold(10*time.Second, []string{"u"}).Outcome, Unavailable)
	assert.Equal(t, b.ChooseCold(11*time.Second, []string{"u"}).Outcome, Selected)
}
