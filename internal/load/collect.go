package load

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// Range of the histograms in microseconds, and their precision in significant
// decimal digits for the totals and for the bucket of one second.
const (
	minLatencyUs            = 1
	maxLatencyUs            = int64(10 * time.Minute / time.Microsecond)
	totalSignificantDigits  = 3
	bucketSignificantDigits = 2
)

// secondBucket aggregates the requests that arrived in one second. Its latency
// covers answered requests only.
type secondBucket struct {
	counts   Counts
	latency  *hdrhistogram.Histogram
	inFlight int64
}

// collector aggregates samples. It is not safe for concurrent use.
type collector struct {
	plan            *Plan
	inFlight        *inFlightCounter
	counts          Counts
	resends         uint64
	answeredLatency *hdrhistogram.Histogram
	allLatency      *hdrhistogram.Histogram
	sendDelay       *hdrhistogram.Histogram
	outcomes        map[string]uint64
	runStatuses     map[fault.RunStatus]uint64
	buckets         []*secondBucket
}

func newCollector(plan *Plan, flying *inFlightCounter) *collector {
	return &collector{
		plan:            plan,
		inFlight:        flying,
		answeredLatency: newHistogram(totalSignificantDigits),
		allLatency:      newHistogram(totalSignificantDigits),
		sendDelay:       newHistogram(totalSignificantDigits),
		outcomes:        make(map[string]uint64),
		runStatuses:     make(map[fault.RunStatus]uint64),
	}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUs, maxLatencyUs, digits)
}

// collect adds samples until the channel is closed, and calls endSecond every
// second.
func (c *collector) collect(start time.Time, samples <-chan sample) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case s, ok := <-samples:
			if !ok {
				c.endProgress()
				return
			}
			c.add(s)
		case <-ticker.C:
			c.endSecond(time.Since(start))
		}
	}
}

// add counts a sample in the second of its arrival and, after the warm-up, in
// the totals.
func (c *collector) add(s sample) {
	sec := c.bucketFor(s.arrival)
	sec.counts.add(s)
	if s.outcome == outcomeAnswered {
		record(sec.latency, s.latency)
	}
	if s.arrival < c.plan.Warmup {
		return
	}
	c.counts.add(s)
	c.resends += uint64(s.resends)
	c.outcomes[s.outcome]++
	if s.outcome == outcomeDropped {
		return
	}
	if s.refused {
		c.runStatuses[s.runStatus]++
	}
	if s.outcome == outcomeAnswered {
		record(c.answeredLatency, s.latency)
	}
	record(c.allLatency, s.latency)
	record(c.sendDelay, s.sendDelay)
}

// record adds a duration, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), minLatencyUs), maxLatencyUs)
	// RecordValue fails only for values outside the range.
	_ = h.RecordValue(us)
}

// bucketFor returns the bucket of an arrival time and adds the buckets that are
// missing before it.
func (c *collector) bucketFor(at time.Duration) *secondBucket {
	n := int(at / time.Second)
	for len(c.buckets) <= n {
		c.buckets = append(c.buckets, &secondBucket{latency: newHistogram(bucketSignificantDigits)})
	}
	return c.buckets[n]
}

// endSecond records the number of requests in flight in the bucket of the
// second that ended, and prints the progress line.
func (c *collector) endSecond(now time.Duration) {
	inFlight := c.inFlight.count()
	if at := now - time.Second; at >= 0 && at < c.plan.Duration {
		c.bucketFor(at).inFlight = inFlight
	}
	if c.plan.Progress == nil {
		return
	}
	fmt.Fprintf(c.plan.Progress, "%s%3.0f s  arrived %d  answered %d  refused %d  failed %d  in flight %d  p50 %.1f ms  p99 %.1f ms%s",
		progressPrefix(c.plan.Progress), now.Seconds(), c.counts.Arrived, c.counts.Answered, c.counts.Refused, c.counts.Failed,
		inFlight, quantileMs(c.answeredLatency, 50), quantileMs(c.answeredLatency, 99), progressSuffix(c.plan.Progress))
}

func (c *collector) endProgress() {
	if c.plan.Progress != nil && isTerminal(c.plan.Progress) {
		fmt.Fprintln(c.plan.Progress)
	}
}

// progressPrefix clears the current line on a terminal, where the progress line
// is overwritten every second.
func progressPrefix(w io.Writer) string {
	if isTerminal(w) {
		return "\r\x1b[K"
	}
	return ""
}

func progressSuffix(w io.Writer) string {
	if isTerminal(w) {
		return ""
	}
	return "\n"
}

// isTerminal reports whether w is a character device.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
