package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/reach"
)

// TestGatewayAtTheConnectionBoundIsNotCutOff keeps as many connections open as are
// allowed while four of twelve upstreams do not answer, and after that.
func TestGatewayAtTheConnectionBoundIsNotCutOff(t *testing.T) {
	for _, c := range []struct {
		maxConnections uint32
		atATime        int
	}{{4, 6}, {12, 20}} {
		synctest.Test(t, func(t *testing.T) {
			g := newZonedGroup(t, []string{"a", "b"}, 2, ids("u", 12)...)
			g.cfg.Pools[0].MaxConnections = c.maxConnections
			for _, f := range g.forwarders {
				f.state.applyConfig(configview.New(g.cfg))
			}
			g.sendFirstTries(20*time.Millisecond, time.Second, c.atATime, nil)
			for _, lost := range []map[string]bool{{"u0:1": true, "u1:1": true, "u2:1": true, "u3:1": true}, nil} {
				g.mu.Lock()
				g.lostUpstreams = lost
				g.mu.Unlock()
				for range 20 {
					r := g.sendFirstTries(20*time.Millisecond, 100*time.Millisecond, c.atATime, nil)
					assert.Equal(t, r.others.served, r.others.sent)
					for _, f := range g.forwarders {
						assert.Equal(t, f.upstreamsLost(), reach.None)
					}
				}
			}
		})
	}
}

// TestLossEndsAfterAllUpstreamsWereReplaced lets a gateway lose all upstreams, and all
// of them drain for a while. Once its links are up, it must notice it.
func TestLossEndsAfterAllUpstreamsWereReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newZonedGroup(t, []string{"a", "b"}, 2, ids("u", 6)...)
		g.sendFirstTries(50*time.Millisecond, time.Second, 1, nil)
		g.setLinks(linkSilent, "g0")
		g.sendFirstTries(50*time.Millisecond, 2*time.Second, 1, nil)
		assert.Assert(t, g.forwarders[0].upstreamsLost() != reach.None)
		for i, state := range []catalogpb.UpstreamState{catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING, catalogpb.UpstreamState_UPSTREAM_STATE_READY} {
			cfg := proto.CloneOf(g.cfg)
			cfg.Revision += uint64(i) + 1
			for _, u := range cfg.Upstreams {
				u.State = state
			}
			for _, f := range g.forwarders {
				f.state.applyConfig(configview.New(cfg))
			}
			time.Sleep(time.Second)
		}
		g.setLinks(linkUp, "g0")
		g.sendFirstTries(50*time.Millisecond, 5*time.Second, 1, []string{"g0"})
		assert.Equal(t, g.forwarders[0].upstreamsLost(), reach.None)
	})
}

// TestRefusalOfRelayedCallArrivesBeforeTheDeadline relays calls to gateways whose
// upstreams do not answer. They refuse the calls at the deadline without having sent
// them, and the caller must be told so.
func TestRefusalOfRelayedCallArrivesBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newZonedGroup(t, []string{"a", "b"}, 3, ids("u", 6)...)
		g.sendFirstTries(50*time.Millisecond, time.Second, 1, nil)
		g.setLinks(linkSilent, "g0")
		g.sendFirstTries(50*time.Millisecond, 2*time.Second, 1, nil)
		g.setLinks(linkUnanswered, "g1", "g2")
		for range 20 {
			r := httptest.NewRequest(http.MethodPost, "/unsafe/x", nil)
			r.Host = "host.example"
			r.Header.Set("Balsam-Request-Id", "r1")
			r.Header.Set("Balsam-Timeout-Ms", "60")
			w := httptest.NewRecorder()
			g.forwarders[0].ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get(fault.HeaderRun), string(fault.NotRun))
			time.Sleep(100 * time.Millisecond)
		}
		g.setLinks(linkUp, "g0", "g1", "g2")
	})
}

// TestLossIsFoundSoon bounds the time from the beginning of a partition from all upstreams
// to the decision, in each way in which connections may fail, with few upstreams and with
// many.
func TestLossIsFoundSoon(t *testing.T) {
	// Two rounds of probes that time out, with the pause between them, and the time to
	// the first suspicion.
	const limit = 1300 * time.Millisecond
	for _, state := range []linkState{linkSilent, linkReset, linkOldOnly} {
		for _, upstreams := range []int{2, 12, 60} {
			if state == linkOldOnly && upstreams < 60 {
				// The calls need no new connections: nothing is lost and nothing noticed.
				continue
			}
			var slowest, sum time.Duration
			const runs = 20
			for range runs {
				synctest.Test(t, func(t *testing.T) {
					g := newZonedGroup(t, []string{"a", "b"}, 2, ids("u", upstreams)...)
					g.sendFirstTries(20*time.Millisecond, time.Second, 1, nil)
					f := g.forwarders[0]
					lost := f.reach.lostSignal()
					g.setLinks(state, "g0")
					start := time.Now()
					calls := make(chan struct{})
					go func() {
						defer close(calls)
						g.sendFirstTries(20*time.Millisecond, 3*time.Second, 1, nil)
					}()
					select {
					case <-lost:
					case <-time.After(3 * time.Second):
					}
					took := time.Since(start)
					slowest, sum = max(slowest, took), sum+took
					<-calls
					g.setLinks(linkUp, "g0")
				})
			}
			t.Logf("%s, %d upstreams: mean %s, slowest %s", state, upstreams, sum/runs, slowest)
			assert.Check(t, slowest <= limit, "%s, %d upstreams: %s", state, upstreams, slowest)
		}
	}
}
