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
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// fakeUpstream is an upstream that reports load in its health responses and
// answers other requests with respond.
type fakeUpstream struct {
	id      string
	address string
	// respond writes the response to a request; if it returns false, the
	// connection is closed.
	respond func(w io.Writer, r *http.Request) bool
	// respondHealth writes the response to a health request; if it returns false,
	// the connection is closed. nil means a response with the load.
	respondHealth func(w io.Writer) bool
	// onRequest is called with each request, also health requests; nil means that
	// nothing is called.
	onRequest func(r *http.Request)
	// onBody is called with each request and its whole body; nil means that nothing
	// is called.
	onBody func(r *http.Request, body []byte)

	mu     sync.Mutex
	load   string
	coldMs int
	// received holds the IDs of the requests, without health requests.
	received []string
	// connClosed receives a value for each connection that ends.
	connClosed chan struct{}
}

func (s *fakeUpstream) setLoad(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

func (s *fakeUpstream) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func startFakeUpstream(t *testing.T, id string, respond func(io.Writer, *http.Request) bool) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeUpstream{id: id, address: l.Addr().String(), respond: respond, load: "0 0 2 100", connClosed: make(chan struct{}, 16)}
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

func (s *fakeUpstream) serve(conn net.Conn) {
	defer func() { s.connClosed <- struct{}{} }()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if s.onBody != nil {
			s.onBody(r, body)
		}
		if s.onRequest != nil {
			s.onRequest(r)
		}
		s.mu.Lock()
		load, cold := s.load, s.coldMs
		if r.URL.Path != "/health" {
			s.received = append(s.received, r.Header.Get("Balsam-Request-Id"))
		}
		s.mu.Unlock()
		if r.URL.Path == "/health" && s.respondHealth != nil {
			if !s.respondHealth(conn) {
				return
			}
			continue
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: %s\r\nBalsam-Load: %s\r\nBalsam-Cold-Ms: %d\r\nContent-Length: 0\r\n\r\n", s.id, load, cold)
			continue
		}
		if !s.respond(conn, r) {
			return
		}
	}
}

// responder returns a function that answers with the given status, further
// header lines and body, and keeps the connection open.
func (s *fakeUpstream) responder(status int, header, body string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nBalsam-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, r.Header.Get("Balsam-Request-Id"), header, len(body), body)
		return true
	}
}

const servedByHeader = "Balsam-Upstream: s\r\n"

func respondOK(s *fakeUpstream) { s.respond = s.responder(200, servedByHeader, "whole") }

// fixture is a forwarder to fake upstreams, all in pool p.
type fixture struct {
	state     *state
	forwarder *Forwarder
	server    *httptest.Server
	crashes   *crashRecorder
}

// crashRecorder is a CrashTracker that records the reported crashes.
type crashRecorder struct {
	mu      sync.Mutex
	seen    []quarantine.Crash
	blocked bool
	// completed counts the requests that were recorded as completed.
	completed int
}

func (c *crashRecorder) block() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
}

// counts returns how many requests were recorded as completed and as crashed.
func (c *crashRecorder) counts() (completed, crashed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed, len(c.seen)
}

func (c *crashRecorder) Judge(quarantine.Signature) gossip.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return gossip.Decision{State: quarantine.Quarantined}
	}
	return gossip.Decision{}
}

func (c *crashRecorder) Crashed(_ quarantine.Signature, crash quarantine.Crash, _ bool) *clusterpb.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, crash)
	return nil
}

func (c *crashRecorder) Completed(quarantine.Signature) *clusterpb.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed++
	return nil
}

func (c *crashRecorder) UpstreamGone(string, quarantine.Crash) {}

func (c *crashRecorder) Merge([]*clusterpb.CrashReport) {}

func (c *crashRecorder) ReportsAbout(quarantine.Request) []*clusterpb.CrashReport { return nil }

func newRoute(name string, kind catalogpb.RouteKind) *catalogpb.Route {
	return &catalogpb.Route{
		Name: name, Host: "host.example", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 2_000, TargetLatencyMs: 400,
		MaxAttempts: 2, Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
	}
}

