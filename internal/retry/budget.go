// Package retry limits the retries of requests over all entry VMs without
// communication between them.
//
// In any window, a service tolerates retries up to a ratio of its requests plus
// a fixed slack. Each entry VM allows itself that ratio of the requests that it
// received itself, which adds up to the ratio of all requests, and an equal
// part of the slack. Only a fraction of both is used; ratioFraction and
// slackFraction give the reasons.
//
// A retry is reserved before an upstream is sought for it and counts when it is
// sent, since only what is sent within a window is bounded.
//
// The package has no clock; times are readings of the caller's monotonic clock.
package retry

import (
	"time"
)

// Limits are the retry limits of a service.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries per window that all entry VMs together may
	// make in addition to the ratio.
	Slack float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
}

// Share is the part that one entry VM has in the slack. The zero value is that of
// an entry VM which the others do not know of; it has no part.
type Share struct {
	// EntryVMs is the number of entry VMs that share the slack, this one included.
	EntryVMs int
	// Since is the time since which this entry VM is one of them, but not before
	// its process started.
	Since time.Duration
}

const (
	// ratioFraction is the fraction of the ratio that is used. Requests are
	// counted on arrival at the entry VM but retries on arrival at the
	// upstream, so a retry may fall in a later window than the requests that
	// allowed it.
	ratioFraction = 0.9
	// slackFraction is the fraction of the slack that is used. An entry VM that
	// restarts forgets the retries that it has made. As its part of the slack grows
	// over the first window, it can use at most that part once more in a window,
	// however often it restarts.
	slackFraction = 0.45
	// windowBuckets is the number of buckets that a window is divided into.
	windowBuckets = 20
)

// Budget counts the requests and retries of one service at one entry VM. The
// zero value is ready for use. It is not safe for concurrent use.
type Budget struct {
	requests slidingCounter
	retries  slidingCounter
	// reserved is the number of retries that were reserved and neither sent nor
	// released.
	reserved int
	counts   Counts
}

// Counts are what a budget has done in a period.
type Counts struct {
	// Sent is the number of retries that were sent, Refused the number that the
	// budget did not allow.
	Sent, Refused int
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Duration, l Limits) { b.requests.add(now, l.Window) }

// Reserve reports whether the budget allows one more retry, and reserves it if
// so. Each reserved retry must be passed to Send or Release once.
func (b *Budget) Reserve(now time.Duration, l Limits, s Share) bool {
	if b.Remaining(now, l, s) < 1 {
		b.counts.Refused++
		return false
	}
	b.reserved++
	return true
}

// Send counts a reserved retry as sent. It reports false, and releases the retry,
// if the budget no longer allows it: the requests that did may have left the
// window.
func (b *Budget) Send(now time.Duration, l Limits, s Share) bool {
	b.reserved--
	if b.allowed(now, l, s)-float64(b.retries.sum(now, l.Window)) < 1 {
		b.counts.Refused++
		return false
	}
	b.counts.Sent++
	b.retries.add(now, l.Window)
	return true
}

// TakeCounts returns the counts since the last call.
func (b *Budget) TakeCounts() Counts {
	counts := b.counts
	b.counts = Counts{}
	return counts
}

// Release gives up a reserved retry that is not sent.
func (b *Budget) Release() { b.reserved-- }

// Remaining returns the number of retries that can be reserved now. It may be a
// fraction, or negative after requests have left the window.
func (b *Budget) Remaining(now time.Duration, l Limits, s Share) float64 {
	return b.allowed(now, l, s) - float64(b.retries.sum(now, l.Window)+b.reserved)
}

// allowed returns the number of retries in the window that ends now.
func (b *Budget) allowed(now time.Duration, l Limits, s Share) float64 {
	return l.Ratio*ratioFraction*float64(b.requests.sum(now, l.Window)) + s.slack(now, l)
}

// slack returns the part of the slack that the entry VM may use now.
func (s Share) slack(now time.Duration, l Limits) float64 {
	if s.EntryVMs == 0 {
		return 0
	}
	return l.Slack * slackFraction / float64(s.EntryVMs) * min(1, float64(now-s.Since)/float64(l.Window))
}

// slidingCounter counts events in a sliding window that is divided into
// buckets. It has one bucket more than the window, so that no event is dropped
// early.
type slidingCounter struct {
	counts [windowBuckets + 1]int
	// newest is the number of the newest bucket, counted from time 0.
	newest int64
}

func (c *slidingCounter) add(now, window time.Duration) {
	c.advance(now, window)
	c.counts[c.newest%int64(len(c.counts))]++
}

func (c *slidingCounter) sum(now, window time.Duration) int {
	c.advance(now, window)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// advance clears the buckets that have left the window.
func (c *slidingCounter) advance(now, window time.Duration) {
	bucket := int64(now / max(1, window/windowBuckets))
	for next := c.newest + 1; next <= bucket && next <= c.newest+int64(len(c.counts)); next++ {
		c.counts[next%int64(len(c.counts))] = 0
	}
	c.newest = max(c.newest, bucket)
}
