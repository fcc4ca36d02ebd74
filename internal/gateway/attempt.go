package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// attempt sends the request to the reserved upstream and forwards the response.
// It reports false, with the failure, if there is no response to forward.
func (c *call) attempt(res reservation) (bool, attemptFailure) {
	u := res.choice.Upstream
	c.upstream = u.ID
	c.choice = res.choice
	start := time.Now()
	c.sentAt = start
	if c.id == "" && !c.isolate(&res) {
		c.recordNeutralEnd(u.ID)
		return false, c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "upstream %s: no connection for a request without an ID", u.ID)})
	}
	// No wait follows in which the key could be removed.
	if err := c.admit(); err != nil {
		c.f.releaseUnused(res)
		return false, attemptFailure{err: fault.FromError(err), denied: true}
	}
	if !c.beginSend(u) {
		c.f.releaseUnused(res)
		c.f.opts.Metrics.Pool(u.Pool).WithheldVersion.Inc(1)
		return false, c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "upstream %s: its software version gets no more requests", u.ID)})
	}
	if c.permit != nil {
		c.permit.spent = true
	}
	res.conn.Carried = true
	c.endWithStop()
	defer c.releaseStop()
	stop := res.conn.InterruptOnDone(c.ctx)
	defer stop()
	x, err := res.conn.Do(c.ctx, c.upstreamRequest(u))
	c.recordSend(u, x.MayHaveRun)
	if x.MayHaveRun {
		c.sends++
		c.body.sent = true
	}
	if err != nil {
		return false, c.connectionFailed(u, x, err)
	}
	c.f.recordAnswer(u)
	resp := x.Response
	c.f.recordNotice(u, answerHead{source: fromCall, request: c.id, status: resp.StatusCode, header: resp.Header})
	if c.notRun(resp) {
		c.f.recordLimit(u, balance.RefusedAnswer, resp)
		return false, c.refusedByUpstream(u, res.conn, x)
	}
	c.f.recordLimit(u, balance.RanAnswer, resp)
	c.ran++
	if failed, ok := c.checkResponse(resp); !ok {
		// The upstream counts as failed whether or not the rest ends.
		_ = c.discardResponse(res.conn, x)
		c.recordOutcome(u, c.evidenceKindOf(resp))
		c.recordEnd(u.ID, false, time.Since(start))
		return false, c.recordFailure(u, failed)
	}
	return c.forwardResponse(u, res.conn, x, start)
}

// isolate makes sure that the connection of the reservation carries only the request of
// this call, which has no ID: its response cannot be told from late copies of others. It
// reports false if a new connection that this needs cannot be opened.
func (c *call) isolate(res *reservation) bool {
	if res.conn.Carried {
		u := res.choice.Upstream
		conn, err := c.f.conns.Open(c.ctx, u.Address, c.f.state.maxConnections(u.Pool))
		c.f.conns.Release(res.conn, nil)
		if err != nil {
			return false
		}
		res.conn = conn
	}
	res.conn.PreventReuse()
	return true
}

// recordEnd records the end of an attempt. After a failed one the upstream gets
// no work for a while.
func (c *call) recordEnd(id string, ok bool, took time.Duration) {
	st := c.f.state
	c.f.opts.Metrics.Upstream.RecordDuration(took)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.balancer.RecordEnd(id, c.choice.At)
	if !ok {
		st.balancer.RecordFailure(st.now(), id)
		return
	}
	slowdown := c.choice.Load.Slowdown()
	typical := st.typicalTimes[c.route.Name]
	st.balancer.RecordSuccess(id, took, time.Duration(slowdown*float64(typical)))
	st.balancer.RecordAnswer(st.now(), id)
	if st.isTarget(c.choice.Upstream) {
		// The typical time is that of the old version, with which the new one is
		// compared.
		return
	}
	st.recordResponseTime(c.route.Name, time.Duration(float64(took)/slowdown))
}

// recordNeutralEnd records the end of an attempt that says nothing about the
// health or speed of the upstream.
func (c *call) recordNeutralEnd(id string) {
	st := c.f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.balancer.RecordEnd(id, c.choice.At)
}

