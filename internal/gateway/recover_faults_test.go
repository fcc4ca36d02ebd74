package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// recoverSeeds is the number of histories of TestCallsRunOnceThroughCuts.
var recoverSeeds = flag.Int("recover-seeds", 4, "number of histories of gateways that are cut from all upstreams")

// callRecord is what the caller of a request was told.
type callRecord struct {
	id, path, gateway string
	status            int
	run               string
}

// cutHistory is a random history of gateways that lose and regain all upstreams.
type cutHistory struct {
	t     *testing.T
	rand  *rand.Rand
	group *gatewayGroup
	calls sync.WaitGroup
	// changed is the time of the last change.
	changed time.Time

	mu      sync.Mutex
	records []callRecord
	// settled counts the calls that came contactTime or more after the last change,
	// while some gateway had a way to some upstream.
	settled recoverResult
}

// change cuts some gateways from all upstreams, ends cuts, lets the upstreams of a
// zone fall silent, or restarts a gateway.
func (h *cutHistory) change() {
	h.changed = time.Now()
	n := len(h.group.forwarders)
	switch h.rand.IntN(5) {
	case 0, 1, 2:
		state := linkState(h.rand.IntN(4))
		for i := range n {
			if h.rand.IntN(2) == 0 {
				h.group.setLinks(state, h.group.forwarders[i].state.gatewayID)
			}
		}
	case 3:
		h.group.loseUpstreams([]string{"a", "none"}[h.rand.IntN(2)])
	case 4:
		i := h.rand.IntN(n)
		h.group.stop(h.group.forwarders[i])
		h.group.restart(h.t, i)
	}
}

// hasWay reports whether some gateway has a way to some upstream.
func (h *cutHistory) hasWay() bool {
	g := h.group
	g.mu.Lock()
	defer g.mu.Unlock()
	up, answering := 0, 0
	for _, f := range g.forwarders {
		if g.links[f.state.gatewayID] == linkUp {
			up++
		}
	}
	for _, u := range g.cfg.Upstreams {
		if !g.lostUpstreams[u.Address] {
			answering++
		}
	}
	return up > 0 && answering > 0
}

func (h *cutHistory) call(f *Forwarder, id, path string, settled bool) {
	cut := h.group.linkOf(f.state.gatewayID, "") != linkUp
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", id)
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	if settled {
		tries := &h.settled.others
		if cut {
			tries = &h.settled.cut
		}
		tries.sent++
		if w.Code == http.StatusOK {
			tries.served++
		}
	}
	h.records = append(h.records, callRecord{id, path, f.state.gatewayID, w.Code, w.Header().Get(fault.HeaderRun)})
}

// check compares what callers were told with what the upstreams have run.
func (h *cutHistory) check(seed uint64) {
	runs := make(map[string]int)
	for _, u := range h.group.upstreams {
		u.mu.Lock()
		for id, n := range u.runs {
			runs[id] += n
		}
		u.mu.Unlock()
	}
	statuses := make(map[int]int)
	for _, c := range h.records {
		statuses[c.status]++
		n := runs[c.id]
		most := 1
		if c.path == "/safe/x" {
			most = 2
		}
		assert.Check(h.t, n <= most, "seed %d: %v ran %d times", seed, c, n)
		switch {
		case c.status == http.StatusOK:
			assert.Check(h.t, n >= 1, "seed %d: %v did not run", seed, c)
		case c.run == string(fault.NotRun):
			assert.Check(h.t, n == 0, "seed %d: %v ran %d times", seed, c, n)
		default:
			assert.Check(h.t, c.status == http.StatusBadGateway || c.status == http.StatusGatewayTimeout, "seed %d: %v", seed, c)
		}
	}
	h.t.Logf("seed %d: answers by status: %v, %s", seed, statuses, &h.settled)
	assert.Check(h.t, !h.settled.breaks(), "seed %d: %s", seed, &h.settled)
}

// TestCallsRunOnceThroughCuts plays random histories of cuts, which overlap, and of
// restarts. Calls that may run once must not run twice, a call that was answered has
// run, and one that was refused as not run has not. From contactTime after a change
// on, cut gateways must serve calls as long as another one has a way to upstreams.
func TestCallsRunOnceThroughCuts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*recoverSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &cutHistory{t: t, rand: rand.New(rand.NewPCG(seed, 28))}
				h.group = newZonedGroup(t, []string{"a", "b", "c"}[:1+h.rand.IntN(3)], 2+h.rand.IntN(6), ids("u", 1+h.rand.IntN(12))...)
				for i := range 1500 {
					if h.rand.IntN(100) == 0 {
						h.change()
					}
					settled := time.Since(h.changed) >= contactTime && h.hasWay()
					for _, f := range h.group.forwarders {
						f.state.recordLease(time.Now())
						id, path := fmt.Sprint(f.state.gatewayID, "-", i), []string{"/safe/x", "/unsafe/x"}[h.rand.IntN(2)]
						h.calls.Go(func() { h.call(f, id, path, settled) })
					}
					time.Sleep(time.Duration(10+h.rand.IntN(60)) * time.Millisecond)
				}
				h.calls.Wait()
				h.group.setLinks(linkUp, ids("g", len(h.group.forwarders))...)
				h.check(seed)
			})
		})
	}
}
