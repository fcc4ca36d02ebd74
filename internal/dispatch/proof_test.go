package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proof"
)

const (
	modelSteps = 500
	// offTries bounds the cases tried to see a switched-off rule fail.
	offTries = 3000
)

// TestProofDispatch checks over random histories with lost, late and doubled
// messages, a change of dispatchers and the loss of an entry VM: no cold
// upstream runs more than its bound, nothing is granted where the zone or the
// upstream has left, every waiting request is answered, no slot leaks.
func TestProofDispatch(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "c") }, rules{})
		if err := m.run(modelSteps); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestProofDispatchCatches shows that the model fails without each rule.
func TestProofDispatchCatches(t *testing.T) {
	for name, c := range map[string]struct {
		off  rules
		want string
	}{
		"cold bound":  {rules{noColdBound: true}, "cold upstream"},
		"settling":    {rules{noSettle: true}, "cold upstream"},
		"tombstones":  {rules{noTombstones: true}, "stay taken"},
		"zone closed": {rules{noZoneClose: true}, "left"},
		"drain":       {rules{noDrain: true}, "left"},
		"expiry":      {rules{noExpiry: true}, "stay taken"},
		"answers":     {rules{noWaitLimit: true}, "no answer"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(offTries) {
				rng := rand.New(rand.NewPCG(seed, 1))
				err := newModel(rng.IntN, c.off).run(modelSteps)
				if err != nil && strings.Contains(err.Error(), c.want) {
					return
				}
			}
			t.Fatalf("no violation in %d cases", offTries)
		})
	}
}

// probing drives a cell whose upstreams fail at random and returns the share
// of slot time that probes took and the peak of ejected upstreams.
func probing(pick choose, off rules) (spent, allowed time.Duration, ejected int) {
	const upstreams, slots, permille = 5, 1, 1
	c := New(Config{Slots: slots, WarmAfter: 2, ZoneOpen: true, ProbeEnabled: true, ProbeBudgetPermille: permille, ProbeCost: 6 * ms}, 0, 1)
	c.rules = off
	c.Step(0, AssignmentAccepted{})
	names := []string{"a", "b", "c", "d", "e"}
	var now time.Duration
	probes := make(map[uint64]time.Duration)
	for i := range 1500 {
		now += time.Duration(1+pick(20)) * ms
		if i%20 == 0 {
			for _, id := range names {
				c.Step(now, Announce{ID: id, Slots: slots, Incarnation: 1, State: ReportedWarm})
			}
		}
		var actions []Action
		switch pick(4) {
		case 0, 1:
			k := RequestKey{"e", 1, uint64(i)}
			for _, a := range c.Step(now, Acquire{Key: k, Deadline: now + time.Second}) {
				if g, ok := a.(Grant); ok {
					o := clusterpb.Outcome_OUTCOME_OK
					if g.Upstream < "d" && pick(4) > 0 {
						o = clusterpb.Outcome_OUTCOME_FAILED
					}
					c.Step(now, Release{Key: k, Outcome: o, ServiceTime: 5 * ms})
				}
			}
		case 2:
			for id, begun := range probes {
				if pick(4) > 0 {
					break
				}
				took := min(now-begun, 24*ms)
				spent += took
				delete(probes, id)
				c.Step(now, ProbeDone{ID: id, OK: pick(6) == 0, Elapsed: took})
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
	for _, begun := range probes {
		spent += min(now-begun, 24*ms)
	}
	return spent, now * upstreams * slots * permille / 1000, ejected
}

// TestProofProbeBudget checks that probes take no more than their share of
// slot time, and that ejection leaves most of the cell in service.
func TestProofProbeBudget(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
		spent, allowed, ejected := probing(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "c") }, rules{})
		if spent > allowed {
			rt.Fatalf("probes took %v, allowed %v", spent, allowed)
		}
		if ejected > 1 {
			rt.Fatalf("%d of 5 ejected", ejected)
		}
	})
}

// TestProofProbeBudgetCatches shows that the checks fail without their rules.
func TestProofProbeBudgetCatches(t *testing.T) {
	over, many := false, false
	for seed := range uint64(100) {
		pick := rand.New(rand.NewPCG(seed, 1)).IntN
		spent, allowed, _ := probing(pick, rules{noProbeBudget: true, noEjectCap: true})
		over = over || spent > allowed
		spent, allowed, ejected := probing(pick, rules{noEjectCap: true})
		assert.Assert(t, spent <= allowed)
		many = many || ejected > 1
	}
	assert.Assert(t, over, "no overspending without the budget")
	assert.Assert(t, many, "no further ejection without the cap")
}