// recordUnfinished records the end of an attempt whose response had begun and did
// not end before the deadline.
func (c *call) recordUnfinished(u balance.Upstream) {
	st := c.f.state
	st.mu.Lock()
	st.balancer.RecordEnd(u.ID, c.choice.At)
	held := st.balancer.RecordUnfinished(st.now(), u.ID)
	st.mu.Unlock()
	if held > 0 {
		c.f.opts.Events.Log(event.UpstreamHeld).Str("request", c.id).Str("upstream", u.ID).Str("pool", u.Pool).
			Str("why", "responses did not end before the deadline").Uint64("held_ms", uint64(held.Milliseconds())).Send()
	}
}

// upstreamRequest builds the request to the upstream, with the time left to the
// deadline.
func (c *call) upstreamRequest(u balance.Upstream) *upstreamconn.Request {
	names := c.f.opts.Headers
	h := forward.EndToEndHeaders(c.r.Header)
	for _, name := range []string{"Content-Length", "Expect", "Host"} {
		h.Del(name)
	}
	left := max(1, time.Until(c.deadline).Milliseconds())
	c.setOrganisation(h)
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectUpstream, u.ID)
	id := c.id
	return &upstreamconn.Request{
		Method:        c.r.Method,
		Target:        requestTarget(c.r),
		Host:          c.r.Host,
		Header:        h,
		Body:          c.body.buffered,
		BodyRest:      c.body.rest,
		ContentLength: c.body.length,
		MatchesResponse: func(h http.Header) bool {
			return id == "" || h.Get(names.RequestID) == id
		},
		OnInterim: c.f.onInterim(u, fromInterim, id),
		OnLate:    c.f.onLate(u, id),
		LateFor:   lateAnswerTimeout,
	}
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// notRun reports whether the upstream states that it did not run the request.
func (c *call) notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(c.f.opts.Headers.NotRun) != ""
}

// refusedByUpstream discards a response which states that the request did not
// run, and returns the failure.
func (c *call) refusedByUpstream(u balance.Upstream, conn *upstreamconn.Conn, x *upstreamconn.Exchange) attemptFailure {
	resp := x.Response
	discardErr := c.discardResponse(conn, x)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		c.recordEnd(u.ID, false, 0)
		return c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "upstream %s: its address now belongs to another upstream", u.ID)})
	}
	if discardErr != nil && c.ctx.Err() == nil {
		c.recordEnd(u.ID, false, 0)
		return c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.Shed, c.shedRetryAfter(), "upstream %s refused the request without running it, with a body that did not end: %v", u.ID, discardErr)})
	}
	c.recordNeutralEnd(u.ID)
	if resp.StatusCode == http.StatusBadRequest {
		return c.recordFailure(u, attemptFailure{err: fault.New(fault.BadRequest, "upstream %s rejected the request with status 400", u.ID)})
	}
	return c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.Shed, c.shedRetryAfter(), "upstream %s refused the request without running it", u.ID)})
}

// shedRetryAfter returns the Retry-After for a request that an upstream has
// shed. While no call waits for the pool or for a permit, and not all upstreams
// leave or pause, other upstreams probably have room and only the retry budget kept
// the request from them, so that the caller may come back at once.
func (c *call) shedRetryAfter() time.Duration {
	st := c.f.state
	st.mu.Lock()
	waiting := st.queue(c.group).waiters.Len()
	closed := st.closedByNotices(st.now(), c.group)
	st.mu.Unlock()
	if _, limited := c.permitWait(); limited || closed || waiting > 0 {
		return c.retryAfter(0)
	}
	return minRetryAfter
}

