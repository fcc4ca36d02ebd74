package rollout

import "time"

// Verdict is the result of Judge.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	Bad
	Good
)

// Observation is the input of Judge.
type Observation struct {
	Evidence Evidence
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// ObserveUntil is the time after the order until which a version without bad
	// evidence is observed, DecideBy the time by which it is good if there is no evidence
	// against it. If they are 0, as for a gateway that judges its own evidence, the
	// verdict is Bad or Undecided.
	ObserveUntil, DecideBy time.Duration
}

// Decision is a verdict with the figures that decided it.
type Decision struct {
	Verdict Verdict
	Reason  string
}

// Judge decides whether the new version of a pool is bad, compared with the old one.
func Judge(Observation) Decision { return Decision{} }
