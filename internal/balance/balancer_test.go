package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func noJitter() float64 { return 0 }

// newTestBalancer returns a Balancer with one pool p of n upstreams (u0, u1,
// ...) of two slots each in zone a.
func newTestBalancer(n int) *Balancer {
	b := NewBalancer("a")
	var cfg Config
	for i := range n {
		cfg.Upstreams = append(cfg.Upstreams, Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: "a", Pool: "p", Started: 1, Slots: 2})
	}
	b.Update(0, cfg)
	return b
}

// fastProbe returns a probe result at normal speed.
func fastProbe(running int) ProbeResult {
	return ProbeResult{Load: Load{Running: running, Slots: 2, SlowPercent: 100}}
}

func noRequirements() Requirements { return Requirements{MaxSlowdown: math.Inf(1)} }

// One of three upstreams runs at a quarter of its speed. It must not be
// selected while another has a free slot, nor for requests that would miss
// their latency target there.
func TestSlowUpstreamIsAvoidedWhenAnotherHasRoom(t *testing.T) {
	b := newTestBalancer(3)
	slow := ProbeResult{Load: Load{Slots: 2, SlowPercent: 400}}
	b.RecordProbe(0, 0, "u0", slow)
	b.RecordProbe(0, 0, "u1", fastProbe(1))
	b.RecordProbe(0, 0, "u2", fastProbe(2))
	ids := []string{"u0", "u1", "u2"}
	assert.Equal(t, b.Choose(0, ids, noRequirements()).Upstream.ID, "u1", "a slot above kneeUtilization costs a factor of 1.7, a slow machine 4")
	b.RecordProbe(0, 0, "u1", fastProbe(2))
	assert.Equal(t, b.Choose(0, ids, noRequirements()).Upstream.ID, "u0")
	assert.Equal(t, b.Choose(0, ids, Requirements{MaxSlowdown: 2}).Outcome, NoCapacity)
}

// A burst of requests has filled every slot.
func TestFullUpstreamsAreNotChosen(t *testing.T) {
	b := newTestBalancer(2)
	b.RecordProbe(0, 0, "u0", fastProbe(2))
	b.RecordProbe(0, 0, "u1", ProbeResult{Load: Load{Running: 2, Waiting: 1, Slots: 2, SlowPercent: 100}})
	assert.Equal(t, b.Choose(0, []string{"u0", "u1"}, noRequirements()).Outcome, NoCapacity)
}

// Two requests arrive together: the second must not take the slot of the first.
func TestStartedRequestsOccupySlotsBeforeNextProbe(t *testing.T) {
	b := newTestBalancer(1)
	b.RecordProbe(0, 0, "u0", fastProbe(1))
	assert.Equal(t, b.Choose(0, []string{"u0"}, noRequirements()).Outcome, Selected)
	b.RecordStart(5*time.Millisecond, "u0")
	assert.Equal(t, b.Choose(0, []string{"u0"}, noRequirements()).Outcome, NoCapacity)
	b.RecordEnd("u0", 5*time.Millisecond)
	assert.Equal(t, b.Choose(0, []string{"u0"}, noRequirements()).Outcome, Selected)
}

// During a burst at one entry VM, the response to a probe was made before the
// requests arrived. It must not hide them.
func TestProbeResultDoesNotHideLocalRequests(t *testing.T) {
	b := newTestBalancer(1)
	probeSent := 10 * time.Millisecond
	for n := range 3 {
		now := probeSent + time.Duration(n+1)*time.Millisecond
		b.RecordProbe(now, probeSent, "u0", fastProbe(0))
		want := Selected
		if n == 2 {
			want = NoCapacity
		}
		assert.Equal(t, b.Choose(now, []string{"u0"}, noRequirements()).Outcome, want, "%d", n)
		b.RecordStart(now, "u0")
	}
	b.RecordProbe(time.Second, time.Second-time.Millisecond, "u0", fastProbe(0))
	assert.Equal(t, b.Choose(time.Second, []string{"u0"}, noRequirements()).Outcome, NoCapacity, "a probe result does not hide local requests in flight")
	b.RecordEnd("u0", 11*time.Millisecond)
	b.RecordEnd("u0", 12*time.Millisecond)
	b.RecordProbe(time.Second, time.Second-time.Millisecond, "u0", fastProbe(1))
	assert.Equal(t, b.Choose(time.Second, []string{"u0"}, noRequirements()).Outcome, Selected, "a request started before the probe is part of the reported load")
}

// Compares the cost of traffic between zones with that of a busy slot.
func TestOtherZoneIsChosenWhenFasterDespiteTransferCost(t *testing.T) {
	b := NewBalancer("a")
	b.Update(0, Config{Upstreams: []Upstream{
		{ID: "local", Zone: "a", Pool: "p", Slots: 2}, {ID: "remote", Zone: "b", Pool: "p", Slots: 2},
	}})
	ids := []string{"local", "remote"}
	cases := []struct {
		name           string
		local, remote  ProbeResult
		bytes          int64
		want           string
		firstCandidate string
		maxSlowdown    float64
	}{
		{"equal load", fastProbe(0), fastProbe(0), 0, "local", "local", 9},
		{"local upstream is above kneeUtilization", fastProbe(1), fastProbe(0), 0, "remote", "local", 9},
		{"local upstream is above kneeUtilization, but the body is large", fastProbe(1), fastProbe(0), 60 << 10, "local", "local", 9},
		{"local upstream is full, and the body is large", fastProbe(2), fastProbe(0), 60 << 10, "remote", "local", 9},
	}
	for _, c := range cases {
		b.RecordProbe(0, 0, "local", c.local)
		b.RecordProbe(0, 0, "remote", c.remote)
		got := b.Choose(0, ids, Requirements{MaxSlowdown: c.maxSlowdown, Bytes: c.bytes})
		assert.Equal(t, got.Upstream.ID, c.want, c.name)
		candidates := b.Candidates(time.Second, "p", nil, 2, noJitter)
		assert.Equal(t, candidates[0].ID, c.firstCandidate, c.name)
	}
}

