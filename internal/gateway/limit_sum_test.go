package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/permit"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// Bound on the requests to an upstream with a rate limit, as the operators state
// it: from limitContact after it first named the limit, it gets in any
// limitWindow at most limitTolerance times what the limit allows, plus
// limitSlack.
const (
	limitContact   = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitedUpstream is an upstream in virtual time. It names limit in all its
// answers; "" names none. While cold is set, it reports that it is cold.
type limitedUpstream struct {
	id    string
	start time.Time

	mu    sync.Mutex
	limit string
	cold  bool
	// work is the time that a request takes.
	work time.Duration
	// open is the number of open connections, mostOpen the highest so far.
	open, mostOpen int
	requests       []time.Duration
	probes         []time.Duration
}

func (u *limitedUpstream) setLimit(limit string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = limit
}

// arrivals returns the number of requests, and of requests and probes together,
// that arrived in [from, to).
func (u *limitedUpstream) arrivals(from, to time.Duration) (requests, all int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, at := range u.requests {
		if at >= from && at < to {
			requests++
		}
	}
	all = requests
	for _, at := range u.probes {
		if at >= from && at < to {
			all++
		}
	}
	return requests, all
}

// assertBound checks the bound for the limit perSecond over [from, to).
func (u *limitedUpstream) assertBound(t *testing.T, perSecond float64, from, to time.Duration) {
	t.Helper()
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack
	for at := from; at+limitWindow <= to; at += 50 * time.Millisecond {
		requests, all := u.arrivals(at, at+limitWindow)
		assert.Assert(t, float64(all) <= allowed, "%d requests and %d probes from %s to %s, allowed %v", requests, all-requests, at, at+limitWindow, allowed)
	}
}

// countConnection adds n to the number of open connections.
func (u *limitedUpstream) countConnection(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open += n
	u.mostOpen = max(u.mostOpen, u.open)
}

func (u *limitedUpstream) serve(conn net.Conn) {
	u.countConnection(1)
	defer u.countConnection(-1)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Since(u.start)
		u.mu.Lock()
		limit, cold := u.limit, u.cold
		if r.URL.Path == "/health" {
			u.probes = append(u.probes, at)
		} else {
			u.requests = append(u.requests, at)
		}
		u.mu.Unlock()
		header := ""
		if limit != "" {
			header = "Balsam-Limit: " + limit + "\r\n"
		}
		if r.URL.Path == "/health" && cold {
			header += "Balsam-Cold-Ms: 60000\r\n"
		}
		if r.URL.Path != "/health" {
			time.Sleep(u.work)
			header += "Balsam-Request-Id: " + r.Header.Get("Balsam-Request-Id") + "\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: 0 0 100 100\r\n%sContent-Length: 0\r\n\r\n", u.id, header)
	}
}

// gatewayGroup is a group of gateways in virtual time, all with the same
// upstreams, and the control that grants them leases. It must be created in a
// synctest bubble.
type gatewayGroup struct {
	upstreams  map[string]*limitedUpstream
	cfg        *catalogpb.Config
	forwarders []*Forwarder

	mu sync.Mutex
	// stopped holds the time at which a gateway stopped, cut that at which it was
	// cut off from control, by ID.
	stopped, cut map[string]time.Time
	conns        []net.Conn
}

