package balance

import (
	"cmp"
	"slices"
	"time"
)

// AnswerKind says what an upstream has answered. Not every kind of answer needs
// to carry the upstream's rate limit.
type AnswerKind int

// Kinds of answers.
const (
	// RanAnswer is the response to a request that the upstream has run. Upstreams
	// with a rate limit name it in each of them.
	RanAnswer AnswerKind = iota
	// RefusedAnswer is the response to a request that the upstream has not run.
	RefusedAnswer
	// ProbeAnswer is the response to a load probe.
	ProbeAnswer

	answerKinds = iota
)

// RateLimit is the request rate that an upstream takes from all entry VMs
// together, as stated in its answers.
type RateLimit struct {
	// Known is set once the upstream has answered.
	Known bool
	// Named is set while the upstream names a limit; without one, PerSecond is 0.
	Named bool
	// PerSecond is the number of requests per second, load probes included.
	PerSecond float64
	// At is the time of the answer.
	At time.Duration
}

// rateLimit is the newest RateLimit of an upstream.
type rateLimit struct {
	RateLimit
	// namedBy holds the kinds of answers that have named a limit. Only these
	// withdraw the limit when they name none.
	namedBy [answerKinds]bool
	// invalid is the last value that could not be read.
	invalid string
}

// RecordInvalidLimit records that an answer of the upstream names a limit that
// cannot be read, which counts as none. It reports whether the value differs
// from the last one.
func (b *Balancer) RecordInvalidLimit(id string, kind AnswerKind, value string) bool {
	u := b.upstreams[id]
	if u == nil {
		return false
	}
	u.limit.namedBy[kind] = true
	changed := u.limit.invalid != value
	u.limit.invalid = value
	return changed
}

// RecordLimit records the rate limit in an answer of the upstream. It returns
// the limit before and whether Named or PerSecond has changed.
func (b *Balancer) RecordLimit(id string, kind AnswerKind, limit RateLimit) (before RateLimit, changed bool) {
	u := b.upstreams[id]
	if u == nil {
		return RateLimit{}, false
	}
	if limit.Named {
		u.limit.namedBy[kind], u.limit.invalid = true, ""
	} else if kind != RanAnswer && !u.limit.namedBy[kind] {
		return u.limit.RateLimit, false
	}
	return u.replaceLimit(limit)
}

// replaceLimit makes limit the newest one. It returns the one before and whether
// Named or PerSecond has changed.
func (u *upstream) replaceLimit(limit RateLimit) (before RateLimit, changed bool) {
	before = u.limit.RateLimit
	u.limit.RateLimit = limit
	changed = before.Named != limit.Named || before.PerSecond != limit.PerSecond
	if changed {
		u.permitAfter = 0
	}
	return before, changed
}

// MergeLimit records what another entry VM knows of the rate limit of the
// upstream, unless that is older than what is known here. namedByProbes is set if
// answers to probes have named a limit there. The results are those of
// RecordLimit.
func (b *Balancer) MergeLimit(id string, limit RateLimit, namedByProbes bool) (before RateLimit, changed bool) {
	u := b.upstreams[id]
	if u == nil {
		return RateLimit{}, false
	}
	if namedByProbes {
		u.limit.namedBy[ProbeAnswer] = true
	}
	if u.limit.Known && limit.At <= u.limit.At {
		return u.limit.RateLimit, false
	}
	return u.replaceLimit(limit)
}

// NamedByProbes reports whether answers of the upstream to probes have named a
// rate limit.
func (b *Balancer) NamedByProbes(id string) bool {
	u := b.upstreams[id]
	return u != nil && u.limit.namedBy[ProbeAnswer]
}

