package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/organisation"
	"balsamcourse.example/balsamcourse/internal/permit"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/route"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// state is what a gateway knows: the routes and upstreams of the newest
// configuration, and what it has measured itself. It is safe for concurrent
// use.
type state struct {
	gatewayID string
	started   time.Time
	routes    atomic.Pointer[route.Table]
	// firstState is closed once a desired state has been received.
	firstState chan struct{}
	config     atomic.Pointer[catalogpb.Config]
	pools      atomic.Pointer[map[string]*catalogpb.Pool]
	// reachTargets are the upstreams that show whether the gateway reaches any.
	reachTargets atomic.Pointer[reachTargets]
	// gatewayCount is the number of gateways that share the retry budgets and the
	// connections to an upstream, 0 while the configuration does not name this one.
	gatewayCount atomic.Int64
	// reachable reports whether control has recently heard from a gateway.
	reachable func(entry string) bool
	// sinceNewest returns the time for which the configuration has not been known
	// to be the newest one. After maxDenialAge of that the gateway does not claim
	// that the desired state does not allow a call.
	sinceNewest  func() time.Duration
	maxDenialAge time.Duration
	allotments   *allotments
	// keyBounds limits the age of the configuration for requests with an API key.
	keyBounds organisation.Bounds
	// awaitRefresh waits after a pause of the process until control has been asked for
	// the newest configuration, and reports whether it has waited.
	awaitRefresh func(context.Context) bool
	// isolated reports whether control knows that a gateway has no way to any
	// upstream.
	isolated func(entry string) bool
	// allRestarted reports whether control knows that no permits were issued before its
	// present leader; see permit.Issuer.RecordAllRestarted.
	allRestarted func() bool
	// coldRateShare is the fraction of a pool's request rate for cold upstreams
	// that the permits for one of them use.
	coldRateShare float64
	retryLimits   retry.Limits
	// phase is the random starting point, in [0, 1), of the sequence that splits
	// the requests of a route among its pools.
	phase float64

	// events is the log for what the state decides itself.
	events event.Logger
	// mu guards the fields below.
	mu           sync.Mutex
	balancer     *balance.Balancer
	retryBudgets map[string]*retry.Budget
	// typicalTimes holds the moving average of response times by route,
	// normalised to an idle upstream on a VM without other load.
	typicalTimes map[string]time.Duration
	// timeouts holds what callers have stated recently, by route.
	timeouts map[string]*statedTimeouts
	queues   map[string]*poolQueue
	// issuer issues the permits for upstreams that name a rate limit or are cold.
	issuer *permit.Issuer
	// versions holds the software versions in rotation.
	versions versions
	// clusterAddresses holds the cluster addresses of the gateways by ID.
	clusterAddresses map[string]string
	// registeredAt is the time since which the configuration names this gateway.
	registeredAt time.Duration
}

func newState(gatewayID, zone string, coldRateShare float64, limits retry.Limits) *state {
	st := &state{
		gatewayID:     gatewayID,
		started:       time.Now(),
		firstState:    make(chan struct{}),
		reachable:     func(string) bool { return true },
		sinceNewest:   func() time.Duration { return 0 },
		awaitRefresh:  func(context.Context) bool { return false },
		maxDenialAge:  denialAge(settings.DefaultGateway().ApplyWithinMs.Duration()),
		isolated:      func(string) bool { return false },
		allRestarted:  func() bool { return false },
		coldRateShare: coldRateShare,
		retryLimits:   limits,
		phase:         rand.Float64(),
		balancer:      balance.NewBalancer(zone),
		retryBudgets:  make(map[string]*retry.Budget),
		typicalTimes:  make(map[string]time.Duration),
		timeouts:      make(map[string]*statedTimeouts),
		queues:        make(map[string]*poolQueue),
		issuer:        permit.NewIssuer(gatewayID),
		versions:      newVersions(settings.Rollout{}, rand.Float64),
	}
	st.setAllotmentBounds(settings.DefaultGateway().Allotment.Bounds())
	st.pools.Store(&map[string]*catalogpb.Pool{})
	st.reachTargets.Store(&reachTargets{})
	return st
}

// denialAge returns state.maxDenialAge for changes that must be in force within the
// given time. The difference covers the time for which a call is read and routed.
func denialAge(applyWithin time.Duration) time.Duration { return applyWithin * 9 / 10 }

// now returns the time since the gateway started, on the monotonic clock.
func (st *state) now() time.Duration { return time.Since(st.started) }

// applyConfig makes v the current configuration. The routing table changes only
// with the version of the desired state.
func (st *state) applyConfig(v *configview.View) {
	cfg := v.Config
	pools := make(map[string]*catalogpb.Pool, len(cfg.Pools))
	for _, p := range cfg.Pools {
		pools[p.Name] = p
	}
	st.pools.Store(&pools)
	placement := st.placementConfig(v, pools)
	st.mu.Lock()
	st.applyVersions(cfg, &placement)
	st.reachTargets.Store(newReachTargets(placement))
	st.balancer.Update(st.now(), placement)
	st.clusterAddresses = clusterAddresses(cfg)
	st.updateLiveGateways(cfg)
	st.updateGatewayCount(cfg)
	st.mu.Unlock()
	st.config.Store(cfg)
	if t := st.routes.Load(); cfg.StateVersion > 0 && (t == nil || t.Version() != cfg.StateVersion) {
		st.allotments.update(cfg)
		st.routes.Store(route.NewTable(cfg, st.phase))
		if t == nil {
			close(st.firstState)
		}
		st.dropRemovedRoutes(cfg)
	}
}

