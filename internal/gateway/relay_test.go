package gateway

import (
	"bytes"
	"context"
	crand "crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// relayGateway is a gateway on localhost that relays calls to others.
type relayGateway struct {
	*Forwarder
	callers, cluster *httptest.Server
	// relayed counts the calls that others have relayed to it.
	relayed atomic.Int32
	// cut is set while no connection to an upstream opens.
	cut atomic.Bool
	// down is set while no other gateway can connect to this one.
	down atomic.Bool
	// answer replaces the handler of relayed calls.
	answer atomic.Pointer[http.HandlerFunc]
}

// relayKey differs from that of other test processes on this machine, which may call
// a port that was theirs.
var relayKey = "Bearer " + crand.Text()

// startRelayGateways starts gateways g0 to g<n-1>, of which the first lost ones have
// no way to any upstream.
func startRelayGateways(t *testing.T, n, lost int, upstreams ...*fakeUpstream) []*relayGateway {
	t.Helper()
	cfg := newConfig(upstreams...)
	var gateways []*relayGateway
	for i := range n {
		g := &relayGateway{}
		g.cluster = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != RelayPath || r.Header.Get("Authorization") != relayKey {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			if answer := g.answer.Load(); answer != nil {
				answer.ServeHTTP(w, r)
				return
			}
			g.relayed.Add(1)
			g.RelayHandler().ServeHTTP(w, r)
		}))
		t.Cleanup(g.cluster.Close)
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: fmt.Sprint("g", i), Zone: "a", ClusterAddress: g.cluster.Listener.Addr().String()})
		gateways = append(gateways, g)
	}
	for i, g := range gateways {
		st := newState(fmt.Sprint("g", i), "a", 0.8, retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second})
		st.applyConfig(configview.New(cfg))
		// A gateway that has just been registered has no slack for retries yet.
		st.started = st.started.Add(-time.Minute)
		metrics := telemetry.NewMetrics("gateway", st.gatewayID)
		t.Cleanup(func() { _ = metrics.Close() })
		g.cut.Store(i < lost)
		g.Forwarder = newForwarder(st, upstreamconn.NewPool(g.dialUpstream), ForwarderOptions{
			Headers: DefaultHeaders(),
			Crashes: &crashRecorder{},
			Limiter: admission.NewLimiter(100),
			Metrics: telemetry.NewGatewayMetrics(metrics.Scope),
			Closed:  func() bool { return false },
			DialGateway: func(ctx context.Context, address string) (net.Conn, error) {
				for _, other := range gateways {
					if other.cluster.Listener.Addr().String() == address && other.down.Load() {
						return nil, syscall.ECONNREFUSED
					}
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			},
			Authorize: func(h http.Header) { h.Set("Authorization", relayKey) },
			Context:   t.Context(),
		})
		g.cluster.Start()
		g.callers = httptest.NewServer(g.Forwarder)
		t.Cleanup(g.callers.Close)
		if i < lost {
			g.loseUpstreams()
		}
	}
	return gateways
}

func (g *relayGateway) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	if g.cut.Load() {
		return nil, syscall.ECONNREFUSED
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
}

// loseUpstreams records failures of all upstreams, so that they count as lost. They are
// recorded as one event: the gateway probes upstreams from the first failure on.
func (g *relayGateway) loseUpstreams() {
	g.updateReach(func(tr *reach.Tracker) {
		for _, at := range []time.Duration{0, time.Second} {
			for _, u := range g.state.config.Load().Upstreams {
				tr.RecordNotOpened(at, reach.Upstream{ID: u.Id, Zone: u.Zone, Pool: u.Pool})
			}
		}
	})
}

// regainUpstreams lets connections to upstreams open again, and waits until the gateway
// has noticed.
func (g *relayGateway) regainUpstreams(t *testing.T) {
	t.Helper()
	g.cut.Store(false)
	waitUntil(t, "the gateway still counts the upstreams as lost", func() bool { return g.upstreamsLost() == reach.None })
}

func (g *relayGateway) request(t *testing.T, method, path string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, g.callers.URL+path, body)
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	return r
}

// get sends a call to the gateway and returns the status, the body and the header.
func (g *relayGateway) get(t *testing.T, method, path string) (int, string, http.Header) {
	t.Helper()
	resp, err := http.DefaultClient.Do(g.request(t, method, path, nil))
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body), resp.Header
}

