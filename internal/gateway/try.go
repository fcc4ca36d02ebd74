package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/place"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/upconn"
)

// wholeAnswer bounds the answers that are read to their end before the first
// byte goes to the caller, so that a broken one can still be refused or asked
// for again.
const wholeAnswer = 1 << 20

// try sends the request to the chosen upstream and passes its answer on. It
// reports false, with the failure, when there is none to pass on.
func (c *call) try(s spot) (bool, failure) {
	u := s.choice.Upstream
	c.upstream = u.ID
	c.choice = s.choice
	begun := time.Now()
	stop := s.conn.InterruptOnDone(c.ctx)
	defer stop()
	x, err := s.conn.Do(c.ctx, c.request(u))
	c.sends++
	c.body.sent = true
	if err != nil {
		return false, c.broken(u, x.MayHaveRun, err)
	}
	resp := x.Response
	if c.notRun(resp) {
		return false, c.refusedBy(u, s.conn, x)
	}
	c.ran++
	if failed, ok := c.unusable(resp); !ok {
		c.drop(s.conn, x)
		c.ended(u.ID, false, time.Since(begun))
		return false, c.logged(u, failed)
	}
	return c.pass(u, s.conn, x, begun)
}

// ended records the end of an attempt. A failed one keeps the upstream without
// work for a while.
func (c *call) ended(id string, ok bool, took time.Duration) {
	w := c.f.world
	c.f.opts.Metrics.Upstream.RecordDuration(took)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.board.RecordEnd(id, c.choice.At)
	if !ok {
		w.board.RecordFailure(w.now(), id)
		return
	}
	factor := c.choice.Load.Slowdown()
	usual := w.paces[c.route.Name]
	w.board.RecordSuccess(id, took, time.Duration(factor*float64(usual)))
	w.notePace(c.route.Name, time.Duration(float64(took)/factor))
}

// released records the end of an attempt that says nothing about the upstream.
func (c *call) released(id string) {
	w := c.f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.board.RecordEnd(id, c.choice.At)
}

// request builds the request for the upstream.
func (c *call) request(u place.Upstream) *upconn.Request {
	d := c.f.opts.Headers
	h := forward.EndToEndHeaders(c.r.Header)
	for _, name := range []string{"Content-Length", "Expect", "Host"} {
		h.Del(name)
	}
	left := max(1, time.Until(c.deadline).Milliseconds())
	h.Set(d.Deadline, strconv.FormatInt(left, 10))
	h.Set(d.ExpectUpstream, u.ID)
	id := c.id
	return &upconn.Request{
		Method:        c.r.Method,
		Target:        target(c.r),
		Host:          c.r.Host,
		Header:        h,
		Body:          c.body.head,
		BodyRest:      c.body.rest,
		ContentLength: c.body.length,
		MatchesResponse: func(h http.Header) bool {
			return id == "" || h.Get(d.RequestID) == id
		},
	}
}

// target returns the path and query exactly as the caller sent them.
func target(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// notRun reports whether the upstream says that it did not run the request.
func (c *call) notRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(c.f.opts.Headers.NotRun) != ""
}

// refusedBy handles an upstream that did not run the request.
func (c *call) refusedBy(u place.Upstream, conn *upconn.Conn, x *upconn.Exchange) failure {
	resp := x.Response
	c.drop(conn, x)
	if resp.StatusCode == http.StatusMisdirectedRequest {
		c.ended(u.ID, false, 0)
		return c.logged(u, failure{err: fault.After(fault.NoUpstream, c.comeBack(0), "%s: another upstream has its address", u.ID)})
	}
	c.released(u.ID)
	if resp.StatusCode == http.StatusBadRequest {
		return c.logged(u, failure{err: fault.New(fault.BadRequest, "refused by upstream %s", u.ID)})
	}
	return c.logged(u, failure{err: fault.After(fault.Shed, c.afterShed(), "upstream %s", u.ID)})
}

// afterShed is when to come back after an upstream has shed the request. While
// nobody waits for room the others may well take it, and only the budget for
// further attempts keeps it from being sent there at once.
func (c *call) afterShed() time.Duration {
	w := c.f.world
	w.mu.Lock()
	waiting := w.line(c.pool).line.Len()
	w.mu.Unlock()
	if waiting > 0 {
		return c.comeBack(0)
	}
	return minComeBack
}