func newConfig(upstreams ...*fakeUpstream) *catalogpb.Config {
	cfg := &catalogpb.Config{
		Revision:     1,
		StateVersion: 1,
		Routes:       []*catalogpb.Route{newRoute("safe", catalogpb.RouteKind_ROUTE_KIND_SAFE), newRoute("unsafe", catalogpb.RouteKind_ROUTE_KIND_UNSAFE)},
		Pools:        []*catalogpb.Pool{{Name: "p", HealthPath: "/health", ColdPerS: 2}},
	}
	for _, u := range upstreams {
		cfg.Upstreams = append(cfg.Upstreams, &catalogpb.Upstream{
			Id: u.id, Address: u.address, Zone: "a", Pool: "p", Slots: 2, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	return cfg
}

func startForwarder(t *testing.T, cfg *catalogpb.Config) *fixture {
	t.Helper()
	return startForwarderWithLog(t, cfg, event.Logger{})
}

func startForwarderWithLog(t *testing.T, cfg *catalogpb.Config, log event.Logger) *fixture {
	t.Helper()
	fx := &fixture{
		state:   newState("g1", "a", 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}),
		crashes: &crashRecorder{},
	}
	if cfg != nil {
		cfg.Entries = []*catalogpb.Entry{{Id: "g1"}}
		fx.state.applyConfig(configview.New(cfg))
	}
	// A gateway that has just started has no slack for retries yet.
	fx.state.started = fx.state.started.Add(-time.Minute)
	metrics := telemetry.NewMetrics("gateway", "g1")
	t.Cleanup(func() { _ = metrics.Close() })
	f := newForwarder(fx.state, upstreamconn.NewPool(nil), ForwarderOptions{
		Headers: DefaultHeaders(),
		Crashes: fx.crashes,
		Limiter: admission.NewLimiter(100),
		Metrics: telemetry.NewGatewayMetrics(metrics.Scope),
		Events:  log,
		Closed:  func() bool { return false },
	})
	fx.forwarder = f
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

func TestCompleteResponseIsForwarded(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	fx := startForwarder(t, newConfig(s))
	status, body, h := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "whole")
	assert.Equal(t, h.Get("Balsam-Upstream"), "s")
}

func TestRequestIsRefusedBeforeSending(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	draining := newConfig(s)
	draining.Upstreams[0].State = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	out := newConfig(s)
	out.Zones = []*catalogpb.Zone{{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_OUT}}
	cases := []struct {
		name, path, deadline string
		config               *catalogpb.Config
		status               int
	}{
		{"no desired state yet", "/safe/x", "", nil, 503},
		{"no route", "/other/x", "", newConfig(s), 404},
		{"route without its slash", "/safe", "", newConfig(s), 404},
		{"no upstream", "/safe/x", "", newConfig(), 503},
		{"only a draining upstream", "/safe/x", "", draining, 503},
		{"only upstream is in a zone that is out", "/safe/x", "", out, 503},
		{"timeout that is not a number", "/safe/x", "soon", newConfig(s), 400},
	}
	for _, c := range cases {
		status, _, h := startForwarder(t, c.config).call(t, http.MethodGet, c.path, c.deadline)
		assert.Equal(t, status, c.status, c.name)
		if status == 503 {
			pause, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
			assert.NilError(t, err, c.name)
			assert.Assert(t, pause > 0 && pause < 1, c.name)
		}
	}
	assert.Equal(t, len(s.requests()), 0)
}

// TestBrokenAttemptIsRetriedOnlyWhenRepeatable sends requests to an upstream that
// fails in different ways after it has received them. A request that must run
// only once must not be retried and gets a 502 with an unknown outcome; a
// repeatable one gets its response from another upstream.
func TestBrokenAttemptIsRetriedOnlyWhenRepeatable(t *testing.T) {
	cases := []struct {
		name    string
		respond func(s *fakeUpstream) func(io.Writer, *http.Request) bool
	}{
		{"closed", func(*fakeUpstream) func(io.Writer, *http.Request) bool {
			return func(io.Writer, *http.Request) bool { return false }
		}},
		{"cut off", func(*fakeUpstream) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n%sContent-Length: 9\r\n\r\npart", servedByHeader)
				return false
			}
		}},
		{"garbage", func(*fakeUpstream) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				_, _ = io.WriteString(w, "garbage\r\n\r\n")
				return false
			}
		}},
		{"response to another request", func(*fakeUpstream) func(io.Writer, *http.Request) bool {
			return func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r0\r\n%sContent-Length: 1\r\n\r\nx", servedByHeader)
				return false
			}
		}},
		{"success without the header of an upstream that ran it", func(s *fakeUpstream) func(io.Writer, *http.Request) bool { return s.responder(200, "", "x") }},
		{"503 that does not say whether it ran", func(s *fakeUpstream) func(io.Writer, *http.Request) bool {
			return s.responder(503, servedByHeader, "x")
		}},
	}
	for _, c := range cases {
		bad := startFakeUpstream(t, "bad", nil)
		bad.respond = c.respond(bad)
		good := startFakeUpstream(t, "good", nil)
		respondOK(good)
		good.setLoad("1 0 2 115")
		fx := startForwarder(t, newConfig(bad, good))
		status, body, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, 200, c.name)
		assert.Equal(t, body, "whole", c.name)

		fx = startForwarder(t, newConfig(bad, good))
		before := len(good.requests())
		status, _, h := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, status, 502, c.name)
		assert.Equal(t, h.Get(fault.HeaderRun), string(fault.RunUnknown), c.name)
		assert.Equal(t, len(good.requests()), before, "%s: request was retried", c.name)
	}
}