func TestRelayedCallArrivesUnchanged(t *testing.T) {
	const target = "/safe/a%2Fb//c?q=%20&x=y;z"
	for _, size := range []int{0, 100, 3 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, chunked), func(t *testing.T) {
				sent := bytes.Repeat([]byte("0123456789"), size/10)
				s := startFakeUpstream(t, "u1", nil)
				var mu sync.Mutex
				var seen *http.Request
				var arrived []byte
				s.respond = s.responder(201, servedByHeader+"X-Answer: a\r\nX-Answer: b\r\n", "whole")
				s.onBody = func(r *http.Request, body []byte) {
					mu.Lock()
					defer mu.Unlock()
					if r.URL.Path != "/health" {
						seen, arrived = r, body
					}
				}
				gateways := startRelayGateways(t, 2, 1, s)
				var body io.Reader = bytes.NewReader(sent)
				if chunked {
					body = io.MultiReader(body)
				}
				r := gateways[0].request(t, http.MethodPut, target, body)
				r.Header.Set("Authorization", "Basic caller")
				r.Header["X-Many"] = []string{"1", "2"}
				resp, err := http.DefaultClient.Do(r)
				assert.NilError(t, err)
				defer resp.Body.Close()
				answer, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, 201)
				assert.Equal(t, string(answer), "whole")
				assert.DeepEqual(t, resp.Header.Values("X-Answer"), []string{"a", "b"})
				assert.Equal(t, gateways[1].relayed.Load(), int32(1))
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, seen.Method, http.MethodPut)
				assert.Equal(t, seen.RequestURI, target)
				assert.Equal(t, seen.Host, "host.example")
				assert.Equal(t, seen.Header.Get("Authorization"), "Basic caller")
				assert.DeepEqual(t, seen.Header.Values("X-Many"), []string{"1", "2"})
				assert.Assert(t, bytes.Equal(arrived, sent))
				for _, h := range []http.Header{seen.Header, resp.Header} {
					for name := range h {
						assert.Assert(t, !strings.HasPrefix(name, "Balsam-Relay"), name)
					}
				}
			})
		}
	}
}

// TestRelayedCallKeepsItsDeadline checks that the upstream is told no more time than
// the caller's deadline or the route leaves, and that the other gateway does not
// take the time that is left for the timeout that callers of the route state.
func TestRelayedCallKeepsItsDeadline(t *testing.T) {
	for _, tc := range []struct {
		stated        string
		most, longest time.Duration
	}{{"", 2 * time.Second, 0}, {"500", 500 * time.Millisecond, 500 * time.Millisecond}, {"60000", 2 * time.Second, time.Minute}} {
		s := startFakeUpstream(t, "u1", nil)
		respondOK(s)
		told := make(chan string, 1)
		s.onRequest = func(r *http.Request) {
			if r.URL.Path != "/health" {
				told <- r.Header.Get("Balsam-Timeout-Ms")
			}
		}
		gateways := startRelayGateways(t, 2, 1, s)
		r := gateways[0].request(t, http.MethodGet, "/safe/x", nil)
		if tc.stated != "" {
			r.Header.Set("Balsam-Timeout-Ms", tc.stated)
		}
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 200)
		ms, err := strconv.Atoi(<-told)
		assert.NilError(t, err)
		assert.Assert(t, time.Duration(ms)*time.Millisecond <= tc.most, "%d ms", ms)
		st := gateways[1].state
		st.mu.Lock()
		longest := time.Duration(0)
		if known := st.timeouts["safe"]; known != nil {
			longest = slices.Max(known.recent)
		}
		st.mu.Unlock()
		assert.Assert(t, longest <= tc.longest && longest >= tc.longest/2, "%s", longest)
	}
}

func TestHeadIsRelayed(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nBalsam-Request-Id: r1\r\n%sContent-Length: 70\r\n\r\n", servedByHeader)
		return true
	})
	status, body, _ := startRelayGateways(t, 2, 1, s)[0].get(t, http.MethodHead, "/safe/x")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "")
}

// TestCallIsRelayedOnce lets two of three gateways lose the upstreams: one that has
// no way itself must not relay a call that it gets from another one.
func TestCallIsRelayedOnce(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	gateways := startRelayGateways(t, 3, 2, s)
	for range 20 {
		status, _, _ := gateways[0].get(t, http.MethodPost, "/unsafe/x")
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, len(s.requests()), 20)
	assert.Equal(t, gateways[2].relayed.Load(), int32(20))
	assert.Equal(t, gateways[0].relayed.Load(), int32(0))
}