// checkResponse reports whether the response may be forwarded. It may not if it
// lacks the header of an upstream that ran the request, if its status would tell
// the caller that the request did not run, or if it is a server error and the
// request can be retried.
func (c *call) checkResponse(resp *http.Response) (attemptFailure, bool) {
	failed := attemptFailure{mayHaveRun: true}
	if unclearStatus(resp.StatusCode) {
		failed.err = fault.New(fault.UpstreamBroken, "response with status %d does not say whether the request ran", resp.StatusCode)
		return failed, false
	}
	if resp.Header.Get(c.f.opts.Headers.ServedBy) == "" {
		failed.err = fault.New(fault.UpstreamBroken, "response with status %d lacks the header of an upstream that ran the request", resp.StatusCode)
		return failed, false
	}
	mayRetry := c.route.Repeatable && c.ran < c.route.MaxAttempts && c.enoughTimeLeft()
	if resp.StatusCode >= http.StatusInternalServerError && mayRetry {
		failed.err = fault.New(fault.UpstreamBroken, "upstream answered with status %d", resp.StatusCode)
		return failed, false
	}
	return attemptFailure{}, true
}

// discardResponse reads the rest of a response that is not forwarded, and returns
// the connection to the pool. If the rest does not end soon, it closes the
// connection and returns an error.
func (c *call) discardResponse(conn *upstreamconn.Conn, x *upstreamconn.Exchange) error {
	ctx, cancel := context.WithTimeout(c.ctx, discardTimeout)
	defer cancel()
	stop := conn.InterruptOnDone(ctx)
	err := x.DiscardBody(maxDiscardedBody)
	stop()
	if err != nil {
		conn.Close()
		return err
	}
	c.f.conns.Release(conn, x)
	return nil
}

const (
	// maxDiscardedBody is the size of the largest response body that is read only
	// to keep the connection.
	maxDiscardedBody = 16 << 10
	// discardTimeout bounds the time for that, during which the request is not yet
	// sent to another upstream. Such a body usually arrives with its head.
	discardTimeout = 20 * time.Millisecond
)

// connectionFailed records an attempt without a complete response and returns
// the failure: the caller has disconnected, the deadline has passed, or the
// connection to the upstream is broken.
func (c *call) connectionFailed(u balance.Upstream, x *upstreamconn.Exchange, err error) attemptFailure {
	mayHaveRun := x.MayHaveRun
	if mayHaveRun {
		c.ran++
	}
	if c.ctx.Err() != nil {
		if mayHaveRun {
			c.recordOutcome(u, answerMissing)
		}
		if c.r.Context().Err() != nil {
			c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenCallerGone).Inc(1)
			c.recordNeutralEnd(u.ID)
			return c.recordFailure(u, attemptFailure{err: fault.New(fault.CallerGone, ""), mayHaveRun: mayHaveRun})
		}
		if c.cutByStop() {
			c.recordNeutralEnd(u.ID)
			return c.recordFailure(u, c.unansweredAtStop(u.ID, mayHaveRun))
		}
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenDeadline).Inc(1)
		if x.ResponseBegun || x.Response != nil {
			c.recordUnfinished(u)
			return c.recordFailure(u, attemptFailure{err: fault.New(fault.UpstreamTimeout, "upstream %s did not finish its answer before the deadline", u.ID), mayHaveRun: mayHaveRun})
		}
		c.recordNeutralEnd(u.ID)
		return c.recordFailure(u, attemptFailure{err: fault.New(fault.UpstreamTimeout, "upstream %s did not answer before the deadline", u.ID), mayHaveRun: mayHaveRun})
	}
	if broken := x.RequestBroken(); broken != nil {
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenCallerGone).Inc(1)
		c.recordNeutralEnd(u.ID)
		refusal := forward.BodyReadError(broken)
		refusal.MayHaveRun = mayHaveRun
		return c.recordFailure(u, attemptFailure{err: refusal, mayHaveRun: mayHaveRun})
	}
	c.recordEnd(u.ID, false, 0)
	c.f.recordNoAnswer(u, err)
	if !mayHaveRun {
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenNotSent).Inc(1)
		return c.recordFailure(u, attemptFailure{err: fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "upstream %s: %v", u.ID, err)})
	}
	c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenCrash).Inc(1)
	c.recordBroken(u)
	c.recordCrash(u)
	return c.recordFailure(u, attemptFailure{err: fault.New(fault.UpstreamBroken, "upstream %s: %v", u.ID, err), mayHaveRun: true})
}

