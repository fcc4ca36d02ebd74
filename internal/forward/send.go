package forward

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/statechart"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// attempt records the progress of one request to one upstream.
type attempt struct {
	started time.Time
	// connected is set once the request has a connection: from then on bytes
	// of the request may have reached the upstream.
	connected atomic.Bool
	// newConn is set when the connection was opened for this request.
	newConn atomic.Bool
	// err is set when the attempt gave no response to pass on.
	err *fault.Error
}

// send makes one attempt at the granted upstream, and a hedge if it is slow.
func (c *call) send() statechart.Event {
	reporter, refusal := c.f.opts.Quarantine.Admit(c.ctx, c.signature)
	if refusal != nil {
		return c.abortBeforeSend(refusal)
	}
	c.reporter = reporter
	if ev := c.checkBeforeSend(); ev != "" {
		return ev
	}
	c.attempts++
	ctx, span := c.startSpan(telemetry.SpanUpstream)
	a, resp, err := c.roundTrip(ctx)
	describeGrant(span, c.grant)
	defer func() { endSpan(span, a.err) }()
	c.f.opts.Metrics.Upstream.RecordDuration(time.Since(a.started))
	if a.newConn.Load() {
		c.f.opts.Metrics.ConnectionsOpened.Inc(1)
	}
	if err != nil {
		return c.handleSendError(a, err)
	}
	if isShed(resp) {
		drainAndClose(resp.Body)
		return c.handleNotRun(clusterpb.Outcome_OUTCOME_SHED, a, shedError(resp))
	}
	return c.receive(a, resp)
}

// checkBeforeSend verifies that the request may still be sent. The process
// may have been suspended for longer than its configuration lease since the
// call was admitted.
func (c *call) checkBeforeSend() statechart.Event {
	if !c.grantUsable(c.grant) {
		return c.abortBeforeSend(fault.New(fault.NotFresh, "configuration became stale or closed the upstream's zone before the request was sent"))
	}
	if c.f.opts.Ending.Err() != nil {
		return c.abortBeforeSend(fault.New(fault.Leaving, "this entry VM stopped before the request was sent"))
	}
	if c.ctx.Err() != nil {
		return c.abortBeforeSend(fault.New(fault.DeadlineTooShort, "deadline passed or request cancelled before it was sent"))
	}
	if !c.f.notices.open(c.grant) {
		return c.withhold()
	}
	if c.claim == nil {
		return ""
	}
	if err := c.claim.Start(c.ctx); err != nil {
		return c.abortBeforeSend(err)
	}
	return ""
}

// abortBeforeSend refuses the call before the first byte of an attempt.
func (c *call) abortBeforeSend(err error) statechart.Event {
	c.releaseSlot(clusterpb.Outcome_OUTCOME_UNUSED, 0, false)
	c.releaseClaim()
	return c.fail(err)
}

// releaseClaim gives up the claim of a request that did not run.
func (c *call) releaseClaim() {
	if c.claim != nil {
		c.claim.Release()
		c.claim = nil
	}
}

// newUpstreamRequest returns the request to send to the granted upstream.
func (c *call) newUpstreamRequest(ctx context.Context, g slot.Grant) *http.Request {
	out := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: g.Address, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery},
		Host:          c.r.Host,
		Header:        EndToEndHeaders(c.r.Header),
		Body:          c.body.open(),
		ContentLength: c.body.length,
		Trailer:       c.r.Trailer,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if c.body.length == 0 && c.body.rest == nil {
		out.Body = http.NoBody
		disableTransportRetry(out)
	}
	out.Header.Del("Expect")
	left := max(1, time.Until(c.deadline).Milliseconds())
	out.Header.Set(HeaderTimeoutMs, strconv.FormatInt(left, 10))
	c.f.opts.Tracing.Inject(ctx, out.Header)
	return out.WithContext(ctx)
}

// disableTransportRetry keeps http.Transport from resending a request
// without a body when a reused connection fails. The transport resends
// requests whose method is safe or that have an Idempotency-Key, unless
// there is a body that it cannot rewind. A key is therefore sent under a
// lower-case header name, which the transport does not look for and which
// means the same to the upstream.
func disableTransportRetry(out *http.Request) {
	if isSafe(out.Method) || out.Method == http.MethodTrace {
		out.Body = emptyBody{}
		return
	}
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if v, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[lowerCase(name)] = v
		}
	}
}

