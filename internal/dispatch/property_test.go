package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

const (
	modelSteps = 500
	// maxSeeds is the number of seeds tried to find a violation while a rule is
	// disabled.
	maxSeeds = 3000
)

// TestProofDispatchKeepsLimitsAndLeaksNoSlot checks random histories with lost,
// delayed and duplicated messages, changes of the dispatcher, and the loss and
// restart of entry VMs: no cold upstream runs more requests than its limit, no
// slot is granted after the zone closed or the upstream drained, every queued
// request is answered, and no slot leaks.
func TestProofDispatchKeepsLimitsAndLeaksNoSlot(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "c") }, ruleOverrides{})
		if err := m.run(modelSteps); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestProofDispatchModelFailsWithoutEachRule checks that the model detects the
// absence of each rule.
func TestProofDispatchModelFailsWithoutEachRule(t *testing.T) {
	for name, c := range map[string]struct {
		overrides ruleOverrides
		want      string
	}{
		"cold limit":    {ruleOverrides{noColdLimit: true}, "cold upstream"},
		"handover wait": {ruleOverrides{noHandoverWait: true}, "cold upstream"},
		"tombstones":    {ruleOverrides{noTombstones: true}, "were not freed"},
		"zone check":    {ruleOverrides{noZoneCheck: true}, "after the zone closed or the upstream drained"},
		"drain check":   {ruleOverrides{noDrainCheck: true}, "after the zone closed or the upstream drained"},
		"ticket expiry": {ruleOverrides{noTicketExpiry: true}, "were not freed"},
		"wait limit":    {ruleOverrides{noWaitLimit: true}, "was not answered"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				rng := rand.New(rand.NewPCG(seed, 1))
				err := newModel(rng.IntN, c.overrides).run(modelSteps)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation found in %d seeds", maxSeeds)
		})
	}
}

// simulateProbing drives a cell whose upstreams fail at random. It returns the
// slot time that probes took, the slot time that the budget allows them, and
// the largest number of upstreams ejected at the same time. Probes take at most
// 24 ms, which is probeTimeoutFactor times the probe cost of 6 ms.
func simulateProbing(draw drawFunc, overrides ruleOverrides) (spent, allowed time.Duration, ejected int) {
	const upstreams, slots, permille = 5, 1, 1
	c := New(Config{Slots: slots, WarmAfter: 2, ZoneOpen: true, ProbeEnabled: true, ProbeBudgetPermille: permille, ProbeCost: 6 * ms}, 0, 1)
	c.overrides = overrides
	c.Step(0, AssignmentAccepted{})
	names := []string{"a", "b", "c", "d", "e"}
	var now time.Duration
	probes := make(map[uint64]time.Duration)
	for i := range 1500 {
		now += time.Duration(1+draw(20)) * ms
		if i%20 == 0 {
			for _, id := range names {
				c.Step(now, Announce{ID: id, Slots: slots, Incarnation: 1, State: ReportedWarm})
			}
		}
		var actions []Action
		switch draw(4) {
		case 0, 1:
			k := RequestKey{"e", 1, uint64(i)}
			for _, a := range c.Step(now, Acquire{Key: k, Deadline: now + time.Second}) {
				if g, ok := a.(Grant); ok {
					o := clusterpb.Outcome_OUTCOME_OK
					if g.Upstream < "d" && draw(4) > 0 {
						o = clusterpb.Outcome_OUTCOME_FAILED
					}
					c.Step(now, Release{Key: k, Outcome: o, ServiceTime: 5 * ms})
				}
			}
		case 2:
			for id, startedAt := range probes {
				if draw(4) > 0 {
					break
				}
				took := min(now-startedAt, 24*ms)
				spent += took
				delete(probes, id)
				c.Step(now, ProbeDone{ID: id, OK: draw(6) == 0, Elapsed: took})
				break
			}
		}
		actions = append(actions, c.Step(now, Tick{})...)
		for _, a := range actions {
			if p, ok := a.(Probe); ok {
				probes[p.ID] = now
			}
		}
		n := 0
		for _, u := range c.upstreams {
			if u.state == stateEjected {
				n++
			}
		}
		ejected = max(ejected, n)
	}
	for _, startedAt := range probes {
		spent += min(now-startedAt, 24*ms)
	}
	return spent, now * upstreams * slots * permille / 1000, ejected
}

// TestProofProbeBudgetAndEjectionCapHold checks that probes take no more than
// their share of slot time, and that no more upstreams are ejected at once than
// the cap allows.
func TestProofProbeBudgetAndEjectionCapHold(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		spent, allowed, ejected := simulateProbing(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "c") }, ruleOverrides{})
		if spent > allowed {
			rt.Fatalf("probes took %v of slot time, budget %v", spent, allowed)
		}
		if ejected > 1 {
			rt.Fatalf("%d of 5 upstreams ejected at once, allowed 1", ejected)
		}
	})
}

// TestProofProbeBudgetChecksFailWithoutTheirRules checks that the simulation
// exceeds the probe budget when the budget is not enforced, and the ejection cap
// when the cap is not enforced.
func TestProofProbeBudgetChecksFailWithoutTheirRules(t *testing.T) {
	overBudget, tooManyEjected := false, false
	for seed := range uint64(100) {
		draw := rand.New(rand.NewPCG(seed, 1)).IntN
		spent, allowed, _ := simulateProbing(draw, ruleOverrides{noProbeBudget: true, noEjectionCap: true})
		overBudget = overBudget || spent > allowed
		spent, allowed, ejected := simulateProbing(draw, ruleOverrides{noEjectionCap: true})
		assert.Assert(t, spent <= allowed)
		tooManyEjected = tooManyEjected || ejected > 1
	}
	assert.Assert(t, overBudget, "probes stayed within the budget although it was disabled")
	assert.Assert(t, tooManyEjected, "at most 1 upstream was ejected although the cap was disabled")
}
