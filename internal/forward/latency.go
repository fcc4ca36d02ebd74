package forward

import (
	"sync"
	"time"
)

// Parameters of the hedge delay, the wait before a second attempt.
const (
	// hedgeDelayPermille is the delay in thousandths of the mean latency.
	// With exponentially distributed latencies, a tenth exceeds 2.3 times
	// the mean.
	hedgeDelayPermille = 2300
	minHedgeDelay      = 5 * time.Millisecond
	// minLatencySamples is the number of samples before requests are hedged.
	minLatencySamples = 20
	// minSampleWeight is the smallest weight of a new sample in the mean.
	minSampleWeight = 1.0 / 32
)

// latencyTracker holds a moving mean of the response latency of each
// service. It is safe for concurrent use.
type latencyTracker struct {
	mu    sync.Mutex
	means map[string]meanLatency
}

// meanLatency is the exponentially weighted mean latency of one service, in
// nanoseconds.
type meanLatency struct {
	mean    float64
	samples int
}

func newLatencyTracker() *latencyTracker { return &latencyTracker{means: make(map[string]meanLatency)} }

// record adds the latency of a response, or the time that an abandoned
// attempt had taken.
func (t *latencyTracker) record(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.means[service]
	m.samples++
	weight := max(minSampleWeight, 1/float64(m.samples))
	m.mean += weight * (float64(took) - m.mean)
	t.means[service] = m
}

// hedgeDelay returns the wait before a second attempt; it reports false
// while there are too few samples.
func (t *latencyTracker) hedgeDelay(service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.means[service]
	if m.samples < minLatencySamples {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(m.mean*hedgeDelayPermille/1000)), true
}
