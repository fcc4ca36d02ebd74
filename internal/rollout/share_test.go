package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shareHistory is a drawn shareHistory of gateways that serve one pool during a roll-out.
type shareHistory struct {
	gateways, routes int
	// requests is the number of requests of callers to all gateways.
	requests int
	// restarts is the part of the gateways that start again, at a random time.
	restarts float64
	// relayed is the part of the requests that are relayed to another gateway. Repeats are
	// neither drawn nor counted.
	relayed float64
	// skew is the exponent of the distribution of requests over the gateways.
	skew float64
	// noRoom is the part of the draws for which the new version has no room.
	noRoom float64
}

// run returns the largest excess over share x requests that the new version has had at
// any time, the requests that it got and those of the least used route.
func (h shareHistory) run(r *rand.Rand, share float64) (excess float64, drawn int, byRoute []int) {
	newGateway := func() *Share { return NewShare(share, r.Float64) }
	gateways := make([]*Share, h.gateways)
	restartAt := make([]int, h.gateways)
	for i := range gateways {
		gateways[i] = newGateway()
		restartAt[i] = -1
		if r.Float64() < h.restarts {
			restartAt[i] = r.IntN(h.requests)
		}
	}
	byRoute = make([]int, h.routes)
	routes := make([]string, h.routes)
	for i := range routes {
		routes[i] = fmt.Sprint("r", i)
	}
	for n := range h.requests {
		i := int(math.Pow(r.Float64(), h.skew) * float64(h.gateways))
		if r.Float64() < h.relayed {
			i = r.IntN(h.gateways)
		}
		if at := restartAt[i]; at >= 0 && at <= n {
			gateways[i], restartAt[i] = newGateway(), -1
		}
		g, route := gateways[i], r.IntN(h.routes)
		if g.Draw(routes[route]) {
			if r.Float64() >= h.noRoom {
				drawn++
				byRoute[route]++
			}
		}
		g.RecordSent(routes[route])
		excess = max(excess, float64(drawn)-share*float64(n+1))
	}
	return excess, drawn, byRoute
}

// Guards against a version that gets more than its part of the requests before the
// verdict, as each gateway rounds on its own and forgets its draws when it restarts.
func TestShareHoldsOverAllGateways(t *testing.T) {
	const share, slack = 0.1, 50
	// The pools and gateways of the design sizes, for 12 s.
	cases := map[string]shareHistory{
		"usual":          {gateways: 449, routes: 2, requests: 19_000, restarts: 0.05, relayed: 0.01, skew: 1},
		"most gateways":  {gateways: 825, routes: 3, requests: 19_000, restarts: 0.05, skew: 1},
		"all restart":    {gateways: 825, routes: 3, requests: 19_000, restarts: 1, relayed: 0.2, skew: 1},
		"few requests":   {gateways: 825, routes: 3, requests: 1_500, restarts: 0.5, skew: 1},
		"skewed, relays": {gateways: 195, routes: 4, requests: 19_000, restarts: 0.3, relayed: 0.5, skew: 4},
		"no room":        {gateways: 195, routes: 2, requests: 19_000, restarts: 0.1, skew: 1, noRoom: 0.5},
	}
	for name, h := range cases {
		t.Run(name, func(t *testing.T) {
			worst, total, least := 0.0, 0, h.requests
			for seed := range uint64(200) {
				excess, drawn, byRoute := h.run(rand.New(rand.NewPCG(seed, 1)), share)
				worst, total = max(worst, excess), total+drawn
				for _, n := range byRoute {
					least = min(least, n)
				}
			}
			used := float64(total) / (200 * share * float64(h.requests))
			t.Logf("largest excess %.1f of %d, %.0f %% of the share used, least draws of a route %d", worst, slack, 100*used, least)
			assert.Assert(t, worst <= slack)
			// A share that is hardly used gives no evidence.
			if h.requests >= 10*h.gateways*h.routes && h.noRoom == 0 {
				assert.Assert(t, used > 0.7, "%.2f", used)
			}
			assert.Assert(t, least > 0)
		})
	}
}

// Guards against draws that come in bursts, which would load a few new upstreams beyond
// the old ones.
func TestDrawsAreSpacedEvenly(t *testing.T) {
	s := NewShare(0.25, rand.Float64)
	last := -1
	for n := range 1000 {
		if s.Draw("r") {
			assert.Assert(t, last < 0 || n-last == 4, "draw at %d after one at %d", n, last)
			last = n
		}
		s.RecordSent("r")
	}
	assert.Assert(t, last > 990)
	// Draws that are due don't add up.
	for range 1000 {
		s.RecordSent("r")
		s.Return("r")
	}
	taken := 0
	for s.Draw("r") {
		taken++
	}
	assert.Equal(t, taken, maxCredit)
}

// Guards against gateways that each choose other upstreams, on which the share is spread
// thin, and against all of them in one zone.
func TestFewAreTheSameForAllAndSpreadOverZones(t *testing.T) {
	var candidates []Candidate
	for i := range 12 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3)})
	}
	for _, tc := range []struct {
		known, old, want, focus int
	}{{12, 12, 3, 1}, {12, 14, 3, 2}, {12, 60, 6, 6}, {12, 500, 12, 12}, {2, 12, 2, 1}, {0, 12, 0, 1}} {
		few := Few(candidates[:tc.known], tc.old, 0.1)
		assert.Equal(t, len(few), tc.want)
		turns := make(map[string]bool)
		for i := range 12 {
			focus, rest := Focus(few, tc.old, 0.1, time.Unix(int64(i), 0))
			assert.Equal(t, len(focus), min(tc.focus, tc.want))
			assert.Equal(t, len(focus)+len(rest), len(few))
			for _, id := range focus {
				turns[id] = true
			}
		}
		assert.Equal(t, len(turns), tc.want, "upstreams that had a turn")
		shuffled := append([]Candidate(nil), candidates[:tc.known]...)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.DeepEqual(t, few, Few(shuffled, tc.old, 0.1))
		zones := make(map[string]int)
		for _, c := range candidates {
			if slices.Contains(few, c.ID) {
				zones[c.Zone]++
			}
		}
		assert.Equal(t, len(zones), min(tc.want, 3))
	}
}
