package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

const (
	// probesPerSearch is the number of upstreams that are probed for their load
	// in one search for a request.
	probesPerSearch = 2
	// probeTimeout bounds one load probe. A probe occupies a slot for some
	// milliseconds, and up to four times as long while the VM is slow.
	probeTimeout = 80 * time.Millisecond
	// probeGracePeriod is how long the other probes are awaited after the first
	// response. If an upstream has room by then, it is chosen without them.
	probeGracePeriod = 8 * time.Millisecond
	// maxHealthBody bounds the body of a health response. A probe whose body has
	// not ended by then fails.
	maxHealthBody = 16 << 10
)

// probeOutcome is the outcome of the probe of one upstream.
type probeOutcome struct {
	candidate balance.Upstream
	conn      *upstreamconn.Conn
	err       error
}

// reservation is an upstream chosen for a request, which is already counted as
// in flight there, and an open connection to it. conn is nil if no upstream had
// room, or none is going to have room in time.
type reservation struct {
	choice balance.Choice
	conn   *upstreamconn.Conn
	// closed is set if there is none because all upstreams leave or pause.
	closed bool
	// moved is set if there is none because the pool's requests have moved to another
	// software version.
	moved bool
}

// probe asks the candidates for their load in parallel and reserves the best
// one. The connections to the others return to the pool.
func (f *Forwarder) probe(ctx context.Context, candidates []balance.Upstream, req balance.Requirements) reservation {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	results := make(chan probeOutcome, len(candidates))
	for _, c := range candidates {
		go func() { results <- f.probeOne(probeCtx, c) }()
	}
	conns := make(map[string]*upstreamconn.Conn, len(candidates))
	ids := make([]string, 0, len(candidates))
	pending := len(candidates)
	var grace <-chan time.Time
collect:
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err != nil {
				continue
			}
			conns[r.candidate.ID] = r.conn
			ids = append(ids, r.candidate.ID)
			if f.acceptAtOnce(r.candidate.ID) {
				break collect
			}
			if grace == nil {
				grace = time.After(probeGracePeriod)
			}
		case <-grace:
			if f.choose(ids, req).Outcome == balance.Selected {
				break collect
			}
			grace = nil
		}
	}
	choice := f.chooseAndReserve(ids, req)
	if choice.Outcome == balance.Unavailable {
		choice = f.reserveCold(ctx, ids)
	}
	res := reservation{choice: choice, conn: conns[choice.Upstream.ID]}
	for id, conn := range conns {
		if id != choice.Upstream.ID || choice.Outcome != balance.Selected {
			f.conns.Release(conn, nil)
		}
	}
	if choice.Outcome != balance.Selected {
		res.conn = nil
	}
	go f.releaseLateProbes(results, pending, cancel)
	return res
}

// releaseLateProbes returns the connections of probes that end after the choice
// to the pool.
func (f *Forwarder) releaseLateProbes(results <-chan probeOutcome, pending int, cancel context.CancelFunc) {
	defer cancel()
	for range pending {
		if r := <-results; r.err == nil {
			f.conns.Release(r.conn, nil)
		}
	}
}

// acceptAtOnce reports whether the upstream is idle, so that it can be chosen
// without waiting for the other probes.
func (f *Forwarder) acceptAtOnce(id string) bool {
	st := f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.balancer.IsIdle(st.now(), id)
}

// choose returns the placement decision among the upstreams that have answered.
func (f *Forwarder) choose(ids []string, req balance.Requirements) balance.Choice {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.balancer.Choose(f.state.now(), ids, req)
}

// chooseAndReserve decides among the upstreams that have answered and counts a
// request as in flight at the chosen one.
func (f *Forwarder) chooseAndReserve(ids []string, req balance.Requirements) balance.Choice {
	st := f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.now()
	choice := st.balancer.Choose(now, ids, req)
	if choice.Outcome == balance.Selected {
		st.countStart(choice)
	}
	return choice
}