// withTrace returns ctx with hooks that record the progress of the attempt
// and forward interim responses to the caller.
func (a *attempt) withTrace(ctx context.Context, c *call, g slot.Grant) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.newConn.Store(!info.Reused)
			if conn, ok := info.Conn.(*strictConn); ok {
				conn.expectHead()
			}
		},
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			c.f.recordNotice(g, code, http.Header(header))
			return c.interim.forward(c.w, a, code, header)
		},
	})
}

// handleSendError handles an attempt that ended without a response.
func (c *call) handleSendError(a *attempt, err error) statechart.Event {
	if !a.connected.Load() {
		return c.handleNotRun(clusterpb.Outcome_OUTCOME_UNREACHABLE, a, fault.New(fault.NoUpstream, "connecting to upstream %s: %v", c.grant.Upstream, err))
	}
	return c.handleBroken(a, fault.New(fault.UpstreamBroken, "upstream %s: %v", c.grant.Upstream, err))
}

// handleBroken handles an attempt that may have run and gave no complete
// response.
func (c *call) handleBroken(a *attempt, err *fault.Error) statechart.Event {
	took := time.Since(a.started)
	if c.ctx.Err() != nil {
		a.err = c.cancellationError()
		c.releaseSlot(clusterpb.Outcome_OUTCOME_CANCELLED, took, a.newConn.Load())
		return c.failMayHaveRun(a.err)
	}
	a.err = err
	c.releaseSlot(clusterpb.Outcome_OUTCOME_BROKEN, took, a.newConn.Load())
	return c.retryOrFail(err)
}

// cancellationError returns the error for the end of c.ctx: CallerGone if
// the caller disconnected, UpstreamTimeout if the deadline passed.
func (c *call) cancellationError() *fault.Error {
	if c.r.Context().Err() != nil && errors.Is(c.ctx.Err(), context.Canceled) {
		return &fault.Error{Kind: fault.CallerGone}
	}
	if c.f.opts.Ending.Err() != nil {
		return fault.New(fault.UpstreamTimeout, "no complete response from upstream %s before this entry VM stopped", c.grant.Upstream)
	}
	return fault.New(fault.UpstreamTimeout, "no complete response from upstream %s before the deadline", c.grant.Upstream)
}

// handleNotRun handles an attempt whose request the upstream did not run. It
// may be retried even if the request is not repeatable.
func (c *call) handleNotRun(outcome clusterpb.Outcome, a *attempt, err *fault.Error) statechart.Event {
	a.err = err
	c.releaseSlot(outcome, time.Since(a.started), a.newConn.Load())
	if c.reserveRetry() {
		c.err = err
		c.avoid = append(c.avoid, c.grant.Upstream)
		return "retry"
	}
	c.releaseClaim()
	return c.fail(err)
}

// retryOrFail retries a repeatable request after an attempt that may have
// run, unless the request is quarantined, and fails the call otherwise.
func (c *call) retryOrFail(err *fault.Error) statechart.Event {
	if c.policy.repeatable && c.reserveRetry() && c.f.opts.Quarantine.Blocked(c.signature) == nil {
		c.err = err
		c.mayHaveRunErr = err
		c.avoid = append(c.avoid, c.grant.Upstream)
		return "retry"
	}
	return c.failMayHaveRun(err)
}

// failMayHaveRun ends a call whose request may have run.
func (c *call) failMayHaveRun(err *fault.Error) statechart.Event {
	c.err = err
	if c.claim != nil {
		c.claim.MarkUnknown()
		c.claim = nil
		c.err = fault.New(fault.OutcomeUnknown, "%s", err.Error())
	}
	return "broken"
}

// reserveRetry charges another attempt to the retry budget and counts it. It
// reports false, and charges nothing, if no further attempt is possible or the
// budget is spent.
func (c *call) reserveRetry() bool {
	if c.attempts >= c.f.opts.MaxAttempts || !c.body.canResend() || c.ctx.Err() != nil {
		return false
	}
	if !c.f.retryBudgets.withdraw(c.service) {
		return false
	}
	c.f.opts.Metrics.Retries.Inc(1)
	return true
}

// isShed reports whether the upstream refused the request without running
// it.
func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(fault.HeaderRun) == string(fault.NotRun)
}

// shedError returns the refusal for a request that the upstream refused
// without running it. It carries the upstream's Retry-After.
func shedError(resp *http.Response) *fault.Error {
	pause, _ := notice.ParsePause(resp.Header, time.Now())
	return fault.NewRetryable(fault.Shed, pause, "")
}
