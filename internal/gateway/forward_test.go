package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upconn"
	"balsamcourse.example/balsamcourse/internal/view"
)

// standIn is an upstream that tells its load and answers requests as act says.
type standIn struct {
	id      string
	address string
	// act writes the answer to a request; false closes the connection.
	act func(w io.Writer, r *http.Request) bool

	mu   sync.Mutex
	load string
	cold int
	ran  []string
	gone chan struct{}
}

func (s *standIn) setLoad(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

func (s *standIn) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

func startStandIn(t *testing.T, id string, act func(io.Writer, *http.Request) bool) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &standIn{id: id, address: l.Addr().String(), act: act, load: "0 0 2 100", gone: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *standIn) serve(conn net.Conn) {
	defer func() { s.gone <- struct{}{} }()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		load, cold := s.load, s.cold
		if r.URL.Path != "/health" {
			s.ran = append(s.ran, r.Header.Get("Balsam-Request-Id"))
		}
		s.mu.Unlock()
		if r.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %s\r\nBalsam-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.id, load, cold)
			continue
		}
		if !s.act(conn, r) {
			return
		}
	}
}

func (s *standIn) answer(status int, extra, body string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nBalsam-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, r.Header.Get("Balsam-Request-Id"), extra, len(body), body)
		return true
	}
}

const stamp = "Balsam-Upstream: s\r\n"

func ok(s *standIn) { s.act = s.answer(200, stamp, "whole") }

// fixture is a forwarder before stand-ins, all of pool p.
type fixture struct {
	world   *world
	server  *httptest.Server
	crashes *crashes
}

// crashes records what the forwarder reports.
type crashes struct {
	mu      sync.Mutex
	seen    []quarantine.Crash
	blocked bool
}

func (c *crashes) Blocked(quarantine.Request) *fault.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return fault.New(fault.Quarantined, "")
	}
	return nil
}

func (c *crashes) Crashed(_ quarantine.Request, crash quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, crash)
}

func (c *crashes) Completed(quarantine.Request) {}

func routeOf(name string, kind catalogpb.RouteKind) *catalogpb.Route {
	return &catalogpb.Route{
		Name: name, Host: "host.example", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 2_000, TargetLatencyMs: 400,
		MaxAttempts: 2, Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
	}
}

func configOf(upstreams ...*standIn) *catalogpb.Config {
	cfg := &catalogpb.Config{
		Revision:     1,
		StateVersion: 1,
		Routes:       []*catalogpb.Route{routeOf("safe", catalogpb.RouteKind_ROUTE_KIND_SAFE), routeOf("unsafe", catalogpb.RouteKind_ROUTE_KIND_UNSAFE)},
		Pools:        []*catalogpb.Pool{{Name: "p", HealthPath: "/health", ColdPerS: 2}},
	}
	for _, u := range upstreams {
		cfg.Upstreams = append(cfg.Upstreams, &catalogpb.Upstream{
			Id: u.id, Address: u.address, Zone: "a", Pool: "p", Slots: 2, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	return cfg
}

func start(t *testing.T, cfg *catalogpb.Config) *fixture {
	t.Helper()
	return startLogged(t, cfg, event.Logger{})
}

func startLogged(t *testing.T, cfg *catalogpb.Config, log event.Logger) *fixture {
	t.Helper()
	fx := &fixture{
		world:   newWorld("g1", "a", 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}),
		crashes: &crashes{},
	}
	if cfg != nil {
		fx.world.adopt(view.New(cfg))
	}
	metrics := telemetry.NewMetrics("gateway", "g1")
	t.Cleanup(func() { _ = metrics.Close() })
	f := newForwarder(fx.world, upconn.NewPool(nil), ForwarderOptions{
		Headers: DefaultHeaders(),
		Crashes: fx.crashes,
		Limiter: admit.NewLimiter(100),
		Metrics: telemetry.NewGatewayMetrics(metrics.Scope),
		Events:  log,
		Leaving: func() bool { return false },
	})
	fx.server = httptest.NewServer(f)
	t.Cleanup(fx.server.Close)
	return fx
}

// call sends one request and returns the status, the body and the header.
func (fx *fixture) call(t *testing.T, method, path, deadlineMs string) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, fx.server.URL+path, strings.NewReader(""))
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	if deadlineMs != "" {
		r.Header.Set("Balsam-Timeout-Ms", deadlineMs)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), resp.Header
}

