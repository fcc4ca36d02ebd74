package place

import (
	"math"
	"time"
)

// Outcome says what becomes of a request for the moment.
type Outcome int

// The verdicts.
const (
	// Selected: the request goes to the upstream at once.
	Selected Outcome = iota
	// NoCapacity: upstreams answer, but none has room; ask again in a moment.
	NoCapacity
	// Unavailable: no upstream of the pool takes new work.
	Unavailable
)

// Choice is a decision with what it rests on.
type Choice struct {
	Outcome  Outcome
	Upstream Upstream
	// Cost is the estimate for the upstream, in percent of the usual time.
	Cost float64
	Load Load
	// LoadAge is how old the report is that decided.
	LoadAge time.Duration
	// At is when the choice was made.
	At time.Duration
}

// IsIdle reports whether an upstream that has just reported is good enough to be
// taken without waiting for the others that were asked.
func (b *Balancer) IsIdle(now time.Duration, id string) bool {
	u := b.upstreams[id]
	if u == nil || !b.usable(now, u) || u.ill {
		return false
	}
	return u.load.Running == 0 && u.load.Waiting == 0 && u.load.SlowPercent <= goodPercent
}

// goodPercent is the speed up to which an idle upstream is taken at once.
const goodPercent = 120

// usable reports whether the upstream may be given a request now, apart from
// its load.
func (b *Balancer) usable(now time.Duration, u *upstream) bool {
	return b.open(u) && now >= u.coldUntil && u.reported
}

// Requirements is what a request asks of an upstream.
type Requirements struct {
	// MaxSlowdown is how many times longer than usual the work may take. An
	// upstream where it takes longer counts as without room: slow spells pass,
	// and a start in one lasts to its end.
	MaxSlowdown float64
	// Bytes is the size of the request.
	Bytes int64
}

// Choose decides among the upstreams in ids, which have been asked for their
// load.
func (b *Balancer) Choose(now time.Duration, ids []string, need Requirements) Choice {
	choice := Choice{Outcome: Unavailable}
	for _, id := range ids {
		u := b.upstreams[id]
		if u == nil || !b.usable(now, u) {
			continue
		}
		if !roomy(u) || u.load.Slowdown() > need.MaxSlowdown {
			if choice.Outcome == Unavailable {
				choice.Outcome = NoCapacity
			}
			continue
		}
		cost := b.cost(u, need.Bytes)
		if choice.Outcome != Selected || cost < choice.Cost {
			choice = Choice{Selected, u.Upstream, cost, u.load, now - u.loadAt, now}
		}
	}
	return choice
}

// roomy reports whether the upstream has a free slot. One that is full may
// reset connections, after which nobody knows whether a request has run.
func roomy(u *upstream) bool {
	return u.load.Waiting == 0 && u.load.Running < u.load.Slots
}

// ChooseOne returns the choice of the upstream itself, if it has room now: it has
// just answered a request.
func (b *Balancer) ChooseOne(now time.Duration, id string) (Choice, bool) {
	choice := b.Choose(now, []string{id}, Requirements{MaxSlowdown: math.Inf(1)})
	return choice, choice.Outcome == Selected
}

// bucket pays out requests to a cold upstream at a steady rate.
type bucket struct {
	tokens float64
	since  time.Duration
}

// coldBurst bounds what a bucket saves up. With one, the requests in any
// second stay below one more than the rate; and the bound holds still when two
// or three entry VMs take themselves for the owner while they learn of each
// other.
const coldBurst = 1

// take pays for one request at rate a second.
func (c *bucket) take(now time.Duration, rate float64) bool {
	c.tokens = min(coldBurst, c.tokens+rate*(now-c.since).Seconds())
	c.since = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// ChooseCold decides for a cold upstream when no warm one has room. Only the
// owner of an upstream may send to it, at the rate that it bears. A bucket is
// empty when its entry VM starts, since what an earlier process has sent is not
// known.
func (b *Balancer) ChooseCold(now time.Duration, ids []string) Choice {
	for _, id := range ids {
		u := b.upstreams[id]
		if u == nil || !b.open(u) || !u.reported || now >= u.coldUntil || u.load.Running >= u.load.Slots {
			continue
		}
		if b.owner == nil || !b.owner(id) {
			u.cold = bucket{since: now}
			continue
		}
		if u.cold.take(now, b.coldRate[u.Pool]) {
			return Choice{Selected, u.Upstream, b.cost(u, 0), u.load, now - u.loadAt, now}
		}
	}
	return Choice{Outcome: Unavailable}
}

// CountUpstreams returns how many upstreams of the pool may get new work, and how many
// of them are neither cold nor held.
func (b *Balancer) CountUpstreams(now time.Duration, pool string) (open, ready int) {
	for _, u := range b.pools[pool] {
		if !b.open(u) {
			continue
		}
		open++
		if now >= u.coldUntil && now >= u.heldUntil {
			ready++
		}
	}
	return open, ready
}

// InFlight returns the number of requests of this entry VM at the upstreams of
// a pool.
func (b *Balancer) InFlight(pool string) int {
	n := 0
	for _, u := range b.pools[pool] {
		n += len(u.begun)
	}
	return n
}
