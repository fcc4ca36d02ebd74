package dispatch

import (
	"math"
	"slices"
	"time"
)

// slownessWeight weighs the slowness of an upstream, a logarithm of a ratio of
// service times, against the share of its slots in use.
const slownessWeight = 0.25

// meanServiceTimeFactor is the assumed ratio of the arithmetic to the geometric
// mean of service times.
const meanServiceTimeFactor = 2

// slownessFadeTime is the time over which the weight of the measured slowness
// of an upstream falls to zero.
const slownessFadeTime = 2 * time.Second

// isGrantable reports whether slots of the upstream may be granted at this
// moment: after a handover, an upstream with a reduced limit has to wait until
// the tickets of earlier epochs are known.
func (c *Cell) isGrantable(u *upstream) bool {
	return u.limit >= u.slots || c.overrides.noHandoverWait || c.handover.allowsColdGrants(c.now)
}

// pickUpstream returns the upstream with a free slot that should run w, or nil.
// It prefers a low share of slots in use and then a short service time. An
// upstream in cold start takes part, so that it warms up at low load too; a
// suspect one is ranked as if all its slots were in use already. Ties are broken
// at random.
func (c *Cell) pickUpstream(w *waiter) *upstream {
	n := len(c.upstreams)
	if n == 0 {
		return nil
	}
	var best *upstream
	var bestCost float64
	first := c.rng.IntN(n)
	for i := range n {
		u := c.upstreams[(first+i)%n]
		if u.freeSlots() == 0 || !c.isGrantable(u) || !u.notice.AdmitsRequest(c.now, u.inFlight) || slices.Contains(w.avoid, u.id) {
			continue
		}
		if cost := c.cost(u); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// cost returns the cost of giving the next request to the upstream; the lowest
// one is picked.
func (c *Cell) cost(u *upstream) float64 {
	used := float64(u.inFlight+len(u.heldUntil)+1) / float64(u.slots)
	if u.state == stateSuspect {
		used++
	}
	return used + slownessWeight*c.slowness(u)
}

// slowness returns by how much the upstream was slower than the cell, as a
// difference of logarithms. It fades while the upstream gets no requests, so
// that one slow request does not keep it idle.
func (c *Cell) slowness(u *upstream) float64 {
	if u.serviceTimes.count == 0 || c.baseline.count == 0 {
		return 0
	}
	excess := u.serviceTimes.mean - c.baseline.mean
	if u.state == stateCold {
		excess -= math.Log(coldServiceTimeRatio)
	}
	recency := 1 - float64(c.now-u.lastSampleAt)/float64(slownessFadeTime)
	return max(0, excess) * max(0, recency)
}

// freeSlots returns the number of slots that can be granted now.
func (c *Cell) freeSlots() int {
	n := 0
	for _, u := range c.upstreams {
		if c.isGrantable(u) && u.notice.AdmitsRequest(c.now, u.inFlight) {
			n += u.freeSlots()
		}
	}
	return n
}

// capacity returns the number of requests that the cell may run at once.
func (c *Cell) capacity() int {
	n := 0
	for _, u := range c.upstreams {
		if c.isGrantable(u) && u.notice.Open(c.now) {
			n += u.limit
		}
	}
	return n
}

// typicalServiceTime returns the geometric mean of service times, which a few
// long requests raise only a little. It returns zero if none is known.
func (c *Cell) typicalServiceTime() time.Duration {
	if c.baseline.count == 0 {
		return 0
	}
	return time.Duration(math.Exp(c.baseline.mean))
}

// expectedWait estimates how long a request that arrives now waits for a slot.
func (c *Cell) expectedWait() time.Duration {
	if c.queue.len() == 0 && c.freeSlots() > 0 {
		return 0
	}
	ahead := (c.queue.totalWeight + 1) / float64(max(1, c.capacity()))
	return time.Duration(meanServiceTimeFactor * ahead * float64(c.typicalServiceTime()))
}
