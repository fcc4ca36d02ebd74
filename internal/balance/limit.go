package balance

import "time"

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
	before = u.limit.RateLimit
	u.limit.RateLimit = limit
	return before, before.Named != limit.Named || before.PerSecond != limit.PerSecond
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

// RecordProbeSent records that a load probe is being sent to the upstream.
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
	for _, u := range b.pools[pool] {
		if b.acceptsWork(u) && u.limit.Named {
			n++
		}
	}
	return n
}
