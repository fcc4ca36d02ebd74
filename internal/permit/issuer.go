// Package permit divides the request rate that an upstream takes from all entry
// VMs together among them: the rate limit that it names, or the rate that it bears
// during its cold start.
//
// For each upstream, one entry VM is the issuer: the winner of a rendezvous hash
// among the entry VMs that control has recently heard from. Before an entry VM
// sends the upstream a request or a probe, it takes a permit from the issuer,
// which issues them at the rate that the upstream takes.
//
// An entry VM issues permits only under an unbroken series of leases from
// control, and only for upstreams for which it has been the winner for
// TakeoverDelay. An issuer that control has not heard from has stopped by then,
// so that at no time two entry VMs issue permits for one upstream. Meanwhile
// nobody does, and the upstream gets nothing.
//
// The permits for trials of requests that are suspected of crashing upstreams come
// from issuers that are found in the same way.
//
// The package has no clock; times are readings of the monotonic clock of one
// entry VM.
package permit

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	// MaxUnits is the largest number of units of one permit. A unit is one
	// request, or one probe where probes count as requests.
	MaxUnits = 2
	// burstDuration is the time for which unused units can be saved up.
	burstDuration = 250 * time.Millisecond
	// unusedBucketTimeout is the time after which the state of an upstream for
	// which no permit has been asked is dropped.
	unusedBucketTimeout = time.Minute
)

// leaseFor returns the time for which a lease allows an entry VM to issue
// permits, counted from the time at which it sent the request for the lease.
// When it ends, control still counts the entry VM as live, or has for less than
// extra not.
func leaseFor(extra time.Duration) time.Duration {
	return freshness.SubtractDrift(freshness.LiveTimeout + extra)
}

// TakeoverDelay is the time for which an entry VM must have been the winner for
// an upstream, under an unbroken series of leases, before it issues permits. It
// is the longest time for which another entry VM can hold a lease that was
// granted before control saw the change, also by a leader that has lost its
// quorum.
var TakeoverDelay = takeoverAfter(0)

func takeoverAfter(extra time.Duration) time.Duration {
	return freshness.AddDrift(freshness.MaxQuorumAge + freshness.LiveTimeout + extra)
}

// Purpose is the reason why an upstream takes only so many requests per second.
type Purpose int

// Purposes of permits.
const (
	// RateLimit permits are for an upstream that names a rate limit.
	RateLimit Purpose = iota
	// ColdStart permits are for an upstream during its cold start.
	ColdStart
)

// Key identifies permits that are issued at one rate.
type Key struct {
	Upstream string
	Purpose  Purpose
}

// Issuer decides which entry VM issues the permits for an upstream, and issues
// those of its own. It is not safe for concurrent use.
type Issuer struct {
	self string
	// leaseDuration and takeoverDelay are those of this Issuer.
	leaseDuration, takeoverDelay time.Duration
	// live holds the IDs of the entry VMs that were live in the newest view, in
	// order.
	live []string
	// lastLive holds, for the entry VMs that are not in live but were within
	// TakeoverDelay, the time at which they last were.
	lastLive map[string]time.Duration
	// leaseEnd is the end of the newest lease, heldSince the beginning of the
	// series of leases without a gap that it belongs to.
	leaseEnd, heldSince time.Duration
	// changedAt is the time at which live last changed.
	changedAt time.Duration
	leaving   bool
	buckets   map[Key]*bucket
	// trials holds the permits for trials by key.
	trials map[string]heldTrial
	// winners caches IssuerOf until live changes.
	winners  map[string]string
	disabled disabledRules
}

// disabledRules disables individual rules, to show that the tests detect their
// absence.
type disabledRules struct {
	lease, takeover, departures, gaps bool
	// restarted is the rule that all entry VMs must have restarted if there is to be
	// no wait.
	restarted bool
}

// NewIssuer returns the Issuer of a newly started entry VM with the given ID.
func NewIssuer(self string) *Issuer { return NewPatientIssuer(self, 0) }

// NewPatientIssuer returns an Issuer that goes on issuing for extra after its lease
// has ended, and waits for as much longer before it takes over. All entry VMs must use
// the same extra for the same permits.
func NewPatientIssuer(self string, extra time.Duration) *Issuer {
	return &Issuer{self: self, leaseDuration: leaseFor(extra), takeoverDelay: takeoverAfter(extra), lastLive: make(map[string]time.Duration), buckets: make(map[Key]*bucket), trials: make(map[string]heldTrial), winners: make(map[string]string)}
}

