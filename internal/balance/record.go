package balance

import (
	"slices"
	"time"
)

// ProbeResult is the response of an upstream to a probe of its load.
type ProbeResult struct {
	Load Load
	// Unhealthy is set when the upstream reports that it is unhealthy or
	// shutting down.
	Unhealthy bool
	// ColdFor is the remaining time of the cold start, 0 when there is none.
	ColdFor time.Duration
}

// RecordProbe records the result of a probe that was sent at the given time.
// Requests that this entry VM has started since then may be missing in the
// reported load and are added to it.
func (b *Balancer) RecordProbe(now, sent time.Duration, id string, result ProbeResult) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	for _, at := range u.inFlight {
		if at >= sent {
			result.Load.Running++
		}
	}
	// A response that was delayed in transit may also miss older requests.
	result.Load.Running = max(result.Load.Running, len(u.inFlight))
	u.load, u.loadTime, u.loadKnown, u.unhealthy = result.Load, now, true, result.Unhealthy
	u.probeTimeouts = 0
	if u.load.Slots == 0 {
		u.load.Slots = u.Slots
	}
	if u.load.SlowPercent == 0 {
		u.load.SlowPercent = defaultSlowPercent
	}
	// The probe overrides the cold start of the registration, which is older.
	u.coldUntil = now + result.ColdFor
	if result.ColdFor == 0 {
		u.coldUntil = 0
	}
}

// RecordResponseLoad records the load that an upstream reported in the response
// to a request. The reported number of running requests includes that request.
func (b *Balancer) RecordResponseLoad(now time.Duration, id string, load Load) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	load.Running = max(0, load.Running-1)
	b.RecordProbe(now, now-maxResponseTransit, id, ProbeResult{Load: load, Unhealthy: u.unhealthy, ColdFor: max(0, u.coldUntil-now)})
}

// maxResponseTransit is an upper bound of the time between an upstream's
// reading of its load and the arrival of the response: several times the 0.5 ms
// latency between availability zones.
const maxResponseTransit = 3 * time.Millisecond

// RecordProbeTimeout records that an upstream accepted a probe but did not
// answer in time, and returns the resulting backoff. The first backoff is
// short: an upstream whose slots are all busy answers only when its queue
// advances, and avoiding all full upstreams would overload the remaining ones.
func (b *Balancer) RecordProbeTimeout(now time.Duration, id string) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	return u.backOff(now, initialProbeBackoff, &u.probeTimeouts)
}

// RecordFailure records that an upstream failed a request or could not be
// probed, and returns the resulting backoff.
func (b *Balancer) RecordFailure(now time.Duration, id string) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	return u.backOff(now, initialBackoff, &u.failures)
}

// RecordUnfinished records that a response had begun and did not end before the
// deadline of its request, and returns the resulting backoff. A single one has
// none: the deadline may have been short, or the caller slow to read.
func (b *Balancer) RecordUnfinished(now time.Duration, id string) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	u.unfinished++
	if u.unfinished < unfinishedBeforeBackoff {
		return 0
	}
	return u.backOff(now, initialBackoff, &u.failures)
}

// unfinishedBeforeBackoff is the number of unfinished responses, with no complete
// one between them, from which on an upstream is avoided.
const unfinishedBeforeBackoff = 2

// backOff avoids the upstream for the initial time, doubled for each previous
// failure up to maxBackoff. It increments failures and returns the backoff.
func (u *upstream) backOff(now, initial time.Duration, failures *int) time.Duration {
	backoff := min(initial<<min(*failures, 10), maxBackoff)
	*failures++
	u.backoffUntil = max(u.backoffUntil, now+backoff)
	u.loadKnown = false
	return backoff
}

// RecordSuccess records a complete response, which ends the backoff. took is
// its response time, and usual the expected one for its route at this
// upstream's load; 0 means unknown.
func (b *Balancer) RecordSuccess(id string, took, usual time.Duration) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.failures = 0
	u.unfinished = 0
	u.backoffUntil = 0
	if usual > 0 {
		latency := min(float64(took)/float64(usual), maxRelativeLatency)
		u.relativeLatency += latencySmoothing * (latency - u.relativeLatency)
	}
}

// maxRelativeLatency limits the effect of a single slow response.
const maxRelativeLatency = 8

// RecordStart records that a request is being sent to the upstream.
func (b *Balancer) RecordStart(now time.Duration, id string) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.inFlight = append(u.inFlight, now)
	u.load.Running++
	if u.limit.Named {
		u.limitedRequests++
	}
}

// RecordEnd records the end of a request that was recorded by RecordStart at
// the given time.
func (b *Balancer) RecordEnd(id string, started time.Duration) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	if at := slices.Index(u.inFlight, started); at >= 0 {
		u.inFlight = slices.Delete(u.inFlight, at, at+1)
		u.load.Running = max(0, u.load.Running-1)
	}
}
