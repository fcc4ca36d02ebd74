package gateway

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// arrival is a request or a probe that has arrived at an upstream.
type arrival struct {
	at      time.Duration
	gateway string
	probe   bool
}

// limitedUpstream is an upstream in virtual time. It names limit in all its
// answers; "" names none. While cold is set, it reports that it is cold.
type limitedUpstream struct {
	id    string
	start time.Time

	mu    sync.Mutex
	limit string
	cold  bool
	// respond, if it is not nil, may write the answer to a request or a probe.
	respond func(conn net.Conn, r *http.Request) answered
	// work is the time that a request takes.
	work time.Duration
	// open is the number of open connections, mostOpen the highest so far.
	open, mostOpen int
	arrived        []arrival
	// runs counts the requests that arrived, by request ID.
	runs  map[string]int
	conns []net.Conn
}

// startedConn is a connection that names the start of the gateway that opened it.
type startedConn struct {
	net.Conn
	gatewayStart string
}

// kill closes all connections of the upstream.
func (u *limitedUpstream) kill() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

// answered says what a function has done with a request.
type answered int

const (
	// notAnswered leaves the usual answer to the upstream.
	notAnswered answered = iota
	// keptOpen and broken mean that the function has written all that is to be
	// written, and whether the connection is kept.
	keptOpen
	broken
)

func (u *limitedUpstream) setRespond(respond func(conn net.Conn, r *http.Request) answered) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.respond = respond
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
	for _, a := range u.arrived {
		if a.at < from || a.at >= to {
			continue
		}
		all++
		if !a.probe {
			requests++
		}
	}
	return requests, all
}

// countConnection adds n to the number of open connections.
func (u *limitedUpstream) countConnection(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open += n
	u.mostOpen = max(u.mostOpen, u.open)
}

func (u *limitedUpstream) countRun(request string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	u.runs[request]++
}

func (u *limitedUpstream) serve(conn net.Conn, gateway string) {
	u.countConnection(1)
	defer u.countConnection(-1)
	u.mu.Lock()
	u.conns = append(u.conns, conn)
	u.mu.Unlock()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Since(u.start)
		u.mu.Lock()
		id, limit, cold, respond := u.id, u.limit, u.cold, u.respond
		u.arrived = append(u.arrived, arrival{at, gateway, r.URL.Path == "/health"})
		u.mu.Unlock()
		if respond != nil {
			switch respond(conn, r) {
			case keptOpen:
				continue
			case broken:
				return
			}
		}
		header := ""
		if limit != "" {
			header = "Balsam-Limit: " + limit + "\r\n"
		}
		if r.URL.Path == "/health" && cold {
			header += "Balsam-Cold-Ms: 60000\r\n"
		}
		if r.URL.Path != "/health" {
			u.countRun(r.Header.Get("Balsam-Request-Id"))
			time.Sleep(u.work)
			header += "Balsam-Request-Id: " + r.Header.Get("Balsam-Request-Id") + "\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: 0 0 100 100\r\n%sContent-Length: 0\r\n\r\n", id, header)
	}
}

// gatewayGroup is a group of gateways in virtual time, all with the same
// upstreams, and the control that grants them leases. It must be created in a
// synctest bubble.
type gatewayGroup struct {
	upstreams  map[string]*limitedUpstream
	cfg        *catalogpb.Config
	forwarders []*Forwarder
	// rollout holds the settings of roll-outs.
	rollout settings.Rollout

	mu sync.Mutex
	// stopped holds the time at which a gateway stopped, cut that at which it was
	// cut off from control, by ID.
	stopped, cut map[string]time.Time
	// links holds the state of the links of a gateway to all upstreams, by ID.
	links map[string]linkState
	// lostUpstreams holds the addresses of upstreams that do not answer.
	lostUpstreams map[string]bool
	conns         []*link
	// relays holds the connections between gateways.
	relays []net.Conn
	// background ends with the test.
	background context.Context
	// starts counts the starts of each gateway by its ID.
	starts map[string]int
	// began is the time of the bubble at which the group was created, key the API key of
	// the callers.
	began time.Time
	key   string
}

// newGatewayGroup returns n gateways and the upstreams with the given IDs, all in
// one zone.
func newGatewayGroup(t *testing.T, n int, upstreams ...string) *gatewayGroup {
	t.Helper()
	return newZonedGroup(t, []string{"a"}, n, upstreams...)
}