// newGatewayGroup returns n gateways and the upstreams with the given IDs.
func newGatewayGroup(t *testing.T, n int, upstreams ...string) *gatewayGroup {
	t.Helper()
	g := &gatewayGroup{upstreams: make(map[string]*limitedUpstream), cfg: newConfig(), stopped: make(map[string]time.Time), cut: make(map[string]time.Time)}
	for _, id := range upstreams {
		g.upstreams[id+":1"] = &limitedUpstream{id: id, start: time.Now(), work: 20 * time.Millisecond}
		g.cfg.Upstreams = append(g.cfg.Upstreams, &catalogpb.Upstream{
			Id: id, Address: id + ":1", Zone: "a", Pool: "p", Slots: 100, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	for i := range n {
		id := fmt.Sprint("g", i)
		g.cfg.Entries = append(g.cfg.Entries, &catalogpb.Entry{Id: id, ClusterAddress: id + ":2"})
	}
	for i := range n {
		g.forwarders = append(g.forwarders, g.newForwarder(t, fmt.Sprint("g", i)))
	}
	t.Cleanup(func() {
		// Lets searches that have nothing left to do end.
		time.Sleep(time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, c := range g.conns {
			_ = c.Close()
		}
	})
	return g
}

func (g *gatewayGroup) newForwarder(t *testing.T, id string) *Forwarder {
	st := newState(id, "a", 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	st.reachable = g.heardByControl
	st.applyConfig(configview.New(g.cfg))
	metrics := telemetry.NewMetrics("gateway", id)
	t.Cleanup(func() { _ = metrics.Close() })
	dial := func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.conns = append(g.conns, near)
		go g.upstreams[address].serve(far)
		return near, nil
	}
	return newForwarder(st, upstreamconn.NewPool(dial), ForwarderOptions{
		Headers: DefaultHeaders(),
		Crashes: &crashRecorder{},
		Limiter: admission.NewLimiter(100),
		Metrics: telemetry.NewGatewayMetrics(metrics.Scope),
		Closed:  func() bool { return false },
		Permits: g.permits,
	})
}

// heardByControl reports whether control has heard from the gateway recently.
func (g *gatewayGroup) heardByControl(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, silent := range []map[string]time.Time{g.stopped, g.cut} {
		if at, ok := silent[id]; ok && time.Since(at) > freshness.LiveTimeout {
			return false
		}
	}
	return true
}

// cutOff cuts the gateway off from control; it serves on.
func (g *gatewayGroup) cutOff(f *Forwarder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[f.state.gatewayID] = time.Now()
}

func (g *gatewayGroup) isCutOff(f *Forwarder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, cut := g.cut[f.state.gatewayID]
	return cut
}

func (g *gatewayGroup) stop(f *Forwarder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped[f.state.gatewayID] = time.Now()
}

func (g *gatewayGroup) isStopped(f *Forwarder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, stopped := g.stopped[f.state.gatewayID]
	return stopped
}

// issuerOf returns the gateway that issues the permits for the upstream, in the
// view of the gateways that control reaches.
func (g *gatewayGroup) issuerOf(upstream string) *Forwarder {
	for _, f := range g.forwarders {
		if g.isCutOff(f) {
			continue
		}
		f.state.mu.Lock()
		issuer := f.state.issuer.IssuerOf(upstream)
		f.state.mu.Unlock()
		if issuer == f.state.gatewayID {
			return f
		}
	}
	return nil
}

// permits returns a client of the permits of the gateway at the address.
func (g *gatewayGroup) permits(address string) clusterpb.Permits {
	for _, f := range g.forwarders {
		if f.state.gatewayID+":2" == address && !g.isStopped(f) {
			return &permitServer{state: f.state}
		}
	}
	return unreachablePermits{}
}

// unreachablePermits is a client of a gateway that does not answer.
type unreachablePermits struct{}

func (unreachablePermits) Acquire(ctx context.Context, _ *clusterpb.AcquirePermitRequest) (*clusterpb.AcquirePermitResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// callResults counts the answers to callers.
type callResults struct {
	mu              sync.Mutex
	served, refused int
	// refusalTimes holds the times from calls to their refusals, in order after
	// sendCalls.
	refusalTimes []time.Duration
	// shortestRetryAfter is the shortest time that a refused caller was told to
	// wait.
	shortestRetryAfter time.Duration
}

// sendCalls sends a call to each gateway every interval until duration has
// passed, and waits for their answers. Meanwhile control renews the leases of the
// gateways, and each does its housekeeping.
func (g *gatewayGroup) sendCalls(interval, duration time.Duration) *callResults {
	results := &callResults{shortestRetryAfter: time.Hour}
	var calls sync.WaitGroup
	lastCheck := time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		check := time.Since(lastCheck) >= housekeepingInterval
		if check {
			lastCheck = time.Now()
		}
		for _, f := range g.forwarders {
			if g.isStopped(f) {
				continue
			}
			if !g.isCutOff(f) {
				f.state.recordLease(time.Now())
			}
			if check {
				f.checkLimits()
			}
			calls.Go(func() { results.call(f) })
		}
	}
	calls.Wait()
	slices.Sort(results.refusalTimes)
	return results
}

func (c *callResults) call(f *Forwarder) {
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	w := httptest.NewRecorder()
	start := time.Now()
	f.ServeHTTP(w, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Code == http.StatusOK {
		c.served++
		return
	}
	c.refused++
	c.refusalTimes = append(c.refusalTimes, time.Since(start))
	after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if err != nil {
		after = 0
	}
	c.shortestRetryAfter = min(c.shortestRetryAfter, time.Duration(after*float64(time.Second)))
}

// TestUpstreamGetsNoMoreThanItsLimitFromAllGateways guards against gateways that
// together send an upstream more requests and probes than the limit that it
// names, with and without another upstream that could take them.
func TestUpstreamGetsNoMoreThanItsLimitFromAllGateways(t *testing.T) {
	cases := []struct {
		name      string
		gateways  int
		perSecond float64
		upstreams []string
	}{
		{"two gateways, alone", 2, 1, []string{"u1"}},
		{"eight gateways, alone", 8, 1, []string{"u1"}},
		{"eight gateways, higher limit", 8, 5, []string{"u1"}},
		{"eight gateways, another upstream without a limit", 8, 1, []string{"u1", "u2"}},
		{"two gateways, limit below one a second", 2, 0.25, []string{"u1"}},
		{"two gateways, limit of zero", 2, 0, []string{"u1", "u2"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayGroup(t, tc.gateways, tc.upstreams...)
				u := g.upstreams["u1:1"]
				g.sendCalls(100*time.Millisecond, 5*time.Second)
				u.setLimit(fmt.Sprint(tc.perSecond))
				named := time.Since(u.start)
				results := g.sendCalls(100*time.Millisecond, 20*time.Second)
				u.assertBound(t, tc.perSecond, named+limitContact, time.Since(u.start))
				if len(tc.upstreams) > 1 {
					assert.Equal(t, results.refused, 0, "calls beyond the limit go to the other upstream")
				}
			})
		})
	}
}

// TestCallsBeyondTheLimitAreRefusedAtOnce sends more calls than the only upstream
// takes. It must get most of what it takes, and the other calls a refusal before
// they have missed their target, with a time at which a request can be sent.
func TestCallsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	for _, perSecond := range []float64{1, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 4, "u1")
			u := g.upstreams["u1:1"]
			u.setLimit(fmt.Sprint(perSecond))
			g.sendCalls(100*time.Millisecond, 5*time.Second)
			from := time.Since(u.start)
			results := g.sendCalls(100*time.Millisecond, 20*time.Second)
			requests, all := u.arrivals(from, time.Since(u.start))
			assert.Assert(t, float64(all) >= 0.8*perSecond*20, "%d requests and probes at a limit of %v/s", all, perSecond)
			assert.Equal(t, results.served, requests)
			if perSecond == 1 {
				// A permit for a request and its probe is there every two seconds, which is
				// too late for almost all calls.
				usual := results.refusalTimes[len(results.refusalTimes)*9/10]
				assert.Assert(t, usual <= queueSearchInterval, "refused after %s", usual)
				assert.Assert(t, results.shortestRetryAfter >= queueSearchInterval, "told to come back after %s", results.shortestRetryAfter)
			}
			target := 400 * time.Millisecond
			slowest := results.refusalTimes[len(results.refusalTimes)-1]
			assert.Assert(t, slowest <= target, "refused after %s", slowest)
		})
	}
}

