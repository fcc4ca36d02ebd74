package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// suspectGroup returns a group of gateways to which a path is suspect, with the number
// of requests for it that upstreams run, most at once and in all.
func suspectGroup(t *testing.T, work time.Duration) (g *crashGroup, mostAtOnce, ran func() int) {
	t.Helper()
	g = newCrashGroup(t, 0)
	var mu sync.Mutex
	running, most, all := 0, 0, 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		running += n
		most = max(most, running)
		all += max(0, n)
	}
	read := func(n *int) func() int {
		return func() int {
			mu.Lock()
			defer mu.Unlock()
			return *n
		}
	}
	for _, u := range g.upstreams {
		u.setRespond(func(conn net.Conn, r *http.Request) answered {
			if r.URL.Path == "/health" {
				return notAnswered
			}
			count(1)
			time.Sleep(work)
			count(-1)
			return notAnswered
		})
	}
	time.Sleep(time.Second)
	g.forwarders[0].opts.Crashes.Crashed(suspectCall(g, "10.0.0.1").sign(), quarantine.Crash{Upstream: "u0"}, false)
	time.Sleep(100 * time.Millisecond)
	return g, read(&most), read(&all)
}

const suspectPath = "/safe/suspect"

func suspectCall(g *crashGroup, caller string) *call {
	r, _ := http.NewRequest(http.MethodGet, suspectPath, nil)
	r.Host, r.RemoteAddr, r.RequestURI = "host.example", caller+":4000", suspectPath
	return &call{f: g.forwarders[0], r: r, pool: "p"}
}

// TestSuspectRequestsAreSentOneAtATime guards against a crashing request that many
// gateways send before the first of them has seen it crash an upstream.
func TestSuspectRequestsAreSentOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, most, ran := suspectGroup(t, 300*time.Millisecond)
		var calls sync.WaitGroup
		for i := range 40 {
			calls.Go(func() {
				status, _ := g.send(fmt.Sprint("s", i), fmt.Sprint("10.0.0.", i), suspectPath, "")
				assert.Check(t, status == "200", status)
			})
		}
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, most(), 1)
		assert.Equal(t, ran(), 1)
		calls.Wait()
		assert.Assert(t, most() > 1, "the completion of one request did not clear the others")
	})
}

// TestPermitIsNotUsedAfterItHasRunOut guards against a gateway that stood still between
// taking the permit for a trial and sending the request.
func TestPermitIsNotUsedAfterItHasRunOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, _ := suspectGroup(t, 10*time.Millisecond)
		start := time.Now()
		var suspended atomic.Int64
		f := g.forwarders[0]
		f.opts.BootTime = func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
		c := suspectCall(g, "10.0.0.2")
		c.route = f.state.routes.Load().Lookup(c.r.Host, c.r.URL.Path)
		c.arrived, c.deadline, c.ctx = time.Now(), time.Now().Add(time.Minute), t.Context()
		c.signature = c.sign()
		assert.Assert(t, c.waitForTrial() == nil)
		assert.Assert(t, c.mayStillSend())
		suspended.Store(int64(2 * time.Second))
		assert.Assert(t, !c.mayStillSend(), "the permit is still used after the VM was suspended")
		suspended.Store(0)
		c.endTrial(nil)
		time.Sleep(time.Second)
	})
}

// TestLostHolderDoesNotHoldTheTurn guards against requests that are refused for long
// because the gateway that had their turn is gone.
func TestLostHolderDoesNotHoldTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, _ := suspectGroup(t, 10*time.Millisecond)
		lost := g.forwarders[0]
		c := suspectCall(g, "10.0.0.2")
		c.route = lost.state.routes.Load().Lookup(c.r.Host, c.r.URL.Path)
		c.arrived, c.deadline, c.ctx = time.Now(), time.Now().Add(time.Minute), t.Context()
		c.signature = c.sign()
		assert.Assert(t, c.waitForTrial() == nil)
		// The gateway has stopped: it neither renews nor returns the permit.
		c.trial.stopRenewing()
		g.mu.Lock()
		g.forwarders = g.forwarders[1:]
		g.mu.Unlock()
		start := time.Now()
		status, _ := g.send("next", "10.0.0.3", suspectPath, "")
		assert.Equal(t, status, "200")
		assert.Assert(t, time.Since(start) < 2*time.Second, "%s", time.Since(start))
	})
}

// TestSuspectRequestWithoutTimeIsRefusedAtOnce guards against a call that waits for its
// turn until its deadline although the next attempt may only be sent after it.
func TestSuspectRequestWithoutTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, _ := suspectGroup(t, 10*time.Millisecond)
		for i := range 3 {
			// Each crash of a trial delays the next one.
			g.forwarders[0].opts.Crashes.Crashed(suspectCall(g, "10.0.0.1").sign(), quarantine.Crash{Upstream: fmt.Sprint("t", i)}, true)
			g.forwarders[0].opts.Crashes.Crashed(quarantine.Signature{Service: "p", Exact: fmt.Sprint(i)}, quarantine.Crash{Upstream: fmt.Sprint("x", i)}, false)
			time.Sleep(10 * time.Millisecond)
		}
		c := suspectCall(g, "10.0.0.2")
		f := g.forwarders[1]
		c.f, c.route = f, f.state.routes.Load().Lookup(c.r.Host, c.r.URL.Path)
		c.arrived, c.deadline, c.ctx = time.Now(), time.Now().Add(500*time.Millisecond), t.Context()
		c.signature = c.sign()
		start := time.Now()
		err := c.waitForTrial()
		assert.Equal(t, fault.KindOf(err), fault.Suspect)
		assert.Equal(t, time.Since(start), time.Duration(0))
		assert.Equal(t, err.Response().Run, fault.NotRun)
	})
}

// TestBrokenConnectionIsNoCrashWhileTheUpstreamRuns guards against requests that are
// suspected, and sent one at a time, because connections are reset for another reason
// than the end of the upstream.
func TestBrokenConnectionIsNoCrashWhileTheUpstreamRuns(t *testing.T) {
	for _, route := range []string{"safe", "unsafe"} {
		for _, ends := range []bool{false, true} {
			var ended atomic.Bool
			s := startFakeUpstream(t, "u1", func(_ io.Writer, r *http.Request) bool {
				ended.Store(ends)
				return false
			})
			s.respondHealth = func(w io.Writer) bool {
				if ended.Load() {
					return false
				}
				fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: 0 0 2 100\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			fx := startForwarder(t, newConfig(s))
			status, _, _ := fx.call(t, http.MethodPost, "/"+route+"/x", "")
			assert.Equal(t, status, http.StatusBadGateway)
			time.Sleep(20 * time.Millisecond)
			_, crashed := fx.crashes.counts()
			assert.Equal(t, crashed > 0, ends, "%s, upstream ends: %v", route, ends)
		}
	}
}