// dropRemovedRoutes deletes the measurements of routes that are not in cfg.
func (st *state) dropRemovedRoutes(cfg *catalogpb.Config) {
	kept := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		kept[r.Name] = true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	maps.DeleteFunc(st.typicalTimes, func(name string, _ time.Duration) bool { return !kept[name] })
	maps.DeleteFunc(st.timeouts, func(name string, _ *statedTimeouts) bool { return !kept[name] })
}

// placementConfig converts the configuration to the input of package balance.
func (st *state) placementConfig(v *configview.View, pools map[string]*catalogpb.Pool) balance.Config {
	cfg := balance.Config{
		ClosedZones: make(map[string]bool),
	}
	for _, z := range v.Config.Zones {
		cfg.ClosedZones[z.Name] = !v.ZoneOpen(z.Name)
	}
	for _, u := range v.Config.Upstreams {
		if u.State == catalogpb.UpstreamState_UPSTREAM_STATE_GONE || pools[u.Pool] == nil {
			continue
		}
		cfg.Upstreams = append(cfg.Upstreams, balance.Upstream{
			ID:       u.Id,
			Address:  u.Address,
			Zone:     u.Zone,
			Pool:     u.Pool,
			Started:  u.StartedMs,
			Software: u.Software,
			Slots:    int(u.Slots),
			Draining: u.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING,
			ColdFor:  time.Duration(u.ColdMs) * time.Millisecond,
		})
	}
	return cfg
}

// clusterAddresses returns the cluster addresses of the gateways by ID.
func clusterAddresses(cfg *catalogpb.Config) map[string]string {
	addresses := make(map[string]string, len(cfg.Entries))
	for _, e := range cfg.Entries {
		addresses[e.Id] = e.ClusterAddress
	}
	return addresses
}

// updateLiveGateways determines the gateways that are reachable and not leaving.
// Among them the one is chosen that issues the permits for an upstream. st.mu must
// be held.
func (st *state) updateLiveGateways(cfg *catalogpb.Config) {
	var live []string
	for _, e := range cfg.Entries {
		if !e.Leaving && (e.Id == st.gatewayID || st.reachable(e.Id)) {
			live = append(live, e.Id)
		}
	}
	st.issuer.SetLive(st.now(), live)
	st.allotments.issuer.SetLive(st.now(), live)
}

// recordLease records a lease from control that was requested at the time sent,
// and the gateways that control reported as silent with it.
func (st *state) recordLease(sent time.Time) {
	cfg := st.config.Load()
	if cfg == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.updateLiveGateways(cfg)
	st.issuer.RecordLease(st.now(), sent.Sub(st.started))
	st.allotments.issuer.RecordLease(st.now(), sent.Sub(st.started))
	if st.allRestarted() {
		st.issuer.RecordAllRestarted(st.now())
		st.allotments.issuer.RecordAllRestarted(st.now())
	}
}

// healthPath returns the path of the health request to upstreams of the pool.
func (st *state) healthPath(pool string) string {
	if p := (*st.pools.Load())[pool]; p != nil {
		return p.HealthPath
	}
	return "/"
}

// defaultMaxBodyBytes is the limit of request bodies if the desired state sets
// none.
const defaultMaxBodyBytes = 256 << 20

// maxBodyBytes returns the limit of request bodies.
func (st *state) maxBodyBytes() int64 {
	if n := st.config.Load().GetCallerLimits().GetMaxBodyBytes(); n > 0 {
		return int64(n)
	}
	return defaultMaxBodyBytes
}

// connectionFraction is the fraction of the connections that an upstream takes
// which gateways open. It leaves room for gateways that are not in the
// configuration yet, and for connections of restarted ones that the upstream has
// not seen end.
const connectionFraction = 0.5

// maxConnections returns the number of connections that this gateway may open to
// one upstream of the pool: an equal part of those that the upstream takes from
// all gateways, at least one. 0 means that there is no bound.
func (st *state) maxConnections(pool string) int {
	p := (*st.pools.Load())[pool]
	if p == nil || p.MaxConnections == 0 {
		return 0
	}
	gateways := int(st.gatewayCount.Load())
	if gateways == 0 {
		return 1
	}
	return max(1, int(connectionFraction*float64(p.MaxConnections))/gateways)
}

// updateGatewayCount determines with how many gateways this one shares. While the
// configuration does not name it, the others leave no room for it: of gateways that
// start while control cannot register them, each would otherwise take the part of
// all. st.mu must be held.
func (st *state) updateGatewayCount(cfg *catalogpb.Config) {
	if !slices.ContainsFunc(cfg.Entries, func(e *catalogpb.Entry) bool { return e.Id == st.gatewayID }) {
		st.gatewayCount.Store(0)
		return
	}
	if st.gatewayCount.Load() == 0 {
		st.registeredAt = st.now()
	}
	st.gatewayCount.Store(int64(len(cfg.Entries)))
}

