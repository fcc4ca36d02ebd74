package soak

import (
	"context"
	"sync"
	"time"

	"balsamcourse.example/balsamcourse/internal/wait"
)

// Bounds that the promises name.
const (
	// contactTime is the time for which a gateway and control must have been
	// undisturbed for bounds of time to hold.
	contactTime = 3 * time.Second
	// applyTime, drainTime and evacuationTime are the times after their
	// acknowledgement by which a desired state is in force, an upstream that leaves and
	// a zone taken out get nothing more.
	applyTime      = 2 * time.Second
	drainTime      = 2 * time.Second
	evacuationTime = 5 * time.Second
	// recoveryTime is the time after the last disruption by which calls are served.
	recoveryTime = 15 * time.Second
	// coldPerSecond is the rate that a cold upstream bears. In a second it may get
	// coldFactor times as much and coldSlack more.
	coldPerSecond = 15
	coldFactor    = 1.5
	coldSlack     = 5
	// Bounds of the requests that are sent again, as in the settings of the gateways.
	retryRatio  = 0.2
	retrySlack  = 40
	retryWindow = 10 * time.Second
	// maxRefusedRoutes is the number of refusals of requests on routes that exist.
	maxRefusedRoutes = 0
)

// call is one request of a caller.
type call struct {
	id      string
	route   route
	gateway int
	sent    time.Duration
	ended   time.Duration
	status  int
	// answered is set if a whole response came. notRun is set if it says that the
	// request has not run.
	answered, notRun bool
	// pool and upstream are those that the answer names.
	pool string
	// wrong says what is wrong with a complete answer; empty if nothing is.
	wrong string
	// why says how a call without an answer ended. cutOnFirst is set if its connection,
	// of which it was the first request, was closed in an orderly way: a process that has
	// not read the request resets it.
	why        string
	cutOnFirst bool
}

// arrival is a request that has reached an upstream.
type arrival struct {
	id       string
	at       time.Duration
	upstream int
	// start counts the starts of the upstream.
	start int
	pool  string
	zone  int
	ran   bool
	cold  bool
	// spoilt is set if the upstream broke off, reset or withheld the answer.
	spoilt bool
	// wrong says what is wrong with the request; empty if nothing is.
	wrong string
}

// strike is a disruption while it lasted: to is the time at which it was over, with the
// process back.
type strike struct {
	Disruption
	from, to time.Duration
	done     bool
}

// order is a desired state that the operator has sent, and acked the time of its
// acknowledgement, 0 if there is none.
type order struct {
	version     uint64
	pool        string
	source      string
	sent, acked time.Duration
}

// leave is the acknowledgement that an upstream's start leaves.
type leave struct {
	upstream, start int
	acked           time.Duration
}

// evacuation is the time from the acknowledgement that a zone is taken out to the
// beginning of its return.
type evacuation struct {
	zone        int
	acked, back time.Duration
}

// readBack is what the operator has read.
type readBack struct {
	sent, at time.Duration
	version  uint64
	source   string
}

// history is all that callers, upstreams and the operator have seen. Times count from
// the start of the run. It is safe for concurrent use.
type history struct {
	start time.Time

	mu          sync.Mutex
	calls       []call
	arrivals    []arrival
	strikes     []*strike
	orders      []order
	leaves      []leave
	evacuations []evacuation
	reads       []readBack
	// end is the time of the end of the last disruption.
	end time.Duration
}

func newHistory() *history { return &history{start: time.Now()} }

func (h *history) now() time.Duration { return time.Since(h.start) }

func (h *history) addCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) addArrival(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals = append(h.arrivals, a)
}

// spoil records that the upstream could not answer the request.
func (h *history) spoil(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.arrivals) - 1; i >= 0; i-- {
		if known := &h.arrivals[i]; known.id == a.id && known.at == a.at {
			known.spoilt = true
			return
		}
	}
}

// begin records the beginning of a disruption, whose end is recorded by the function
// that it returns.
func (h *history) begin(d Disruption) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &strike{Disruption: d, from: h.now()}
	h.strikes = append(h.strikes, s)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.to, s.done = h.now(), true
	}
}

func (h *history) addOrder(o order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders = append(h.orders, o)
}

func (h *history) addLeave(l leave) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaves = append(h.leaves, l)
}

func (h *history) addEvacuation(e evacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, e)
}

func (h *history) addRead(r readBack) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// strikesGateway reports whether the disruption concerns the gateway: it strikes it, its
// links or control.
func (s *strike) strikesGateway(gateway int) bool {
	switch kindOf(s.Kind).class {
	case onControl, onAllControl:
		return true
	case onGateway:
		return s.Target == gateway
	}
	return false
}

// overlaps reports whether the disruption lasted at some time in [from, to].
func (s *strike) overlaps(from, to time.Duration) bool {
	return s.from <= to && (!s.done || s.to >= from)
}

// inTouch reports whether the gateway and control were undisturbed in [from, to] and
// for contactTime before.
func (h *history) inTouch(gateway int, from, to time.Duration) bool {
	for _, s := range h.strikes {
		if s.strikesGateway(gateway) && s.overlaps(from-contactTime, to) {
			return false
		}
	}
	return true
}

// finish records the end of the last disruption.
func (h *history) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.end = h.now()
}

const (
	// stallCheckInterval is the time between two looks at the clock, stallTime the
	// delay of one from which the machine counts as stalled.
	stallCheckInterval = 20 * time.Millisecond
	stallTime          = 200 * time.Millisecond
)

// watchStalls records the times at which this process, and so the others as well, did not
// run, until ctx ends.
func (h *history) watchStalls(ctx context.Context) {
	last := h.now()
	wait.Every(ctx, stallCheckInterval, func() {
		now := h.now()
		if now-last > stallTime {
			h.mu.Lock()
			h.strikes = append(h.strikes, &strike{Disruption: Disruption{Kind: stalled.name}, from: last, to: now, done: true})
			h.mu.Unlock()
		}
		last = now
	})
}