// unusable reports an answer that must not be passed on: one without the
// upstream's mark, one whose status would promise that the request did not
// run, and an error that a further attempt may mend.
func (c *call) unusable(resp *http.Response) (failure, bool) {
	failed := failure{mayHaveRun: true}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		failed.err = fault.New(fault.UpstreamBroken, "status %d without a word on whether it ran", resp.StatusCode)
		return failed, false
	}
	if resp.Header.Get(c.f.opts.Headers.ServedBy) == "" {
		failed.err = fault.New(fault.UpstreamBroken, "status %d without the upstream's mark", resp.StatusCode)
		return failed, false
	}
	again := c.route.Repeatable && c.ran < c.route.MaxAttempts && c.worthwhile()
	if resp.StatusCode >= http.StatusInternalServerError && again {
		failed.err = fault.New(fault.UpstreamBroken, "status %d", resp.StatusCode)
		return failed, false
	}
	return failure{}, true
}

// drop reads the rest of an answer that is not passed on, and gives the
// connection back if that goes well.
func (c *call) drop(conn *upconn.Conn, x *upconn.Exchange) {
	if _, err := io.CopyN(io.Discard, x.Response.Body, maxDropped); err != io.EOF {
		conn.Close()
	}
	c.f.conns.Release(conn, x)
}

// maxDropped bounds the body of an answer that is read to keep its connection.
const maxDropped = 16 << 10

// broken handles an attempt without an answer.
func (c *call) broken(u place.Upstream, mayHaveRun bool, err error) failure {
	if mayHaveRun {
		c.ran++
	}
	if c.ctx.Err() != nil {
		c.released(u.ID)
		if c.r.Context().Err() != nil {
			return c.logged(u, failure{err: fault.New(fault.CallerGone, ""), mayHaveRun: mayHaveRun})
		}
		return c.logged(u, failure{err: fault.New(fault.UpstreamTimeout, "upstream %s", u.ID), mayHaveRun: mayHaveRun})
	}
	c.ended(u.ID, false, 0)
	if mayHaveRun {
		c.f.opts.Crashes.Crashed(c.suspect, quarantine.Crash{Upstream: u.ID, Incarnation: u.Started})
	}
	return c.logged(u, failure{err: fault.New(fault.UpstreamBroken, "upstream %s: %v", u.ID, err), mayHaveRun: mayHaveRun})
}

// logged writes the line of a failed attempt.
func (c *call) logged(u place.Upstream, failed failure) failure {
	c.avoid = append(c.avoid, u.ID)
	c.f.opts.Events.Log(event.AttemptFailed).Str("request", c.id).Str("route", c.route.Name).Str("upstream", u.ID).
		Bool("may_have_run", failed.mayHaveRun).Uint64("after_ms", uint64(time.Since(c.arrived).Milliseconds())).
		Err(failed.err).Send()
	return failed
}

// pass reads the answer and passes it on to the caller.
func (c *call) pass(u place.Upstream, conn *upconn.Conn, x *upconn.Exchange, begun time.Time) (bool, failure) {
	resp := x.Response
	head, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer+1))
	if err != nil {
		conn.Close()
		c.ran--
		return false, c.broken(u, true, err)
	}
	c.status = resp.StatusCode
	c.load = resp.Header.Get(c.f.opts.Headers.Load)
	if len(head) > wholeAnswer {
		c.stream(u, conn, x, head, begun)
		return true, failure{}
	}
	c.ended(u.ID, resp.StatusCode < http.StatusInternalServerError, time.Since(begun))
	c.f.free(c.pool, u.ID, resp.Header.Get(c.f.opts.Headers.Load), conn, x)
	c.f.opts.Crashes.Completed(c.suspect)
	c.writeHead(resp, int64(len(head)))
	// A caller that has gone is no failure of the upstream.
	_, _ = c.w.Write(head)
	return true, failure{}
}

func (c *call) writeHead(resp *http.Response, length int64) {
	h := c.w.Header()
	for name, values := range forward.EndToEndHeaders(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if length >= 0 && c.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(resp.StatusCode)
}

// stream passes on an answer that does not fit in memory. When it breaks, the
// connection to the caller is aborted, so that the part cannot pass for the
// whole.
func (c *call) stream(u place.Upstream, conn *upconn.Conn, x *upconn.Exchange, head []byte, begun time.Time) {
	resp := x.Response
	c.writeHead(resp, resp.ContentLength)
	_, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(head), resp.Body))
	if err != nil {
		conn.Close()
		c.ended(u.ID, c.ctx.Err() != nil, time.Since(begun))
		c.finish(fault.New(fault.UpstreamBroken, "upstream %s: answer cut off: %v", u.ID, err))
		panic(http.ErrAbortHandler)
	}
	c.ended(u.ID, true, time.Since(begun))
	c.f.conns.Release(conn, x)
}
