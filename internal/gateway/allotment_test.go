package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/allotment"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/controlvm"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/organisation"
	"balsamcourse.example/balsamcourse/internal/permit"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// newAllottedGroup returns n gateways whose callers belong to an organisation with the
// given allotment.
func newAllottedGroup(t *testing.T, n int, limit allotment.Limit, upstreams ...string) *gatewayGroup {
	g := newGatewayGroup(t, n, upstreams...)
	g.key = "key"
	g.cfg.StateVersion++
	g.cfg.Organisations = []*catalogpb.Organisation{{Name: "o", KeyDigests: organisation.Digests([]string{g.key}), RatePerS: limit.PerSecond, Burst: limit.Burst}}
	for _, f := range g.forwarders {
		f.state.applyConfig(configview.New(g.cfg))
	}
	return g
}

// The requests that the upstreams of all gateways run are within the allotment in every
// window, also while one of the gateways that issue its permits is lost and while all
// restart, and callers get what the allotment allows.
func TestRequestsOfAnOrganisationStayWithinItsAllotment(t *testing.T) {
	limit := allotment.Limit{PerSecond: 20, Burst: 20}
	most := settings.DefaultGateway().Allotment.Bounds().Most(limit)
	for _, tc := range []struct {
		name string
		fail func(t *testing.T, g *gatewayGroup)
	}{
		{"none", func(*testing.T, *gatewayGroup) {}},
		{"an issuer is lost", func(_ *testing.T, g *gatewayGroup) { g.stop(g.issuerOf(allotment.Key("o", 0))) }},
		{"all restart", func(t *testing.T, g *gatewayGroup) {
			for i := range g.forwarders {
				g.restart(t, i)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newAllottedGroup(t, 8, limit, "u1")
				u := g.upstreams["u1:1"]
				g.sendCalls(100*time.Millisecond, 16*time.Second)
				tc.fail(t, g)
				results := g.sendCalls(100*time.Millisecond, 20*time.Second)
				end := time.Since(u.start)
				for at := time.Duration(0); at+5*time.Second <= end; at += 50 * time.Millisecond {
					requests, _ := u.arrivals(at, at+5*time.Second)
					assert.Assert(t, float64(requests) <= most, "%d requests from %s, most %g", requests, at, most)
				}
				t.Logf("served %d of %g in 20 s, statuses %v", results.served, 20*limit.PerSecond, results.statuses)
				assert.Assert(t, results.statuses[http.StatusTooManyRequests] > 0)
				assert.Assert(t, results.shortestRetryAfter >= 10*time.Millisecond)
				if tc.name == "none" {
					assert.Assert(t, float64(results.served) > 0.95*20*limit.PerSecond)
				}
			})
		})
	}
}

// A request that an upstream has not run does not use up the allotment, and neither does
// its repetition at another upstream.
func TestRequestsThatDidNotRunDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAllottedGroup(t, 4, allotment.Limit{PerSecond: 2, Burst: 10}, "u1", "u2")
		for _, u := range g.upstreams {
			u.setRespond(func(conn net.Conn, r *http.Request) answered {
				if r.URL.Path == "/health" {
					return notAnswered
				}
				fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nBalsam-Not-Run: 1\r\nBalsam-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Balsam-Request-Id"))
				return keptOpen
			})
		}
		// Until then, not all issuers issue the burst.
		g.sendCalls(100*time.Millisecond, 16*time.Second)
		results := g.sendCalls(200*time.Millisecond, 10*time.Second)
		t.Logf("statuses %v", results.statuses)
		assert.Equal(t, results.statuses[http.StatusTooManyRequests], 0)
		assert.Assert(t, results.statuses[http.StatusServiceUnavailable] > 0)
	})
}

// After a restart of all processes, permits are issued soon: no gateway can have issued
// any before, so that the issuers need not wait until its leases have ended.
func TestAllotmentIsServedSoonAfterAllRestarted(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	free, err := testbed.FreeAddresses(5)
	assert.NilError(t, err)
	cs := settings.DefaultControl()
	cs.Zone, cs.DataDir, cs.AuthDisabled, cs.TrustNetwork = "a", t.TempDir(), true, true
	cs.ClusterListen, cs.OperatorListen, cs.ClusterAddress = free[0], free[1], free[0]
	cs.Seeds, cs.FirstStart = []string{free[0]}, true
	// start starts all processes and returns the operator service and a function that
	// kills them.
	start := func() (adminpb.Admin, []*systemGateway, func()) {
		services := make(chan adminpb.Admin, 1)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- controlvm.Run(ctx, nil, cs, controlvm.Options{Logs: io.Discard, Listeners: func(a adminpb.Admin, _ event.Logger) []httpnet.Endpoint {
				services <- a
				return nil
			}})
		}()
		var gateways []*systemGateway
		for i, address := range free[2:] {
			gateways = append(gateways, startSystemGatewayWith(t, fmt.Sprint("g", i), free[0], Options{Logs: io.Discard}, func(s *settings.Gateway) {
				s.ClusterListen, s.ClusterAddress = address, address
			}))
		}
		return <-services, gateways, func() {
			for _, g := range gateways {
				g.kill()
			}
			cancel()
			assert.NilError(t, <-ended)
		}
	}
	admin, gateways, kill := start()
	state := newKeyedState(1, newOrganisation("a", "key-1"))
	state.Organisations[0].RatePerS = 100
	waitUntil(t, "control did not accept the state", func() bool {
		_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: proto.CloneOf(state)})
		return err == nil
	})
	upstream := newConfig(s).Upstreams[0]
	upstream.Sequence = 1
	_, err = admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: upstream})
	assert.NilError(t, err)
	serve := func(g *systemGateway) time.Duration {
		start := time.Now()
		waitUntil(t, "a call is not served", func() bool { return g.getWithKey(t, "/safe/x", "key-1") == http.StatusOK })
		return time.Since(start)
	}
	serve(gateways[0])
	kill()
	_, gateways, kill = start()
	defer kill()
	waitUntil(t, "no desired state", gateways[0].Ready)
	took := serve(gateways[0])
	t.Logf("served %s after the first configuration", took)
	assert.Assert(t, took < permit.TakeoverDelay/2)
}
