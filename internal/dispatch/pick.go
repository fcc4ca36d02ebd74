package dispatch

import (
	"math"
	"slices"
	"time"
)

// slowWeight is how much a doubling of an upstream's service time weighs
// against the share of its slots in use.
const slowWeight = 0.25

// waitFactor is the assumed ratio of the mean service time to the geometric one.
const waitFactor = 2

// forgetAfter is the time after which a past service time has no weight.
const forgetAfter = 2 * time.Second

// usable reports whether the upstream may be granted at all at this moment.
func (c *Cell) usable(u *upstream) bool {
	return u.limit >= u.slots || c.rules.noSettle || c.settle.coldOpen(c.now)
}

// pick returns the upstream with room that should run w, or nil. It prefers a
// low share of slots in use, then a short service time. One in cold start takes
// part, so that it warms up at a low load too; a suspect one comes last.
func (c *Cell) pick(w *waiter) *upstream {
	n := len(c.upstreams)
	if n == 0 {
		return nil
	}
	var best *upstream
	var bestCost float64
	first := c.rng.IntN(n)
	for i := range n {
		u := c.upstreams[(first+i)%n]
		if u.room() == 0 || !c.usable(u) || slices.Contains(w.avoid, u.id) {
			continue
		}
		if cost := c.cost(u); best == nil || cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

func (c *Cell) cost(u *upstream) float64 {
	used := float64(u.inFlight+len(u.held)+1) / float64(u.slots)
	if u.state == stateSuspect {
		used++
	}
	return used + slowWeight*c.slowness(u)
}

// slowness returns by how much the upstream was slower than the cell, as a
// logarithm. It fades while the upstream gets no requests, so that one slow
// request does not keep it idle.
func (c *Cell) slowness(u *upstream) float64 {
	if u.stats.n == 0 || c.base.n == 0 {
		return 0
	}
	excess := u.stats.mean - c.base.mean
	if u.state == stateCold {
		excess -= math.Log(coldRatio)
	}
	fresh := 1 - float64(c.now-u.sampledAt)/float64(forgetAfter)
	return max(0, excess) * max(0, fresh)
}

// free returns the number of slots that can be granted now.
func (c *Cell) free() int {
	n := 0
	for _, u := range c.upstreams {
		if c.usable(u) {
			n += u.room()
		}
	}
	return n
}

// capacity returns the number of requests the cell may run at once.
func (c *Cell) capacity() int {
	n := 0
	for _, u := range c.upstreams {
		if c.usable(u) {
			n += u.limit
		}
	}
	return n
}

// typicalService returns the geometric mean of service times, which a few long
// requests do not raise much; zero if unknown.
func (c *Cell) typicalService() time.Duration {
	if c.base.n == 0 {
		return 0
	}
	return time.Duration(math.Exp(c.base.mean))
}

// expectedWait estimates the wait of a request that arrives now.
func (c *Cell) expectedWait() time.Duration {
	if c.queue.len() == 0 && c.free() > 0 {
		return 0
	}
	ahead := (c.queue.work + 1) / float64(max(1, c.capacity()))
	return time.Duration(waitFactor * ahead * float64(c.typicalService()))
}