// maxLoggedTarget is the number of bytes of a request target that a log line holds.
const maxLoggedTarget = 256

// logCrash logs the request whose attempt is reported as a crash of the upstream,
// with the parts that its fingerprint is made of.
func (c *call) logCrash(u balance.Upstream) {
	target := requestTarget(c.r)
	if len(target) > maxLoggedTarget {
		target = target[:maxLoggedTarget]
	}
	body := sha256.Sum256(c.body.buffered)
	c.f.opts.Events.Log(event.UpstreamBroke).Str("request", c.id).Str("upstream", u.ID).Str("pool", u.Pool).
		Str("route", c.route.Name).Str("fingerprint", c.signature.Exact).
		Str("caller", httpnet.RemoteHost(c.r)).Str("method", c.r.Method).Str("host", c.r.Host).Str("target", target).
		Str("body_length", strconv.FormatInt(c.body.length, 10)).Str("body_hash", hex.EncodeToString(body[:loggedHashBytes])).Send()
}

// loggedHashBytes is the number of bytes of a body hash that a log line holds.
const loggedHashBytes = 8

// recordFailure logs a failed attempt and excludes the upstream from further
// attempts of the call.
func (c *call) recordFailure(u balance.Upstream, failed attemptFailure) attemptFailure {
	c.avoid = append(c.avoid, u.ID)
	c.f.opts.Events.Log(event.AttemptFailed).Str("request", c.id).Str("route", c.route.Name).Str("upstream", u.ID).
		Bool("may_have_run", failed.mayHaveRun).Uint64("after_ms", uint64(time.Since(c.arrived).Milliseconds())).
		Err(failed.err).Send()
	return failed
}

// forwardResponse sends the response to the caller. It reports false, with the
// failure, if the connection breaks while the response is buffered, or if the
// caller could take a part of the response for all of it: in HTTP/1.0 the end of
// the connection ends a response without a length.
func (c *call) forwardResponse(u balance.Upstream, conn *upstreamconn.Conn, x *upstreamconn.Exchange, start time.Time) (bool, attemptFailure) {
	resp := x.Response
	buffered, err := c.f.buffers.read(resp.Body, resp.ContentLength)
	defer buffered.release()
	if err != nil {
		conn.Close()
		// connectionFailed counts the attempt again.
		c.ran--
		return false, c.connectionFailed(u, x, err)
	}
	c.status = resp.StatusCode
	c.loadAtResponse = resp.Header.Get(c.f.opts.Headers.Load)
	if !buffered.complete && resp.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1) {
		conn.Close()
		c.recordNeutralEnd(u.ID)
		return false, c.recordFailure(u, attemptFailure{err: fault.New(fault.UpstreamBroken, "upstream %s: the response has no stated length and is too large to be buffered for a caller that speaks HTTP/1.0", u.ID), mayHaveRun: true})
	}
	if !buffered.complete && !c.releaseStop() {
		conn.Close()
		// connectionFailed counts the attempt again.
		c.ran--
		return false, c.connectionFailed(u, x, c.ctx.Err())
	}
	if !buffered.complete {
		c.streamResponse(u, conn, x, buffered.body, start)
		return true, attemptFailure{}
	}
	c.recordOutcome(u, c.evidenceKindOf(resp))
	c.recordEnd(u.ID, resp.StatusCode < http.StatusInternalServerError, time.Since(start))
	c.f.releaseAfterResponse(u, resp.Header.Get(c.f.opts.Headers.Load), conn, x)
	c.recordCompleted(resp)
	c.writeHeader(resp, int64(len(buffered.body)))
	stop := c.limitLastWrite()
	defer stop()
	// A write error means that the caller has disconnected, which is no failure of
	// the upstream.
	_, _ = c.w.Write(buffered.body)
	return true, attemptFailure{}
}

// recordCompleted records that the upstream has completed the request. An upstream
// that gives up at the deadline may have done so before the request could end it.
func (c *call) recordCompleted(resp *http.Response) {
	if resp.StatusCode != http.StatusGatewayTimeout {
		c.endTrial(c.f.opts.Crashes.Completed(c.signature))
	}
}

