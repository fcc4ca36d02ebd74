package gateway

import (
	"slices"
	"time"
)

const (
	// statedTimeoutSamples is the number of stated timeouts of a route that are
	// remembered.
	statedTimeoutSamples = 64
	// firstTimeoutQuantile is the quantile of them that counts as the usual timeout
	// of a first attempt. It holds while up to nine of ten callers come back, and a
	// few that state far longer timeouts do not move it.
	firstTimeoutQuantile = 0.9
	// firstTimeoutSpread is the part of the usual timeout by which the timeouts of
	// first attempts differ between callers.
	firstTimeoutSpread = 0.3
)

// statedTimeouts are the timeouts that callers of one route have stated recently.
// From them it estimates the time that a caller has used up on earlier attempts: in an
// overload, calls that come back after a refusal are late already and should not take
// the room of those that can still be in time.
type statedTimeouts struct {
	recent []time.Duration
	// next is the index of the oldest sample once there are statedTimeoutSamples.
	next int
}

// record adds a stated timeout and returns the time that the caller has probably used
// up before: 0 if the timeout is about that of a first attempt.
func (s *statedTimeouts) record(stated time.Duration) time.Duration {
	if len(s.recent) < statedTimeoutSamples {
		s.recent = append(s.recent, stated)
	} else {
		s.recent[s.next] = stated
		s.next = (s.next + 1) % statedTimeoutSamples
	}
	sorted := slices.Sorted(slices.Values(s.recent))
	usual := sorted[int(firstTimeoutQuantile*float64(len(sorted)-1))]
	if float64(stated) >= (1-firstTimeoutSpread)*float64(usual) {
		return 0
	}
	return usual - stated
}
