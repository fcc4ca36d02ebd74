package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/permit"
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

// assertBound checks the bound for the limit perSecond over [from, to).
func (u *limitedUpstream) assertBound(t *testing.T, perSecond float64, from, to time.Duration) {
	t.Helper()
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack
	for at := from; at+limitWindow <= to; at += 50 * time.Millisecond {
		requests, all := u.arrivals(at, at+limitWindow)
		assert.Assert(t, float64(all) <= allowed, "%d requests and %d probes from %s to %s, allowed %v", requests, all-requests, at, at+limitWindow, allowed)
	}
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
				results := g.sendCalls(100*time.Millisecond, 20*time.Second)
				u.assertBound(t, tc.perSecond, named+limitContact, time.Since(u.start))
				if len(tc.upstreams) > 1 {
					assert.Equal(t, results.refused, 0, "calls beyond the limit go to the other upstream")
				}
			})
		})
	}
}

// TestCallsBeyondTheLimitAreRefusedAtOnce sends more calls than the only upstream
// takes. It must get most of what it takes, and the other calls a refusal before
// they have missed their target, with a time at which a request can be sent.
func TestCallsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	for _, perSecond := range []float64{1, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 4, "u1")
			u := g.upstreams["u1:1"]
			u.setLimit(fmt.Sprint(perSecond))
			g.sendCalls(100*time.Millisecond, 5*time.Second)
			from := time.Since(u.start)
			results := g.sendCalls(100*time.Millisecond, 20*time.Second)
			requests, all := u.arrivals(from, time.Since(u.start))
			assert.Assert(t, float64(all) >= 0.8*perSecond*20, "%d requests and probes at a limit of %v/s", all, perSecond)
			assert.Equal(t, results.served, requests)
			if perSecond == 1 {
				// A permit for a request and its probe is there every two seconds, which is
				// too late for almost all calls.
				usual := results.refusalTimes[len(results.refusalTimes)*9/10]
				assert.Assert(t, usual <= queueSearchInterval, "refused after %s", usual)
				assert.Assert(t, results.shortestRetryAfter >= queueSearchInterval, "told to come back after %s", results.shortestRetryAfter)
			}
			target := 400 * time.Millisecond
			slowest := results.refusalTimes[len(results.refusalTimes)-1]
			assert.Assert(t, slowest <= target, "refused after %s", slowest)
		})
	}
}

// TestLimitEndsForAllGateways withdraws the limit. All gateways must notice, also
// after a limit of 0, under which only probes are sent.
func TestLimitEndsForAllGateways(t *testing.T) {
	for _, perSecond := range []float64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 4, "u1")
			u := g.upstreams["u1:1"]
			u.setLimit(fmt.Sprint(perSecond))
			g.sendCalls(100*time.Millisecond, 12*time.Second)
			u.setLimit("")
			g.sendCalls(100*time.Millisecond, 10*time.Second)
			results := g.sendCalls(100*time.Millisecond, time.Second)
			assert.Equal(t, results.refused, 0, "limit of %v/s", perSecond)
		})
	}
}

// TestLimitHoldsWhenItsIssuerIsLost stops the gateway that issues the permits for
// the upstream. The limit must hold while another takes over, which must then
// issue permits.
func TestLimitHoldsWhenItsIssuerIsLost(t *testing.T) {
	const perSecond = 5
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 4, "u1")
		u := g.upstreams["u1:1"]
		u.setLimit(fmt.Sprint(perSecond))
		g.sendCalls(100*time.Millisecond, 8*time.Second)
		g.stop(g.issuerOf("u1"))
		lost := time.Since(u.start)
		g.sendCalls(100*time.Millisecond, 15*time.Second)
		u.assertBound(t, perSecond, limitContact, time.Since(u.start))
		takenOver := lost + freshness.LiveTimeout + permit.TakeoverDelay + time.Second
		requests, _ := u.arrivals(takenOver, takenOver+4*time.Second)
		assert.Assert(t, requests >= perSecond, "%d requests in 4 s after the takeover", requests)
	})
}

// TestColdUpstreamGetsNoMoreThanItBearsThroughCuts cuts one gateway after the
// other off from control, always the one that may send requests to the cold
// upstream. Those cut off serve on, and all gateways together must stay within
// what the operators state: in any second one and a half times the rate, plus five.
func TestColdUpstreamGetsNoMoreThanItBearsThroughCuts(t *testing.T) {
	const perSecond, tolerance, slack = 2, 1.5, 5
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 8, "u1")
		u := g.upstreams["u1:1"]
		u.cold = true
		g.sendCalls(50*time.Millisecond, 5*time.Second)
		for range 6 {
			g.cutOff(g.issuerOf("u1"))
			g.sendCalls(50*time.Millisecond, 8*time.Second)
		}
		for from := time.Duration(0); from < time.Since(u.start); from += 50 * time.Millisecond {
			requests, _ := u.arrivals(from, from+time.Second)
			assert.Assert(t, float64(requests) <= tolerance*perSecond+slack, "%d requests in the second from %s", requests, from)
		}
		requests, _ := u.arrivals(0, time.Since(u.start))
		assert.Assert(t, requests >= 8, "%d requests in %s", requests, time.Since(u.start))
	})
}

// TestUpstreamGetsNoMoreConnectionsThanItTakesFromAllGateways sends a burst to
// upstreams that are slow. The connections of all gateways together to one of them
// must stay within the bound of its pool.
func TestUpstreamGetsNoMoreConnectionsThanItTakesFromAllGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConnections = 40
		g := newGatewayGroup(t, 4, "u1", "u2")
		g.cfg.Pools[0].MaxConnections = maxConnections
		for _, f := range g.forwarders {
			f.state.applyConfig(configview.New(g.cfg))
		}
		for _, u := range g.upstreams {
			u.work = time.Second
		}
		results := g.sendCalls(10*time.Millisecond, 3*time.Second)
		assert.Assert(t, results.served > 0)
		for _, u := range g.upstreams {
			assert.Assert(t, u.mostOpen <= maxConnections, "%d connections, the pool allows %d", u.mostOpen, maxConnections)
			assert.Assert(t, u.mostOpen >= maxConnections/4, "only %d of %d connections were used", u.mostOpen, maxConnections)
		}
	})
}

// TestConnectionsStayWithinTheBoundBeforeRegistration sends a burst through
// gateways of which the configuration names only one, as while control has no
// majority and cannot register the others.
func TestConnectionsStayWithinTheBoundBeforeRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConnections = 40
		g := newGatewayGroup(t, 8, "u1", "u2")
		g.cfg.Pools[0].MaxConnections = maxConnections
		g.cfg.Entries = g.cfg.Entries[:1]
		for _, f := range g.forwarders {
			f.state.applyConfig(configview.New(g.cfg))
		}
		for _, u := range g.upstreams {
			u.work = time.Second
		}
		results := g.sendCalls(10*time.Millisecond, 3*time.Second)
		assert.Assert(t, results.served > 0)
		for _, u := range g.upstreams {
			assert.Assert(t, u.mostOpen <= maxConnections, "%d connections, the pool allows %d", u.mostOpen, maxConnections)
		}
	})
}
