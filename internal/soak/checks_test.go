package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const sec = time.Second

// planted returns a history in which the promise with the same name is broken, and one
// that is nearly the same and keeps it.
var planted = map[string]struct{ broken, kept *history }{
	"each answer belongs to its request and is whole": {
		&history{calls: []call{{id: "1", status: 200, wrong: "the body is that of request 2"}}},
		&history{calls: []call{{id: "1", status: 200}}},
	},
	"each request arrives unchanged": {
		&history{arrivals: []arrival{{id: "1", wrong: "the body is not whole"}}},
		&history{arrivals: []arrival{{id: "1"}}},
	},
	"no binding request runs twice": {
		&history{calls: []call{{id: "1", route: payRoute}}, arrivals: []arrival{{id: "1", ran: true}, {id: "1", ran: true}}},
		&history{calls: []call{{id: "1", route: payRoute}}, arrivals: []arrival{{id: "1"}, {id: "1", ran: true}}},
	},
	"a request said not to have run has not": {
		&history{calls: []call{{id: "1", route: payRoute, status: 503, notRun: true}}, arrivals: []arrival{{id: "1", ran: true}}},
		&history{calls: []call{{id: "1", route: payRoute, status: 502}}, arrivals: []arrival{{id: "1", ran: true}}},
	},
	"no call follows a state that is too old": {
		&history{
			orders: []order{{version: 1, pool: poolA, acked: sec}, {version: 2, pool: poolB, sent: 10 * sec, acked: 11 * sec}},
			calls:  []call{{id: "1", route: movingRoute, pool: poolA, sent: 14 * sec, ended: 14 * sec}},
		},
		&history{
			orders:  []order{{version: 1, pool: poolA, acked: sec}, {version: 2, pool: poolB, sent: 10 * sec, acked: 11 * sec}},
			calls:   []call{{id: "1", route: movingRoute, pool: poolA, sent: 14 * sec, ended: 14 * sec}, {id: "2", route: movingRoute, pool: poolA, sent: 12 * sec, ended: 12 * sec}},
			strikes: []*strike{{Disruption: Disruption{Kind: killGateway}, from: 11500 * time.Millisecond, to: 12 * sec, done: true}},
		},
	},
	"no route that exists is denied": {
		&history{calls: []call{{id: "1", status: http.StatusNotFound}}},
		&history{calls: []call{{id: "1", status: http.StatusServiceUnavailable}}},
	},
	"an accepted change is not lost": {
		&history{orders: []order{{version: 1, source: "a", acked: sec}, {version: 2, source: "b", acked: 2 * sec}}, reads: []readBack{{sent: 3 * sec, version: 1, source: "a"}}},
		&history{orders: []order{{version: 1, source: "a", acked: sec}, {version: 2, source: "b", acked: 4 * sec}}, reads: []readBack{{sent: 3 * sec, version: 1, source: "a"}}},
	},
	"a cold upstream gets no more than it bears": {
		&history{arrivals: coldArrivals(28)},
		&history{arrivals: coldArrivals(27)},
	},
	"requests sent again stay within the budget": {
		&history{arrivals: repeatedArrivals(retrySlack + 1)},
		&history{arrivals: repeatedArrivals(retrySlack)},
	},
	"an upstream that has left gets nothing": {
		&history{
			leaves: []leave{{upstream: 1, start: 1, acked: 10 * sec}}, calls: []call{{id: "1", sent: 13 * sec}},
			arrivals: []arrival{{id: "1", upstream: 1, start: 1, at: 13 * sec}},
		},
		&history{
			leaves: []leave{{upstream: 1, start: 1, acked: 10 * sec}}, calls: []call{{id: "1", sent: 13 * sec}, {id: "2", sent: 11 * sec}},
			arrivals: []arrival{{id: "1", upstream: 1, start: 2, at: 13 * sec}, {id: "2", upstream: 1, start: 1, at: 11 * sec}},
		},
	},
	"a zone taken out gets nothing": {
		&history{
			evacuations: []evacuation{{zone: 1, acked: 10 * sec, back: 20 * sec}}, calls: []call{{id: "1", sent: 16 * sec}},
			arrivals: []arrival{{id: "1", zone: 1, at: 16 * sec}},
		},
		&history{
			evacuations: []evacuation{{zone: 1, acked: 10 * sec, back: 20 * sec}}, calls: []call{{id: "1", sent: 14 * sec}, {id: "2", sent: 21 * sec}},
			arrivals: []arrival{{id: "1", zone: 1, at: 16 * sec}, {id: "2", zone: 1, at: 21 * sec}},
		},
	},
	"a request that crashes upstreams is stopped": {
		&history{
			calls:    crashCalls(1, 2, 3, 8, 9, 10, 11),
			arrivals: crashArrivals(1, 2, 3, 8, 9, 10, 11),
		},
		&history{
			calls:    crashCalls(1, 2, 3, 4, 5, 8, 9, 10, 20),
			arrivals: crashArrivals(1, 2, 3, 4, 5, 8, 9, 10, 20),
			strikes:  []*strike{{Disruption: Disruption{Kind: killGateway}, from: 18 * sec, to: 19 * sec, done: true}},
		},
	},
	"a planned stop cuts off no call": {
		&history{
			calls:   []call{{id: "1", sent: 10 * sec, ended: 11 * sec, cutOnFirst: true}},
			strikes: []*strike{{Disruption: Disruption{Kind: stopGateway}, from: 9 * sec, to: 12 * sec, done: true}},
		},
		&history{
			calls: []call{{id: "1", sent: 10 * sec, ended: 11 * sec}, {id: "2", sent: 10 * sec, ended: 11 * sec}}, arrivals: []arrival{{id: "1", spoilt: true}},
			strikes: []*strike{{Disruption: Disruption{Kind: stopGateway}, from: 9 * sec, to: 12 * sec, done: true}},
		},
	},
	"calls are served again": {
		&history{end: 10 * sec, calls: []call{{sent: 26 * sec, status: 503}, {sent: 26 * sec, status: 200}}},
		&history{end: 10 * sec, calls: []call{{sent: 24 * sec, status: 503}, {sent: 26 * sec, status: 200}}},
	},
}

