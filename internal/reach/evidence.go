package reach

import "time"

// Upstream is an upstream as the evidence names it.
type Upstream struct {
	ID, Zone, Pool string
}

// Known counts the upstreams that the gateway knows, in all, by availability zone and by
// pool.
type Known struct {
	Upstreams    int
	Zones, Pools map[string]int
}

// Evidence is what has been observed since the last success.
type Evidence struct {
	// Failed are the different upstreams that have failed.
	Failed []Upstream
	// Span is the time from the first failure to the last one.
	Span time.Duration
	// Answered is the number of upstreams that have answered on open connections
	// meanwhile, FailedAndAnswered the number of those that have failed as well. Both are
	// 0 if an answer counts as a success.
	Answered, FailedAndAnswered int
}

// Explanation says what explains the failures.
type Explanation string

// The explanations.
const (
	// Loss means that this gateway has lost the network to all upstreams.
	Loss Explanation = "loss"
	// TooFew means that so many upstreams may be down or restart by themselves.
	TooFew Explanation = "too few upstreams"
	// Pause means that all have failed at once, as after a pause of the process.
	Pause Explanation = "pause"
	// OneZone and OnePool mean that the upstreams of a zone, or of a pool, are down, and
	// at most one other.
	OneZone Explanation = "one zone"
	OnePool Explanation = "one pool"
	// UpstreamsDown means that others answer, and none of those that failed.
	UpstreamsDown Explanation = "upstreams are down"
)

const (
	// minFailed and maxNeeded bound the number of different upstreams that must have
	// failed: half of those that are known. All must have failed if there are fewer.
	// Probes of eight upstreams are answered by none, while half of all are up, in 1 of
	// 256 cases, and only where no call gets an answer meanwhile; with four of twelve
	// upstreams down, probes of four find just these in 1 of 225.
	minFailed = 4
	maxNeeded = 8
	// minElsewhere is the number of them that must be outside any one zone and any one
	// pool, if so many are known there: one more may be down at the same time.
	minElsewhere = 2
	// minAlive is the number of upstreams that must refuse new connections although they
	// answer on open ones, if any upstream answers.
	minAlive = 2
)

// needed returns the number of different upstreams that must have failed.
func needed(known Known) int {
	return min(known.Upstreams, max(minFailed, min((known.Upstreams+1)/2, maxNeeded)))
}

// Judge returns what explains the failures.
func Judge(known Known, e Evidence) Explanation {
	zones, pools := make(map[string]int), make(map[string]int)
	for _, u := range e.Failed {
		zones[u.Zone]++
		pools[u.Pool]++
	}
	switch {
	case len(e.Failed) == 0 || len(e.Failed) < needed(known):
		return TooFew
	case e.Span < minFailureSpan:
		return Pause
	case explains(zones, known.Zones, len(e.Failed), known.Upstreams):
		return OneZone
	case explains(pools, known.Pools, len(e.Failed), known.Upstreams):
		return OnePool
	case e.Answered > 0 && e.FailedAndAnswered < min(minAlive, known.Upstreams):
		return UpstreamsDown
	}
	return Loss
}

// explains reports whether all failures but a few are of one group, of which not all
// upstreams are members. failed and known count the upstreams by group.
func explains(failed, known map[string]int, allFailed, allKnown int) bool {
	for group, n := range failed {
		if outside := allKnown - known[group]; allFailed-n < min(minElsewhere, outside) {
			return true
		}
	}
	return false
}
