// Package allotment bounds the requests that upstreams run for an organisation in
// any window of time, summed over all entry VMs.
//
// The allotment of an organisation is a rate and a burst. It is divided equally
// among Shards shards. Each shard has one issuer, found as in package permit, which
// keeps a token bucket with its part of the rate and of the burst. An entry VM takes
// permits from the issuers and spends one for each request right before it is sent.
//
// Several shards are used, because nobody issues the permits of a shard for some
// seconds after its issuer is lost. The others then still issue two thirds of the
// rate. A single issuer that states to each entry VM a share of the rate for that
// time does not serve: the requests of an organisation at one entry VM are fewer than
// one per second, so that its share is a fraction of one request.
//
// An entry VM asks for permits when a request arrives, while the upstreams are
// probed, and ahead of need according to its recent demand. Permits are valid for a
// fraction of a second and those that are not used are handed back.
//
// The package has no clock and no I/O; times are readings of a monotonic clock of
// one entry VM.
package allotment

import (
	"strconv"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// Shards is the number of issuers of one organisation. Where the allotment is 1.6
// times the usual load, two of three still cover it.
const Shards = 3

// Patience is the time for which the issuers of all shards but the first go on issuing
// after their leases have ended, and wait longer before they take over. Two shards then
// outlast a loss of control for some seconds, and the first has a new issuer sooner.
const Patience = 5 * time.Second

// Patient reports whether the issuer of a shard goes on for Patience.
func Patient(shard int) bool { return shard > 0 }

// The bound leaves room above the allotment: overage, a fraction of it, and slack, a
// number of requests. It is divided as follows. The rest covers the time between the
// check of a permit and the arrival of the request at the upstream.
const (
	// heldShare is the part of the overage of the rate for permits that are held
	// unused. Together with driftShare it must stay below 1.
	heldShare = 0.7
	// validityShare is the part of the overage, in time, for which a permit is
	// valid. It is less than heldShare, since the issuer counts a permit as held for
	// a while after its end.
	validityShare = 0.5
	// burstSlackShare is the part of the slack that adds to the burst: a shard needs
	// room for some requests also where the burst is small, as the requests of a
	// small organisation are not spread evenly over the shards.
	burstSlackShare = 0.6
	// startSlackShare is the part of the slack that an issuer may use when it starts,
	// on top of the rate. Within one window a shard can get a new issuer twice, as
	// each waits for permit.TakeoverDelay.
	startSlackShare = 0.15
)

// minValidity is the shortest validity of a permit. With less, a permit can end on
// its way.
const minValidity = 50 * time.Millisecond

// Bounds are what operators tolerate above the allotments.
type Bounds struct {
	// Window is the period over which requests are counted.
	Window time.Duration
	// Overage is the part of the allotment, Slack the number of requests, that may be
	// run in a window beyond the allotment.
	Overage, Slack float64
}

// Limit is the allotment of an organisation.
type Limit struct {
	// PerSecond is the rate, Burst the number of requests beyond it.
	PerSecond, Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.PerSecond > 0 || l.Burst > 0 }

// normal returns the limit for a token bucket. Without a rate, the burst is what a
// window may have. Half of it as burst and half as rate keep within that.
func (l Limit) normal(b Bounds) Limit {
	if l.PerSecond > 0 {
		return l
	}
	return Limit{PerSecond: l.Burst / 2 / b.Window.Seconds(), Burst: l.Burst / 2}
}

// Most returns the largest number of requests in a window.
func (b Bounds) Most(l Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Validity is the time for which a permit can be used, counted from the time at which
// the request for it was sent.
func (b Bounds) Validity() time.Duration {
	return max(minValidity, time.Duration(validityShare*b.Overage*float64(b.Window)))
}

// heldFor is the time for which the issuer counts a permit as held. It covers the
// transport of the answer.
func (b Bounds) heldFor() time.Duration {
	return freshness.AddDrift(max(b.Validity()+minValidity, time.Duration((validityShare+heldShare)/2*b.Overage*float64(b.Window))))
}

// shard is the part of one shard of an allotment.
type shard struct {
	perSecond float64
	// refillPerSecond is the rate at which a bucket is refilled. It is above perSecond, so
	// that an organisation that always asks for more gets its burst in each window anew.
	refillPerSecond float64
	// windowMax is the largest number of permits that are issued in a window.
	windowMax float64
	// capacity is the largest number of permits that may be left or held.
	capacity float64
	// startCredit is the number of permits that an issuer may issue at its start.
	startCredit float64
}

func (b Bounds) shard(l Limit) shard {
	l = l.normal(b)
	perSecond := l.PerSecond / Shards
	window := b.Window.Seconds()
	// Below 1, a shard would never issue a permit.
	capacity := max(1, (l.Burst+burstSlackShare*b.Slack)/Shards+heldShare*b.Overage*perSecond*window)
	return shard{
		perSecond:       perSecond,
		refillPerSecond: perSecond + l.Burst/Shards/window,
		windowMax:       capacity + perSecond*window,
		capacity:        capacity,
		startCredit:     startSlackShare * b.Slack / Shards,
	}
}

// Key returns the name under which package permit finds the issuer of a shard. It is
// not the ID of an upstream.
func Key(organisation string, shard int) string {
	return "allotment\x00" + strconv.Itoa(shard) + "\x00" + organisation
}
