package acceptance

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proptest"
)

// rapidChooser makes random decisions that rapid can shrink.
type rapidChooser struct {
	t *rapid.T
}

func (d rapidChooser) intn(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// seededChooser makes random decisions from a seed.
type seededChooser struct {
	r *rand.Rand
}

func (s seededChooser) intn(n int) int { return s.r.IntN(n) }

const (
	stepsPerRun     = 150
	maxSearchedRuns = 30_000
)

// runSimulation runs a random simulation until the first violation, at most
// stepsPerRun steps. It returns the violation, or an empty string.
func runSimulation(c chooser, r disabledRules) (violation string, w *simulation) {
	w = newSimulation(c, r, 1+c.intn(6))
	for range stepsPerRun {
		w.step()
		if w.violation != "" {
			return w.violation, w
		}
	}
	return "", w
}

// TestProofWorkIsAdmittedOnlyOnAcceptedRevisionOrLater checks the properties after
// every step of random simulations: an entry VM admits requests only under the
// newest accepted revision or a later one, and each cell has one dispatcher.
func TestProofWorkIsAdmittedOnlyOnAcceptedRevisionOrLater(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		if violation, w := runSimulation(rapidChooser{rt}, disabledRules{}); violation != "" {
			rt.Fatalf("%s (events %v)", violation, w.eventCounts)
		}
	})
}

// TestSeededRunsFindNoViolation checks the same properties in more runs, without
// rapid, which is faster.
func TestSeededRunsFindNoViolation(t *testing.T) {
	for seed := range uint64(500) {
		if violation, _ := runSimulation(seededChooser{rand.New(rand.NewPCG(seed, 1))}, disabledRules{}); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
	}
}

// TestSimulationDetectsEachDisabledRule disables one rule at a time and expects a
// violation. This shows that each rule is needed and that the checks notice when
// it is missing. The search begins at a seed that is known to find a violation.
func TestSimulationDetectsEachDisabledRule(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rules disabledRules
		from  uint64
	}{
		{"majority of the previous set too", disabledRules{ignorePreviousSet: true}, 292},
		{"cells are assigned within their region", disabledRules{assignAcrossRegions: true}, 23312},
		{"no older revision is adopted", disabledRules{adoptOlderRevision: true}, 3},
		{"dispatch after the assignment is accepted", disabledRules{dispatchBeforeAcceptance: true}, 11},
		{"wait for leases to expire", disabledRules{ignoreLeases: true}, 34},
		{"wait for confirmations to expire", disabledRules{ignoreConfirmations: true}, 522},
		{"freshness is checked at each call", disabledRules{cacheFreshness: true}, 241},
		{"clock drift is bounded", disabledRules{exceedClockDrift: true}, 113},
		{"wait for leases of previous leaders", disabledRules{ignorePreviousTermLeases: true}, 118},
		{"maximum quorum age", disabledRules{ignoreQuorumAge: true}, 274},
		{"sync needs a confirmed read", disabledRules{syncWithoutConfirmedRead: true}, 382},
		{"lease starts when its request is sent", disabledRules{leaseFromReceipt: true}, 24090},
		{"one change of the set at a time", disabledRules{concurrentSetChanges: true}, 5347},
		{"confirmations only after sync", disabledRules{confirmBeforeSync: true}, 10360},
		{"restart counts as a confirmation", disabledRules{forgetConfirmations: true}, 10771},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seed, violation := findViolation(tc.rules, tc.from)
			assert.Assert(t, violation != "", "no run of the simulation finds a violation without this rule")
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}

// findViolation returns the first seed, starting at from, whose run has a
// violation, and the violation. It searches at most maxSearchedRuns seeds.
func findViolation(r disabledRules, from uint64) (seed uint64, violation string) {
	for seed = from; seed < from+maxSearchedRuns; seed++ {
		if violation, _ := runSimulation(seededChooser{rand.New(rand.NewPCG(seed, 1))}, r); violation != "" {
			return seed, violation
		}
	}
	return 0, ""
}
