package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	// At is the time of the call, order or arrival that broke it, and ID that of the
	// request, if there is one.
	At     time.Duration `json:"at"`
	ID     string        `json:"id,omitempty"`
	Detail string        `json:"detail"`
}

// promise is a check of the history.
type promise struct {
	name  string
	check func(h *history) []Violation
}

// promises are checked from what callers, upstreams and the operator have seen.
var promises = []promise{
	{"each answer belongs to its request and is whole", checkAnswers},
	{"each request arrives unchanged", checkRequests},
	{"no binding request runs twice", checkOnce},
	{"a request said not to have run has not", checkNotRun},
	{"no call follows a state that is too old", checkStates},
	{"no route that exists is denied", checkDenied},
	{"an accepted change is not lost", checkReads},
	{"a cold upstream gets no more than it bears", checkCold},
	{"requests sent again stay within the budget", checkBudget},
	{"a request that crashes upstreams is stopped", checkCrashing},
	{"an upstream that has left gets nothing", checkLeaves},
	{"a zone taken out gets nothing", checkEvacuations},
	{"a planned stop cuts off no call", checkStops},
	{"calls are served again", checkRecovery},
}

// check returns what was broken, at most maxViolations a promise.
func (h *history) check() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Violation
	for _, p := range promises {
		found := p.check(h)
		for i := range found {
			found[i].Promise = p.name
		}
		out = append(out, found[:min(len(found), maxViolations)]...)
	}
	return out
}

// maxViolations bounds the violations of one promise that are reported.
const maxViolations = 10

// arrivalsByID returns the arrivals by the ID of the request, in the order of time.
func (h *history) arrivalsByID() map[string][]arrival {
	out := make(map[string][]arrival)
	for _, a := range h.arrivals {
		out[a.id] = append(out[a.id], a)
	}
	return out
}

func (h *history) callsByID() map[string]*call {
	out := make(map[string]*call, len(h.calls))
	for i := range h.calls {
		out[h.calls[i].id] = &h.calls[i]
	}
	return out
}

func checkAnswers(h *history) []Violation {
	var out []Violation
	for _, c := range h.calls {
		if c.wrong != "" {
			out = append(out, Violation{At: c.ended, ID: c.id, Detail: c.wrong})
		}
	}
	return out
}

func checkRequests(h *history) []Violation {
	var out []Violation
	for _, a := range h.arrivals {
		if a.wrong != "" {
			out = append(out, Violation{At: a.at, ID: a.id, Detail: a.wrong})
		}
	}
	return out
}

func checkOnce(h *history) []Violation {
	arrived := h.arrivalsByID()
	var out []Violation
	for _, c := range h.calls {
		if c.route.safe() {
			continue
		}
		if n := countRuns(arrived[c.id]); n > 1 {
			out = append(out, Violation{At: c.sent, ID: c.id, Detail: fmt.Sprintf("%s ran %d times", c.route, n)})
		}
	}
	return out
}

func countRuns(arrivals []arrival) int {
	n := 0
	for _, a := range arrivals {
		if a.ran {
			n++
		}
	}
	return n
}

func checkNotRun(h *history) []Violation {
	arrived := h.arrivalsByID()
	var out []Violation
	for _, c := range h.calls {
		if c.notRun && !c.route.safe() && countRuns(arrived[c.id]) > 0 {
			out = append(out, Violation{At: c.ended, ID: c.id, Detail: fmt.Sprintf("answered %d, and has run", c.status)})
		}
	}
	return out
}

// checkStates looks at the route that each desired state leads to another pool.
func checkStates(h *history) []Violation {
	var out []Violation
	for _, c := range h.calls {
		if c.route != movingRoute || c.pool == "" || !h.inTouch(c.gateway, c.sent, c.ended) {
			continue
		}
		if allowed := h.poolsAllowed(c.sent, c.ended); !slices.Contains(allowed, c.pool) {
			out = append(out, Violation{At: c.sent, ID: c.id, Detail: fmt.Sprintf("ran at %s, the states in force allow %v", c.pool, allowed)})
		}
	}
	return out
}

// poolsAllowed returns the pools of movingRoute in the states that may be in force for a
// call: the newest one that was acknowledged applyTime before it was sent, and those sent
// since.
func (h *history) poolsAllowed(sent, ended time.Duration) []string {
	oldest := uint64(0)
	for _, o := range h.orders {
		if o.acked > 0 && o.acked+applyTime < sent {
			oldest = max(oldest, o.version)
		}
	}
	var pools []string
	for _, o := range h.orders {
		if o.version >= oldest && o.sent < ended && !slices.Contains(pools, o.pool) {
			pools = append(pools, o.pool)
		}
	}
	return pools
}