// probeOne asks one upstream for its load and records the result or the
// failure.
func (f *Forwarder) probeOne(ctx context.Context, c balance.Upstream) probeOutcome {
	said, ok := f.state.beginProbe(c)
	if !ok {
		return probeOutcome{candidate: c, err: errWithheld}
	}
	defer f.state.endProbe(said)
	probedAt := f.state.now()
	conn, result, err := f.fetchLoad(ctx, c)
	st := f.state
	f.recordProbeOutcome(ctx, c, err)
	if isEnded(err) {
		f.opts.Crashes.UpstreamGone(c.Pool, quarantine.Crash{Upstream: c.ID, Incarnation: c.Started})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if errors.Is(err, upstreamconn.ErrTooManyConnections) || errors.Is(err, upstreamconn.ErrNoIdleConnection) || isWithheld(err) {
		return probeOutcome{candidate: c, err: err}
	}
	st.balancer.RecordProbeSent(c.ID)
	if err != nil {
		held := st.recordProbeFailure(c.ID, err)
		f.opts.Events.Log(event.UpstreamHeld).Str("upstream", c.ID).Str("pool", c.Pool).Str("why", "load probe failed").
			Uint64("held_ms", uint64(held.Milliseconds())).Err(err).Send()
		return probeOutcome{candidate: c, err: err}
	}
	st.balancer.RecordProbe(st.now(), probedAt, c.ID, result)
	return probeOutcome{candidate: c, conn: conn}
}

// stillRuns reports whether an upstream that has broken a connection answers on a new
// one. Then it has not crashed. It is not asked if that would need a permit.
func (f *Forwarder) stillRuns(u balance.Upstream) bool {
	st := f.state
	st.mu.Lock()
	mayAsk := !st.balancer.NeedsPermit(st.now(), u.ID) && st.balancer.Notice(u).Open(st.now())
	st.mu.Unlock()
	if !mayAsk {
		return false
	}
	ctx, cancel := context.WithTimeout(f.opts.Context, probeTimeout)
	defer cancel()
	conn, err := f.conns.Open(ctx, u.Address, st.maxConnections(u.Pool))
	if err != nil {
		return false
	}
	_, err = f.fetchLoadOn(ctx, conn, u)
	f.recordProbeOutcome(ctx, u, err)
	switch {
	case err == nil:
		f.conns.Release(conn, nil)
	case !isWithheld(err):
		conn.Close()
	}
	return err == nil || errors.Is(err, errConnectionClosing)
}

// isEnded reports whether the failure of a probe says that the upstream has ended. A
// reset does not: upstreams also reset connections while they are full.
func isEnded(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// fetchLoad sends the health request. If it fails on a reused connection, which
// the upstream may have closed while it was idle, it is sent once more on a new
// connection.
func (f *Forwarder) fetchLoad(ctx context.Context, c balance.Upstream) (*upstreamconn.Conn, balance.ProbeResult, error) {
	maxOpen := f.state.maxConnections(c.Pool)
	var conn *upstreamconn.Conn
	var err error
	if f.upstreamsLost() == reach.NoConnections {
		conn, err = f.conns.GetIdle(c.Address)
	} else {
		conn, err = f.conns.Get(ctx, c.Address, maxOpen)
	}
	f.recordConnection(ctx, c, conn, err)
	if err != nil {
		return nil, balance.ProbeResult{}, notConnected(err)
	}
	result, err := f.fetchLoadOn(ctx, conn, c)
	if err == nil || !conn.Reused || ctx.Err() != nil || isWithheld(err) {
		return conn, result, err
	}
	conn, err = f.conns.Open(ctx, c.Address, maxOpen)
	f.recordConnection(ctx, c, conn, err)
	if err != nil {
		return nil, balance.ProbeResult{}, notConnected(err)
	}
	result, err = f.fetchLoadOn(ctx, conn, c)
	return conn, result, err
}

// fetchLoadOn sends the health request on conn. The response must carry no
// request ID: one that does answers an earlier request.
func (f *Forwarder) fetchLoadOn(ctx context.Context, conn *upstreamconn.Conn, c balance.Upstream) (balance.ProbeResult, error) {
	if !f.state.accepts(c) {
		f.conns.Release(conn, nil)
		return balance.ProbeResult{}, errWithheld
	}
	stop := conn.InterruptOnDone(ctx)
	defer stop()
	names := f.opts.Headers
	x, err := conn.Do(ctx, &upstreamconn.Request{
		Method:          http.MethodGet,
		Target:          f.state.healthPath(c.Pool),
		Host:            c.Address,
		Header:          http.Header{names.ExpectUpstream: {c.ID}},
		MatchesResponse: func(h http.Header) bool { return h.Get(names.RequestID) == "" },
		OnInterim:       f.onInterim(c, fromProbe, ""),
		OnLate:          f.onLate(c, ""),
		LateFor:         lateAnswerTimeout,
	})
	if err != nil {
		return balance.ProbeResult{}, err
	}
	if !wrongUpstreamID(x.Response.Header.Get(names.UpstreamID), c.ID) {
		f.recordNotice(c, answerHead{source: fromProbe, status: x.Response.StatusCode, header: x.Response.Header})
	}
	if err := x.DiscardBody(maxHealthBody); err != nil {
		conn.Close()
		return balance.ProbeResult{}, err
	}
	result, err := f.parseProbe(conn, c, x.Response)
	if err == nil && !f.conns.PrepareReuse(conn, x) {
		err = upstreamconn.ErrBytesBeforeRequest
	}
	return result, err
}

// parseProbe reads the result of the probe from the headers of a health response.
// It closes conn and returns an error if another upstream answered or the
// upstream closes the connection.
func (f *Forwarder) parseProbe(conn *upstreamconn.Conn, c balance.Upstream, resp *http.Response) (balance.ProbeResult, error) {
	names := f.opts.Headers
	if resp.StatusCode == http.StatusMisdirectedRequest || wrongUpstreamID(resp.Header.Get(names.UpstreamID), c.ID) {
		conn.Close()
		return balance.ProbeResult{}, errWrongUpstream
	}
	f.recordLimit(c, balance.ProbeAnswer, resp)
	r := balance.ProbeResult{Unhealthy: resp.StatusCode != http.StatusOK}
	if load, ok := names.ParseLoad(resp.Header.Get(names.Load)); ok {
		r.Load = load
	} else if resp.Header.Get(names.NotRun) != "" {
		// The upstream refused even the health request: count it as full.
		r.Load = balance.Load{Running: c.Slots, Waiting: c.Slots, Slots: c.Slots}
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(names.ColdMs), 64); err == nil && ms > 0 {
		r.ColdFor = time.Duration(ms * float64(time.Millisecond))
	}
	if resp.Close {
		conn.Close()
		return r, errConnectionClosing
	}
	return r, nil
}

// wrongUpstreamID reports whether a response names another upstream than the
// wanted one. A response without an ID is accepted.
func wrongUpstreamID(got, want string) bool { return got != "" && got != want }

// recordProbeFailure records a failed probe and returns for how long the
// upstream gets no work. An upstream that accepted the connection and did not
// answer in time may just be full and is excluded for a shorter time. st.mu
// must be held.
func (st *state) recordProbeFailure(id string, err error) time.Duration {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "read" && op.Timeout() {
		return st.balancer.RecordProbeTimeout(st.now(), id)
	}
	return st.balancer.RecordFailure(st.now(), id)
}

// notConnected marks the error of a connection that was not opened.
func notConnected(err error) error { return errors.WithType(err, errNotConnected) }
