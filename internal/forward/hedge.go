package forward

import (
	"context"
	"net/http"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
)

// shot is one of two attempts that run in parallel.
type shot struct {
	grant   slot.Grant
	try     AttemptReporter
	attempt *attempt
	cancel  context.CancelFunc
	resp    *http.Response
	err     error
}

// exchange sends the request to the granted upstream and returns its answer. A
// request that may be repeated and takes long is also sent to another upstream
// that has a free slot; the first answer wins, and the call goes on with the
// grant of the winner.
func (c *call) exchange(ctx context.Context) (*attempt, *http.Response, error) {
	delay, ok := c.hedgeAfter()
	if !ok {
		a := &attempt{started: time.Now()}
		resp, err := c.f.opts.Transport.RoundTrip(c.request(a.trace(ctx, c), c.grant))
		return a, resp, err
	}
	ends := make(chan *shot, 2)
	first := c.shoot(ctx, c.grant, c.try, ends)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-ends:
		return s.attempt, s.resp, s.err
	case <-timer.C:
	}
	second := c.hedge(ctx, ends)
	if second == nil {
		s := <-ends
		return s.attempt, s.resp, s.err
	}
	return c.race(first, second, ends)
}

// hedgeAfter returns the wait before a second attempt, if one may be made.
func (c *call) hedgeAfter() (time.Duration, bool) {
	if !c.f.opts.Hedging || !c.policy.repeatable || c.claim != nil || c.body.rest != nil {
		return 0, false
	}
	return c.f.paces.hedgeAfter(c.service.Name)
}

// shoot starts an attempt.
func (c *call) shoot(ctx context.Context, g slot.Grant, try AttemptReporter, ends chan<- *shot) *shot {
	s := &shot{grant: g, try: try, attempt: &attempt{started: time.Now()}}
	ctx, s.cancel = context.WithCancel(ctx)
	out := c.request(s.attempt.trace(ctx, c), g)
	go func() {
		s.resp, s.err = c.f.opts.Transport.RoundTrip(out)
		ends <- s
	}()
	return s
}

// hedge starts a second attempt where a slot is free at once and the budget
// allows it; otherwise it returns nil.
func (c *call) hedge(ctx context.Context, ends chan<- *shot) *shot {
	if !c.f.retries.take(c.service) {
		return nil
	}
	g, err := c.f.opts.Slots.Acquire(ctx, slot.Request{
		Service:    c.service.Name,
		Deadline:   c.deadline,
		Avoid:      append([]string{c.grant.Upstream}, c.avoid...),
		Repeatable: true,
		NoWait:     true,
	})
	if err != nil {
		c.f.retries.refund(c.service)
		return nil
	}
	try, refusal := c.f.opts.Quarantine.Admit(ctx, c.service.Name, c.fingerprint)
	if refusal != nil || !c.usable(g) {
		if try != nil {
			try.Abandoned()
		}
		c.f.retries.refund(c.service)
		c.f.opts.Slots.Release(g, slot.Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		return nil
	}
	c.interim.close()
	c.f.opts.Metrics.Hedges.Inc(1)
	return c.shoot(ctx, g, try, ends)
}

// usable reports whether a grant may be used on the configuration in force.
func (c *call) usable(g slot.Grant) bool {
	src := c.f.opts.Source
	return src.Fresh() && src.View().ZoneOpen(g.Cell.Zone)
}

// race waits for the first of two attempts that has an answer to pass on.
func (c *call) race(first, second *shot, ends <-chan *shot) (*attempt, *http.Response, error) {
	winner := <-ends
	loser := first
	if winner == first {
		loser = second
	}
	if winner.answered() {
		go c.abandon(loser, ends)
	} else {
		c.settle(winner)
		winner = <-ends
	}
	c.grant, c.try, c.granted = winner.grant, winner.try, true
	return winner.attempt, winner.resp, winner.err
}

// answered reports whether the attempt has an answer to pass on.
func (s *shot) answered() bool { return s.err == nil && !isShed(s.resp) }

// abandon cancels the attempt that lost and gives its slot back once it has
// ended.
func (c *call) abandon(s *shot, ends <-chan *shot) {
	s.cancel()
	<-ends
	if s.resp != nil {
		_ = s.resp.Body.Close()
	}
	c.f.paces.add(c.service.Name, time.Since(s.attempt.started))
	c.endShot(s, clusterpb.Outcome_OUTCOME_CANCELLED)
}

// settle ends an attempt that failed while the other still runs.
func (c *call) settle(s *shot) {
	c.avoid = append(c.avoid, s.grant.Upstream)
	switch {
	case s.err == nil:
		drainAndClose(s.resp.Body)
		c.endShot(s, clusterpb.Outcome_OUTCOME_SHED)
	case !s.attempt.connected.Load():
		c.endShot(s, clusterpb.Outcome_OUTCOME_UNREACHABLE)
	case c.ctx.Err() != nil:
		c.endShot(s, clusterpb.Outcome_OUTCOME_CANCELLED)
	default:
		c.mayHaveRun = fault.New(fault.UpstreamBroken, "%s: %v", s.grant.Upstream, s.err)
		c.endShot(s, clusterpb.Outcome_OUTCOME_BROKEN)
	}
}

func (c *call) endShot(s *shot, outcome clusterpb.Outcome) {
	c.f.endAttempt(s.grant, s.try, slot.Result{
		Outcome:       outcome,
		ServiceTime:   time.Since(s.attempt.started),
		NewConnection: s.attempt.newConn.Load(),
	})
}
