package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// reachProbes is the number of upstreams probed in one round that finds out
	// whether all upstreams are lost or are back, and confirmProbes the number in rounds
	// after one that has failed: the second round must yield the evidence for a loss,
	// since a round takes half a second where nothing answers.
	reachProbes   = 2
	confirmProbes = 6
	// suspectProbeInterval is the pause between rounds while the loss is suspected,
	// lostProbeInterval while it is certain.
	suspectProbeInterval = 100 * time.Millisecond
	lostProbeInterval    = 250 * time.Millisecond
	// reachProbeTimeout bounds such a probe. On a link that is full, a connection
	// opens after some hundred milliseconds.
	reachProbeTimeout = 400 * time.Millisecond
	// reachConnections is the number of connections to one upstream that these probes
	// may open beyond the bound for calls.
	reachConnections = 1
)

// errNotConnected means that no new connection to the upstream was opened.
const errNotConnected = errors.ConstError("connection not opened")

// reachability is what a gateway knows about the network to the upstreams.
type reachability struct {
	mu      sync.Mutex
	tracker reach.Tracker
	// status is the decision that was logged last.
	status reach.Status
	// lost is closed when all upstreams are lost; a new one is made when one is
	// back.
	lost chan struct{}
	// probing is set while a goroutine runs probeReach.
	probing bool
}

// lostChannel returns the channel lost. r.mu must be held.
func (r *reachability) lostChannel() chan struct{} {
	if r.lost == nil {
		r.lost = make(chan struct{})
	}
	return r.lost
}

// lostSignal returns a channel that is closed when all upstreams are lost.
func (r *reachability) lostSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostChannel()
}

// reachTargets are the upstreams that the gateway may probe for reachability, by
// zone.
type reachTargets struct {
	known  reach.Known
	byZone [][]balance.Upstream
}

func newReachTargets(placement balance.Config) *reachTargets {
	zones := make(map[string]int)
	t := &reachTargets{known: reach.Known{Zones: make(map[string]int), Pools: make(map[string]int)}}
	for _, u := range placement.Upstreams {
		if u.Draining || !placement.InRotation(u) {
			continue
		}
		i, ok := zones[u.Zone]
		if !ok {
			i = len(t.byZone)
			zones[u.Zone] = i
			t.byZone = append(t.byZone, nil)
		}
		t.byZone[i] = append(t.byZone[i], u)
		t.known.Upstreams++
		t.known.Zones[u.Zone]++
		t.known.Pools[u.Pool]++
	}
	return t
}

// choose returns up to n random upstreams, of as many different zones as possible. Those
// for which avoid returns true are chosen only if a zone has no others.
func (t *reachTargets) choose(n int, avoid func(id string) bool) []balance.Upstream {
	lists := make([][]balance.Upstream, len(t.byZone))
	for z, at := range rand.Perm(len(t.byZone)) {
		lists[at] = shuffled(t.byZone[z], avoid)
	}
	var chosen []balance.Upstream
	for i, left := 0, true; left && len(chosen) < n; i++ {
		left = false
		for _, list := range lists {
			if i < len(list) && len(chosen) < n {
				chosen = append(chosen, list[i])
				left = true
			}
		}
	}
	return chosen
}

// shuffled returns the upstreams in random order, those for which avoid returns true
// last.
func shuffled(list []balance.Upstream, avoid func(id string) bool) []balance.Upstream {
	var first, last []balance.Upstream
	for _, i := range rand.Perm(len(list)) {
		if avoid(list[i].ID) {
			last = append(last, list[i])
		} else {
			first = append(first, list[i])
		}
	}
	return append(first, last...)
}

// evidenceOf returns the upstream as the evidence names it.
func evidenceOf(u balance.Upstream) reach.Upstream {
	return reach.Upstream{ID: u.ID, Zone: u.Zone, Pool: u.Pool}
}

// recordAnswer records that an upstream has answered.
func (f *Forwarder) recordAnswer(u balance.Upstream) {
	f.updateReach(func(t *reach.Tracker) { t.RecordAnswer(evidenceOf(u)) })
}

// recordNoAnswer records that an upstream did not answer in time, or that the
// connection broke with err.
func (f *Forwarder) recordNoAnswer(u balance.Upstream, err error) {
	now := f.state.now()
	if isTimeout(err) {
		f.updateReach(func(t *reach.Tracker) { t.RecordTimeout(now, evidenceOf(u)) })
		return
	}
	f.updateReach(func(t *reach.Tracker) { t.RecordBroken(now, evidenceOf(u)) })
}

// recordProbeOutcome records whether an upstream has answered a probe. Probes that
// were cancelled show nothing, nor do those for which no connection was opened,
// which recordConnection has recorded.
func (f *Forwarder) recordProbeOutcome(ctx context.Context, u balance.Upstream, err error) {
	switch {
	case err == nil, errors.Is(err, errWrongUpstream), errors.Is(err, errConnectionClosing):
		f.recordAnswer(u)
	case ctx.Err() == context.Canceled, errors.Is(err, errNotConnected), isWithheld(err):
	default:
		f.recordNoAnswer(u, err)
	}
}

// recordConnection records whether a new connection to the upstream was opened.
// Connections from the pool show nothing. One that does not open within the time of a
// load probe may be delayed by a full link, and only raises the suspicion.
func (f *Forwarder) recordConnection(ctx context.Context, u balance.Upstream, conn *upstreamconn.Conn, err error) {
	switch {
	case err == nil && !conn.Reused:
		f.updateReach((*reach.Tracker).RecordOpened)
	case err == nil, ctx.Err() == context.Canceled, errors.Is(err, upstreamconn.ErrTooManyConnections), errors.Is(err, upstreamconn.ErrNoIdleConnection):
	case isTimeout(err):
		now := f.state.now()
		f.updateReach(func(t *reach.Tracker) { t.RecordTimeout(now, evidenceOf(u)) })
	default:
		f.recordNotOpened(u)
	}
}

