package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// outcome drives one call through VM i to its verdict: "" when granted,
// "replay", or the kind of the refusal. Undecided calls end as refused.
func (w *world) outcome(i int, key string) (fault.Kind, *call) {
	w.begin(i, key, 1)
	calls := w.procs[i].calls
	c := calls[len(calls)-1]
	for range 20 {
		for len(w.flight) > 0 {
			w.deliver(0, false)
		}
		if v, ok := c.attempt.Verdict(w.procs[i].timeline); ok {
			return w.settleOutcome(c, v), c
		}
		w.advance(i)
		w.tick(syncRetry)
	}
	return w.settleOutcome(c, c.attempt.Expired(w.procs[i].timeline)), c
}

func (w *world) settleOutcome(c *call, v Verdict) fault.Kind {
	switch {
	case v.Granted:
		c.granted = true
		return ""
	case v.Answer != nil:
		c.ended = true
		return "replay"
	}
	w.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
	return v.Refusal.Kind
}

// finished runs a request with the key to its end.
func (w *world) finished(t *testing.T, i int, key string) {
	kind, c := w.outcome(i, key)
	assert.Equal(t, kind, fault.Kind(""))
	w.send(c)
	w.finish(c, true)
	w.settle(1)
}

// repair restarts VMs and brings them back into the groups.
func (w *world) repair(vms ...int) {
	for _, i := range vms {
		w.restart(i)
	}
	w.reconfigure(0)
	for i := range w.procs {
		w.learn(i, true)
	}
	w.settle(5)
}

func (w *world) expect(t *testing.T, i int, key string, want fault.Kind) {
	t.Helper()
	got, _ := w.outcome(i, key)
	assert.Equal(t, got, want)
}

func TestTwoLossesAtOnceOfFive(t *testing.T) {
	w := newWorld(5, rules{})
	w.finished(t, 0, "k0")
	w.cut = 0b00011
	w.expect(t, 2, "k0", "replay")
	w.expect(t, 2, "k1", "")
	w.cut = 0
	w.repair(0, 1)
	w.expect(t, 0, "k0", "replay")
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	w := newWorld(5, rules{})
	w.finished(t, 0, "k0")
	_, open := w.outcome(2, "k1")
	assert.Assert(t, open.granted)
	w.repair(0, 1)
	w.repair(2, 3)
	w.expect(t, 4, "k0", "replay")
	w.expect(t, 0, "k1", fault.OutcomeUnknown)
}

func TestLossOfAnAvailabilityZone(t *testing.T) {
	w := newWorld(6, rules{})
	w.finished(t, 0, "k0")
	w.cut = 0b001001
	w.expect(t, 1, "k0", "replay")
	w.expect(t, 2, "k1", "")
}

func TestTooManyLossesWaitOutTheRetention(t *testing.T) {
	w := newWorld(3, rules{})
	w.finished(t, 0, "k0")
	w.repair(0, 1)
	w.expect(t, 0, "k0", "replay")
	w.expect(t, 0, "k1", fault.ClaimsUnavailable)
	w.tick(worldRetention + staleMargin)
	w.settle(2)
	w.expect(t, 0, "k1", "")
}

func TestFrozenOwnerKeepsItsClaim(t *testing.T) {
	w := newWorld(3, rules{})
	kind, c := w.outcome(0, "k0")
	assert.Equal(t, kind, fault.Kind(""))
	w.cut = 0b001
	w.tick(worldStartWithin / 2)
	w.expect(t, 1, "k0", fault.StillRunning)
	w.reconfigure(0b001)
	for i := 1; i < 3; i++ {
		w.learn(i, true)
	}
	w.settle(3)
	w.expect(t, 1, "k0", fault.OutcomeUnknown)
	w.send(c)
	assert.Equal(t, w.fault, "")
	w.tick(time.Minute)
	w.expect(t, 2, "k0", fault.OutcomeUnknown)
}

func TestFullMembersRefuse(t *testing.T) {
	w := newWorld(3, rules{})
	for _, p := range w.procs {
		p.store.limits.MaxClaims = 1
	}
	w.expect(t, 0, "k0", "")
	w.expect(t, 1, "k1", fault.ClaimsFull)
	w.expect(t, 1, "k0", fault.StillRunning)
}
