package gateway

import (
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// A gateway whose state may be out of date must not tell a caller that there is no
// such route, or that its body is too large: the newest state may say otherwise. It
// must refuse the call as one that has not run and may be repeated, and go on
// serving the routes that it knows.
func TestUnconfirmedStateIsNoReasonToDenyACall(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	cfg := newConfig(s)
	cfg.CallerLimits = &catalogpb.CallerLimits{MaxBodyBytes: 10}
	fx := startForwarder(t, cfg)
	// Calls read the age after they have been answered, too.
	var age atomic.Int64
	fx.state.sinceNewest = func() time.Duration { return time.Duration(age.Load()) }
	for _, c := range []struct {
		name      string
		age       time.Duration
		confirmed bool
	}{
		{"just confirmed", 0, true},
		{"a renewal is held open", time.Second, true},
		{"change acknowledged since then may have to be in force", 2 * time.Second, false},
		{"cut off from control, or frozen", time.Minute, false},
		{"no lease since the start, or suspended", math.MaxInt64, false},
	} {
		age.Store(int64(c.age))
		status, _, h := fx.call(t, http.MethodGet, "/new/x", "")
		assertDenied(t, c.name, c.confirmed, http.StatusNotFound, status, h)
		for _, chunked := range []bool{false, true} {
			status, h := fx.post(t, "/unsafe/x", strings.Repeat("x", 11), chunked)
			assertDenied(t, c.name, c.confirmed, http.StatusRequestEntityTooLarge, status, h)
		}
		status, body, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, http.StatusOK, c.name)
		assert.Equal(t, body, "whole", c.name)
	}
}

// assertDenied checks the answer to a call that the state held does not allow.
func assertDenied(t *testing.T, name string, confirmed bool, denial, status int, h http.Header) {
	t.Helper()
	if confirmed {
		assert.Equal(t, status, denial, name)
		return
	}
	assert.Equal(t, status, http.StatusServiceUnavailable, name)
	pause, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err, name)
	assert.Assert(t, pause > 0 && pause < 1, name)
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun), name)
}

// post sends a body, in chunks if its length is not to be stated.
func (fx *fixture) post(t *testing.T, path, body string, chunked bool) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	if chunked {
		r.ContentLength = -1
	}
	r.Host = "host.example"
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode, resp.Header
}

// cuttableLink forwards connections to an address until it is cut.
type cuttableLink struct {
	listener net.Listener

	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

func newCuttableLink(t *testing.T, address string) *cuttableLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &cuttableLink{listener: listener}
	t.Cleanup(func() {
		_ = listener.Close()
		l.setDown(true)
	})
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			l.forward(near, address)
		}
	}()
	return l
}

func (l *cuttableLink) forward(near net.Conn, address string) {
	far, err := net.Dial("tcp", address)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || l.down {
		_ = near.Close()
		if err == nil {
			_ = far.Close()
		}
		return
	}
	l.conns = append(l.conns, near, far)
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
		}()
	}
}

// setDown cuts the link, with all its connections, or repairs it.
func (l *cuttableLink) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// TestGatewayWithoutControlDoesNotDenyNewRoutes adds a route while a gateway cannot
// reach control. From 2 s after the acknowledgement, when a change must be in force,
// the gateway must not answer a call on the route with 404. It must serve the route
// once it reaches control again.
func TestGatewayWithoutControlDoesNotDenyNewRoutes(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	var link *cuttableLink
	admin, control := startControlBehind(t, func(listen string) string {
		link = newCuttableLink(t, listen)
		return link.listener.Addr().String()
	})
	apply := func(version uint64, routes ...*catalogpb.Route) {
		waitUntil(t, "control did not accept the state", func() bool {
			state := &catalogpb.DesiredState{Version: version, Routes: append(newConfig().Routes, routes...), Pools: newConfig().Pools}
			_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
			return err == nil
		})
	}
	apply(1)
	upstream := newConfig(s).Upstreams[0]
	upstream.Sequence = 1
	_, err := admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: upstream})
	assert.NilError(t, err)
	g := startSystemGateway(t, "g1", control)
	status := func() int {
		code, err := g.get(t, "/new/x")
		assert.NilError(t, err)
		return code
	}
	waitUntil(t, "a gateway with the newest state did not deny an unknown route", func() bool { return status() == http.StatusNotFound })

	link.setDown(true)
	apply(2, newRoute("new", catalogpb.RouteKind_ROUTE_KIND_SAFE))
	time.Sleep(2 * time.Second)
	for range 20 {
		assert.Equal(t, status(), http.StatusServiceUnavailable)
		time.Sleep(20 * time.Millisecond)
	}
	link.setDown(false)
	waitUntil(t, "the new route is not served", func() bool { return status() == http.StatusOK })
}
