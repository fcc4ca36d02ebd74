package place

import (
	"slices"
	"time"
)

// ProbeResult is the answer of an upstream that was asked for its load.
type ProbeResult struct {
	Load Load
	// Unhealthy is set when the upstream says that it is not well or is leaving.
	Unhealthy bool
	// ColdFor is how long it stays cold.
	ColdFor time.Duration
}

// RecordProbe takes in the report of an upstream that was asked at asked. Requests
// that this entry VM has begun since then may have arrived after the report was
// made; they are counted on top of it.
func (b *Balancer) RecordProbe(now, asked time.Duration, id string, r ProbeResult) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	for _, at := range u.begun {
		if at >= asked {
			r.Load.Running++
		}
	}
	// A report that was long on its way may miss older ones as well.
	r.Load.Running = max(r.Load.Running, len(u.begun))
	u.load, u.loadAt, u.reported, u.ill = r.Load, now, true, r.Unhealthy
	u.unanswered = 0
	if u.load.Slots == 0 {
		u.load.Slots = u.Slots
	}
	if u.load.SlowPercent == 0 {
		u.load.SlowPercent = usualSlowPercent
	}
	// The upstream's own word on its cold start is newer than its announcement.
	u.coldUntil = now + r.ColdFor
	if r.ColdFor == 0 {
		u.coldUntil = 0
	}
}

// RecordResponseLoad takes in the load that an upstream has added to the answer to a
// request. The figure still counts that request.
func (b *Balancer) RecordResponseLoad(now time.Duration, id string, l Load) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	l.Running = max(0, l.Running-1)
	b.RecordProbe(now, now-answerFlight, id, ProbeResult{Load: l, Unhealthy: u.ill, ColdFor: max(0, u.coldUntil-now)})
}

// answerFlight bounds the time from the making of an answer to its arrival:
// several times the 0.5 ms between availability zones.
const answerFlight = 3 * time.Millisecond

// RecordProbeTimeout records that an upstream took the question for its load and did not
// answer in time. It returns how long the upstream gets no work: not long at
// first, since one whose slots are all taken answers only when its queue has
// moved, and to leave out all that are full sends what comes to the rest until
// those are full as well.
func (b *Balancer) RecordProbeTimeout(now time.Duration, id string) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	return u.hold(now, firstPause, &u.unanswered)
}

// RecordFailure records that an upstream failed a request, or could not be asked for
// its load. It returns how long the upstream gets no work.
func (b *Balancer) RecordFailure(now time.Duration, id string) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	return u.hold(now, firstHold, &u.failures)
}

// hold keeps the upstream without work for first, doubled for each of the times
// before.
func (u *upstream) hold(now, first time.Duration, times *int) time.Duration {
	held := min(first<<min(*times, 10), longestHold)
	*times++
	u.heldUntil = max(u.heldUntil, now+held)
	u.reported = false
	return held
}

// RecordSuccess records a whole answer. took and usual are the time of this answer
// and the usual one of its route, as the pool answers it.
func (b *Balancer) RecordSuccess(id string, took, usual time.Duration) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.failures = 0
	u.heldUntil = 0
	if usual > 0 {
		pace := min(float64(took)/float64(usual), maxPace)
		u.pace += paceWeight * (pace - u.pace)
	}
}

// maxPace bounds what one slow answer says of an upstream.
const maxPace = 8

// RecordStart counts a request that is sent to the upstream.
func (b *Balancer) RecordStart(now time.Duration, id string) {
	if u := b.upstreams[id]; u != nil {
		u.begun = append(u.begun, now)
		u.load.Running++
	}
}

// RecordEnd counts the end of a request that Began has counted at the given time.
func (b *Balancer) RecordEnd(id string, began time.Duration) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	if at := slices.Index(u.begun, began); at >= 0 {
		u.begun = slices.Delete(u.begun, at, at+1)
		u.load.Running = max(0, u.load.Running-1)
	}
}
