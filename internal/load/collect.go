package load

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// Range and precision of the histograms, in microseconds.
const (
	lowestUs     = 1
	highestUs    = int64(10 * time.Minute / time.Microsecond)
	totalDigits  = 3
	secondDigits = 2
)

// second collects the requests that arrived in one second.
type second struct {
	counts   Counts
	latency  *hdrhistogram.Histogram
	inFlight int64
}

// collector sums up samples. One goroutine owns it.
type collector struct {
	plan     *Plan
	flying   *gauge
	counts   Counts
	resends  uint64
	answered *hdrhistogram.Histogram
	all      *hdrhistogram.Histogram
	sent     *hdrhistogram.Histogram
	outcomes map[string]uint64
	runs     map[fault.RunStatus]uint64
	seconds  []*second
}

func newCollector(plan *Plan, flying *gauge) *collector {
	return &collector{
		plan:     plan,
		flying:   flying,
		answered: newHistogram(totalDigits),
		all:      newHistogram(totalDigits),
		sent:     newHistogram(totalDigits),
		outcomes: make(map[string]uint64),
		runs:     make(map[fault.RunStatus]uint64),
	}
}

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestUs, highestUs, digits)
}

// collect adds samples until the channel is closed.
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
			c.tick(time.Since(start))
		}
	}
}

func (c *collector) add(s sample) {
	sec := c.secondOf(s.at)
	sec.counts.add(s)
	if s.outcome == outcomeAnswered {
		record(sec.latency, s.latency)
	}
	if s.at < c.plan.Warmup {
		return
	}
	c.counts.add(s)
	c.resends += uint64(s.resends)
	c.outcomes[s.outcome]++
	if s.outcome == outcomeDropped {
		return
	}
	if s.refused {
		c.runs[s.run]++
	}
	if s.outcome == outcomeAnswered {
		record(c.answered, s.latency)
	}
	record(c.all, s.latency)
	record(c.sent, s.sent)
}

// record stores a duration, cut to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestUs), highestUs)
	// The value lies within the range, so that it is always stored.
	_ = h.RecordValue(us)
}

func (c *collector) secondOf(at time.Duration) *second {
	n := int(at / time.Second)
	for len(c.seconds) <= n {
		c.seconds = append(c.seconds, &second{latency: newHistogram(secondDigits)})
	}
	return c.seconds[n]
}

// tick notes the requests in flight at the end of a second.
func (c *collector) tick(now time.Duration) {
	flying := c.flying.value()
	if at := now - time.Second; at >= 0 && at < c.plan.Duration {
		c.secondOf(at).inFlight = flying
	}
	if c.plan.Progress == nil {
		return
	}
	fmt.Fprintf(c.plan.Progress, "%s%3.0f s  arrived %d  answered %d  refused %d  failed %d  in flight %d  p50 %.1f ms  p99 %.1f ms%s",
		lineStart(c.plan.Progress), now.Seconds(), c.counts.Arrived, c.counts.Answered, c.counts.Refused, c.counts.Failed,
		flying, quantileMs(c.answered, 50), quantileMs(c.answered, 99), lineEnd(c.plan.Progress))
}

func (c *collector) endProgress() {
	if c.plan.Progress != nil && isTerminal(c.plan.Progress) {
		fmt.Fprintln(c.plan.Progress)
	}
}

func lineStart(w io.Writer) string {
	if isTerminal(w) {
		return "\r\x1b[K"
	}
	return ""
}

func lineEnd(w io.Writer) string {
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
