package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

// simulationSteps is the number of steps of one history.
const simulationSteps = 200

// runSimulation returns the first violation, or "".
func runSimulation(t *rapid.T, s *simulation) string {
	for range simulationSteps {
		if violation := s.step(t); violation != "" {
			return violation
		}
	}
	return ""
}

// In random histories of renewals, lost messages, cuts, changes of the leader,
// restarts and planned stops, at most one entry VM may issue permits for an
// upstream at any time, at no more than the upstream's rate.
func TestProofOneIssuerAtATimeWithinTheRate(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		if violation := runSimulation(rt, newSimulation(rt, disabledRules{})); violation != "" {
			rt.Fatal(violation)
		}
	})
}

func TestSimulationDetectsEachDisabledRule(t *testing.T) {
	for _, tc := range []struct {
		name     string
		disabled disabledRules
	}{
		{"an issuer needs a lease", disabledRules{lease: true}},
		{"a new issuer waits", disabledRules{takeover: true}},
		{"a gap between leases starts the wait anew", disabledRules{gaps: true}},
		{"without a wait only if all have restarted", disabledRules{restarted: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			proptest.ExpectFailure(t, "1", func(rt *rapid.T) {
				if violation := runSimulation(rt, newSimulation(rt, tc.disabled)); violation != "" {
					rt.Fatal(violation)
				}
			})
		})
	}
}

// TestOldLeaderDoesNotMakeSecondIssuer replays a change of the leader: the old
// one, which has lost its quorum, reports the issuer as silent because that has
// already renewed its lease with the new one.
func TestOldLeaderDoesNotMakeSecondIssuer(t *testing.T) {
	ids := []string{"g0", "g1"}
	first := winner(ids, upstreamID)
	second := ids[0]
	if first == ids[0] {
		second = ids[1]
	}
	for _, disabled := range []disabledRules{{}, {departures: true}} {
		issuer, other := NewIssuer(first), NewIssuer(second)
		other.disabled = disabled
		renewBoth := func(now time.Duration) {
			for _, i := range []*Issuer{issuer, other} {
				i.SetLive(now, ids)
				i.RecordLease(now, now)
			}
		}
		last := time.Duration(0)
		for ; last < 10*time.Second; last += time.Second {
			renewBoth(last)
		}
		renewBoth(last)
		other.RecordLease(last+2*time.Second, last+2*time.Second)
		// The issuer renews its lease with the new leader.
		issuer.RecordLease(last+leaseFor(0)-1, last+leaseFor(0)-1)
		// The old leader still grants leases.
		now := last + freshness.LiveTimeout + 1
		other.SetLive(now, []string{second})
		other.RecordLease(now, now)
		_, ok := issuer.Issues(now, upstreamID)
		assert.Assert(t, ok)
		_, ok = other.Issues(now, upstreamID)
		assert.Equal(t, ok, disabled.departures)
	}
}

// The histories must not be so rough that nobody ever issues permits.
func TestSimulationIssuesPermits(t *testing.T) {
	histories := rapid.Custom(func(rt *rapid.T) int {
		s := newSimulation(rt, disabledRules{})
		assert.Equal(t, runSimulation(rt, s), "")
		return int(100 * s.issuing / s.now)
	})
	issuing := 0
	for seed := range 100 {
		issuing += histories.Example(seed)
	}
	t.Logf("somebody issued permits in %d%% of the time", issuing/100)
	assert.Assert(t, issuing > 100*10)
}