// newZonedGroup returns n gateways and the upstreams with the given IDs, both
// spread over the zones in turn.
func newZonedGroup(t *testing.T, zones []string, n int, upstreams ...string) *gatewayGroup {
	t.Helper()
	g := &gatewayGroup{
		upstreams: make(map[string]*limitedUpstream), cfg: newConfig(),
		stopped: make(map[string]time.Time), cut: make(map[string]time.Time), links: make(map[string]linkState),
		starts: make(map[string]int), began: time.Now(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.background = ctx
	for i, id := range upstreams {
		g.upstreams[id+":1"] = &limitedUpstream{id: id, start: time.Now(), work: 20 * time.Millisecond}
		g.cfg.Upstreams = append(g.cfg.Upstreams, &catalogpb.Upstream{
			Id: id, Address: id + ":1", Zone: zones[i%len(zones)], Pool: "p", Slots: 100, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	for i := range n {
		id := fmt.Sprint("g", i)
		g.cfg.Entries = append(g.cfg.Entries, &catalogpb.Entry{Id: id, ClusterAddress: id + ":2", Zone: zones[i%len(zones)]})
	}
	for i := range n {
		g.forwarders = append(g.forwarders, g.newForwarder(t, fmt.Sprint("g", i)))
	}
	t.Cleanup(func() {
		cancel()
		// Lets searches that have nothing left to do end.
		time.Sleep(time.Second)
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, c := range g.conns {
			_ = c.Conn.Close()
		}
		for _, c := range g.relays {
			_ = c.Close()
		}
	})
	return g
}

func (g *gatewayGroup) newForwarder(t *testing.T, id string) *Forwarder {
	st := newState(id, g.zoneOf(id), 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	st.reachable = g.heardByControl
	st.versions = newVersions(g.rollout, rand.Float64)
	st.applyConfig(configview.New(g.cfg))
	metrics := telemetry.NewMetrics("gateway", id)
	t.Cleanup(func() { _ = metrics.Close() })
	g.mu.Lock()
	g.starts[id]++
	start := fmt.Sprint(id, "#", g.starts[id])
	g.mu.Unlock()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return g.dialUpstream(ctx, id, start, address)
	}
	return newForwarder(st, upstreamconn.NewPool(dial), ForwarderOptions{
		Headers:     DefaultHeaders(),
		Crashes:     &crashRecorder{},
		Limiter:     admission.NewLimiter(100),
		Metrics:     telemetry.NewGatewayMetrics(metrics.Scope),
		Closed:      func() bool { return false },
		Permits:     g.permits,
		Allotments:  g.allotments,
		BootTime:    func() time.Duration { return time.Since(g.began) },
		Trials:      g.trials,
		Context:     g.background,
		DialGateway: g.dialGateway,
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

// restart starts a stopped gateway again: its process knows nothing of before.
func (g *gatewayGroup) restart(t *testing.T, i int) {
	id := g.forwarders[i].state.gatewayID
	g.mu.Lock()
	delete(g.stopped, id)
	g.mu.Unlock()
	g.forwarders[i] = g.newForwarder(t, id)
}

// reconnect ends the cut of the gateway.
func (g *gatewayGroup) reconnect(f *Forwarder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cut, f.state.gatewayID)
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

// allotments returns a client of the allotments of the gateway at the address.
func (g *gatewayGroup) allotments(address string) clusterpb.Allotments {
	for _, f := range g.forwarders {
		if f.state.gatewayID+":2" == address && !g.isStopped(f) {
			return &allotmentServer{state: f.state}
		}
	}
	return unreachableAllotments{}
}

// unreachableAllotments is a client of a gateway that does not answer.
type unreachableAllotments struct{}

func (unreachableAllotments) Take(ctx context.Context, _ *clusterpb.TakeAllotmentRequest) (*clusterpb.TakeAllotmentResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// trials returns a client of the trials of the gateway at the address.
func (g *gatewayGroup) trials(address string) clusterpb.Trials {
	for _, f := range g.forwarders {
		if f.state.gatewayID+":2" == address && !g.isStopped(f) {
			return &trialServer{state: f.state, crashes: f.opts.Crashes}
		}
	}
	return unreachableTrials{}
}

// unreachableTrials is a client of a gateway that does not answer.
type unreachableTrials struct{}

func (unreachableTrials) Begin(ctx context.Context, _ *clusterpb.BeginTrialRequest) (*clusterpb.BeginTrialResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unreachableTrials) End(ctx context.Context, _ *clusterpb.EndTrialRequest) (*clusterpb.EndTrialResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
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
	// key is the API key of the callers, statuses counts the answers by status.
	key      string
	statuses map[int]int
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
	results := &callResults{shortestRetryAfter: time.Hour, key: g.key}
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
	if c.key != "" {
		r.Header.Set(DefaultHeaders().APIKey, c.key)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	f.ServeHTTP(w, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.statuses == nil {
		c.statuses = make(map[int]int)
	}
	c.statuses[w.Code]++
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
