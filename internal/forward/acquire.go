package forward

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// acquired is the outcome of asking for a slot.
type acquired struct {
	grant slot.Grant
	err   error
}

// askClaim claims the key. The slot is asked for at the same time.
func (c *call) askClaim() chart.Event {
	c.pending = make(chan acquired, 1)
	go c.acquire(c.pending)
	begun := time.Now()
	ctx, span := c.startSpan(telemetry.SpanClaim)
	claim, kept, err := c.f.opts.Claims.Begin(ctx, c.service.Name, c.key, contentDigest(c.r, c.body.digest))
	endSpan(span, err)
	c.f.opts.Metrics.Claim.RecordDuration(time.Since(begun))
	switch {
	case err != nil:
		c.dropPending()
		return c.fail(err)
	case kept != nil:
		c.dropPending()
		c.kept = kept
		return "kept"
	}
	c.claim = claim
	c.claimed = true
	return "claimed"
}

// dropPending gives back a slot that is granted after all.
func (c *call) dropPending() {
	pending := c.pending
	c.pending = nil
	c.cancel()
	go func() {
		if a := <-pending; a.err == nil {
			c.f.opts.Slots.Release(a.grant, slot.Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		}
	}()
}

func (c *call) acquire(out chan<- acquired) {
	begun := time.Now()
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
	telemetry.End(span, err)
	c.f.opts.Metrics.Grant.RecordDuration(time.Since(begun))
	out <- acquired{g, err}
}

// askSlot waits for a slot.
func (c *call) askSlot() chart.Event {
	pending := c.pending
	c.pending = nil
	if pending == nil {
		pending = make(chan acquired, 1)
		c.acquire(pending)
	}
	a := <-pending
	if a.err != nil {
		return c.fail(c.slotError(a.err))
	}
	c.grant = a.grant
	c.granted = true
	return "granted"
}

// slotError keeps the error of the last attempt when no further upstream can
// be had for a retry.
func (c *call) slotError(err error) error {
	if c.err != nil {
		return c.err
	}
	return err
}

// release ends the grant and the attempt.
func (c *call) release(outcome clusterpb.Outcome, took time.Duration, newConn bool) {
	if !c.granted {
		return
	}
	try := c.try
	c.granted, c.try = false, nil
	c.f.endAttempt(c.grant, try, slot.Result{Outcome: outcome, ServiceTime: took, NewConnection: newConn})
}

// endAttempt tells the quarantine how an attempt ended and gives its slot back.
// try is nil when the attempt ended before the quarantine was asked.
func (f *Forwarder) endAttempt(g slot.Grant, try AttemptReporter, r slot.Result) {
	switch {
	case try == nil:
	case r.Outcome == clusterpb.Outcome_OUTCOME_BROKEN:
		try.Crashed(g.Upstream, g.Incarnation)
	case r.Outcome == clusterpb.Outcome_OUTCOME_OK, r.Outcome == clusterpb.Outcome_OUTCOME_FAILED:
		try.Completed()
	default:
		try.Abandoned()
	}
	f.opts.Slots.Release(g, r)
}
