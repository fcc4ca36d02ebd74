package control

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// Headers of a forwarded order. They are headers and not fields of the request, because
// an older leader keeps fields that it does not know and would put them into the log.
const (
	headerBase  = "Balsam-Base-Revision"
	headerStart = "Balsam-Upstream-Start"
)

// order is the state on which an order is based: that of the control VM which
// received it from the operator or upstream, at that time.
type order struct {
	// base is the index of the log up to which commands were applied. It is at least
	// the revision of the configuration and lower than that of any later change.
	base uint64
	// start is the start time of the upstream that an order to drop it concerns.
	start uint64
}

type orderKey struct{}

// withOrder adds the order to the context of a call. A forwarded call keeps the one of
// the control VM that forwarded it. It must be called before anything that waits.
func (s *Server) withOrder(ctx context.Context) context.Context {
	if _, known := ctx.Value(orderKey{}).(order); known {
		return ctx
	}
	base := s.sampleArrival()
	// The first entry of the log changes nothing, and a base of 0 would mean none.
	return context.WithValue(ctx, orderKey{}, order{base: max(base, 1)})
}

// abandonTime is the time after the arrival of an order within which its caller shows that
// it has given the order up. The network may have held both the order and the end of its
// connection; the end arrives up to a round trip after the order.
const abandonTime = 25 * time.Millisecond

// awaitAbandon waits for abandonTime and returns an error of kind OutdatedOrder if the caller
// of the order has left by then: it may have given the opposite order to another control VM
// since. It does not wait with a forwarded call, since the control VM that forwarded it has
// done so.
func (a *admin) awaitAbandon(ctx context.Context) error {
	if _, forwarded := ctx.Value(forwardedCallKey{}).(forwardedCall); forwarded {
		return nil
	}
	timer := time.NewTimer(abandonTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fault.ToTwirp(a.outdated(fault.New(fault.OutdatedOrder, "the caller has left before the order was carried out")))
	}
}

// withUpstreamStart is withOrder for an order to drop an upstream. It adds the known
// start time of the upstream.
func (s *Server) withUpstreamStart(ctx context.Context, id string) context.Context {
	if _, known := ctx.Value(orderKey{}).(order); known {
		return ctx
	}
	// The configuration is read first: the base must not be newer than it is.
	var start uint64
	for _, u := range s.catalog.Config().Upstreams {
		if u.Id == id {
			start = u.StartedMs
		}
	}
	ctx = s.withOrder(ctx)
	o := orderOf(ctx)
	o.start = start
	return context.WithValue(ctx, orderKey{}, o)
}

func orderOf(ctx context.Context) order {
	o, _ := ctx.Value(orderKey{}).(order)
	return o
}

// appliedIndex returns an index of the log up to which this control VM has applied
// commands and memberships.
func (s *Server) appliedIndex() uint64 {
	return max(s.catalog.Index(), s.opts.Replica.Status().AppliedIndex)
}

// setHeader adds the order to the headers of the call that forwards it.
func (o order) setHeader(h http.Header) {
	if o.base != 0 {
		h.Set(headerBase, strconv.FormatUint(o.base, 10))
		h.Set(headerStart, strconv.FormatUint(o.start, 10))
	}
}

// orderFromHeader returns the order in the headers of a forwarded call. It reports
// false if there is none, as in those of older builds.
func orderFromHeader(h http.Header) (order, bool) {
	base, err := strconv.ParseUint(h.Get(headerBase), 10, 64)
	if err != nil {
		return order{}, false
	}
	start, err := strconv.ParseUint(h.Get(headerStart), 10, 64)
	return order{base: base, start: start}, err == nil
}

// bound returns the order if the state machines of all members obey base revisions, and
// the zero order otherwise: then the command takes the form that older builds know.
func (a *admin) bound(ctx context.Context) order {
	if err := a.server.memberSupport(features.BoundedOrders); err != nil {
		a.server.opts.Log.Log(event.OrderUnbounded).Uint64("base", orderOf(ctx).base).Err(err).Send()
		return order{}
	}
	return orderOf(ctx)
}

// checkOrder rejects a command that is outdated already, before it is proposed.
func (a *admin) checkOrder(cmd *catalogpb.Command) error {
	if err := a.server.catalog.CheckOrder(cmd); err != nil {
		return a.outdated(err)
	}
	return nil
}

// outdated logs the rejection of an order if that is its reason.
func (a *admin) outdated(err *fault.Error) *fault.Error {
	if err.Kind == fault.OutdatedOrder {
		a.server.opts.Log.Log(event.OrderOutdated).Err(err).Send()
	}
	return err
}

const (
	// pauseLimit is the time without a sample from which the process counts as having
	// been paused. Operators and upstreams wait 1 s for an answer, so that one whose
	// order waited in a socket for less has not yet ordered anything else.
	pauseLimit = 500 * time.Millisecond
	// pauseHold is the time after a pause for which orders are based on the state
	// before it, as they may have arrived during the pause. A VM that resumes reads
	// its sockets within this time, also while it catches up.
	pauseHold = time.Second
	// sampleInterval is the interval of samples.
	sampleInterval = 50 * time.Millisecond
)

// arrivals determines the state on which arriving orders are based. An order that
// waited in a socket while the process was paused arrived before the process caught
// up, but is read at about the same time. It is therefore based on the state before
// the pause. It has no clock of its own and is safe for concurrent use.
type arrivals struct {
	mu sync.Mutex
	// at is the time of the last sample, applied the index applied then.
	at      time.Duration
	applied uint64
	// heldUntil is the time until which orders are based on held.
	heldUntil time.Duration
	held      uint64
}

// arrive takes a sample and returns the base of an order that is read now, and how long
// the process was paused before if this sample is the first one after a pause. The time
// is that of a clock that also runs while the process or the VM is suspended.
func (a *arrivals) arrive(now time.Duration, applied uint64) (base uint64, paused time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at != 0 && now-a.at > pauseLimit {
		paused = now - a.at
		// Orders of an earlier pause may be unread if the next one began during its hold.
		if a.at >= a.heldUntil {
			a.held = a.applied
		}
		a.heldUntil = now + pauseHold
	}
	a.at, a.applied = max(a.at, now), max(a.applied, applied)
	if now < a.heldUntil {
		return min(a.held, applied), paused
	}
	return applied, paused
}

// sampleArrival returns the base of an order that is read now, and logs a pause of the
// process.
func (s *Server) sampleArrival() uint64 {
	applied := s.appliedIndex()
	base, paused := s.arrivals.arrive(s.bootTime(), applied)
	if paused > 0 {
		s.opts.Log.Log(event.OrdersHeld).Uint64("paused_ms", uint64(paused.Milliseconds())).
			Uint64("base", base).Uint64("applied", applied).Send()
	}
	return base
}

// sampleArrivals takes samples until ctx ends.
func (s *Server) sampleArrivals(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		s.sampleArrival()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