// TestLimitEndsForAllGateways withdraws the limit. All gateways must notice, also
// after a limit of 0, under which only probes are sent.
func TestLimitEndsForAllGateways(t *testing.T) {
	for _, perSecond := range []float64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 4, "u1")
			u := g.upstreams["u1:1"]
			u.setLimit(fmt.Sprint(perSecond))
			g.sendCalls(100*time.Millisecond, 12*time.Second)
			u.setLimit("")
			g.sendCalls(100*time.Millisecond, 10*time.Second)
			results := g.sendCalls(100*time.Millisecond, time.Second)
			assert.Equal(t, results.refused, 0, "limit of %v/s", perSecond)
		})
	}
}

// TestLimitHoldsWhenItsIssuerIsLost stops the gateway that issues the permits for
// the upstream. The limit must hold while another takes over, which must then
// issue permits.
func TestLimitHoldsWhenItsIssuerIsLost(t *testing.T) {
	const perSecond = 5
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 4, "u1")
		u := g.upstreams["u1:1"]
		u.setLimit(fmt.Sprint(perSecond))
		g.sendCalls(100*time.Millisecond, 8*time.Second)
		g.stop(g.issuerOf("u1"))
		lost := time.Since(u.start)
		g.sendCalls(100*time.Millisecond, 15*time.Second)
		u.assertBound(t, perSecond, limitContact, time.Since(u.start))
		takenOver := lost + freshness.LiveTimeout + permit.TakeoverDelay + time.Second
		requests, _ := u.arrivals(takenOver, takenOver+4*time.Second)
		assert.Assert(t, requests >= perSecond, "%d requests in 4 s after the takeover", requests)
	})
}