// TestRequestNotRunIsSentToAnotherUpstream sends requests to an upstream that
// refuses them without running them: because it is full, or because its address
// now belongs to another upstream. Even a request that must run only once may
// then be retried; without another upstream the refusal says that it did not
// run.
func TestRequestNotRunIsSentToAnotherUpstream(t *testing.T) {
	for _, status := range []int{503, 429, 421} {
		bad := startFakeUpstream(t, "bad", nil)
		bad.respond = bad.responder(status, "Balsam-Not-Run: 1\r\n", "")
		good := startFakeUpstream(t, "good", nil)
		respondOK(good)
		good.setLoad("1 0 2 115")
		fx := startForwarder(t, newConfig(bad, good))
		got, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, got, 200, "%d", status)
		assert.Equal(t, body, "whole")
		assert.Equal(t, len(bad.requests()), 1)

		fx = startForwarder(t, newConfig(bad))
		got, _, h := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, got, 503, "%d", status)
		assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	}
}

func TestUpstreamErrorResponseIsForwarded(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(500, servedByHeader, "its own")
	fx := startForwarder(t, newConfig(s))
	status, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
	assert.Equal(t, status, 500)
	assert.Equal(t, body, "its own")
	assert.Equal(t, len(s.requests()), 1)
}

// TestSilentUpstreamTimesOutAtDeadline sends a request to an upstream that never
// responds. The caller must get a 504 at its deadline, and the connection to the
// upstream must be closed.
func TestSilentUpstreamTimesOutAtDeadline(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool { return true })
	fx := startForwarder(t, newConfig(s))
	start := time.Now()
	status, _, _ := fx.call(t, http.MethodPost, "/unsafe/x", "150")
	assert.Equal(t, status, 504)
	assert.Assert(t, time.Since(start) >= 150*time.Millisecond)
	<-s.connClosed
}

// TestCallerDisconnectCancelsRequest closes the connection of the caller while an
// upstream works. The connection to the upstream must be closed and the request
// not retried.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	started := make(chan struct{}, 1)
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool {
		started <- struct{}{}
		return true
	})
	fx := startForwarder(t, newConfig(s))
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
	<-started
	cancel()
	<-done
	<-s.connClosed
	assert.Equal(t, len(s.requests()), 1, "request was retried for a caller that has disconnected")
}

// TestColdUpstreamIsRateLimited sends 20 calls to a pool whose only upstream is
// cold. Those over the rate for cold upstreams must be refused.
func TestColdUpstreamIsRateLimited(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.coldMs = 60_000
	fx := startForwarder(t, newConfig(s))
	for range 20 {
		status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "60")
		assert.Assert(t, status == 200 || status == 503, "%d", status)
	}
	assert.Assert(t, len(s.requests()) <= 6, "%d", len(s.requests()))
}