func TestCallIsRefusedIfNoGatewayHasAWay(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	gateways := startRelayGateways(t, 3, 3, s)
	status, _, h := gateways[0].get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, 503)
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	assert.Assert(t, h.Get("Retry-After") != "")
	assert.Equal(t, len(s.requests()), 0)
}

// TestBrokenRelayIsNotSentAgain breaks the connection to the other gateway after
// the request has arrived there. The outcome is unknown, even if the request may be
// repeated: the other gateway may have made all attempts.
func TestBrokenRelayIsNotSentAgain(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	gateways := startRelayGateways(t, 3, 1, s)
	var arrived atomic.Int32
	for _, g := range gateways[1:] {
		abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			panic(http.ErrAbortHandler)
		})
		g.answer.Store(&abort)
	}
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		arrived.Store(0)
		status, _, h := gateways[0].get(t, http.MethodPost, path)
		assert.Equal(t, status, 502)
		assert.Equal(t, h.Get(fault.HeaderRun), string(fault.RunUnknown))
		assert.Equal(t, arrived.Load(), int32(1))
	}
}

// TestErrorOfOtherGatewayIsPassedOn lets the upstream break the connection: the
// caller must get the error of the gateway that made the attempt.
func TestErrorOfOtherGatewayIsPassedOn(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool { return false })
	gateways := startRelayGateways(t, 2, 1, s)
	status, _, h := gateways[0].get(t, http.MethodPost, "/unsafe/x")
	assert.Equal(t, status, 502)
	assert.Equal(t, h.Get(fault.HeaderKind), string(fault.UpstreamBroken))
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.RunUnknown))
	assert.Equal(t, len(s.requests()), 1)
}

// TestRelayedResponseThatBreaksOffAbortsTheCaller breaks off a response that is too
// large to be buffered.
func TestRelayedResponseThatBreaksOffAbortsTheCaller(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(w io.Writer, _ *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nBalsam-Request-Id: r1\r\n%sContent-Length: %d\r\n\r\n", servedByHeader, 4<<20)
		_, _ = w.Write(make([]byte, 3<<20))
		return false
	})
	resp, err := http.DefaultClient.Do(startRelayGateways(t, 2, 1, s)[0].request(t, http.MethodGet, "/safe/x", nil))
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "a part of the response was taken for all of it")
}

func TestLargeResponseIsRelayed(t *testing.T) {
	whole := strings.Repeat("0123456789", 300<<10)
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(200, servedByHeader, whole)
	status, body, _ := startRelayGateways(t, 2, 1, s)[0].get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, 200)
	assert.Assert(t, body == whole)
}

// TestCallerDisconnectCancelsRelayedCall checks that the upstream sees the end of
// its connection when the caller of the other gateway leaves.
func TestCallerDisconnectCancelsRelayedCall(t *testing.T) {
	started := make(chan struct{}, 1)
	left := make(chan struct{})
	s := startFakeUpstream(t, "u1", nil)
	s.respond = func(w io.Writer, _ *http.Request) bool {
		started <- struct{}{}
		// The end of the connection is seen by reading from it.
		_, _ = w.(net.Conn).Read(make([]byte, 1))
		close(left)
		return false
	}
	ctx, cancel := context.WithCancel(t.Context())
	r := startRelayGateways(t, 2, 1, s)[0].request(t, http.MethodGet, "/safe/x", nil).WithContext(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := http.DefaultClient.Do(r)
		assert.Check(t, err != nil)
	}()
	<-started
	cancel()
	<-done
	<-left
}

// TestAttemptsHoldOverRelays relays a call of which one attempt may have run
// already. With two attempts allowed, the other gateway may make one.
func TestAttemptsHoldOverRelays(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool { return false })
	s2 := startFakeUpstream(t, "u2", func(io.Writer, *http.Request) bool { return false })
	g := startRelayGateways(t, 2, 1, s, s2)[1]
	for ran, want := range []int{2, 1} {
		before := len(s.requests()) + len(s2.requests())
		r := g.request(t, http.MethodGet, "/safe/x", nil)
		r.Header.Set(relayTarget, "/safe/x")
		r.Header.Set(relayCaller, "10.0.0.1")
		r.Header.Set(relaySends, fmt.Sprint(ran))
		r.Header.Set(relayRan, fmt.Sprint(ran))
		r.Header.Set(relayLeft, "2000")
		w := httptest.NewRecorder()
		g.RelayHandler().ServeHTTP(w, r)
		assert.Equal(t, w.Code, 502)
		assert.Equal(t, len(s.requests())+len(s2.requests())-before, want)
	}
}