func TestWholeAnswer(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	fx := start(t, configOf(s))
	status, body, h := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "whole")
	assert.Equal(t, h.Get("Balsam-Upstream"), "s")
}

func TestRefusedWithoutRunning(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	draining := configOf(s)
	draining.Upstreams[0].State = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	out := configOf(s)
	out.Zones = []*catalogpb.Zone{{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_OUT}}
	cases := []struct {
		name, path, deadline string
		config               *catalogpb.Config
		status               int
	}{
		{"no state yet", "/safe/x", "", nil, 503},
		{"no route", "/other/x", "", configOf(s), 404},
		{"route without its slash", "/safe", "", configOf(s), 404},
		{"no upstream", "/safe/x", "", configOf(), 503},
		{"only a draining upstream", "/safe/x", "", draining, 503},
		{"only in a zone that is out", "/safe/x", "", out, 503},
		{"a deadline that is no number", "/safe/x", "soon", configOf(s), 400},
	}
	for _, c := range cases {
		status, _, h := start(t, c.config).call(t, http.MethodGet, c.path, c.deadline)
		assert.Equal(t, status, c.status, c.name)
		if status == 503 {
			pause, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
			assert.NilError(t, err, c.name)
			assert.Assert(t, pause > 0 && pause < 1, c.name)
		}
	}
	assert.Equal(t, len(s.requests()), 0)
}

// TestBrokenAfterSending replays upstreams that break in different ways once a
// request is under way. What may run once only is never sent again and is told
// that its outcome is unknown; what may be repeated gets its answer from
// another upstream.
func TestBrokenAfterSending(t *testing.T) {
	cases := []struct {
		name string
		act  func(s *standIn) func(io.Writer, *http.Request) bool
	}{
		{"closed", func(*standIn) func(io.Writer, *http.Request) bool {
			return func(io.Writer, *http.Request) bool { return false }
		}},
		{"cut off", func(*standIn) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n%sContent-Length: 9\r\n\r\npart", stamp)
				return false
			}
		}},
		{"garbage", func(*standIn) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				_, _ = io.WriteString(w, "garbage\r\n\r\n")
				return false
			}
		}},
		{"an answer to another request", func(*standIn) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r0\r\n%sContent-Length: 1\r\n\r\nx", stamp)
				return false
			}
		}},
		{"a success without the mark", func(s *standIn) func(io.Writer, *http.Request) bool { return s.answer(200, "", "x") }},
		{"503 without a word on whether it ran", func(s *standIn) func(io.Writer, *http.Request) bool { return s.answer(503, stamp, "x") }},
	}
	for _, c := range cases {
		bad := startStandIn(t, "bad", nil)
		bad.act = c.act(bad)
		good := startStandIn(t, "good", nil)
		ok(good)
		good.setLoad("1 0 2 115")
		fx := start(t, configOf(bad, good))
		status, body, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, 200, c.name)
		assert.Equal(t, body, "whole", c.name)

		fx = start(t, configOf(bad, good))
		before := len(good.requests())
		status, _, h := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, status, 502, c.name)
		assert.Equal(t, h.Get(fault.HeaderRun), string(fault.Unknown), c.name)
		assert.Equal(t, len(good.requests()), before, "%s: sent again", c.name)
	}
}

