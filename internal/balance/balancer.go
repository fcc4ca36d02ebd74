// Package balance is the load balancer: it selects the upstream for a request, or
// reports that the request has to wait or that no upstream is available.
//
// Upstreams share their VMs with other workloads, so their speed changes
// several times a second, and they serve requests from many entry VMs. What an
// entry VM remembers of an upstream is therefore stale by the next request.
// Selection has two steps: Candidates ranks the upstreams and returns a few to
// be probed for their current load, and Choose selects the best of those that
// answered.
//
// The package does no I/O and has no clock, goroutines or source of randomness.
// Times are readings of the caller's monotonic clock.
package balance

import (
	"cmp"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/notice"
)

// Load is the load that an upstream reports.
type Load struct {
	// Running is the number of requests that the upstream executes, Waiting the
	// number in its queue, and Slots the number that it can execute at once.
	Running, Waiting, Slots int
	// SlowPercent is the current execution time of a request, in percent of the
	// normal one.
	SlowPercent int
}

// Upstream describes an upstream as it registered.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Pool    string
	// Started is the start time of the process, in Unix milliseconds.
	Started uint64
	// Software is the version of the software that it runs.
	Software string
	Slots    int
	// Draining upstreams get no new requests.
	Draining bool
	// ColdFor is the remaining time of the cold start when the registration was
	// received.
	ColdFor time.Duration
}

// Parameters of the selection. Penalties are in percent of the normal execution
// time and add to the cost of an upstream.
const (
	// defaultSlowPercent is assumed for an upstream that has not reported its
	// speed. It is the average over time on a VM where requests take four times
	// as long during a quarter to a third of the time.
	defaultSlowPercent = 190
	// maxLoadAge is the age up to which a load report is used to rank
	// candidates. Slow phases last about 300 ms.
	maxLoadAge = 150 * time.Millisecond
	// kneeUtilization is the share of busy slots above which upstreams slow
	// down, and kneeSlowdown the factor by which they do, as specified by the
	// operators.
	kneeUtilization = 0.8
	kneeSlowdown    = 1.7
	// utilizationPenalty is multiplied by the share of busy slots: of two
	// upstreams of the same speed, the less loaded one is less likely to pass
	// kneeUtilization.
	utilizationPenalty = 20
	// unhealthyPenalty applies to an upstream that answers but reports that it
	// is unhealthy; it is selected only when no other has a free slot.
	unhealthyPenalty = 1000
	// crossZonePenalty applies to upstreams in other availability zones, and
	// crossZonePenaltyPerKiB to each KiB of the request, as traffic between
	// zones is billed to the operators. crossZonePenalty is below the cost of
	// exceeding kneeUtilization in the local zone.
	crossZonePenalty       = 50
	crossZonePenaltyPerKiB = 4
	// crossZoneRankPenalty ranks candidates of the local zone first.
	crossZoneRankPenalty = 350
	// initialBackoff is how long an upstream is avoided after its first
	// failure. Each further failure doubles it, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 8 * time.Second
	// initialProbeBackoff is how long an upstream is avoided after its first
	// probe timeout. Each further one doubles it, up to maxBackoff. A full
	// upstream takes 60 to 300 ms to free a slot.
	initialProbeBackoff = 100 * time.Millisecond
	// latencySmoothing is the weight of a new sample in relativeLatency, a
	// moving average.
	latencySmoothing = 0.3
)

// upstream is the local state of one upstream.
type upstream struct {
	Upstream
	// group and outOfRotation follow from the Rotation of the pool.
	group         string
	outOfRotation bool
	// inFlight holds the start times of the requests that this entry VM has in
	// flight at the upstream.
	inFlight  []time.Duration
	load      Load
	loadTime  time.Duration
	loadKnown bool
	unhealthy bool
	// coldUntil is the expected end of the cold start.
	coldUntil time.Duration
	// backoffUntil is the end of the backoff after failures and probe timeouts.
	backoffUntil time.Duration
	failures     int
	// unfinished counts responses that did not end before their deadline, since
	// the last complete one.
	unfinished int
	// probeTimeouts counts consecutive probes without an answer.
	probeTimeouts int
	// relativeLatency is the moving average of response times, relative to the
	// usual ones of the same routes.
	relativeLatency float64
	limit           rateLimit
	// notice is what the upstream has said of itself, nil if nothing.
	notice *notice.Status
	// permitAfter is the time before which no permit is expected.
	permitAfter time.Duration
	// limitedRequests and limitedProbes count what was sent since the last call
	// of TakeLimitedLoads while the upstream named a rate limit.
	limitedRequests, limitedProbes int
}

// Balancer holds the state of all upstreams as seen by one entry VM. It is not
// safe for concurrent use.
type Balancer struct {
	zone      string
	upstreams map[string]*upstream
	// members holds the upstreams by pool, groups those in rotation by group; see Group.
	members, groups map[string][]*upstream
	closedZones     map[string]bool
	// notices holds what upstreams have said of themselves, also of those that the
	// configuration no longer holds.
	notices *notice.Notices
}

// NewBalancer returns a Balancer without upstreams for an entry VM in the given
// availability zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{
		zone:      zone,
		upstreams: make(map[string]*upstream),
		members:   make(map[string][]*upstream),
		groups:    make(map[string][]*upstream),
		notices:   notice.New(),
	}
}

