// Package retry bounds how often requests are sent again, summed over all
// entry VMs, without a message between them.
//
// A service bears a share of its requests, plus a fixed slack, as further
// attempts within any window. Each entry VM allows itself the share of the
// requests that it has carried itself, which adds up to the share of all, and
// an equal part of the slack. Entry VMs that restart forget what they have
// spent; therefore only a part of either is given out.
//
// The package is pure: times are readings of the caller's monotonic clock.
package retry

import (
	"time"
)

// Limits are the bounds for one service.
type Limits struct {
	// Ratio is the share of requests that may be sent again.
	Ratio float64
	// Slack is the number of further attempts in a window that all entry VMs
	// together may make beyond the ratio.
	Slack float64
	// Window is the span in which attempts are counted.
	Window time.Duration
}

const (
	// ratioUsed is the part of the ratio that is given out: requests are counted
	// when they arrive here, attempts when they arrive at the upstream.
	ratioUsed = 0.9
	// slackUsed is the part of the slack that is given out, so that every
	// entry VM may restart once in a window.
	slackUsed = 0.45
	// slices is the number of parts in which a window is counted.
	slices = 20
)

// Budget counts the requests and further attempts of one service at one entry
// VM. It is not safe for concurrent use.
type Budget struct {
	requests counter
	spent    counter
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Duration, l Limits) { b.requests.add(now, l.Window) }

// Take pays for one further attempt, if the budget allows it. entries is the
// number of entry VMs among which the slack is shared.
func (b *Budget) Take(now time.Duration, l Limits, entries int) bool {
	if b.Remaining(now, l, entries) < 1 {
		return false
	}
	b.spent.add(now, l.Window)
	return true
}

// Remaining returns the number of further attempts that the budget allows now; it
// may be a fraction, or below 0 after requests have left the window.
func (b *Budget) Remaining(now time.Duration, l Limits, entries int) float64 {
	allowed := l.Ratio*ratioUsed*float64(b.requests.sum(now, l.Window)) + l.Slack*slackUsed/float64(max(1, entries))
	return allowed - float64(b.spent.sum(now, l.Window))
}

// counter counts events in a sliding window, in slices. It covers one slice
// more than the window, so that no event leaves it early.
type counter struct {
	counts [slices + 1]int
	newest int64
}

func (c *counter) add(now, window time.Duration) {
	c.advance(now, window)
	c.counts[c.newest%int64(len(c.counts))]++
}

func (c *counter) sum(now, window time.Duration) int {
	c.advance(now, window)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance clears the slices that have left the window.
func (c *counter) advance(now, window time.Duration) {
	at := int64(now / max(1, window/slices))
	for step := c.newest + 1; step <= at && step <= c.newest+int64(len(c.counts)); step++ {
		c.counts[step%int64(len(c.counts))] = 0
	}
	c.newest = max(c.newest, at)
}
