package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/place"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/route"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/view"
)

// world is what a gateway knows: the routes and upstreams of the newest
// configuration, and its own observations. It is safe for concurrent use.
type world struct {
	self    string
	started time.Time
	table   atomic.Pointer[route.Table]
	config  atomic.Pointer[catalogpb.Config]
	pools   atomic.Pointer[map[string]*catalogpb.Pool]
	// reachable reports whether control has heard of a gateway of late.
	reachable func(entry string) bool
	coldShare float64
	retries   retry.Limits
	phase     float64

	mu      sync.Mutex
	board   *place.Balancer
	budgets map[string]*retry.Budget
	// paces holds the time of an answer by route, as an idle upstream on a
	// quiet VM would give it.
	paces map[string]time.Duration
	// deadlines holds the longest time that a caller of a route has stated.
	deadlines map[string]time.Duration
	lines     map[string]*poolLine
}

func newWorld(self, zone string, coldShare float64, limits retry.Limits) *world {
	w := &world{
		self:      self,
		started:   time.Now(),
		reachable: func(string) bool { return true },
		coldShare: coldShare,
		retries:   limits,
		phase:     rand.Float64(),
		board:     place.NewBalancer(zone),
		budgets:   make(map[string]*retry.Budget),
		paces:     make(map[string]time.Duration),
		deadlines: make(map[string]time.Duration),
		lines:     make(map[string]*poolLine),
	}
	w.pools.Store(&map[string]*catalogpb.Pool{})
	return w
}

// now returns the reading of the monotonic clock.
func (w *world) now() time.Duration { return time.Since(w.started) }

// adopt takes a configuration into force.
func (w *world) adopt(v *view.View) {
	cfg := v.Config
	pools := make(map[string]*catalogpb.Pool, len(cfg.Pools))
	for _, p := range cfg.Pools {
		pools[p.Name] = p
	}
	w.pools.Store(&pools)
	w.mu.Lock()
	w.board.Update(w.now(), w.facts(v, pools))
	w.mu.Unlock()
	w.config.Store(cfg)
	if t := w.table.Load(); cfg.StateVersion > 0 && (t == nil || t.Version() != cfg.StateVersion) {
		w.table.Store(route.NewTable(cfg, w.phase))
		w.forgetRoutes(cfg)
	}
}

// forgetRoutes drops what was learned of routes that cfg has no more.
func (w *world) forgetRoutes(cfg *catalogpb.Config) {
	kept := make(map[string]bool, len(cfg.Routes))
	for _, r := range cfg.Routes {
		kept[r.Name] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, known := range []map[string]time.Duration{w.paces, w.deadlines} {
		for name := range known {
			if !kept[name] {
				delete(known, name)
			}
		}
	}
}

func (w *world) facts(v *view.View, pools map[string]*catalogpb.Pool) place.Config {
	f := place.Config{
		ClosedZones: make(map[string]bool),
		ColdRate:    make(map[string]float64, len(pools)),
		OwnsCold:    w.ownerIn(v.Config),
	}
	for _, z := range v.Config.Zones {
		f.ClosedZones[z.Name] = !v.ZoneOpen(z.Name)
	}
	for name, p := range pools {
		f.ColdRate[name] = p.ColdPerS * w.coldShare
	}
	for _, u := range v.Config.Upstreams {
		if u.State == catalogpb.UpstreamState_UPSTREAM_STATE_GONE || pools[u.Pool] == nil {
			continue
		}
		f.Upstreams = append(f.Upstreams, place.Upstream{
			ID:       u.Id,
			Address:  u.Address,
			Zone:     u.Zone,
			Pool:     u.Pool,
			Started:  u.StartedMs,
			Slots:    int(u.Slots),
			Draining: u.State == catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING,
			ColdFor:  time.Duration(u.ColdMs) * time.Millisecond,
		})
	}
	return f
}

// ownerIn returns the function that tells whether this gateway owns a cold
// upstream: it has the highest weight among the gateways that are not leaving
// or silent.
func (w *world) ownerIn(cfg *catalogpb.Config) func(id string) bool {
	return func(id string) bool {
		owner, best := "", uint64(0)
		for _, e := range cfg.Entries {
			if e.Leaving || e.Id != w.self && !w.reachable(e.Id) {
				continue
			}
			if weight := xxhash.Sum64String(e.Id + "\x00" + id); owner == "" || weight > best {
				owner, best = e.Id, weight
			}
		}
		return owner == w.self
	}
}

// healthPath returns the path on which an upstream of the pool tells its load.
func (w *world) healthPath(pool string) string {
	if p := (*w.pools.Load())[pool]; p != nil {
		return p.HealthPath
	}
	return "/"
}

// entries returns the number of gateways among which budgets are shared.
func (w *world) entries() int {
	if cfg := w.config.Load(); cfg != nil {
		return len(cfg.Entries)
	}
	return 1
}

// countRequest counts a request of a caller for the pool's retry budget.
func (w *world) countRequest(pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budget(pool).RecordRequest(w.now(), w.retries)
}

// takeRetry pays for one further attempt at the pool.
func (w *world) takeRetry(pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.budget(pool).Take(w.now(), w.retries, w.entries())
}

func (w *world) budget(pool string) *retry.Budget {
	b := w.budgets[pool]
	if b == nil {
		b = &retry.Budget{}
		w.budgets[pool] = b
	}
	return b
}

// spentBefore returns how much of its time a caller has used up that has the
// given time left: callers of a route start with the same time, so that
// one with less has been refused or failed before.
func (w *world) spentBefore(routeName string, left time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadlines[routeName] = max(w.deadlines[routeName], left)
	return w.deadlines[routeName] - left
}

// show renews the gauges of a pool.
func (w *world) show(pool string, m *telemetry.PoolMetrics) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	open, ready := w.board.CountUpstreams(now, pool)
	m.Open.Update(float64(open))
	m.Ready.Update(float64(ready))
	m.Sent.Update(float64(w.board.InFlight(pool)))
	m.Waiting.Update(float64(w.line(pool).line.Len()))
	m.RetriesLeft.Update(w.budget(pool).Remaining(now, w.retries, w.entries()))
}

// paceWeight is the weight of one answer in the usual time of a route.
const paceWeight = 0.05

// usual returns the usual time of an answer on the route, at an idle upstream
// on a quiet VM; 0 before the first.
func (w *world) usual(routeName string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.paces[routeName]
}

// notePace takes in the time of one answer. The caller holds the lock.
func (w *world) notePace(routeName string, took time.Duration) {
	old, known := w.paces[routeName]
	if !known {
		w.paces[routeName] = took
		return
	}
	w.paces[routeName] = old + time.Duration(paceWeight*float64(took-old))
}