// TestRelayedCallIsCountedOnce checks that the retry budgets of both gateways
// together count a call once.
func TestRelayedCallIsCountedOnce(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	gateways := startRelayGateways(t, 2, 1, s)
	limits := retry.Limits{Ratio: 1, Window: 10 * time.Second}
	for range 7 {
		status, _, _ := gateways[0].get(t, http.MethodGet, "/safe/x")
		assert.Equal(t, status, 200)
	}
	counted := 0.0
	for _, g := range gateways {
		g.state.mu.Lock()
		counted += g.state.retryBudget("p").Remaining(g.state.now(), limits, retry.Share{EntryVMs: 2})
		g.state.mu.Unlock()
	}
	// The budget uses a part of the ratio.
	assert.Assert(t, counted > 6 && counted < 7, "%f", counted)
}

// TestGatewayThatCannotRelayIsNotReady lets a gateway lose all upstreams. It must be
// ready while another can carry its calls, and while the others have lost them too,
// but not while the others cannot be reached.
func TestGatewayThatCannotRelayIsNotReady(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lost  int
		close bool
		want  bool
	}{
		{"no gateway has lost them", 0, false, true},
		{"another gateway carries calls", 1, false, true},
		{"all gateways have lost them", 2, false, true},
		{"the other gateway is unreachable", 1, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startFakeUpstream(t, "u1", nil)
			respondOK(s)
			gateways := startRelayGateways(t, 2, tc.lost, s)
			if tc.close {
				gateways[1].down.Store(true)
			}
			_, _, _ = gateways[0].get(t, http.MethodGet, "/safe/x")
			assert.Equal(t, gateways[0].canServe(), tc.want)
		})
	}
}

// TestRelayedAnswerOfLeavingUpstreamCounts relays a call whose answer says that the
// upstream is leaving. Once it reaches upstreams again, the gateway that has passed
// the answer on must send that upstream nothing.
func TestRelayedAnswerOfLeavingUpstreamCounts(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(200, servedByHeader+"Balsam-Leaving: 1\r\n", "whole")
	gateways := startRelayGateways(t, 2, 1, s)
	g := gateways[0]
	status, _, h := g.get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, 200)
	assert.Equal(t, h.Get("Balsam-Leaving"), "1")
	for name := range h {
		assert.Assert(t, !strings.HasPrefix(name, "Balsam-Relay"), "caller gets header %s", name)
	}
	g.regainUpstreams(t)
	before := len(s.requests())
	status, _, _ = g.get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.requests()), before)
}

// TestNewConnectionsAreNoticedAtTheConnectionBound lets a gateway lose new connections
// for a moment while it has as many open as are allowed. It must notice that they open
// again.
func TestNewConnectionsAreNoticedAtTheConnectionBound(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	cfg := newConfig(s)
	cfg.Revision = 2
	// An equal part of one half of them is one connection.
	cfg.Pools[0].MaxConnections = 2
	cfg.Entries = []*catalogpb.Entry{{Id: "g0"}}
	g := startRelayGateways(t, 1, 0, s)[0]
	g.state.applyConfig(configview.New(cfg))
	status, _, _ := g.get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, 200)
	lost := g.reach.lostSignal()
	g.loseUpstreams()
	select {
	case <-lost:
	default:
		t.Fatal("the loss was not counted")
	}
	waitUntil(t, "the gateway still counts new connections as lost", func() bool { return g.upstreamsLost() == reach.None })
}

// TestRouteThatAnotherGatewayLacksClosesItToNoOtherRoute relays a call on a route that
// the other gateway does not have, and then one on a route that it has.
func TestRouteThatAnotherGatewayLacksClosesItToNoOtherRoute(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	g := startRelayGateways(t, 2, 1, s)
	cfg := proto.CloneOf(g[1].state.config.Load())
	cfg.StateVersion, cfg.Revision = 2, 2
	cfg.Routes = cfg.Routes[:1]
	g[1].state.applyConfig(configview.New(cfg))
	status, _, _ := g[0].get(t, http.MethodPost, "/unsafe/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _, _ = g[0].get(t, http.MethodGet, "/safe/x")
	assert.Equal(t, status, http.StatusOK)
}