// recordCrash records that the upstream broke the connection on which it ran the
// request, and reports a crash unless the upstream still runs.
func (c *call) recordCrash(u balance.Upstream) {
	c.logCrash(u)
	crash := quarantine.Crash{Upstream: u.ID, Incarnation: u.Started}
	if c.trial == nil && !c.route.Repeatable {
		// The caller need not wait for it: the request is not sent again from here.
		go func() {
			if !c.f.stillRuns(u) {
				c.f.opts.Crashes.Crashed(c.signature, crash, false)
			}
		}()
		return
	}
	if c.f.stillRuns(u) {
		c.endTrial(nil)
		return
	}
	c.endTrial(c.f.opts.Crashes.Crashed(c.signature, crash, c.trial != nil))
}

// writeHeader sends the status and the end-to-end headers of the response to the
// caller. A negative length means an unknown one.
func (c *call) writeHeader(resp *http.Response, length int64) {
	h := c.w.Header()
	for name, values := range forward.EndToEndHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing the type from the body.
		h["Content-Type"] = nil
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.markOutcome(nil)
	c.w.WriteHeader(resp.StatusCode)
}

// streamResponse forwards a response that is too large to be buffered. If it
// breaks off, the connection to the caller is aborted, so that the caller does
// not take a part of the response for all of it.
func (c *call) streamResponse(u balance.Upstream, conn *upstreamconn.Conn, x *upstreamconn.Exchange, buffered []byte, start time.Time) {
	resp := x.Response
	c.writeHeader(resp, resp.ContentLength)
	body := &errorRecorder{r: resp.Body}
	stop := c.limitLastWrite()
	defer stop()
	_, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(buffered), body))
	if err != nil {
		conn.Close()
		c.recordBrokenStream(u, body.err, time.Since(start))
		// The panic skips the call of finish in ServeHTTP.
		c.finish(fault.New(fault.UpstreamBroken, "upstream %s: response body broke off: %v", u.ID, err))
		panic(http.ErrAbortHandler)
	}
	kind := c.evidenceKindOf(resp)
	if kind == answerValid {
		kind = answerStreamed
	}
	c.recordOutcome(u, kind)
	c.recordEnd(u.ID, true, time.Since(start))
	c.recordCompleted(resp)
	c.f.conns.Release(conn, x)
}

// lastWriteTimeout bounds the write to the caller that is under way when the
// deadline passes.
const lastWriteTimeout = time.Second

// limitLastWrite makes a write to the caller fail soon after the deadline of the
// call, until stop is called. Without it a caller that does not read would keep
// the call and the connection to the upstream open.
func (c *call) limitLastWrite() (stop func()) {
	writer := http.NewResponseController(c.w)
	done := make(chan struct{})
	release := context.AfterFunc(c.ctx, func() {
		defer close(done)
		// It fails only if the connection of the caller is gone.
		_ = writer.SetWriteDeadline(time.Now().Add(lastWriteTimeout))
	})
	return func() {
		if release() {
			return
		}
		<-done
		_ = writer.SetWriteDeadline(time.Time{})
	}
}

// recordBrokenStream records the end of an attempt whose response was forwarded
// in part. readErr is the error of the connection to the upstream, nil if it was
// the caller who broke off.
func (c *call) recordBrokenStream(u balance.Upstream, readErr error, took time.Duration) {
	switch {
	case readErr == nil || c.r.Context().Err() != nil:
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenCallerGone).Inc(1)
		c.recordNeutralEnd(u.ID)
	case c.ctx.Err() != nil:
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenDeadline).Inc(1)
		c.recordUnfinished(u)
	default:
		c.f.opts.Metrics.BrokenAttempts(telemetry.BrokenStream).Inc(1)
		c.recordBroken(u)
		c.recordCrash(u)
		c.recordEnd(u.ID, false, took)
	}
}

// errorRecorder is a reader that records the first error of r other than io.EOF.
type errorRecorder struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (e *errorRecorder) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err != nil && err != io.EOF && e.err == nil {
		e.err = err
	}
	return n, err
}
