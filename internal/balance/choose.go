package balance

import (
	"math"
	"time"
)

// Outcome is the result of a selection.
type Outcome int

// Outcomes of a selection.
const (
	// Selected means that the request can be sent to the upstream now.
	Selected Outcome = iota
	// NoCapacity means that upstreams answered but none can take the request
	// now; retry after a short wait.
	NoCapacity
	// Unavailable means that none of the upstreams may be sent requests.
	Unavailable
)

// Choice is the result of a selection and the data that it was based on. Unless
// Outcome is Selected, the other fields are not set.
type Choice struct {
	Outcome  Outcome
	Upstream Upstream
	// Cost is the sort key of the upstream, in percent of the normal execution
	// time.
	Cost float64
	Load Load
	// LoadAge is the age of Load when the selection was made.
	LoadAge time.Duration
	// At is when the selection was made.
	At time.Duration
	// Cold is set if the upstream was in its cold start.
	Cold bool
}

// IsIdle reports whether a probed upstream has no requests and runs at about
// normal speed. It can then be selected without waiting for other probes.
func (b *Balancer) IsIdle(now time.Duration, id string) bool {
	u := b.upstreams[id]
	if u == nil || !b.usable(now, u) || u.unhealthy {
		return false
	}
	return u.load.Running == 0 && u.load.Waiting == 0 && u.load.SlowPercent <= idleSlowPercent
}

// idleSlowPercent is the highest SlowPercent at which IsIdle holds.
const idleSlowPercent = 120

// SpareSlowdown is the highest Load.Slowdown of an upstream with room to spare: one
// more request neither passes kneeUtilization nor meets a VM that is slow.
const SpareSlowdown = idleSlowPercent / 100.0

// usable reports whether the upstream may be sent a request now without a
// permit, regardless of its load.
func (b *Balancer) usable(now time.Duration, u *upstream) bool {
	return !u.limit.Named && b.usableWithPermit(now, u)
}

// usableWithPermit is usable for a request with a permit, which an upstream that
// names a rate limit needs.
func (b *Balancer) usableWithPermit(now time.Duration, u *upstream) bool {
	return b.acceptsWork(u) && u.notice.AdmitsRequest(now, len(u.inFlight)) && now >= u.coldUntil && u.loadKnown
}

// Requirements are what a request demands of its upstream.
type Requirements struct {
	// MaxSlowdown is the highest acceptable Load.Slowdown. Above it, an
	// upstream counts as having no capacity: slow phases end soon, but a
	// request that starts in one is slow throughout.
	MaxSlowdown float64
	// Bytes is the size of the request.
	Bytes int64
	// Idle admits only upstreams that run no other request.
	Idle bool
}

// Choose selects one of the upstreams in ids, which have been probed. Cold
// upstreams and those that name a rate limit are left out.
func (b *Balancer) Choose(now time.Duration, ids []string, req Requirements) Choice {
	return b.choose(now, ids, req, b.usable)
}

// ChooseWithPermit selects the given upstream, for which a permit has been taken
// before it was probed, unless it is cold.
func (b *Balancer) ChooseWithPermit(now time.Duration, id string, req Requirements) Choice {
	return b.choose(now, []string{id}, req, b.usableWithPermit)
}

func (b *Balancer) choose(now time.Duration, ids []string, req Requirements, usable func(time.Duration, *upstream) bool) Choice {
	choice := Choice{Outcome: Unavailable}
	for _, id := range ids {
		u := b.upstreams[id]
		if u == nil || !usable(now, u) {
			continue
		}
		if !hasFreeSlot(u) || u.load.Slowdown() > req.MaxSlowdown || req.Idle && u.load.Running > 0 {
			if choice.Outcome == Unavailable {
				choice.Outcome = NoCapacity
			}
			continue
		}
		cost := b.cost(u, req.Bytes)
		if choice.Outcome != Selected || cost < choice.Cost {
			choice = Choice{Selected, u.Upstream, cost, u.load, now - u.loadTime, now, false}
		}
	}
	return choice
}

// hasFreeSlot reports whether the upstream has a free slot and no queue. A full
// upstream may reset connections, after which it is unknown whether the request
// was executed.
func hasFreeSlot(u *upstream) bool {
	return u.load.Waiting == 0 && u.load.Running < u.load.Slots
}

// ChooseOne selects the given upstream, which has just answered a request, and
// reports whether it has a free slot.
func (b *Balancer) ChooseOne(now time.Duration, id string) (Choice, bool) {
	choice := b.Choose(now, []string{id}, Requirements{MaxSlowdown: math.Inf(1)})
	return choice, choice.Outcome == Selected
}

// ColdCandidate returns the first of the upstreams in ids, which have been probed,
// that is in cold start, has a free slot, and for which a permit may be available
// now. It is for use when no warm upstream is available.
func (b *Balancer) ColdCandidate(now time.Duration, ids []string) (Upstream, bool) {
	for _, id := range ids {
		u := b.upstreams[id]
		if u != nil && b.coldWithRoom(now, u) && now < u.coldUntil && now >= u.permitAfter {
			return u.Upstream, true
		}
	}
	return Upstream{}, false
}

// coldWithRoom reports whether the upstream may be sent a request with a permit
// for its cold start.
func (b *Balancer) coldWithRoom(now time.Duration, u *upstream) bool {
	return b.acceptsWork(u) && u.notice.AdmitsRequest(now, len(u.inFlight)) && !u.limit.Named && u.loadKnown && u.load.Running < u.load.Slots
}

// ChooseCold selects the given upstream, for which a permit has been taken, unless
// it has no free slot any more.
func (b *Balancer) ChooseCold(now time.Duration, id string) Choice {
	u := b.upstreams[id]
	if u == nil || !b.coldWithRoom(now, u) {
		return Choice{Outcome: Unavailable}
	}
	return Choice{Selected, u.Upstream, b.cost(u, 0), u.load, now - u.loadTime, now, now < u.coldUntil}
}

// CountUpstreams returns the number of upstreams of the pool that accept new
// requests (open) and how many of these are in neither cold start nor backoff and
// do not pause (ready).
func (b *Balancer) CountUpstreams(now time.Duration, pool string) (open, ready int) {
	for _, u := range b.groups[pool] {
		if !b.acceptsWork(u) {
			continue
		}
		open++
		if now >= u.coldUntil && now >= u.backoffUntil && !u.notice.Paused(now) {
			ready++
		}
	}
	return open, ready
}

// InFlight returns the number of requests that this entry VM has in flight at
// the upstreams of the pool.
func (b *Balancer) InFlight(pool string) int {
	n := 0
	for _, u := range b.members[pool] {
		n += len(u.inFlight)
	}
	return n
}