// TestFreedSlotsGoToWaitingCalls sends a burst of calls to one upstream with two
// slots. Calls that wait must get the slots that become free, and no more than
// two may run at once.
func TestFreedSlotsGoToWaitingCalls(t *testing.T) {
	var mu sync.Mutex
	running, most := 0, 0
	var s *fakeUpstream
	s = startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
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
		return s.responder(200, servedByHeader+load, "whole")(w, r)
	})
	fx := startForwarder(t, newConfig(s))
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
	assert.Assert(t, most <= 2, "%d requests ran at once", most)
	assert.Assert(t, served >= 2, "%d calls were served", served)
}

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	fx := startForwarder(t, newConfig(s))
	fx.crashes.block()
	status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 503)
	assert.Equal(t, len(s.requests()), 0)
}

// TestRequestQuarantinedDuringItsWaitIsNotSent guards against a call that is sent on
// what was known when it began to wait for an upstream.
func TestRequestQuarantinedDuringItsWaitIsNotSent(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.setLoad("2 0 2 100")
	fx := startForwarder(t, newConfig(s))
	freed := make(chan struct{})
	go func() {
		defer close(freed)
		for waiting := 0; waiting == 0; time.Sleep(time.Millisecond) {
			fx.state.mu.Lock()
			waiting = fx.state.queue("p").waiters.Len()
			fx.state.mu.Unlock()
		}
		fx.crashes.block()
		s.setLoad("0 0 2 100")
	}()
	status, _, h := fx.call(t, http.MethodGet, "/safe/x", "")
	<-freed
	assert.Equal(t, status, 503)
	assert.Equal(t, h.Get(fault.HeaderKind), string(fault.Quarantined))
	assert.Equal(t, len(s.requests()), 0)
}

// TestTimeoutOfUpstreamClearsNoSuspicion guards against a crashing request that is
// cleared because an upstream has given up on it before it could end.
func TestTimeoutOfUpstreamClearsNoSuspicion(t *testing.T) {
	for status, completed := range map[int]int{200: 1, 404: 1, 500: 1, 504: 0} {
		s := startFakeUpstream(t, "u1", nil)
		s.respond = s.responder(status, servedByHeader, "")
		fx := startForwarder(t, newConfig(s))
		got, _, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Equal(t, got, status)
		assert.Equal(t, fx.crashes.completed, completed, "status %d", status)
	}
}

// TestStreamedResponsesCountAsEvidence guards against a request with a long response
// that is never cleared, or never suspected, because its response is forwarded before
// it has arrived completely.
func TestStreamedResponsesCountAsEvidence(t *testing.T) {
	const length = 2 * maxBufferedResponse
	for sent, want := range map[int]struct{ completed, crashed int }{length: {1, 0}, length - 1: {0, 1}} {
		var ended atomic.Bool
		s := startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nBalsam-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
				r.Header.Get("Balsam-Request-Id"), servedByHeader, length, strings.Repeat("x", sent))
			ended.Store(sent < length)
			return sent == length
		})
		s.respondHealth = func(w io.Writer) bool {
			if ended.Load() {
				return false
			}
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: 0 0 2 100\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		fx := startForwarder(t, newConfig(s))
		r, err := http.NewRequest(http.MethodGet, fx.server.URL+"/safe/x", nil)
		assert.NilError(t, err)
		r.Host = "host.example"
		r.Header.Set("Balsam-Request-Id", "r1")
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.Equal(t, err == nil, sent == length)
		assert.NilError(t, resp.Body.Close())
		// The last byte reaches the caller before the gateway records the outcome.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if completed, crashed := fx.crashes.counts(); completed+crashed == 0 {
				return poll.Continue("%d bytes: no outcome recorded", sent)
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
		completed, crashed := fx.crashes.counts()
		assert.Equal(t, completed, want.completed, "%d bytes", sent)
		assert.Equal(t, crashed, want.crashed, "%d bytes", sent)
	}
}
