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
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// attempt watches one request on its way to one upstream.
type attempt struct {
	started time.Time
	// connected is set once a connection is chosen: from then on bytes of the
	// request may have reached the upstream.
	connected atomic.Bool
	newConn   atomic.Bool
	// err is set when the attempt gave no answer to pass on.
	err *fault.Error
}

// send makes one attempt at the granted upstream.
func (c *call) send() chart.Event {
	try, refusal := c.f.opts.Quarantine.Admit(c.ctx, c.service.Name, c.fingerprint)
	if refusal != nil {
		return c.unsent(refusal)
	}
	c.try = try
	if ev := c.recheck(); ev != "" {
		return ev
	}
	c.attempts++
	ctx, span := c.startSpan(telemetry.SpanUpstream)
	a, resp, err := c.exchange(ctx)
	describeGrant(span, c.grant)
	defer func() { endSpan(span, a.err) }()
	c.f.opts.Metrics.Upstream.RecordDuration(time.Since(a.started))
	if a.newConn.Load() {
		c.f.opts.Metrics.Connections.Inc(1)
	}
	if err != nil {
		return c.sendFailed(a, err)
	}
	if isShed(resp) {
		drainAndClose(resp.Body)
		return c.notRun(clusterpb.Outcome_OUTCOME_SHED, a, shedFault(resp))
	}
	return c.receive(a, resp)
}

// recheck makes sure that the grant may still be used: the process may have
// been stopped for longer than its lease since the call was admitted.
func (c *call) recheck() chart.Event {
	if !c.usable(c.grant) {
		return c.unsent(fault.New(fault.NotFresh, "configuration changed before the request was sent"))
	}
	if c.ctx.Err() != nil {
		return c.unsent(fault.New(fault.DeadlineTooShort, "no time left before the request was sent"))
	}
	if c.claim == nil {
		return ""
	}
	if err := c.claim.Start(c.ctx); err != nil {
		return c.unsent(err)
	}
	return ""
}

// unsent gives up an attempt before its first byte.
func (c *call) unsent(err error) chart.Event {
	c.release(clusterpb.Outcome_OUTCOME_UNUSED, 0, false)
	c.endClaim()
	return c.fail(err)
}

// endClaim gives the claim back: the request did not run.
func (c *call) endClaim() {
	if c.claim != nil {
		c.claim.Release()
		c.claim = nil
	}
}

// request builds the request for the granted upstream.
func (c *call) request(ctx context.Context, g slot.Grant) *http.Request {
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
		hideFromReplay(out)
	}
	out.Header.Del("Expect")
	left := max(1, time.Until(c.deadline).Milliseconds())
	out.Header.Set(HeaderTimeoutMs, strconv.FormatInt(left, 10))
	c.f.opts.Tracing.Inject(ctx, out.Header)
	return out.WithContext(ctx)
}

// hideFromReplay keeps http.Transport from sending a request without a body a
// second time when a reused connection dies. It repeats requests whose method
// is safe, or that have an Idempotency-Key, unless there is a body that it
// cannot rewind; a header name in another case is the same to the upstream.
func hideFromReplay(out *http.Request) {
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

// trace returns ctx with hooks that watch the attempt, and that pass interim
// answers on to the caller.
func (a *attempt) trace(ctx context.Context, c *call) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.connected.Store(true)
			a.newConn.Store(!info.Reused)
		},
		Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
			return c.interim.pass(c.w, code, header)
		},
	})
}

// sendFailed sorts out an attempt without an answer.
func (c *call) sendFailed(a *attempt, err error) chart.Event {
	if !a.connected.Load() {
		return c.notRun(clusterpb.Outcome_OUTCOME_UNREACHABLE, a, fault.New(fault.NoUpstream, "connecting to %s: %v", c.grant.Upstream, err))
	}
	return c.broken(a, fault.New(fault.UpstreamBroken, "%s: %v", c.grant.Upstream, err))
}

// broken handles an attempt that may have run and gave no whole answer.
func (c *call) broken(a *attempt, err *fault.Error) chart.Event {
	took := time.Since(a.started)
	if c.ctx.Err() != nil {
		a.err = c.cancelFault()
		c.release(clusterpb.Outcome_OUTCOME_CANCELLED, took, a.newConn.Load())
		return c.lost(a.err)
	}
	a.err = err
	c.release(clusterpb.Outcome_OUTCOME_BROKEN, took, a.newConn.Load())
	return c.retryOrLose(err)
}

// cancelFault tells a caller that went away from a deadline that passed.
func (c *call) cancelFault() *fault.Error {
	if c.r.Context().Err() != nil && errors.Is(c.ctx.Err(), context.Canceled) {
		return &fault.Error{Kind: fault.CallerGone}
	}
	return fault.New(fault.UpstreamTimeout, "%s", c.grant.Upstream)
}

// notRun handles an attempt that the upstream did not run.
func (c *call) notRun(outcome clusterpb.Outcome, a *attempt, err *fault.Error) chart.Event {
	a.err = err
	c.release(outcome, time.Since(a.started), a.newConn.Load())
	if c.mayRetry() {
		c.err = err
		c.avoid = append(c.avoid, c.grant.Upstream)
		return "retry"
	}
	c.endClaim()
	return c.fail(err)
}

// retryOrLose handles an attempt that may have run.
func (c *call) retryOrLose(err *fault.Error) chart.Event {
	if c.policy.repeatable && c.mayRetry() && c.f.opts.Quarantine.Blocked(c.service.Name, c.fingerprint) == nil {
		c.err = err
		c.mayHaveRun = err
		c.avoid = append(c.avoid, c.grant.Upstream)
		return "retry"
	}
	return c.lost(err)
}

// lost ends a call whose request may have run.
func (c *call) lost(err *fault.Error) chart.Event {
	c.err = err
	if c.claim != nil {
		c.claim.MarkUnknown()
		c.claim = nil
		c.err = fault.New(fault.OutcomeUnknown, "%s", err.Error())
	}
	return "broken"
}

// mayRetry reports whether another attempt is possible and within the budget.
func (c *call) mayRetry() bool {
	if c.attempts >= c.f.opts.MaxAttempts || !c.body.replayable() || c.ctx.Err() != nil {
		return false
	}
	if !c.f.retries.take(c.service) {
		return false
	}
	c.f.opts.Metrics.Retries.Inc(1)
	return true
}

// isShed reports whether the upstream says that it did not run the request.
func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(fault.HeaderRun) == string(fault.NotRun)
}

func shedFault(resp *http.Response) *fault.Error {
	seconds, _ := strconv.Atoi(resp.Header.Get(fault.HeaderRetryAfter))
	return fault.After(fault.Shed, time.Duration(seconds)*time.Second, "")
}
