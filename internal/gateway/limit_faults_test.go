package gateway

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// limitSeeds is the number of histories of TestLimitHoldsThroughFaults.
var limitSeeds = flag.Int("limit-seeds", 10, "number of histories of gateways and upstreams with rate limits")

// limitSpan is a time during which an upstream names one value.
type limitSpan struct {
	from time.Duration
	// perSecond is the limit, -1 if the value is none or no rate.
	perSecond float64
}

// excuse is a time during which a gateway does not count: it has just restarted,
// or is or was cut off.
type excuse struct {
	gateway  string
	from, to time.Duration
}

// limitHistory is a random history of one group of gateways.
type limitHistory struct {
	t       *testing.T
	rand    *rand.Rand
	group   *gatewayGroup
	start   time.Time
	limits  map[*limitedUpstream][]limitSpan
	excuses []excuse
	cutAt   map[string]time.Duration
}

func newLimitHistory(t *testing.T, seed uint64) *limitHistory {
	h := &limitHistory{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), start: time.Now(),
		limits: make(map[*limitedUpstream][]limitSpan), cutAt: make(map[string]time.Duration),
	}
	ids := []string{"u1", "u2", "u3"}
	h.group = newGatewayGroup(t, 2+h.rand.IntN(6), ids[:1+h.rand.IntN(len(ids))]...)
	return h
}

func (h *limitHistory) now() time.Duration { return time.Since(h.start) }

// changeLimit lets an upstream name another limit, none, or no rate.
func (h *limitHistory) changeLimit() {
	for _, u := range h.group.upstreams {
		if h.rand.IntN(2) == 0 {
			continue
		}
		values := []string{"", "0", "0.5", "1", "3", "10", "plenty"}
		value := values[h.rand.IntN(len(values))]
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil {
			perSecond = -1
		}
		u.setLimit(value)
		h.limits[u] = append(h.limits[u], limitSpan{h.now(), perSecond})
	}
}

// step carries out one random fault, if it can happen now.
func (h *limitHistory) step() {
	i := h.rand.IntN(len(h.group.forwarders))
	f := h.group.forwarders[i]
	id := f.state.gatewayID
	switch h.rand.IntN(6) {
	case 0:
		h.changeLimit()
	case 1:
		if !h.group.isStopped(f) {
			h.group.stop(f)
		}
	case 2:
		if h.group.isStopped(f) {
			h.group.restart(h.t, i)
			h.excuses = append(h.excuses, excuse{id, h.now(), h.now() + limitContact})
		}
	case 3:
		if !h.group.isCutOff(f) {
			h.group.cutOff(f)
			h.cutAt[id] = h.now()
		}
	case 4:
		h.reconnect(f)
	}
}

func (h *limitHistory) reconnect(f *Forwarder) {
	if !h.group.isCutOff(f) {
		return
	}
	h.group.reconnect(f)
	id := f.state.gatewayID
	h.excuses = append(h.excuses, excuse{id, h.cutAt[id], h.now() + limitContact})
}

// allowed returns how many requests the upstream may get in the window from the
// given time, and false if it takes any number: it did not name a limit all the
// time since limitContact before.
func (h *limitHistory) allowed(u *limitedUpstream, from time.Duration) (float64, bool) {
	highest := -1.0
	spans := h.limits[u]
	for i, s := range spans {
		end := time.Duration(1<<63 - 1)
		if i+1 < len(spans) {
			end = spans[i+1].from
		}
		if end <= from-limitContact || s.from >= from+limitWindow {
			continue
		}
		if s.perSecond < 0 || i == 0 && s.from > from-limitContact {
			return 0, false
		}
		highest = max(highest, s.perSecond)
	}
	return limitTolerance*highest*limitWindow.Seconds() + limitSlack, highest >= 0
}

// excused reports whether what the gateway sends at the time does not count.
func (h *limitHistory) excused(a arrival) bool {
	for _, e := range h.excuses {
		if e.gateway == a.gateway && a.at >= e.from && a.at < e.to {
			return true
		}
	}
	return false
}

// check checks the bound in all windows of the history. It returns the number of
// windows in which a limit was in force.
func (h *limitHistory) check(seed uint64) (windows int) {
	for u := range h.limits {
		u.mu.Lock()
		arrived := u.arrived
		u.mu.Unlock()
		for from := time.Duration(0); from < h.now(); from += 100 * time.Millisecond {
			allowed, limited := h.allowed(u, from)
			if !limited {
				continue
			}
			windows++
			n := 0
			for _, a := range arrived {
				if a.at >= from && a.at < from+limitWindow && !h.excused(a) {
					n++
				}
			}
			assert.Assert(h.t, float64(n) <= allowed, "seed %d: %s got %d requests and probes in the window from %s, allowed %v", seed, u.id, n, from, allowed)
		}
	}
	return windows
}

// TestLimitHoldsThroughFaults plays random histories in which gateways stop,
// restart and are cut off from control, and upstreams change their limits, under
// calls to all gateways.
func TestLimitHoldsThroughFaults(t *testing.T) {
	t.Parallel()
	windows := 0
	for seed := range uint64(*limitSeeds) {
		synctest.Test(t, func(t *testing.T) {
			h := newLimitHistory(t, seed)
			interval := time.Duration(20+h.rand.IntN(200)) * time.Millisecond
			h.group.sendCalls(interval, 5*time.Second)
			h.changeLimit()
			for range 20 {
				h.group.sendCalls(interval, time.Duration(h.rand.IntN(4000))*time.Millisecond)
				h.step()
			}
			for _, f := range h.group.forwarders {
				h.reconnect(f)
			}
			windows += h.check(seed)
		})
		if t.Failed() {
			return
		}
	}
	assert.Assert(t, windows > 0)
	t.Log(fmt.Sprint(windows, " windows with a limit in force"))
}