// SetLive records the IDs of the entry VMs that are registered, not leaving, and
// not reported as silent.
func (i *Issuer) SetLive(now time.Duration, ids []string) {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	if slices.Equal(ids, i.live) {
		return
	}
	for _, id := range i.live {
		i.lastLive[id] = now
	}
	for _, id := range ids {
		delete(i.lastLive, id)
	}
	wasLive := slices.Contains(i.live, i.self)
	i.live, i.changedAt = ids, now
	clear(i.winners)
	if !wasLive {
		i.heldSince = now
	}
	for key := range i.buckets {
		if i.IssuerOf(key.Upstream) != i.self {
			delete(i.buckets, key)
		}
	}
	for key := range i.trials {
		if i.IssuerOf(key) != i.self {
			delete(i.trials, key)
		}
	}
}

// RecordLease records that the request for a lease that was sent at the time sent
// has been granted. The view that came with it must have been recorded before.
func (i *Issuer) RecordLease(now, sent time.Duration) {
	if now >= i.leaseEnd && !i.disabled.gaps {
		i.heldSince = now
		clear(i.buckets)
		clear(i.trials)
	}
	i.leaseEnd = max(i.leaseEnd, sent+i.leaseDuration)
}

// RecordAllRestarted records that all registered entry VMs have held leases of the
// present leader only since they started, and that each has been in all lists of live
// entry VMs that this leader has sent. The view and the lease that came with it must
// have been recorded before. No other entry VM can then be the issuer in another view,
// so that this one need not wait.
func (i *Issuer) RecordAllRestarted(now time.Duration) {
	if now < i.leaseEnd {
		i.heldSince = min(i.heldSince, now-i.takeoverDelay)
	}
}

// SetLeaving ends the issuing of permits for good.
func (i *Issuer) SetLeaving() { i.leaving = true }

// IssuerOf returns the ID of the entry VM to ask for permits for the upstream,
// or "" if no live entry VM is known.
func (i *Issuer) IssuerOf(upstream string) string {
	id, ok := i.winners[upstream]
	if !ok {
		if len(i.winners) >= maxCachedWinners {
			clear(i.winners)
		}
		id = winner(i.live, upstream)
		i.winners[upstream] = id
	}
	return id
}

// maxCachedWinners bounds the memory of the cache.
const maxCachedWinners = 10000

// winner returns the winner of the rendezvous hash of the upstream among ids, ""
// if there are none.
func winner(ids []string, upstream string) string {
	best, bestWeight := "", uint64(0)
	for _, id := range ids {
		if weight := xxhash.Sum64String(id + "\x00" + upstream); best == "" || weight > bestWeight {
			best, bestWeight = id, weight
		}
	}
	return best
}

// Issues reports whether this entry VM may issue permits for the upstream now. If
// not, wait is the time after which it may, as far as is known; 0 if it is not
// going to.
func (i *Issuer) Issues(now time.Duration, upstream string) (wait time.Duration, ok bool) {
	if i.leaving || now >= i.leaseEnd && !i.disabled.lease || i.IssuerOf(upstream) != i.self {
		return 0, false
	}
	if i.disabled.takeover {
		return 0, true
	}
	start := i.heldSince + i.takeoverDelay
	for id, at := range i.lastLive {
		if at+i.takeoverDelay <= now {
			delete(i.lastLive, id)
			continue
		}
		if !i.disabled.departures && winner([]string{i.self, id}, upstream) == id {
			start = max(start, at+i.takeoverDelay)
		}
	}
	if now < start {
		return start - now, false
	}
	return 0, true
}

// UnchangedSince returns a time since which Issues has had the same answer for
// every upstream, as long as the lease has not ended. It may be in the future.
func (i *Issuer) UnchangedSince() time.Duration {
	return max(i.heldSince, i.changedAt) + i.takeoverDelay
}

// Decision is the answer to a request for a permit.
type Decision struct {
	Granted bool
	// Wait is the time after which a permit may be available; 0 if this entry VM
	// does not issue permits for the upstream.
	Wait time.Duration
}

