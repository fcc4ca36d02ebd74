package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Stage is the state of a roll-out, as in its chart.
type Stage int

// Stages.
const (
	Active Stage = iota
	Shifting
	Completed
	RolledBack
)

// Progress is the input of Next.
type Progress struct {
	Stage Stage
	// Permille is the share of the new version in Shifting.
	Permille uint32
	// Elapsed is the time since the order, Duration that within which a good version is
	// completed.
	Elapsed, Duration time.Duration
	// Drain is the time that requests in flight at the old version may take.
	Drain time.Duration
	// SinceStep is the time since the last change of the roll-out.
	SinceStep time.Duration
	// Ready is the number of upstreams of the new version that take requests. Bearable is
	// the share of the pool's requests, in thousandths, that they can take at present,
	// Capacity that once their cold starts have ended.
	Ready              int
	Bearable, Capacity uint32
	// Followed is set if all gateways that control has heard from recently use the last
	// change, Moved if they also have nothing in flight at the old version.
	Followed, Moved bool
	// Informed is set if the evidence of these gateways is known. A new leader waits for
	// it.
	Informed bool
	// Withdrawn is the number of gateways that have found the version bad on their own
	// evidence, Reporting that of all gateways that have reported.
	Withdrawn, Reporting int
	Evidence             Evidence
	Periods              []Evidence
	// Unreported: see Observation.
	Unreported float64
}

// Step is a change of a roll-out.
type Step struct {
	Stage    Stage
	Permille uint32
	Reason   string
}

// steps are the shares of the new version in Shifting, in thousandths. Each but the last
// at most doubles the requests of an upstream of the new version, which may be cold.
var steps = []uint32{250, 500, 1000}

const (
	// stepInterval is the shortest time between two steps. Gateways get a change within
	// about 0.4 s, and bad answers at the new share must be seen before the next step.
	stepInterval = 500 * time.Millisecond
	// finishMargin is the time for the last reports of the gateways, the commit and the
	// answer to the operator, at a leader that lacks CPU time or has just been elected.
	finishMargin = 2 * time.Second
)

// suspect reports whether the evidence is such that the share is not raised, and the
// roll-out not completed: at the end of the duration the version is then bad.
func (d Decision) suspect() bool { return d.Strength >= math.Log(falseAlarm/lateFalseAlarm) }

// margin returns finishMargin, or a quarter of a short duration.
func (p Progress) margin() time.Duration { return min(finishMargin, p.Duration/4) }

// ending reports whether only the margin is left of the duration.
func (p Progress) ending() bool { return p.Elapsed >= p.Duration-p.margin() }

// shiftTime returns the time that the steps, the requests in flight and the last reports
// take. It is at most half of the duration, so that the version is observed in the
// other half.
func (p Progress) shiftTime() time.Duration {
	return min(time.Duration(len(steps))*stepInterval+min(p.Drain, p.Duration/6)+p.margin(), p.Duration/2)
}

// minCapacity is the share of the requests, in thousandths, that the new upstreams must
// be able to take at the end. Old upstreams have spare capacity of this order.
const minCapacity = 500

// Next returns the next step of a roll-out and true, or false if there is none at
// present. The decision contains the evidence.
func Next(p Progress) (Step, Decision, bool) { return next(p, mutation{}) }

func next(p Progress, m mutation) (Step, Decision, bool) {
	if p.Stage != Active && p.Stage != Shifting {
		return Step{}, Decision{}, false
	}
	o := Observation{Evidence: p.Evidence, Periods: p.Periods, Unreported: p.Unreported, Elapsed: p.Elapsed}
	if p.Stage == Active && p.Informed {
		// The version is observed for as long as the duration allows. The last eighth of
		// that is left for routes with few requests.
		o.DecideBy = p.Duration - p.shiftTime()
		o.ObserveUntil = o.DecideBy - p.Duration/8
	}
	d := judge(o, m)
	step, ok := p.step(d)
	return step, d, ok
}

func (p Progress) step(d Decision) (Step, bool) {
	switch {
	case d.Verdict == Bad:
		return Step{Stage: RolledBack, Reason: d.Reason}, true
	case p.withdrawn(d):
		return Step{Stage: RolledBack, Reason: fmt.Sprintf("%d of %d gateways found the version bad on their own evidence; %s", p.Withdrawn, p.Reporting, d.Reason)}, true
	case p.Stage == Active && d.Verdict == Good:
		return p.begin(d)
	case p.Stage == Shifting && p.ending() && d.suspect():
		return Step{Stage: RolledBack, Reason: "at the end of the duration: " + d.Reason}, true
	case p.Stage == Shifting && p.Permille == 1000:
		// The old version stays available until the end of the duration is near.
		return Step{Stage: Completed, Reason: d.Reason}, p.Moved && p.Informed && p.ending()
	case p.Stage == Shifting:
		return p.raise(d)
	}
	return Step{}, false
}

// manyWithdrawn is the share of the gateways, in percent, from which on their own verdicts
// suffice to roll back at once. A single one may have trouble of its own.
const manyWithdrawn = 2

// withdrawn reports whether the version is bad because of the own verdicts of gateways.
// They keep sending requests to the old version, so that no step forward is taken.
func (p Progress) withdrawn(d Decision) bool {
	many := p.Withdrawn >= 2 && 100*p.Withdrawn >= manyWithdrawn*p.Reporting
	return many || p.Withdrawn > 0 && (d.Verdict == Good || p.ending())
}

// begin returns the first step of a version that was found good. Without upstreams that
// can take the requests it waits for them until the end of the duration.
func (p Progress) begin(d Decision) (Step, bool) {
	if p.Ready > 0 && p.Bearable > 0 {
		return Step{Stage: Shifting, Permille: p.nextShare(), Reason: d.Reason}, true
	}
	reason := fmt.Sprintf("at the end of the duration %d upstreams of the new version are ready, which can take %d permille of the requests", p.Ready, p.Capacity)
	return Step{Stage: RolledBack, Reason: reason}, p.ending()
}

// raise returns the next step of Shifting.
func (p Progress) raise(d Decision) (Step, bool) {
	if p.ending() && p.Capacity < minCapacity {
		return Step{Stage: RolledBack, Reason: fmt.Sprintf("the upstreams of the new version can take %d permille of the requests", p.Capacity)}, true
	}
	late := p.Elapsed >= p.Duration-p.margin()-min(p.Drain, p.Duration/6)
	if p.SinceStep < stepInterval || !p.Followed && !late || d.suspect() || p.Withdrawn > 0 {
		return Step{}, false
	}
	share := p.nextShare()
	if late && p.Capacity >= minCapacity {
		share = 1000
	}
	return Step{Stage: Shifting, Permille: share, Reason: d.Reason}, share > p.Permille
}

// nextShare returns the next share, as far as the new upstreams can take it.
func (p Progress) nextShare() uint32 {
	i := slices.IndexFunc(steps, func(s uint32) bool { return s > p.Permille })
	if i < 0 {
		return p.Permille
	}
	return min(steps[i], max(p.Bearable, p.Permille))
}