// TestNotRunIsSentElsewhere replays upstreams that refuse before they run a
// request: full ones, and one whose address has passed to another.
func TestNotRunIsSentElsewhere(t *testing.T) {
	for _, status := range []int{503, 429, 421} {
		bad := startStandIn(t, "bad", nil)
		bad.act = bad.answer(status, "Balsam-Not-Run: 1\r\n", "")
		good := startStandIn(t, "good", nil)
		ok(good)
		good.setLoad("1 0 2 115")
		fx := start(t, configOf(bad, good))
		got, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, got, 200, "%d", status)
		assert.Equal(t, body, "whole")
		assert.Equal(t, len(bad.requests()), 1)

		fx = start(t, configOf(bad))
		got, _, h := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, got, 503, "%d", status)
		assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	}
}

func TestOwnErrorsOfTheUpstreamArePassedOn(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	s.act = s.answer(500, stamp, "its own")
	fx := start(t, configOf(s))
	status, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
	assert.Equal(t, status, 500)
	assert.Equal(t, body, "its own")
	assert.Equal(t, len(s.requests()), 1)
}

// TestSilentUpstream replays one that runs a request and says nothing: the
// caller has its answer at the deadline, and the connection ends.
func TestSilentUpstream(t *testing.T) {
	s := startStandIn(t, "u1", func(io.Writer, *http.Request) bool { return true })
	fx := start(t, configOf(s))
	begun := time.Now()
	status, _, _ := fx.call(t, http.MethodPost, "/unsafe/x", "150")
	assert.Equal(t, status, 504)
	assert.Assert(t, time.Since(begun) >= 150*time.Millisecond)
	<-s.gone
}

// TestCallerLeaves closes the caller's connection while an upstream works.
func TestCallerLeaves(t *testing.T) {
	begun := make(chan struct{}, 1)
	s := startStandIn(t, "u1", func(io.Writer, *http.Request) bool {
		begun <- struct{}{}
		return true
	})
	fx := start(t, configOf(s))
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fx.server.URL+"/safe/x", nil)
	assert.NilError(t, err)
	r.Host = "host.example"
	done := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	<-begun
	cancel()
	<-done
	<-s.gone
	assert.Equal(t, len(s.requests()), 1, "not sent again for a caller who has left")
}

// TestColdUpstreamGetsNoMoreThanItBears sends many calls at once to a pool
// whose only upstream is cold.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	s.cold = 60_000
	fx := start(t, configOf(s))
	for range 20 {
		status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "60")
		assert.Assert(t, status == 200 || status == 503, "%d", status)
	}
	assert.Assert(t, len(s.requests()) <= 6, "%d", len(s.requests()))
}

// TestSlotsAreHandedOn replays a burst on one upstream of two slots: the calls
// that wait get the slots that fall free, and no more than two run at once.
func TestSlotsAreHandedOn(t *testing.T) {
	var mu sync.Mutex
	running, most := 0, 0
	var s *standIn
	s = startStandIn(t, "u1", func(w io.Writer, r *http.Request) bool {
		mu.Lock()
		running++
		most = max(most, running)
		s.setLoad(fmt.Sprint(running, " 0 2 100"))
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		load := fmt.Sprintf("Balsam-Load: %d 0 2 100\r\n", running)
		running--
		s.setLoad(fmt.Sprint(running, " 0 2 100"))
		mu.Unlock()
		return s.answer(200, stamp+load, "whole")(w, r)
	})
	fx := start(t, configOf(s))
	var calls sync.WaitGroup
	var served int
	for range 8 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			r, _ := http.NewRequest(http.MethodGet, fx.server.URL+"/safe/x", nil)
			r.Host = "host.example"
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == 200 {
				served++
			}
		}()
	}
	calls.Wait()
	assert.Assert(t, most <= 2, "%d at once", most)
	assert.Assert(t, served >= 2, "%d served", served)
}

func TestBlockedRequestIsNotSent(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	fx := start(t, configOf(s))
	fx.crashes.blocked = true
	status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 503)
	assert.Equal(t, len(s.requests()), 0)
}