// LimitedCandidate returns the upstream of the pool to ask a permit for: one that
// names a rate limit, is neither cold nor in backoff nor in exclude, and for which
// a permit may be available now. jitter is that of Candidates.
func (b *Balancer) LimitedCandidate(now time.Duration, pool string, exclude []string, jitter func() float64) (Upstream, bool) {
	var best *upstream
	lowest := 0.0
	for _, u := range b.groups[pool] {
		if !u.limit.Named || !b.acceptsWork(u) || !u.notice.AdmitsProbe(now, len(u.inFlight)) || now < max(u.permitAfter, u.coldUntil, u.backoffUntil) || slices.Contains(exclude, u.ID) {
			continue
		}
		if rank := b.rank(now, u) + jitter()*rankJitter; best == nil || rank < lowest {
			best, lowest = u, rank
		}
	}
	if best == nil {
		return Upstream{}, false
	}
	return best.Upstream, true
}

// DeferPermit records that no permit for the upstream is expected before the
// given time.
func (b *Balancer) DeferPermit(id string, until time.Duration) {
	if u := b.upstreams[id]; u != nil {
		u.permitAfter = until
	}
}

// PermitWait returns the time until a permit may be available for some upstream
// of the pool that is not in exclude, after ahead other requests have got one. A
// request takes units of the rate limits. It reports false if there is an upstream
// that needs no permit, or no upstream at all; those that pause do not count.
func (b *Balancer) PermitWait(now time.Duration, pool string, exclude []string, ahead, units int) (time.Duration, bool) {
	var open []*upstream
	perSecond := 0.0
	for _, u := range b.groups[pool] {
		if !b.acceptsWork(u) || u.notice.Paused(now) || slices.Contains(exclude, u.ID) {
			continue
		}
		if !u.limit.Named {
			return 0, false
		}
		open = append(open, u)
		perSecond += u.limit.PerSecond
	}
	if len(open) == 0 {
		return 0, false
	}
	next := slices.MinFunc(open, func(x, y *upstream) int { return cmp.Compare(x.permitAfter, y.permitAfter) })
	wait := max(0, next.permitAfter-now)
	if ahead > 0 {
		wait += time.Duration(min(float64(ahead*units)/perSecond, maxPermitWait.Seconds()) * float64(time.Second))
	}
	return wait, true
}

// maxPermitWait bounds the time that PermitWait adds for requests ahead.
const maxPermitWait = time.Minute

// Find returns the upstream with the given ID.
func (b *Balancer) Find(id string) (Upstream, bool) {
	if u := b.upstreams[id]; u != nil {
		return u.Upstream, true
	}
	return Upstream{}, false
}

// NeedsPermit reports whether the upstream gets requests only with a permit: it names
// a rate limit or is cold.
func (b *Balancer) NeedsPermit(now time.Duration, id string) bool {
	u := b.upstreams[id]
	return u != nil && (u.limit.Named || now < u.coldUntil)
}

// Limit returns the newest known rate limit of the upstream.
func (b *Balancer) Limit(id string) RateLimit {
	if u := b.upstreams[id]; u != nil {
		return u.limit.RateLimit
	}
	return RateLimit{}
}

// LimitedLoad counts what this entry VM has sent to an upstream with a rate
// limit.
type LimitedLoad struct {
	Upstream         Upstream
	Limit            RateLimit
	Requests, Probes int
}

// RecordProbeSent records that a load probe has been sent to the upstream.
func (b *Balancer) RecordProbeSent(id string) {
	if u := b.upstreams[id]; u != nil && u.limit.Named {
		u.limitedProbes++
	}
}

// TakeLimitedLoads returns the counts since the last call for the upstreams with
// a rate limit that were sent anything.
func (b *Balancer) TakeLimitedLoads() []LimitedLoad {
	var loads []LimitedLoad
	for _, u := range b.upstreams {
		if u.limitedRequests == 0 && u.limitedProbes == 0 {
			continue
		}
		loads = append(loads, LimitedLoad{u.Upstream, u.limit.RateLimit, u.limitedRequests, u.limitedProbes})
		u.limitedRequests, u.limitedProbes = 0, 0
	}
	return loads
}

// CountLimited returns the number of upstreams of the pool that accept new
// requests and name a rate limit.
func (b *Balancer) CountLimited(pool string) int {
	n := 0
	for _, u := range b.groups[pool] {
		if b.acceptsWork(u) && u.limit.Named {
			n++
		}
	}
	return n
}