// TestColdUpstreamGetsNoMoreThanItBearsThroughCuts cuts one gateway after the
// other off from control, always the one that may send requests to the cold
// upstream. Those cut off serve on, and all gateways together must stay within
// what the operators state: in any second one and a half times the rate, plus five.
func TestColdUpstreamGetsNoMoreThanItBearsThroughCuts(t *testing.T) {
	const perSecond, tolerance, slack = 2, 1.5, 5
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 8, "u1")
		u := g.upstreams["u1:1"]
		u.cold = true
		g.sendCalls(50*time.Millisecond, 5*time.Second)
		for range 6 {
			g.cutOff(g.issuerOf("u1"))
			g.sendCalls(50*time.Millisecond, 8*time.Second)
		}
		for from := time.Duration(0); from < time.Since(u.start); from += 50 * time.Millisecond {
			requests, _ := u.arrivals(from, from+time.Second)
			assert.Assert(t, float64(requests) <= tolerance*perSecond+slack, "%d requests in the second from %s", requests, from)
		}
		requests, _ := u.arrivals(0, time.Since(u.start))
		assert.Assert(t, requests >= 8, "%d requests in %s", requests, time.Since(u.start))
	})
}

// TestUpstreamGetsNoMoreConnectionsThanItTakesFromAllGateways sends a burst to
// upstreams that are slow. The connections of all gateways together to one of them
// must stay within the bound of its pool.
func TestUpstreamGetsNoMoreConnectionsThanItTakesFromAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConnections = 40
		g := newGatewayGroup(t, 4, "u1", "u2")
		g.cfg.Pools[0].MaxConnections = maxConnections
		for _, f := range g.forwarders {
			f.state.applyConfig(configview.New(g.cfg))
		}
		for _, u := range g.upstreams {
			u.work = time.Second
		}
		results := g.sendCalls(10*time.Millisecond, 3*time.Second)
		assert.Assert(t, results.served > 0)
		for _, u := range g.upstreams {
			assert.Assert(t, u.mostOpen <= maxConnections, "%d connections, the pool allows %d", u.mostOpen, maxConnections)
			assert.Assert(t, u.mostOpen >= maxConnections/4, "only %d of %d connections were used", u.mostOpen, maxConnections)
		}
	})
}
