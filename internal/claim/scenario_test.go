package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// claimKey runs one call through VM i until it is decided, and returns "" if it
// was granted, "replay", or the kind of the refusal. A call that stays undecided
// gets its result at the timeout.
func (sim *simulation) claimKey(i int, key string) (fault.Kind, *call) {
	sim.begin(i, key, 1)
	calls := sim.procs[i].calls
	c := calls[len(calls)-1]
	for range 20 {
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false)
		}
		if result, ok := c.attempt.Result(sim.procs[i].history); ok {
			return sim.takeResult(c, result), c
		}
		sim.pollCalls(i)
		sim.advanceTime(syncRetryDelay)
	}
	return sim.takeResult(c, c.attempt.ResultAtTimeout(sim.procs[i].history)), c
}

// takeResult applies the result of a call and returns it as claimKey does.
func (sim *simulation) takeResult(c *call, result Result) fault.Kind {
	switch {
	case result.Granted:
		c.granted = true
		return ""
	case result.Response != nil:
		c.ended = true
		return "replay"
	}
	sim.end(c, clusterpb.ClaimState_CLAIM_STATE_RELEASED)
	return result.Refusal.Kind
}

// runToCompletion claims the key through VM i, sends the request and stores its
// response.
func (sim *simulation) runToCompletion(t *testing.T, i int, key string) {
	kind, c := sim.claimKey(i, key)
	assert.Equal(t, kind, fault.Kind(""))
	sim.send(c)
	sim.finish(c, true)
	sim.deliverAll(1)
}

// restartAndSync restarts VMs and gives them time to sync.
func (sim *simulation) restartAndSync(vms ...int) {
	for _, i := range vms {
		sim.restart(i)
	}
	sim.reconfigure(0)
	for i := range sim.procs {
		sim.applyEpoch(i, true)
	}
	sim.deliverAll(5)
}

func (sim *simulation) expectResult(t *testing.T, i int, key string, want fault.Kind) {
	t.Helper()
	got, _ := sim.claimKey(i, key)
	assert.Equal(t, got, want)
}

func TestFiveMembersKeepClaimsWhenTwoFailAtOnce(t *testing.T) {
	sim := newSimulation(5, disabledRules{})
	sim.runToCompletion(t, 0, "k0")
	sim.unreachableVMs = 0b00011
	sim.expectResult(t, 2, "k0", "replay")
	sim.expectResult(t, 2, "k1", "")
	sim.unreachableVMs = 0
	sim.restartAndSync(0, 1)
	sim.expectResult(t, 0, "k0", "replay")
}

// TestClaimsSurviveRestartsRightAfterAResync guards against losing claims when
// two members restart and sync, and then two of the members that they synced
// from restart as well.
func TestClaimsSurviveRestartsRightAfterAResync(t *testing.T) {
	sim := newSimulation(5, disabledRules{})
	sim.runToCompletion(t, 0, "k0")
	_, unfinished := sim.claimKey(2, "k1")
	assert.Assert(t, unfinished.granted)
	sim.restartAndSync(0, 1)
	sim.restartAndSync(2, 3)
	sim.expectResult(t, 4, "k0", "replay")
	sim.expectResult(t, 0, "k1", fault.OutcomeUnknown)
}

func TestClaimsSurviveTheLossOfAZone(t *testing.T) {
	sim := newSimulation(6, disabledRules{})
	sim.runToCompletion(t, 0, "k0")
	sim.unreachableVMs = 0b001001
	sim.expectResult(t, 1, "k0", "replay")
	sim.expectResult(t, 2, "k1", "")
}

// When two of three members lose their records, the third cannot prove that an
// unknown key has no claim, so new keys must wait until old claims have expired.
func TestNewKeysAreRefusedForTheRetentionAfterTwoOfThreeRestart(t *testing.T) {
	sim := newSimulation(3, disabledRules{})
	sim.runToCompletion(t, 0, "k0")
	sim.restartAndSync(0, 1)
	sim.expectResult(t, 0, "k0", "replay")
	sim.expectResult(t, 0, "k1", fault.ClaimsUnavailable)
	sim.advanceTime(simRetention + lateGrantMargin)
	sim.deliverAll(2)
	sim.expectResult(t, 0, "k1", "")
}

// An entry VM that holds a claim and is cut off may still send its request, also
// after its removal from the members, so no other attempt may be granted.
func TestUnreachableOwnerKeepsItsClaim(t *testing.T) {
	sim := newSimulation(3, disabledRules{})
	kind, c := sim.claimKey(0, "k0")
	assert.Equal(t, kind, fault.Kind(""))
	sim.unreachableVMs = 0b001
	sim.advanceTime(simMaxStartDelay / 2)
	sim.expectResult(t, 1, "k0", fault.StillRunning)
	sim.reconfigure(0b001)
	for i := 1; i < 3; i++ {
		sim.applyEpoch(i, true)
	}
	sim.deliverAll(3)
	sim.expectResult(t, 1, "k0", fault.OutcomeUnknown)
	sim.send(c)
	assert.Equal(t, sim.violation, "")
	sim.advanceTime(time.Minute)
	sim.expectResult(t, 2, "k0", fault.OutcomeUnknown)
}

func TestFullMembersRefuseNewKeys(t *testing.T) {
	sim := newSimulation(3, disabledRules{})
	for _, p := range sim.procs {
		p.store.limits.MaxClaims = 1
	}
	sim.expectResult(t, 0, "k0", "")
	sim.expectResult(t, 1, "k1", fault.ClaimsFull)
	sim.expectResult(t, 1, "k0", fault.StillRunning)
}
