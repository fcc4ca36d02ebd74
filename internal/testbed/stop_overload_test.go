package testbed

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// busyUpstream runs as many requests at a time as it has slots, each for busyWork, and
// refuses more without running them.
type busyUpstream struct {
	id      string
	running atomic.Int64
}

const (
	busySlots = 2
	busyWork  = 150 * time.Millisecond
	// busyTimeout and busyTarget are longer than a gateway takes to stop: a call may
	// still wait for an upstream when the process ends.
	busyTimeout = 10 * time.Second
	busyTarget  = 8 * time.Second
)

func (u *busyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Balsam-Upstream", u.id)
	w.Header().Set("Balsam-Request-Id", r.Header.Get("Balsam-Request-Id"))
	if r.URL.Path != "/health" {
		defer u.running.Add(-1)
		if u.running.Add(1) > busySlots {
			w.Header().Set("Balsam-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(busyWork)
	}
	w.Header().Set("Balsam-Load", fmt.Sprintf("%d 0 %d 100", u.running.Load(), busySlots))
}

// startBusyUpstreams starts and announces n upstreams.
func (s *gatewaySystem) startBusyUpstreams(n int) {
	s.t.Helper()
	for i := range n {
		u := &busyUpstream{id: fmt.Sprintf("busy-%d", i+1)}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(s.t, err)
		server := &http.Server{Handler: u, ReadHeaderTimeout: readHeaderTimeout}
		go func() { _ = server.Serve(l) }()
		s.t.Cleanup(func() { _ = server.Close() })
		s.askControl("announcement", func(ctx context.Context, a adminpb.Admin) error {
			_, err := a.AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: &catalogpb.Upstream{
				Id: u.id, Address: l.Addr().String(), Zone: zones[i%len(zones)], Pool: gatewayPool, Slots: busySlots,
				State: catalogpb.UpstreamState_UPSTREAM_STATE_READY, Sequence: 1, StartedMs: uint64(time.Now().UnixMilli()),
			}})
			return err
		})
	}
}

// overloadCallers send requests to gateways that still take connections. Each caller
// has one request at a time.
type overloadCallers struct {
	addresses []string
	// ends is the end of the load.
	ends time.Time

	mu sync.Mutex
	// statuses counts the answers, cut describes the requests whose connection ended
	// without one.
	statuses map[int]int
	cut      []string
}

// run sends the requests of one caller.
func (o *overloadCallers) run(seed int) {
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	for i := 0; time.Now().Before(o.ends); i++ {
		address := o.addresses[rng.IntN(len(o.addresses))]
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			// This gateway has stopped.
			time.Sleep(10 * time.Millisecond)
			continue
		}
		o.use(conn, address, fmt.Sprintf("%d-%d", seed, i), rng)
		_ = conn.Close()
	}
}

// use sends requests on the connection until an answer closes it.
func (o *overloadCallers) use(conn net.Conn, address, id string, rng *rand.Rand) {
	reader := bufio.NewReader(conn)
	for i := 0; time.Now().Before(o.ends); i++ {
		_ = conn.SetDeadline(time.Now().Add(2 * busyTimeout))
		_, err := fmt.Fprintf(conn, "GET /busy/x HTTP/1.1\r\nHost: %s\r\nBalsam-Request-Id: %s-%d\r\nBalsam-Timeout-Ms: %d\r\n\r\n", gatewayHost, id, i, busyTimeout.Milliseconds())
		sent := time.Now()
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			o.recordCut(address, time.Since(sent), err)
			return
		}
		o.recordAnswer(resp.StatusCode)
		if resp.StatusCode == http.StatusServiceUnavailable {
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
		if resp.Close {
			return
		}
		time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Millisecond))))
	}
}

func (o *overloadCallers) recordAnswer(status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.statuses[status]++
}

// crossing is the time from the sending of a request to the end of its connection that
// shows that the two have crossed on the way.
const crossing = 200 * time.Millisecond

func (o *overloadCallers) recordCut(address string, after time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if after > crossing {
		o.cut = append(o.cut, fmt.Sprintf("%s after %s: %v", address, after, err))
	}
}

// TestStopsDuringOverloadAnswerQueuedCalls guards against calls that wait for an
// upstream of an overloaded service while their gateway stops, and get no answer. Half
// of the gateways stop one after the other.
func TestStopsDuringOverloadAnswerQueuedCalls(t *testing.T) {
	const gateways, callers = 4, 120
	s := newGatewaySystem(t, 1, "serve_ms = 300\nstop_ms = 1500\n")
	s.askControl("desired state with long timeouts", func(ctx context.Context, a adminpb.Admin) error {
		_, err := a.ApplyState(ctx, &adminpb.ApplyStateRequest{State: &catalogpb.DesiredState{
			Version: 2,
			Routes: []*catalogpb.Route{{
				Name: "busy", Host: gatewayHost, PathPrefix: "/busy/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE,
				TimeoutMs: uint32(busyTimeout.Milliseconds()), TargetLatencyMs: uint32(busyTarget.Milliseconds()),
				MaxAttempts: gatewayMaxAttempts, Shares: []*catalogpb.RouteShare{{Pool: gatewayPool, Weight: 1}},
			}},
			Pools: []*catalogpb.Pool{{Name: gatewayPool, HealthPath: "/health", MaxConnections: 300, ColdPerS: 15}},
		}})
		return err
	})
	s.startBusyUpstreams(2)
	for i := range gateways {
		s.addGateway()
		s.awaitGateway(i)
	}
	s.awaitRegistered(gateways)
	for i := range gateways {
		s.awaitServing(i, "/busy/x")
	}
	o := &overloadCallers{addresses: slices.Clone(s.callers), ends: time.Now().Add(6 * time.Second), statuses: make(map[int]int)}
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() { o.run(i) })
	}
	time.Sleep(time.Second)
	for _, p := range s.entries[:gateways/2] {
		assert.NilError(t, p.stop())
	}
	calls.Wait()
	t.Logf("answers %v, cut %d", o.statuses, len(o.cut))
	assert.Check(t, o.statuses[http.StatusOK] > 50)
	assert.Check(t, len(o.cut) == 0, "%d requests were cut off without an answer: %v", len(o.cut), o.cut)
}