// checkDenied looks for refusals that say that a request is not allowed. All routes that
// callers use are in all states.
func checkDenied(h *history) []Violation {
	var out []Violation
	for _, c := range h.calls {
		switch c.status {
		case http.StatusNotFound, http.StatusForbidden, http.StatusUnauthorized, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
			out = append(out, Violation{At: c.ended, ID: c.id, Detail: fmt.Sprintf("answered %d", c.status)})
		}
	}
	if len(out) <= maxRefusedRoutes {
		return nil
	}
	return out
}

// checkReads compares what the operator has read with what was acknowledged before.
func checkReads(h *history) []Violation {
	var out []Violation
	for _, r := range h.reads {
		newest, sources := order{}, []string(nil)
		for _, o := range h.orders {
			if o.acked > 0 && o.acked < r.sent && o.version > newest.version {
				newest = o
			}
			if o.version == r.version {
				sources = append(sources, o.source)
			}
		}
		switch {
		case r.version < newest.version:
			out = append(out, Violation{At: r.at, Detail: fmt.Sprintf("read version %d, %d was acknowledged", r.version, newest.version)})
		case r.version > 0 && !slices.Contains(sources, r.source):
			out = append(out, Violation{At: r.at, Detail: fmt.Sprintf("version %d was read with content that was not sent", r.version)})
		}
	}
	return out
}

func checkCold(h *history) []Violation {
	type start struct{ upstream, start int }
	times := make(map[start][]arrival)
	for _, a := range h.arrivals {
		if a.cold {
			key := start{a.upstream, a.start}
			times[key] = append(times[key], a)
		}
	}
	const most = coldPerSecond*coldFactor + coldSlack
	var out []Violation
	for key, list := range times {
		slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		first := 0
		for i, a := range list {
			for a.at-list[first].at >= time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > most {
				out = append(out, Violation{At: a.at, ID: a.id, Detail: fmt.Sprintf("upstream %d got %d requests in a second while cold, %v are allowed", key.upstream, n, most)})
				break
			}
		}
	}
	return out
}

// checkBudget counts the arrivals beyond the first of each request, in each window that
// ends with one.
func checkBudget(h *history) []Violation {
	calls := h.callsByID()
	requests, repeats := make(map[string][]time.Duration), make(map[string][]time.Duration)
	seen := make(map[string]bool)
	for _, a := range h.arrivals {
		if seen[a.id] {
			repeats[a.pool] = append(repeats[a.pool], a.at)
		}
		seen[a.id] = true
	}
	for _, c := range calls {
		for _, pool := range c.route.pools() {
			requests[pool] = append(requests[pool], c.sent)
		}
	}
	var out []Violation
	for pool, times := range repeats {
		slices.Sort(times)
		slices.Sort(requests[pool])
		for _, end := range times {
			n, most := countIn(times, end-retryWindow, end), 0
			for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
				most = max(most, countIn(requests[pool], end-before-retryWindow, end-before))
			}
			if allowed := retryRatio*float64(most) + retrySlack; float64(n) > allowed {
				out = append(out, Violation{At: end, Detail: fmt.Sprintf("%s: %d repeats in %s, %.1f are allowed", pool, n, retryWindow, allowed)})
				break
			}
		}
	}
	return out
}

// countIn returns how many of the sorted times are in (from, to].
func countIn(times []time.Duration, from, to time.Duration) int {
	after := func(t, limit time.Duration) int {
		if t <= limit {
			return -1
		}
		return 1
	}
	lo, _ := slices.BinarySearchFunc(times, from, after)
	hi, _ := slices.BinarySearchFunc(times, to, after)
	return hi - lo
}

func checkLeaves(h *history) []Violation {
	type start struct{ upstream, start int }
	left := make(map[start]time.Duration)
	for _, l := range h.leaves {
		left[start{l.upstream, l.start}] = l.acked
	}
	calls := h.callsByID()
	var out []Violation
	for _, a := range h.arrivals {
		acked, leaves := left[start{a.upstream, a.start}]
		c := calls[a.id]
		if !leaves || c == nil || c.sent < acked+drainTime || h.heldUp(a) || !h.inTouch(c.gateway, c.sent, a.at) {
			continue
		}
		out = append(out, Violation{At: a.at, ID: a.id, Detail: fmt.Sprintf("reached upstream %d %s after its departure was acknowledged", a.upstream, a.at-acked)})
	}
	return out
}

