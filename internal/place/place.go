// Package place decides at which upstream a request is placed, when it has to
// wait, and when it is turned away.
//
// Upstreams share their VMs with others, so that their speed changes several
// times a second, and requests reach them from many entry VMs. What an entry VM
// remembers of an upstream is therefore stale by the time of the next request.
// The decision is made in two steps: a few upstreams are chosen to be asked for
// their load at this moment, and the request is placed at the best of those
// that answer.
//
// The package is pure: it has no clock, network, goroutine or source of
// randomness. Times are readings of the monotonic clock of the caller.
package place

import (
	"cmp"
	"slices"
	"time"
)

// Load is what an upstream says of its load.
type Load struct {
	// Running and Waiting count the requests at the upstream, Slots those that
	// it runs at once.
	Running, Waiting, Slots int
	// SlowPercent is how long work takes at the moment; 100 is the usual.
	SlowPercent int
}

// Upstream describes an upstream as it has announced itself.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Pool    string
	// Started is the Unix time of its start, in milliseconds.
	Started uint64
	Slots   int
	// Draining upstreams get no new work.
	Draining bool
	// ColdFor is how long it stays cold, counted from when this was learned.
	ColdFor time.Duration
}

// Constants of the judgement of upstreams.
const (
	// usualSlowPercent stands for the speed of an upstream that has not said
	// how fast it is at the moment: the mean over spells in which work takes
	// four times as long for a quarter to a third of the time.
	usualSlowPercent = 190
	// loadKept is the age up to which a report counts in the choice of whom to
	// ask; spells last about 300 ms.
	loadKept = 150 * time.Millisecond
	// kneeShare is the share of slots above which upstreams slow down, and
	// kneeFactor by how much, as the operators have stated.
	kneeShare  = 0.8
	kneeFactor = 1.7
	// occupiedPercent burdens an upstream by the share of its slots in use: of
	// two that are as fast, the emptier one is less likely to reach its knee.
	occupiedPercent = 20
	// illPercent burdens an upstream that says it is not well, but answers: it
	// is used only when no other is free.
	illPercent = 1000
	// farPercent burdens upstreams in another availability zone, and
	// farPercentPerKB does so for each kilobyte of the request: the operators
	// pay for bytes between zones. The first is below the cost of a slot above
	// the knee in the own zone.
	farPercent      = 50
	farPercentPerKB = 4
	// farRank puts those of the own zone first in the choice of whom to ask.
	farRank = 350
	// firstHold is the time for which an upstream gets no work after a failure;
	// it doubles with each further one up to longestHold.
	firstHold   = 500 * time.Millisecond
	longestHold = 8 * time.Second
	// firstPause is that time after a question that was not answered; it doubles
	// likewise. A full upstream of the users takes 60 to 300 ms to free a slot.
	firstPause = 100 * time.Millisecond
	// paceWeight is the weight of a new observation of an upstream's pace.
	paceWeight = 0.3
)

// upstream is what the board knows of one upstream.
type upstream struct {
	Upstream
	// begun holds the times at which the requests of this entry VM that are in
	// flight were begun.
	begun    []time.Duration
	load     Load
	loadAt   time.Duration
	reported bool
	ill      bool
	// coldUntil is when the cold start ends, as far as is known.
	coldUntil time.Duration
	// cold pays out the requests that the upstream bears in cold start.
	cold bucket
	// heldUntil keeps an upstream without work after failures.
	heldUntil time.Duration
	failures  int
	// unanswered counts the questions in a row that it did not answer.
	unanswered int
	// pace is how long its answers take, relative to those of its pool.
	pace float64
}

// Balancer holds what one entry VM knows of all upstreams. It is not safe for
// concurrent use.
type Balancer struct {
	zone      string
	upstreams map[string]*upstream
	pools     map[string][]*upstream
	closed    map[string]bool
	// coldRate is the rate, in requests a second, that a cold upstream of a
	// pool may get from this entry VM, by pool.
	coldRate map[string]float64
	// owner reports whether this entry VM may send to a cold upstream.
	owner func(id string) bool
}

// NewBalancer returns a board for an entry VM in an availability zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{
		zone:      zone,
		upstreams: make(map[string]*upstream),
		pools:     make(map[string][]*upstream),
	}
}