// Config is the part of the configuration that concerns upstreams.
type Config struct {
	Upstreams []Upstream
	// ClosedZones holds the availability zones that get no new requests.
	ClosedZones map[string]bool
	// Rotations holds, by pool, the software versions in rotation. In pools without one
	// all upstreams are.
	Rotations map[string]Rotation
}

// Update applies a configuration. The state of an upstream is kept unless the
// upstream restarted or changed its address.
func (b *Balancer) Update(now time.Duration, cfg Config) {
	next := make(map[string]*upstream, len(cfg.Upstreams))
	b.members, b.groups = make(map[string][]*upstream), make(map[string][]*upstream)
	for _, d := range cfg.Upstreams {
		u := b.upstreams[d.ID]
		if u != nil && u.Started < d.Started && u.Address == d.Address {
			b.notices.CarryPause(now, u.start(), d.start())
		}
		if u == nil || u.Started != d.Started || u.Address != d.Address {
			u = &upstream{relativeLatency: 1}
		}
		if d.ColdFor > 0 && (u.ColdFor != d.ColdFor || u.ID == "") {
			u.coldUntil = max(u.coldUntil, now+d.ColdFor)
		}
		u.Upstream = d
		u.notice = b.notices.Find(d.start())
		next[d.ID] = u
		b.members[d.Pool] = append(b.members[d.Pool], u)
		b.enterGroup(u, cfg)
	}
	b.upstreams = next
	b.closedZones = cfg.ClosedZones
	b.notices.Retain(now, func(s notice.Start) bool {
		u := next[s.ID]
		return u != nil && u.Started == s.Started
	})
}

// acceptsWork reports whether the upstream may get new requests, perhaps after a
// pause: it is not draining, its zone is open, and it has not said that it is
// leaving.
func (b *Balancer) acceptsWork(u *upstream) bool { return b.configured(u) && !u.notice.Leaving() }

// Candidates returns up to n upstreams of the pool to probe, best rank first.
// jitter returns a random number in [0, 1) that varies the order among similar
// upstreams. Upstreams in exclude, those that pause and those that name a rate
// limit are left out.
// Those in backoff or cold start come last, so that they are probed only when
// nothing better is left.
func (b *Balancer) Candidates(now time.Duration, pool string, exclude []string, n int, jitter func() float64) []Upstream {
	type ranked struct {
		u    *upstream
		rank float64
	}
	list := make([]ranked, 0, len(b.groups[pool]))
	for _, u := range b.groups[pool] {
		if !b.acceptsWork(u) || u.limit.Named || !u.notice.AdmitsProbe(now, len(u.inFlight)) || slices.Contains(exclude, u.ID) {
			continue
		}
		list = append(list, ranked{u, b.rank(now, u) + jitter()*rankJitter})
	}
	slices.SortFunc(list, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
	out := make([]Upstream, 0, n)
	for _, r := range list[:min(n, len(list))] {
		out = append(out, r.u.Upstream)
	}
	return out
}

// Terms of the rank of candidates, in percent of the normal execution time.
const (
	// rankJitter is the weight of the random term. It exceeds the differences
	// between stale load reports, so that entry VMs do not all probe the same
	// upstreams.
	rankJitter         = 300
	backoffRankPenalty = 100_000
	coldRankPenalty    = 10_000
)

// rank returns the sort key of an upstream that may be probed; the lowest is
// probed first.
func (b *Balancer) rank(now time.Duration, u *upstream) float64 {
	rank := u.relativeLatency * defaultSlowPercent
	if u.loadKnown && now-u.loadTime < maxLoadAge {
		rank = b.cost(u, 0)
	}
	rank += float64(len(u.inFlight)) * defaultSlowPercent / float64(max(1, u.Slots))
	if now < u.coldUntil {
		rank += coldRankPenalty
	}
	if now < u.backoffUntil {
		rank += backoffRankPenalty
	}
	if u.Zone != b.zone {
		rank += crossZoneRankPenalty
	}
	return rank
}

// Slowdown returns the expected execution time of a request that starts now, as
// a multiple of the time on an idle upstream at normal speed. It is applied to
// the whole request, as later changes of the VM's speed matter little.
func (l Load) Slowdown() float64 {
	factor := float64(max(1, l.SlowPercent)) / 100
	if l.NearlyFull() {
		factor *= kneeSlowdown
	}
	return factor
}

// NearlyFull reports whether one more request passes kneeUtilization.
func (l Load) NearlyFull() bool {
	return float64(l.Running+1) > kneeUtilization*float64(max(1, l.Slots))
}

// cost returns the sort key of an upstream that has reported its load; the
// lowest is selected. It is the expected execution time in percent of the
// normal one plus penalties. bytes is the size of the request.
func (b *Balancer) cost(u *upstream, bytes int64) float64 {
	cost := 100 * u.load.Slowdown() * u.relativeLatency
	cost += utilizationPenalty * float64(u.load.Running) / float64(max(1, u.load.Slots))
	if u.unhealthy {
		cost += unhealthyPenalty
	}
	if u.Zone != b.zone {
		cost += crossZonePenalty + crossZonePenaltyPerKiB*float64(bytes>>10)
	}
	return cost
}