// crashCalls returns a call of a request that crashes upstreams at each of the seconds.
func crashCalls(seconds ...int) []call {
	var out []call
	for _, s := range seconds {
		out = append(out, call{id: fmt.Sprint(s), route: crashRoute, sent: time.Duration(s) * time.Second})
	}
	return out
}

// crashArrivals returns their arrivals at upstreams.
func crashArrivals(seconds ...int) []arrival {
	var out []arrival
	for _, s := range seconds {
		out = append(out, arrival{id: fmt.Sprint(s), at: time.Duration(s) * time.Second, ran: true})
	}
	return out
}

// coldArrivals returns n requests within a second at an upstream that is cold.
func coldArrivals(n int) []arrival {
	var out []arrival
	for i := range n {
		out = append(out, arrival{at: time.Duration(i) * 30 * time.Millisecond, cold: true})
	}
	return out
}

// repeatedArrivals returns n arrivals of one request after its first.
func repeatedArrivals(n int) []arrival {
	var out []arrival
	for i := range n + 1 {
		out = append(out, arrival{id: "1", pool: poolA, at: 20*sec + time.Duration(i)*time.Millisecond})
	}
	return out
}

// TestPlantedFaultsAreFound checks each promise with a history that breaks it.
func TestPlantedFaultsAreFound(t *testing.T) {
	for _, p := range promises {
		t.Run(p.name, func(t *testing.T) {
			h, ok := planted[p.name]
			assert.Assert(t, ok, "no planted fault")
			assert.Assert(t, len(p.check(h.broken)) > 0)
			assert.Equal(t, len(p.check(h.kept)), 0, "%v", p.check(h.kept))
		})
	}
}

// Bodies must tell their request, and whether they are whole.
func TestBodiesTellTheirRequest(t *testing.T) {
	body := bodyOf("c1-7", poolA, "u1")
	pool, upstream, wrong := readBody("c1-7", body)
	assert.Equal(t, pool+" "+upstream+wrong, "pool-a u1")
	_, _, wrong = readBody("c1-8", body)
	assert.Equal(t, wrong, "the body is that of request c1-7")
	for _, cut := range []string{body[:len(body)-1], body[:len(body)/2], "", body + body} {
		_, _, wrong = readBody("c1-7", cut)
		assert.Assert(t, wrong != "", "%d bytes", len(cut))
	}
}

// The same seed must draw the same schedule, in storms, with the allowed kinds only.
func TestScheduleRepeats(t *testing.T) {
	p := plan{seed: 3, duration: time.Minute, ownLinks: true, gateways: 5, controls: 3, upstreams: 8, zones: 3, gap: 300 * time.Millisecond}
	first := p.draw()
	assert.DeepEqual(t, first, p.draw())
	assert.Assert(t, len(first) > 50)
	for _, d := range first {
		assert.Assert(t, d.At%(stormTime+calmTime) < stormTime)
		assert.Assert(t, d.Kind != upgrade)
	}
	p.seed = 4
	assert.Assert(t, len(p.draw()) != len(first) || p.draw()[0] != first[0])
	p.allowed, p.ownLinks = []string{killGateway, cutControl}, false
	for _, d := range p.draw() {
		assert.Equal(t, d.Kind, killGateway)
	}
}
