package forward

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/statechart"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// acquireResult is the outcome of a slot request.
type acquireResult struct {
	grant slot.Grant
	err   error
}

// beginClaim claims the Idempotency-Key. It requests a slot concurrently, so
// that claiming adds no latency when both succeed.
func (c *call) beginClaim() statechart.Event {
	c.pendingSlot = make(chan acquireResult, 1)
	go c.requestSlot(c.pendingSlot)
	started := time.Now()
	ctx, span := c.startSpan(telemetry.SpanClaim)
	claim, kept, err := c.f.opts.Claims.Begin(ctx, c.service.Name, c.key, contentDigest(c.r, c.body.digest))
	endSpan(span, err)
	c.f.opts.Metrics.Claim.RecordDuration(time.Since(started))
	switch {
	case err != nil:
		c.cancelPendingSlot()
		return c.fail(err)
	case kept != nil:
		c.cancelPendingSlot()
		c.keptAnswer = kept
		return "kept"
	}
	c.claim = claim
	c.claimed = true
	return "claimed"
}

// cancelPendingSlot cancels the call and its slot request, and returns the
// slot in case it is granted nevertheless.
func (c *call) cancelPendingSlot() {
	pending := c.pendingSlot
	c.pendingSlot = nil
	c.cancel()
	go func() {
		if a := <-pending; a.err == nil {
			c.f.opts.Slots.Release(a.grant, slot.Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		}
	}()
}

// requestSlot requests a slot and sends the outcome to result.
func (c *call) requestSlot(result chan<- acquireResult) {
	started := time.Now()
	ctx, span := c.startSpan(telemetry.SpanGrant)
	g, err := c.f.opts.Slots.Acquire(ctx, slot.Request{
		Service:    c.service.Name,
		Deadline:   c.deadline,
		Avoid:      c.avoid,
		Repeatable: c.policy.repeatable,
	})
	if err == nil {
		describeGrant(span, g)
	}
	telemetry.EndSpan(span, err)
	c.f.opts.Metrics.Grant.RecordDuration(time.Since(started))
	result <- acquireResult{g, err}
}

// awaitSlot waits for the slot request that beginClaim started, or else
// makes one.
func (c *call) awaitSlot() statechart.Event {
	pending := c.pendingSlot
	c.pendingSlot = nil
	if pending == nil {
		pending = make(chan acquireResult, 1)
		c.requestSlot(pending)
	}
	a := <-pending
	if a.err != nil {
		return c.fail(c.slotError(a.err))
	}
	c.grant = a.grant
	c.granted = true
	return "granted"
}

// slotError returns the error of the previous attempt if there was one: it
// tells the caller more than the lack of another upstream to retry on.
func (c *call) slotError(err error) error {
	if c.err != nil {
		return c.err
	}
	if c.f.opts.Ending.Err() != nil {
		return fault.New(fault.Leaving, "no slot became free before this entry VM stopped")
	}
	return err
}

// releaseSlot ends the current attempt and returns its slot. It does nothing
// when no slot is held.
func (c *call) releaseSlot(outcome clusterpb.Outcome, took time.Duration, newConn bool) {
	if !c.granted {
		return
	}
	reporter := c.reporter
	c.granted, c.reporter = false, nil
	c.f.endAttempt(c.grant, reporter, slot.Result{Outcome: outcome, ServiceTime: took, NewConnection: newConn})
}

// endAttempt reports the outcome of an attempt to the quarantine and returns
// its slot. The reporter is nil when the attempt ended before the quarantine
// admitted it.
func (f *Forwarder) endAttempt(g slot.Grant, reporter AttemptReporter, r slot.Result) {
	switch {
	case reporter == nil:
	case r.Outcome == clusterpb.Outcome_OUTCOME_BROKEN:
		reporter.Crashed(g.Upstream, g.Incarnation)
	case r.Outcome == clusterpb.Outcome_OUTCOME_OK, r.Outcome == clusterpb.Outcome_OUTCOME_FAILED:
		reporter.Completed()
	default:
		reporter.Abandoned()
	}
	r.Notice = f.notices.said(g)
	f.opts.Slots.Release(g, r)
}
