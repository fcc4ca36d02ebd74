package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
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
// answers; "" names none.
type limitedUpstream struct {
	id    string
	start time.Time

	mu       sync.Mutex
	limit    string
	requests []time.Duration
	probes   []time.Duration
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

func (u *limitedUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		at := time.Since(u.start)
		u.mu.Lock()
		limit := u.limit
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
		if r.URL.Path != "/health" {
			time.Sleep(20 * time.Millisecond)
			header += "Balsam-Request-Id: " + r.Header.Get("Balsam-Request-Id") + "\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: 0 0 100 100\r\n%sContent-Length: 0\r\n\r\n", u.id, header)
	}
}

// gatewayGroup is a group of gateways in virtual time, all with the same
// upstreams. It must be created in a synctest bubble.
type gatewayGroup struct {
	upstreams  map[string]*limitedUpstream
	cfg        *catalogpb.Config
	forwarders []*Forwarder
	conns      []net.Conn
}

// newGatewayGroup returns n gateways and the upstreams with the given IDs.
func newGatewayGroup(t *testing.T, n int, upstreams ...string) *gatewayGroup {
	t.Helper()
	g := &gatewayGroup{upstreams: make(map[string]*limitedUpstream), cfg: newConfig()}
	for _, id := range upstreams {
		g.upstreams[id+":1"] = &limitedUpstream{id: id, start: time.Now()}
		g.cfg.Upstreams = append(g.cfg.Upstreams, &catalogpb.Upstream{
			Id: id, Address: id + ":1", Zone: "a", Pool: "p", Slots: 100, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	for i := range n {
		g.cfg.Entries = append(g.cfg.Entries, &catalogpb.Entry{Id: fmt.Sprint("g", i)})
	}
	for i := range n {
		g.forwarders = append(g.forwarders, g.newForwarder(t, fmt.Sprint("g", i)))
	}
	t.Cleanup(func() {
		for _, c := range g.conns {
			_ = c.Close()
		}
	})
	return g
}

func (g *gatewayGroup) newForwarder(t *testing.T, id string) *Forwarder {
	st := newState(id, "a", 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
	st.applyConfig(configview.New(g.cfg))
	metrics := telemetry.NewMetrics("gateway", id)
	t.Cleanup(func() { _ = metrics.Close() })
	var mu sync.Mutex
	dial := func(_ context.Context, address string) (net.Conn, error) {
		near, far := net.Pipe()
		mu.Lock()
		defer mu.Unlock()
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
	})
}

// callResults counts the answers to callers.
type callResults struct {
	mu              sync.Mutex
	served, refused int
	// slowestRefusal is the longest time from a call to its refusal.
	slowestRefusal time.Duration
}

// sendCalls sends a call to each gateway every interval until duration has
// passed, and waits for their answers.
func (g *gatewayGroup) sendCalls(interval, duration time.Duration) *callResults {
	results := &callResults{}
	var calls sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for _, f := range g.forwarders {
			calls.Go(func() { results.call(f) })
		}
	}
	calls.Wait()
	return results
}

func (c *callResults) call(f *Forwarder) {
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	w := httptest.NewRecorder()
	start := time.Now()
	f.ServeHTTP(w, r)
	_, _ = io.Copy(io.Discard, w.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Code == http.StatusOK {
		c.served++
		return
	}
	c.refused++
	c.slowestRefusal = max(c.slowestRefusal, time.Since(start))
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
				g.sendCalls(100*time.Millisecond, 20*time.Second)
				u.assertBound(t, tc.perSecond, named+limitContact, time.Since(u.start))
			})
		})
	}
}