func checkEvacuations(h *history) []Violation {
	calls := h.callsByID()
	var out []Violation
	for _, e := range h.evacuations {
		for _, a := range h.arrivals {
			c := calls[a.id]
			if a.zone != e.zone || c == nil || c.sent < e.acked+evacuationTime || a.at >= e.back || h.heldUp(a) || !h.inTouch(c.gateway, c.sent, a.at) {
				continue
			}
			out = append(out, Violation{At: a.at, ID: a.id, Detail: fmt.Sprintf("reached zone %d %s after it was taken out", e.zone, a.at-e.acked)})
		}
	}
	return out
}

const (
	// crashesUntilStopped is the number of upstreams that a request may crash before it must
	// be stopped, and maxCrashesAfter how often gateways that are in touch may send it later.
	crashesUntilStopped = 3
	maxCrashesAfter     = 3
)

// checkCrashing looks at the requests on crashRoute, all of which are the same request.
func checkCrashing(h *history) []Violation {
	calls := h.callsByID()
	var crashes []arrival
	for _, a := range h.arrivals {
		if c := calls[a.id]; c != nil && c.route == crashRoute && a.ran {
			crashes = append(crashes, a)
		}
	}
	slices.SortFunc(crashes, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	if len(crashes) < crashesUntilStopped {
		return nil
	}
	stopped := crashes[crashesUntilStopped-1].at + contactTime
	var late []arrival
	for _, a := range crashes[crashesUntilStopped:] {
		if c := calls[a.id]; c.sent > stopped && h.inTouch(c.gateway, c.sent, a.at) {
			late = append(late, a)
		}
	}
	if len(late) <= maxCrashesAfter {
		return nil
	}
	last := late[len(late)-1]
	return []Violation{{At: last.at, ID: last.id, Detail: fmt.Sprintf("crashed %d upstreams, %d of them later than %s after the third", len(crashes), len(late), contactTime)}}
}

// heldUp reports whether the link to the upstream was disturbed shortly before the
// arrival.
func (h *history) heldUp(a arrival) bool {
	for _, s := range h.strikes {
		if k := kindOf(s.Kind); k.class == onUpstream && s.Target == a.upstream && s.overlaps(a.at-contactTime, a.at) {
			switch s.Kind {
			case cutUpstream, delayUpstream, slowUpstream, silenceUpstream, resetUpstream:
				return true
			}
		}
	}
	return false
}

// checkStops looks at the calls that ran, or were read, while their gateway carried out a
// planned stop, and were cut off by nothing else.
func checkStops(h *history) []Violation {
	arrived := h.arrivalsByID()
	var out []Violation
	for _, c := range h.calls {
		if c.answered || len(arrived[c.id]) == 0 && !c.cutOnFirst || slices.ContainsFunc(arrived[c.id], func(a arrival) bool { return a.spoilt }) {
			continue
		}
		stopped, disturbed := false, false
		for _, s := range h.strikes {
			if !s.overlaps(c.sent-contactTime, c.ended) {
				continue
			}
			switch k := kindOf(s.Kind); {
			case s.Kind == stopGateway && s.Target == c.gateway:
				stopped = true
			case k.class == onGateway && s.Target == c.gateway,
				k.class == onUpstream && slices.ContainsFunc(arrived[c.id], func(a arrival) bool { return a.upstream == s.Target }):
				disturbed = true
			}
		}
		if stopped && !disturbed {
			out = append(out, Violation{At: c.ended, ID: c.id, Detail: fmt.Sprintf("no answer from gateway %d during its planned stop: %s", c.gateway, c.why)})
		}
	}
	return out
}

// checkRecovery compares the calls that were sent recoveryTime after the last disruption.
func checkRecovery(h *history) []Violation {
	served, all := 0, 0
	for _, c := range h.calls {
		if c.sent < h.end+recoveryTime {
			continue
		}
		all++
		if c.status == http.StatusOK {
			served++
		}
	}
	if all == 0 || served*10 >= all*9 {
		return nil
	}
	return []Violation{{At: h.end + recoveryTime, Detail: fmt.Sprintf("%d of %d calls are served", served, all)}}
}