// retryShare returns the part of this gateway in the slack of the retry budgets.
// st.mu must be held.
func (st *state) retryShare() retry.Share {
	return retry.Share{EntryVMs: int(st.gatewayCount.Load()), Since: st.registeredAt}
}

// countRequest adds a request of a caller to the retry budget of the pool.
func (st *state) countRequest(pool string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.retryBudget(pool).RecordRequest(st.now(), st.retryLimits)
}

// reserveRetry reserves one retry in the budget of the pool. It reports false if
// the budget is used up.
func (st *state) reserveRetry(pool string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.retryBudget(pool).Reserve(st.now(), st.retryLimits, st.retryShare())
}

// sendRetry counts a reserved retry as sent. It reports false if the budget no
// longer allows it.
func (st *state) sendRetry(pool string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.retryBudget(pool).Send(st.now(), st.retryLimits, st.retryShare())
}

// releaseRetry gives up a reserved retry that is not sent.
func (st *state) releaseRetry(pool string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.retryBudget(pool).Release()
}

// retryBudget returns the retry budget of the pool and creates it on first use.
// st.mu must be held.
func (st *state) retryBudget(pool string) *retry.Budget {
	b := st.retryBudgets[pool]
	if b == nil {
		b = &retry.Budget{}
		st.retryBudgets[pool] = b
	}
	return b
}

// reportRetries logs for each pool whose retry budget has refused retries since the
// last call what was sent and refused.
func (st *state) reportRetries(log event.Logger) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for pool, b := range st.retryBudgets {
		counts := b.TakeCounts()
		if counts.Refused == 0 {
			continue
		}
		share := st.retryShare()
		log.Log(event.RetriesRefused).Str("pool", pool).Uint64("sent", uint64(counts.Sent)).Uint64("refused", uint64(counts.Refused)).
			Str("left", strconv.FormatFloat(b.Remaining(st.now(), st.retryLimits, share), 'f', 1, 64)).Uint64("gateways", uint64(share.EntryVMs)).Send()
	}
}

// spentBefore estimates the time that a caller has used up on earlier attempts
// from the timeout that it states now.
func (st *state) spentBefore(routeName string, stated time.Duration) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.timeouts[routeName]
	if s == nil {
		s = &statedTimeouts{}
		st.timeouts[routeName] = s
	}
	return s.record(stated)
}

// updatePoolMetrics sets the gauges of the pool.
func (st *state) updatePoolMetrics(pool string, m *telemetry.PoolMetrics) {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.now()
	n := st.countPool(pool)
	m.OpenUpstreams.Update(float64(n.open))
	m.ReadyUpstreams.Update(float64(n.ready))
	m.RequestsInFlight.Update(float64(st.balancer.InFlight(pool)))
	m.CallsWaiting.Update(float64(n.waiting))
	m.LimitedUpstreams.Update(float64(n.limited))
	m.LeavingUpstreams.Update(float64(n.leaving))
	m.PausedUpstreams.Update(float64(n.paused))
	m.RolloutWithdrawn.Update(float64(n.withdrawn))
	m.RetriesLeft.Update(st.retryBudget(pool).Remaining(now, st.retryLimits, st.retryShare()))
}

// poolCounts counts the upstreams in rotation and the waiting calls of a pool.
type poolCounts struct {
	open, ready, limited, leaving, paused, waiting int
	// withdrawn is 1 if this gateway has found the target of a roll-out bad.
	withdrawn int
}

// countPool returns the counts of the pool over its versions. st.mu must be held.
func (st *state) countPool(pool string) poolCounts {
	now := st.now()
	var n poolCounts
	for _, group := range st.groups(pool) {
		open, ready := st.balancer.CountUpstreams(now, group)
		leaving, paused := st.balancer.CountNotices(now, group)
		n.open, n.ready, n.leaving, n.paused = n.open+open, n.ready+ready, n.leaving+leaving, n.paused+paused
		n.limited += st.balancer.CountLimited(group)
		n.waiting += st.queue(group).waiters.Len()
	}
	if pv := st.versions.pools[pool]; pv != nil && pv.rule.withdrawn {
		n.withdrawn = 1
	}
	return n
}

// typicalTimeWeight is the weight of one response in the moving average of the
// response time of a route.
const typicalTimeWeight = 0.05

// typicalTime returns the typical response time of the route, normalised to an
// idle upstream on a VM without other load, or 0 before the first response.
func (st *state) typicalTime(routeName string) time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.typicalTimes[routeName]
}

// recordResponseTime adds one normalised response time to the average of the
// route. st.mu must be held.
func (st *state) recordResponseTime(routeName string, took time.Duration) {
	old, known := st.typicalTimes[routeName]
	if !known {
		st.typicalTimes[routeName] = took
		return
	}
	st.typicalTimes[routeName] = old + time.Duration(typicalTimeWeight*float64(took-old))
}
