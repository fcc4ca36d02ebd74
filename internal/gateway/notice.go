package gateway

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// errWithheld means that a probe was not sent, as the upstream is leaving or wants
// no more requests now.
var errWithheld = errors.New("the upstream is leaving or has asked for a pause")

// answerHead is the head of an answer of an upstream. request is the ID of the
// call, "" for a probe; source names the kind of answer in log lines.
type answerHead struct {
	source, request string
	status          int
	header          http.Header
}

// recordNotice records what the answer says of the upstream itself: that it is
// leaving, or wants no requests for some time. An answer of another upstream at
// the address says nothing.
func (f *Forwarder) recordNotice(u balance.Upstream, a answerHead) {
	if a.status == http.StatusMisdirectedRequest {
		return
	}
	names := f.opts.Headers
	if values := a.header.Values(names.Leaving); len(values) > 0 {
		leaving, invalid := notice.ParseLeaving(values)
		f.logInvalidNotice(u, a, names.Leaving, invalid)
		if leaving {
			f.recordLeaving(u, a)
		}
	}
	if a.status == http.StatusServiceUnavailable && a.header.Get(fault.HeaderRetryAfter) != "" {
		pause, invalid := notice.ParsePause(a.header, time.Now())
		f.logInvalidNotice(u, a, fault.HeaderRetryAfter, invalid)
		if pause > 0 {
			f.recordPause(u, a, pause)
		}
	}
}

func (f *Forwarder) recordLeaving(u balance.Upstream, a answerHead) {
	st := f.state
	st.mu.Lock()
	isNew := st.balancer.RecordLeaving(u)
	if isNew {
		st.dismissPaused(st.balancer.GroupOf(u))
	}
	st.mu.Unlock()
	if isNew {
		f.opts.Events.Log(event.UpstreamLeaving).Str("upstream", u.ID).Str("pool", u.Pool).Uint64("started_ms", u.Started).
			Str("source", a.source).Str("answer_to", a.request).Uint64("status", uint64(a.status)).Send()
	}
}

func (f *Forwarder) recordPause(u balance.Upstream, a answerHead, pause time.Duration) {
	st := f.state
	st.mu.Lock()
	now := st.now()
	until, isNew := st.balancer.RecordPause(now, u, pause)
	st.balancer.RecordPauseTime(u, uint64(time.Now().UnixMilli()))
	if isNew {
		st.dismissPaused(st.balancer.GroupOf(u))
	}
	st.mu.Unlock()
	if isNew {
		f.opts.Events.Log(event.UpstreamPaused).Str("upstream", u.ID).Str("pool", u.Pool).Uint64("started_ms", u.Started).
			Str("source", a.source).Str("answer_to", a.request).Str("until", time.Now().Add(until-now).UTC().Format(time.RFC3339Nano)).
			Uint64("pause_ms", uint64((until - now).Milliseconds())).Send()
	}
}

// logInvalidNotice logs a value that is not followed, unless it is the last one of
// the upstream.
func (f *Forwarder) logInvalidNotice(u balance.Upstream, a answerHead, header, value string) {
	if value == "" {
		return
	}
	f.state.mu.Lock()
	changed := f.state.balancer.RecordInvalidNotice(u, value)
	f.state.mu.Unlock()
	if changed {
		f.opts.Events.Log(event.NoticeInvalid).Str("upstream", u.ID).Str("pool", u.Pool).Str("source", a.source).
			Str("answer_to", a.request).Str("header", header).Str("value", value).Send()
	}
}

// onInterim returns the function that records what interim answers (status 1xx)
// to the request with the given ID, "" for a probe, say of the upstream.
func (f *Forwarder) onInterim(u balance.Upstream, source, request string) func(int, http.Header) {
	return func(status int, h http.Header) {
		if id := h.Get(f.opts.Headers.RequestID); id == "" || id == request {
			f.recordNotice(u, answerHead{source: source, request: request, status: status, header: h})
		}
	}
}

// lateAnswerTimeout is how long an answer is awaited for what it says of the upstream
// after a probe has timed out or the deadline of a call has passed. An upstream that
// has been told of the deadline does not work on.
const lateAnswerTimeout = 250 * time.Millisecond