// recordNotOpened records that a new connection to the upstream could not be opened.
func (f *Forwarder) recordNotOpened(u balance.Upstream) {
	now := f.state.now()
	f.updateReach(func(t *reach.Tracker) { t.RecordNotOpened(now, evidenceOf(u)) })
}

// isTimeout reports whether err is that of an operation that took too long.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// updateReach records an outcome, logs a changed decision, and starts to probe
// upstreams if all may be lost.
func (f *Forwarder) updateReach(record func(*reach.Tracker)) {
	r := &f.reach
	known := f.state.reachTargets.Load().known
	r.mu.Lock()
	defer r.mu.Unlock()
	record(&r.tracker)
	before := r.status
	r.status = r.tracker.Status(known)
	if r.status.Lost() != before.Lost() {
		f.reachChanged(before, r.status)
	}
	if !r.probing && r.tracker.Suspect(known) {
		r.probing = true
		go f.probeReach()
	}
}

// reachChanged logs that all upstreams are lost, or that one is back. f.reach.mu
// must be held.
func (f *Forwarder) reachChanged(before, after reach.Status) {
	st := f.state
	if after.Lost() {
		close(f.reach.lostChannel())
	} else {
		f.reach.lost = nil
	}
	if after.Lost() {
		f.opts.Events.Log(event.UpstreamsLost).Str("evidence", string(after.Cause)).
			Uint64("failed_upstreams", uint64(after.Failed)).
			Uint64("known_upstreams", uint64(st.reachTargets.Load().known.Upstreams)).
			Uint64("since_ms", uint64((st.now() - after.Since).Milliseconds())).Send()
	} else {
		f.opts.Events.Log(event.UpstreamsBack).Str("evidence", string(before.Cause)).
			Uint64("lost_ms", uint64((st.now() - before.Since).Milliseconds())).Send()
	}
	lost := 0.0
	if after.Lost() {
		lost = 1
	}
	f.opts.Metrics.UpstreamsLost.Update(lost)
	if f.opts.ReportLost != nil {
		f.opts.ReportLost(after.Lost())
	}
}

// upstreamsLost returns the cause for which all upstreams count as lost, or
// reach.None.
func (f *Forwarder) upstreamsLost() reach.Cause {
	f.reach.mu.Lock()
	defer f.reach.mu.Unlock()
	return f.reach.status.Cause
}

// probeReach probes a few upstreams at a time on new connections until the loss of
// all of them is no longer suspected.
func (f *Forwarder) probeReach() {
	ctx := f.opts.Context
	for {
		targets, interval, ok := f.nextReachProbes(ctx)
		if !ok {
			return
		}
		var probes sync.WaitGroup
		for _, u := range targets {
			probes.Go(func() { f.probeOnNewConnection(ctx, u) })
		}
		probes.Wait()
		wait.For(ctx, interval)
	}
}

// nextReachProbes returns the upstreams to probe now, of which there may be none at
// times, and the pause after that. It reports false, and marks the probing as ended,
// if no loss is suspected or ctx has ended.
func (f *Forwarder) nextReachProbes(ctx context.Context) ([]balance.Upstream, time.Duration, bool) {
	r := &f.reach
	targets := f.state.reachTargets.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probing = ctx.Err() == nil && (r.status.Lost() || r.tracker.Suspect(targets.known))
	if !r.probing {
		return nil, 0, false
	}
	interval := suspectProbeInterval
	if r.status.Lost() {
		interval = lostProbeInterval
	}
	probes := reachProbes
	if !r.status.Lost() && r.tracker.HasEvidence() {
		probes = confirmProbes
	}
	return targets.choose(probes, r.tracker.IsEvidence), interval, true
}

// probeOnNewConnection probes the upstream on a new connection. Upstreams that get
// no requests without a permit, are leaving or have asked for a pause are only
// connected to.
func (f *Forwarder) probeOnNewConnection(ctx context.Context, u balance.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	maxOpen := f.state.maxConnections(u.Pool)
	if maxOpen > 0 {
		// Calls may have all connections open that they are allowed.
		maxOpen += reachConnections
	}
	conn, err := f.conns.Open(ctx, u.Address, maxOpen)
	if isTimeout(err) {
		f.recordNotOpened(u)
		return
	}
	f.recordConnection(ctx, u, conn, err)
	if err != nil {
		return
	}
	st := f.state
	st.mu.Lock()
	needsPermit := st.balancer.NeedsPermit(st.now(), u.ID)
	if !needsPermit {
		st.balancer.RecordProbeSent(u.ID)
	}
	st.mu.Unlock()
	if needsPermit || !st.accepts(u) {
		conn.Close()
		f.recordAnswer(u)
		return
	}
	probedAt := st.now()
	result, err := f.fetchLoadOn(ctx, conn, u)
	f.recordProbeOutcome(ctx, u, err)
	if isWithheld(err) {
		// The connection has been returned to the pool.
		return
	}
	if err != nil {
		conn.Close()
		return
	}
	st.mu.Lock()
	st.balancer.RecordProbe(st.now(), probedAt, u.ID, result)
	st.mu.Unlock()
	// Kept, the connection would take the place of one for calls.
	conn.Close()
}
