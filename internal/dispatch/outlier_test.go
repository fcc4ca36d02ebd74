package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// newWarmHarness returns a cell of five warm upstreams, "a" to "e", with two
// slots each.
func newWarmHarness(t *testing.T) *harness {
	h := newHarness(t, Config{ColdSlots: 1, WarmAfter: 4, ProbeEnabled: true, ProbeBudgetPermille: 10})
	for range 60 {
		h.runRound(nil)
	}
	for _, s := range h.cell.Upstreams() {
		assert.Equal(t, s.State, "warm", s.ID)
	}
	return h
}

// runRound runs a round of concurrent requests, one for each slot, and returns
// the number of requests granted to each upstream. behaviour gives the service
// time and outcome of a request at an upstream; if it is nil, requests succeed
// after 20 ms.
func (h *harness) runRound(behaviour func(id string) (time.Duration, clusterpb.Outcome)) map[string]int {
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		h.announce(id, 2, ReportedWarm)
	}
	type grantedRequest struct {
		grant       Grant
		serviceTime time.Duration
		outcome     clusterpb.Outcome
	}
	var runs []grantedRequest
	count := make(map[string]int)
	for range 10 {
		_, a := h.acquire(0)
		g, ok := a.(Grant)
		if !ok {
			break
		}
		count[g.Upstream]++
		r := grantedRequest{g, 20 * ms, clusterpb.Outcome_OUTCOME_OK}
		if behaviour != nil {
			r.serviceTime, r.outcome = behaviour(g.Upstream)
		}
		runs = append(runs, r)
	}
	for end := h.now + 500*ms; h.now < end; {
		h.now += 10 * ms
		h.cell.Step(h.now, Tick{})
		for i, r := range runs {
			if r.serviceTime > 0 && h.now >= end-500*ms+r.serviceTime {
				h.release(r.grant.Key, r.outcome, r.serviceTime)
				runs[i].serviceTime = 0
			}
		}
	}
	return count
}

func (h *harness) state(id string) string { return string(h.cell.upstream(id).state) }

func TestStragglerIsEjectedAndReadmittedColdAfterProbe(t *testing.T) {
	h := newWarmHarness(t)
	slow := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return 300 * ms, clusterpb.Outcome_OUTCOME_OK
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	for range 30 {
		h.runRound(slow)
	}
	assert.Equal(t, h.state("a"), "ejected")
	probed := false
	for range 1000 {
		h.now += 10 * ms
		for _, a := range h.cell.Step(h.now, Tick{}) {
			if p, ok := a.(Probe); ok {
				probed = true
				h.cell.Step(h.now+6*ms, ProbeDone{ID: p.ID, OK: true, Elapsed: 6 * ms})
			}
		}
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			h.announce(id, 2, ReportedWarm)
		}
	}
	assert.Assert(t, probed)
	assert.Equal(t, h.state("a"), "cold")
	assert.Equal(t, h.limit("a"), 1)
}

func TestUnreportedColdStartIsDetectedFromServiceTimes(t *testing.T) {
	h := newWarmHarness(t)
	cold := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return 60 * ms, clusterpb.Outcome_OUTCOME_OK
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	rounds := 0
	for h.limit("a") > 1 {
		h.runRound(cold)
		rounds++
		assert.Assert(t, rounds < 40)
	}
	assert.Equal(t, h.state("a"), "cold")
}

func TestFastFailingUpstreamAttractsFewRequestsAndIsEjected(t *testing.T) {
	fail := func(id string) (time.Duration, clusterpb.Outcome) {
		if id == "a" {
			return ms, clusterpb.Outcome_OUTCOME_FAILED
		}
		return 20 * ms, clusterpb.Outcome_OUTCOME_OK
	}
	grantsToFailing := func(noHoldDown bool) int {
		h := newWarmHarness(t)
		h.cell.overrides.noHoldDown = noHoldDown
		n := 0
		for range 40 {
			k, a := h.acquire(0)
			g, ok := a.(Grant)
			if !ok {
				break
			}
			if g.Upstream == "a" {
				n++
				h.now += ms
				h.release(k, clusterpb.Outcome_OUTCOME_FAILED, ms)
			}
		}
		return n
	}
	assert.Assert(t, grantsToFailing(false) <= 2)
	assert.Assert(t, grantsToFailing(true) > 2)
	h := newWarmHarness(t)
	for range 10 {
		h.runRound(fail)
	}
	assert.Equal(t, h.state("a"), "ejected")
}

func TestReportedColdReducesLimit(t *testing.T) {
	h := newWarmHarness(t)
	h.now += ms
	h.announce("a", 2, ReportedCold)
	assert.Equal(t, h.limit("a"), 1)
	assert.Equal(t, h.state("a"), "cold")
}

func TestColdUpstreamWarmsUpAtLowLoad(t *testing.T) {
	h := newWarmHarness(t)
	h.now += ms
	h.announce("a", 2, ReportedCold)
	h.now += ms
	h.announce("a", 2, ReportedWarm)
	h.completeRequests(100, 10*ms)
	assert.Equal(t, h.state("a"), "warm")
}

func TestSuspectWithoutRequestsIsEjected(t *testing.T) {
	h := newWarmHarness(t)
	for range 3 {
		h.cell.upstream("a").failures.add(true)
	}
	h.cell.evaluate(h.cell.upstream("a"), nil)
	assert.Equal(t, h.state("a"), "suspect")
	h.now += suspectTimeout
	h.cell.Step(h.now, Tick{})
	assert.Equal(t, h.state("a"), "ejected")
}