// Take issues a permit of up to MaxUnits units for an upstream that takes
// perSecond units per second, or says when one may be available.
func (i *Issuer) Take(now time.Duration, key Key, perSecond float64, units int) Decision {
	if wait, ok := i.Issues(now, key.Upstream); !ok {
		delete(i.buckets, key)
		return Decision{Wait: wait}
	}
	b := i.bucket(now, key)
	b.refill(now, perSecond)
	if b.units >= float64(units) {
		b.units -= float64(units)
		b.issued += units
		return Decision{Granted: true}
	}
	b.refused++
	if perSecond <= 0 {
		return Decision{Wait: checkInterval(perSecond)}
	}
	return Decision{Wait: max(time.Millisecond, seconds((float64(units)-b.units)/perSecond))}
}

// bucket returns the bucket for the key, which is empty at first: what a previous
// issuer has issued just before is not known.
func (i *Issuer) bucket(now time.Duration, key Key) *bucket {
	b := i.buckets[key]
	if b == nil {
		b = &bucket{refilled: now}
		i.buckets[key] = b
	}
	b.askedAt = now
	return b
}

// bucket is the token bucket for one Key.
type bucket struct {
	// units is the number of units that can be issued. It is negative after a
	// check for which there was no unit.
	units             float64
	refilled, askedAt time.Duration
	// checkedAt is the time of the last check.
	checkedAt time.Duration
	// issued and refused count since the last call of TakeCounts: units issued,
	// and requests for a permit that were refused.
	issued, refused int
}

func (b *bucket) refill(now time.Duration, perSecond float64) {
	burst := max(MaxUnits, perSecond*burstDuration.Seconds())
	b.units = min(burst, b.units+perSecond*(now-b.refilled).Seconds())
	b.refilled = now
}

// seconds returns a number of seconds as a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

const (
	// minCheckInterval and maxCheckInterval bound the time after which an upstream
	// that has not answered anything is probed, to learn whether its limit still
	// stands.
	minCheckInterval = 5 * time.Second
	maxCheckInterval = time.Minute
)

// checkInterval returns the time after which an upstream that takes perSecond
// requests per second is checked: at most every second unit goes to checks.
func checkInterval(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return minCheckInterval
	}
	return min(max(minCheckInterval, seconds(2/perSecond)), maxCheckInterval)
}

// TakeCheck reports whether the upstream, whose rate limit is perSecond and which
// last answered at heard, is to be probed now to learn whether that limit still
// stands. It takes a unit for the probe.
func (i *Issuer) TakeCheck(now time.Duration, upstream string, perSecond float64, heard time.Duration) bool {
	if _, ok := i.Issues(now, upstream); !ok {
		return false
	}
	b := i.buckets[Key{upstream, RateLimit}]
	if b == nil || now < max(heard, b.checkedAt)+checkInterval(perSecond) {
		return false
	}
	b.refill(now, perSecond)
	b.checkedAt = now
	b.units = max(-1, b.units-1)
	b.issued++
	return true
}

// Counts are the permits for one Key since the last call of TakeCounts.
type Counts struct {
	Key Key
	// Issued is the number of units issued, Refused the number of requests for a
	// permit that were refused.
	Issued, Refused int
}

// TakeCounts returns the counts of the keys for which permits have been asked
// since the last call, and drops the state of those for which none has been asked
// for a long time.
func (i *Issuer) TakeCounts(now time.Duration) []Counts {
	var counts []Counts
	for key, b := range i.buckets {
		if b.issued > 0 || b.refused > 0 {
			counts = append(counts, Counts{key, b.issued, b.refused})
			b.issued, b.refused = 0, 0
		}
		if now > b.askedAt+unusedBucketTimeout {
			delete(i.buckets, key)
		}
	}
	maps.DeleteFunc(i.trials, func(_ string, t heldTrial) bool { return now >= t.until })
	return counts
}

// LimitedUpstreams returns the upstreams for which permits of purpose RateLimit
// have been asked, in no particular order.
func (i *Issuer) LimitedUpstreams() []string {
	var ids []string
	for key := range i.buckets {
		if key.Purpose == RateLimit {
			ids = append(ids, key.Upstream)
		}
	}
	return ids
}