// Config is what the configuration in force says of upstreams.
type Config struct {
	Upstreams []Upstream
	// ClosedZones lists the availability zones that get no new work.
	ClosedZones map[string]bool
	// ColdRate is the rate, in requests a second, that a cold upstream may get
	// from its owner, by pool.
	ColdRate map[string]float64
	// OwnsCold reports whether this entry VM is the one that may send to the
	// upstream while it is cold.
	OwnsCold func(id string) bool
}

// Update takes in a configuration. What is known of an upstream is kept while
// it has not restarted.
func (b *Balancer) Update(now time.Duration, f Config) {
	next := make(map[string]*upstream, len(f.Upstreams))
	b.pools = make(map[string][]*upstream)
	for _, d := range f.Upstreams {
		u := b.upstreams[d.ID]
		if u == nil || u.Started != d.Started || u.Address != d.Address {
			u = &upstream{pace: 1}
			u.cold.since = now
		}
		if d.ColdFor > 0 && (u.ColdFor != d.ColdFor || u.ID == "") {
			u.coldUntil = max(u.coldUntil, now+d.ColdFor)
		}
		u.Upstream = d
		next[d.ID] = u
		b.pools[d.Pool] = append(b.pools[d.Pool], u)
	}
	b.upstreams = next
	b.closed, b.coldRate, b.owner = f.ClosedZones, f.ColdRate, f.OwnsCold
}

// open reports whether the upstream may get new work at all.
func (b *Balancer) open(u *upstream) bool { return !u.Draining && !b.closed[u.Zone] }

// Candidates returns up to n upstreams of the pool to ask for their load, the
// most promising ones first. random is a draw for the order among equals;
// upstreams in avoid are left out. Held and cold ones come last, so that they
// are asked when nothing better is left.
func (b *Balancer) Candidates(now time.Duration, pool string, avoid []string, n int, random func() float64) []Upstream {
	type ranked struct {
		u    *upstream
		rank float64
	}
	list := make([]ranked, 0, len(b.pools[pool]))
	for _, u := range b.pools[pool] {
		if !b.open(u) || slices.Contains(avoid, u.ID) {
			continue
		}
		list = append(list, ranked{u, b.rank(now, u) + random()*drawSpread})
	}
	slices.SortFunc(list, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
	out := make([]Upstream, 0, n)
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.u.Upstream)
	}
	return out
}

// Parts of the rank of upstreams that have not been asked yet, in percent of
// the usual time of work.
const (
	// drawSpread is the weight of the draw; it exceeds the differences that
	// old reports make, so that entry VMs do not all ask the same upstreams.
	drawSpread = 300
	heldRank   = 100_000
	coldRank   = 10_000
)

// rank orders upstreams for being asked, lowest first.
func (b *Balancer) rank(now time.Duration, u *upstream) float64 {
	rank := u.pace * usualSlowPercent
	if u.reported && now-u.loadAt < loadKept {
		rank = b.cost(u, 0)
	}
	rank += float64(len(u.begun)) * usualSlowPercent / float64(max(1, u.Slots))
	if now < u.coldUntil {
		rank += coldRank
	}
	if now < u.heldUntil {
		rank += heldRank
	}
	if u.Zone != b.zone {
		rank += farRank
	}
	return rank
}

// Slowdown is how long work that starts now takes, relative to the same work at
// an idle upstream on a quiet VM. It holds for the whole of the work: what the
// upstream's VM does later matters little.
func (l Load) Slowdown() float64 {
	factor := float64(max(1, l.SlowPercent)) / 100
	if float64(l.Running+1) > kneeShare*float64(max(1, l.Slots)) {
		factor *= kneeFactor
	}
	return factor
}

// cost orders upstreams that have reported, lowest first: the expected time of
// work in percent of the usual, and small burdens that decide between equals.
func (b *Balancer) cost(u *upstream, bytes int64) float64 {
	cost := 100 * u.load.Slowdown() * u.pace
	cost += occupiedPercent * float64(u.load.Running) / float64(max(1, u.load.Slots))
	if u.ill {
		cost += illPercent
	}
	if u.Zone != b.zone {
		cost += farPercent + farPercentPerKB*float64(bytes>>10)
	}
	return cost
}
