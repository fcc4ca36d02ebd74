package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// releaseWith ends a ticket whose answer said something.
func (h *harness) releaseWith(k RequestKey, outcome clusterpb.Outcome, said notice.Notice) []Action {
	return h.cell.Step(h.now, Release{Key: k, Outcome: outcome, ServiceTime: 10 * ms, Notice: said})
}

// TestUpstreamThatSaysItLeavesGetsNoGrant lets an answer say that the upstream is
// leaving, which goes on announcing that it is warm.
func TestUpstreamThatSaysItLeavesGetsNoGrant(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 4, WarmAfter: 1})
	h.announce("u", 4, ReportedWarm)
	k, _ := h.acquire(0)
	open, _ := h.acquire(0)
	h.releaseWith(k, clusterpb.Outcome_OUTCOME_OK, notice.Notice{Leaving: true})
	for range 5 {
		h.now += 100 * ms
		h.announce("u", 4, ReportedWarm)
		h.cell.Step(h.now, Tick{})
		_, a := h.acquire(0)
		assert.Equal(t, a.(Refuse).Kind, fault.NoUpstream)
	}
	// The open request finishes; then the upstream is silent and announces itself
	// once more in the same start.
	h.release(open, clusterpb.Outcome_OUTCOME_OK, 10*ms)
	h.now += time.Minute
	h.cell.Step(h.now, Tick{})
	h.announce("u", 4, ReportedWarm)
	_, a := h.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.NoUpstream)
	h.cell.Step(h.now, Announce{ID: "u", Address: "u:1", Slots: 4, Incarnation: 2, State: ReportedWarm})
	_, a = h.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
}

// TestAnswerOfEarlierStartSaysNothingOfLaterOne releases a ticket after the
// upstream has started again.
func TestAnswerOfEarlierStartSaysNothingOfLaterOne(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 4, WarmAfter: 1})
	h.announce("u", 4, ReportedWarm)
	k, _ := h.acquire(0)
	h.cell.Step(h.now, Announce{ID: "u", Address: "u:1", Slots: 4, Incarnation: 2, State: ReportedWarm})
	h.releaseWith(k, clusterpb.Outcome_OUTCOME_OK, notice.Notice{Leaving: true, Pause: time.Minute})
	_, a := h.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
}

// TestPausedUpstreamGetsNoGrantUntilLatestEnd lets two answers ask for pauses,
// with a call in the queue.
func TestPausedUpstreamGetsNoGrantUntilLatestEnd(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 2, WarmAfter: 1, Slots: 2})
	h.announce("u", 2, ReportedWarm)
	k1, _ := h.acquire(0)
	k2, _ := h.acquire(0)
	waiting, a := h.acquire(500 * ms)
	assert.Equal(t, a, nil)
	acts := h.releaseWith(k1, clusterpb.Outcome_OUTCOME_SHED, notice.Notice{Pause: 2 * time.Second})
	refused := acts[len(acts)-1].(Refuse)
	assert.Equal(t, refused.Key, waiting)
	assert.Equal(t, refused.Kind, fault.UpstreamsPaused)
	assert.Assert(t, refused.RetryAfter >= 2*time.Second && refused.RetryAfter <= 4*time.Second, "%s", refused.RetryAfter)
	h.releaseWith(k2, clusterpb.Outcome_OUTCOME_SHED, notice.Notice{Pause: time.Second})
	for h.now < 1990*ms {
		h.now += 100 * ms
		h.announce("u", 2, ReportedWarm)
		h.cell.Step(h.now, Tick{})
		if h.now < 2*time.Second {
			_, a := h.acquire(0)
			assert.Equal(t, a.(Refuse).Kind, fault.UpstreamsPaused, "at %s", h.now)
		}
	}
	// One request at first, although there are two slots.
	first, a := h.acquire(0)
	assert.Equal(t, a.(Grant).Upstream, "u")
	_, a = h.acquire(0)
	assert.Equal(t, a.(Refuse).Kind, fault.QueueFull)
	h.release(first, clusterpb.Outcome_OUTCOME_OK, 10*ms)
	assert.Equal(t, h.cell.upstream("u").notice.AdmitsRequest(h.now, 1), true)
}

// TestOtherUpstreamTakesOverFromPausedOne lets one of two upstreams pause.
func TestOtherUpstreamTakesOverFromPausedOne(t *testing.T) {
	h := newHarness(t, Config{ColdSlots: 4, WarmAfter: 1})
	h.announce("u", 4, ReportedWarm)
	k, _ := h.acquire(0)
	h.releaseWith(k, clusterpb.Outcome_OUTCOME_SHED, notice.Notice{Pause: time.Minute})
	h.announce("v", 4, ReportedWarm)
	for range 4 {
		_, a := h.acquire(0)
		assert.Equal(t, a.(Grant).Upstream, "v")
	}
}

// TestPausedUpstreamIsNotProbed ejects an upstream that fails fast and pauses. No
// probe may be sent before the pause has ended.
func TestPausedUpstreamIsNotProbed(t *testing.T) {
	const pause = 5 * time.Second
	h := newHarness(t, Config{ColdSlots: 4, WarmAfter: 1, ProbeEnabled: true, ProbeCost: 10 * ms, ProbeBudgetPermille: 1000})
	h.announce("u", 4, ReportedWarm)
	u := h.cell.upstream("u")
	u.state = stateSuspect
	h.cell.applyChartEvent(u, eventConfirmed)
	h.cell.observeNotice("u", 1, notice.Notice{Pause: pause})
	probed := time.Duration(0)
	for h.now < 20*time.Second && probed == 0 {
		h.now += 10 * ms
		h.announce("u", 4, ReportedWarm)
		for _, a := range h.cell.Step(h.now, Tick{}) {
			if _, ok := a.(Probe); ok {
				probed = h.now
			}
		}
	}
	assert.Assert(t, probed >= pause, "probed at %s", probed)
}