// onLate returns the function that records what a late answer to the request with the
// given ID, "" for a probe, says of the upstream.
func (f *Forwarder) onLate(u balance.Upstream, request string) func(int, http.Header) {
	return func(status int, h http.Header) {
		if request == "" && wrongUpstreamID(h.Get(f.opts.Headers.UpstreamID), u.ID) {
			return
		}
		f.recordNotice(u, answerHead{source: fromLate, request: request, status: status, header: h})
	}
}

// Sources of notices in log lines.
const (
	fromCall    = "call"
	fromProbe   = "probe"
	fromInterim = "interim"
	fromLate    = "late"
	fromRelay   = "relay"
)

// beginProbe counts a probe as in flight until said is passed to endProbe. It
// reports false if none may be sent to the upstream now.
func (st *state) beginProbe(u balance.Upstream) (said *notice.Status, ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.balancer.BeginProbe(st.now(), u)
}

func (st *state) endProbe(said *notice.Status) {
	if said == nil {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	said.EndProbe()
}

// accepts reports whether the upstream may be sent something now: it may have said
// that it is leaving, asked for a pause, or left the rotation since it was chosen.
func (st *state) accepts(u balance.Upstream) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.balancer.OutOfRotation(u.ID) && st.balancer.Notice(u).Open(st.now())
}

// confirm reports whether the reservation may still be used. It releases one that
// may not.
func (c *call) confirm(res reservation) bool {
	u := res.choice.Upstream
	st := c.f.state
	if c.awaitRefresh() {
		// The upstream may have left meanwhile, or its load has changed.
		c.f.releaseUnused(res)
		return false
	}
	st.mu.Lock()
	said := st.balancer.Notice(u)
	open, leaving := said.Open(st.now()), said.Leaving()
	st.mu.Unlock()
	if open {
		return true
	}
	c.f.releaseUnused(res)
	c.withheld++
	pool := c.f.opts.Metrics.Pool(u.Pool)
	if leaving {
		pool.WithheldLeaving.Inc(1)
	} else {
		pool.WithheldPaused.Inc(1)
	}
	return false
}

// pauseWait returns the time until the first pause of an upstream of the pool
// ends. It reports false unless all of them are leaving or pause and at least one
// pauses.
func (c *call) pauseWait() (time.Duration, bool) {
	st := c.f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	wait, paused, _ := st.balancer.PauseWait(st.now(), c.group)
	return wait, paused > 0
}

// resuming reports whether an upstream that the call may be sent to takes few
// requests at a time after a pause.
func (c *call) resuming() bool {
	st := c.f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.balancer.Resuming(st.now(), c.group, c.avoid)
}

// closedByNotices reports whether all upstreams of the pool are leaving or pause.
// st.mu must be held.
func (st *state) closedByNotices(now time.Duration, pool string) bool {
	_, _, closed := st.balancer.PauseWait(now, pool)
	return closed
}

// refusedByNotices returns the refusal of a call to a pool all of whose upstreams
// are leaving or pause.
func (c *call) refusedByNotices() error {
	st := c.f.state
	st.mu.Lock()
	now := st.now()
	wait, _, _ := st.balancer.PauseWait(now, c.group)
	leaving, paused := st.balancer.CountNotices(now, c.group)
	st.mu.Unlock()
	pool := c.f.opts.Metrics.Pool(c.pool)
	if paused == 0 {
		pool.WithheldLeaving.Inc(1)
		return fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "pool %q: all %d upstreams are leaving", c.pool, leaving)
	}
	pool.WithheldPaused.Inc(1)
	return fault.NewRetryable(fault.UpstreamsPaused, c.retryAfter(0), "pool %q: %d upstreams have asked for a pause, the first one for %s more, and %d are leaving", c.pool, paused, wait, leaving)
}

// dismissPaused removes all calls from the queue of the pool if all its upstreams
// are leaving or pause. st.mu must be held.
func (st *state) dismissPaused(pool string) {
	if !st.closedByNotices(st.now(), pool) {
		return
	}
	q := st.queue(pool)
	for _, id := range q.waiters.RemoveAll(func(balance.Waiter) bool { return true }) {
		q.reservations[id] <- reservation{closed: true}
		delete(q.reservations, id)
	}
}

// isWithheld reports whether a probe failed only because it was not sent.
func isWithheld(err error) bool { return errors.Is(err, errWithheld) }