func TestDrainingUpstreamsAndClosedZonesAreNotChosen(t *testing.T) {
	b := NewBalancer("a")
	b.Update(0, Config{
		Upstreams: []Upstream{
			{ID: "leaving", Zone: "a", Pool: "p", Slots: 2, Draining: true},
			{ID: "out", Zone: "b", Pool: "p", Slots: 2},
			{ID: "in", Zone: "c", Pool: "p", Slots: 2},
		},
		ClosedZones: map[string]bool{"b": true},
	})
	got := b.Candidates(0, "p", nil, 3, noJitter)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ID, "in")
	for _, id := range []string{"leaving", "out", "in"} {
		b.RecordProbe(0, 0, id, fastProbe(0))
	}
	assert.Equal(t, b.Choose(0, []string{"leaving", "out"}, noRequirements()).Outcome, Unavailable)
}

// An upstream fails each request although its probes report that it is healthy.
// The backoff must grow, and end with a successful response.
func TestRepeatedFailuresIncreaseBackoffUntilSuccess(t *testing.T) {
	b := newTestBalancer(2)
	assert.Equal(t, b.RecordFailure(0, "u0"), initialBackoff)
	assert.Equal(t, b.Candidates(0, "p", nil, 1, noJitter)[0].ID, "u1")
	assert.Equal(t, b.RecordFailure(time.Second, "u0"), 2*initialBackoff)
	for range 10 {
		assert.Assert(t, b.RecordFailure(time.Second, "u0") <= maxBackoff)
	}
	b.RecordSuccess("u0", time.Second, time.Second)
	assert.Equal(t, b.RecordFailure(time.Minute, "u0"), initialBackoff)
	_, ready := b.CountUpstreams(time.Minute, "p")
	assert.Equal(t, ready, 1)
}

// During a burst, most upstreams are full and delay the responses to probes.
// They must be probed again within the time in which a slot becomes free, and
// an upstream that never answers less and less often.
func TestProbeTimeoutsBackOffBriefly(t *testing.T) {
	b := newTestBalancer(4)
	for _, id := range []string{"u0", "u1", "u2"} {
		assert.Equal(t, b.RecordProbeTimeout(0, id), initialProbeBackoff)
	}
	_, ready := b.CountUpstreams(initialProbeBackoff, "p")
	assert.Equal(t, ready, 4)
	assert.Equal(t, b.RecordProbeTimeout(initialProbeBackoff, "u0"), 2*initialProbeBackoff)
	for range 20 {
		assert.Assert(t, b.RecordProbeTimeout(time.Second, "u0") <= maxBackoff)
	}
	b.RecordProbe(time.Minute, time.Minute, "u0", fastProbe(0))
	assert.Equal(t, b.RecordProbeTimeout(time.Minute, "u0"), initialProbeBackoff)
}

func TestRestartedUpstreamLosesItsBackoff(t *testing.T) {
	b := newTestBalancer(1)
	b.RecordFailure(0, "u0")
	b.Update(time.Millisecond, Config{Upstreams: []Upstream{{ID: "u0", Zone: "a", Pool: "p", Started: 2, Slots: 2, ColdFor: time.Second}}})
	open, ready := b.CountUpstreams(500*time.Millisecond, "p")
	assert.Equal(t, open, 1)
	assert.Equal(t, ready, 0, "in cold start, but no backoff for the failure before the restart")
	_, ready = b.CountUpstreams(1100*time.Millisecond, "p")
	assert.Equal(t, ready, 1)
}

// Probes of a cold upstream are free, but only a permit lets it be chosen.
func TestColdUpstreamIsChosenOnlyWithPermit(t *testing.T) {
	b := newTestBalancer(2)
	cold := ProbeResult{Load: Load{Slots: 2}, ColdFor: time.Hour}
	ids := []string{"u0", "u1"}
	_, ok := b.ColdCandidate(0, ids)
	assert.Assert(t, !ok, "not probed")
	b.RecordProbe(0, 0, "u0", cold)
	assert.Equal(t, b.Choose(0, ids, noRequirements()).Outcome, Unavailable)
	u, ok := b.ColdCandidate(0, ids)
	assert.Assert(t, ok)
	assert.Equal(t, u.ID, "u0")
	assert.Equal(t, b.ChooseCold(0, "u0").Outcome, Selected)

	b.DeferPermit("u0", time.Second)
	_, ok = b.ColdCandidate(time.Second-1, ids)
	assert.Assert(t, !ok, "no permit is expected yet")
	_, ok = b.ColdCandidate(time.Second, ids)
	assert.Assert(t, ok)

	b.RecordProbe(0, 0, "u0", ProbeResult{Load: Load{Running: 2, Slots: 2}, ColdFor: time.Hour})
	_, ok = b.ColdCandidate(time.Second, ids)
	assert.Assert(t, !ok, "no free slot")
	assert.Equal(t, b.ChooseCold(time.Second, "u0").Outcome, Unavailable)

	b.RecordProbe(0, 0, "u1", cold)
	b.RecordLimit("u1", ProbeAnswer, RateLimit{Known: true, Named: true, PerSecond: 1})
	_, ok = b.ColdCandidate(time.Second, ids)
	assert.Assert(t, !ok, "names a rate limit")
	assert.Equal(t, b.ChooseCold(time.Second, "u1").Outcome, Unavailable)
}
