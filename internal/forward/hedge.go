package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
)

// parallelAttempt is one of two attempts that run in parallel.
type parallelAttempt struct {
	grant    slot.Grant
	reporter AttemptReporter
	attempt  *attempt
	cancel   context.CancelFunc
	resp     *http.Response
	err      error
}

// roundTrip sends the request to the granted upstream and returns its
// response. A repeatable request that has no response within the hedge delay
// is also sent to a second upstream that has a free slot. The first response
// wins, and the call continues with the grant of the winner.
func (c *call) roundTrip(ctx context.Context) (*attempt, *http.Response, error) {
	a := &attempt{started: time.Now()}
	c.interim.open(a)
	defer c.interim.close()
	delay, ok := c.hedgeDelay()
	if !ok {
		resp, err := c.exchange(c.newUpstreamRequest(a.withTrace(ctx, c, c.grant), c.grant), c.grant, a)
		return a, resp, err
	}
	results := make(chan *parallelAttempt, 2)
	first := c.startAttempt(ctx, a, c.grant, c.reporter, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case p := <-results:
		return p.attempt, p.resp, p.err
	case <-timer.C:
	}
	second := c.startHedge(ctx, results)
	if second == nil {
		p := <-results
		return p.attempt, p.resp, p.err
	}
	return c.race(first, second, results)
}

// hedgeDelay returns the wait before a second attempt; it reports false if
// the request must not be hedged.
func (c *call) hedgeDelay() (time.Duration, bool) {
	if !c.f.opts.Hedging || !c.policy.repeatable || c.claim != nil || c.body.rest != nil {
		return 0, false
	}
	return c.f.latencies.hedgeDelay(c.service.Name)
}

// startAttempt sends the request in a goroutine, which delivers the outcome
// to results.
func (c *call) startAttempt(ctx context.Context, a *attempt, g slot.Grant, reporter AttemptReporter, results chan<- *parallelAttempt) *parallelAttempt {
	p := &parallelAttempt{grant: g, reporter: reporter, attempt: a}
	ctx, p.cancel = context.WithCancel(ctx)
	out := c.newUpstreamRequest(p.attempt.withTrace(ctx, c, g), g)
	go func() {
		p.resp, p.err = c.exchange(out, g, a)
		results <- p
	}()
	return p
}

// startHedge starts a second attempt if the retry budget allows it and
// another upstream has a slot free at once; otherwise it returns nil.
func (c *call) startHedge(ctx context.Context, results chan<- *parallelAttempt) *parallelAttempt {
	if !c.f.retryBudgets.withdraw(c.service) {
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
		c.f.retryBudgets.refund(c.service)
		return nil
	}
	reporter, refusal := c.f.opts.Quarantine.Admit(ctx, c.signature)
	if refusal != nil || !c.grantUsable(g) || !c.f.notices.open(g) {
		if reporter != nil {
			reporter.Abandoned()
		}
		c.f.retryBudgets.refund(c.service)
		c.f.opts.Slots.Release(g, slot.Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
		return nil
	}
	c.interim.close()
	c.f.opts.Metrics.Hedges.Inc(1)
	return c.startAttempt(ctx, &attempt{started: time.Now()}, g, reporter, results)
}

// exchange sends the request and returns the response to it. It records what the
// response says of the upstream itself.
func (c *call) exchange(out *http.Request, g slot.Grant, a *attempt) (*http.Response, error) {
	callerID := out.Header.Get(headerRequestID)
	id := strconv.FormatUint(rand.Uint64(), 16)
	out.Header.Set(headerRequestID, id)
	out.Close = !c.f.echoes.knows(g.Upstream)
	resp, err := c.f.opts.Transport.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	if err := c.f.echoes.checkEcho(g.Upstream, id, resp, a.newConn.Load()); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Header.Del(headerRequestID)
	if callerID != "" {
		resp.Header.Set(headerRequestID, callerID)
	}
	c.f.recordNotice(g, resp.StatusCode, resp.Header)
	return resp, nil
}

// grantUsable reports whether the configuration in force still allows
// sending to the granted upstream.
func (c *call) grantUsable(g slot.Grant) bool {
	src := c.f.opts.Source
	return src.Fresh() && src.View().ZoneOpen(g.Cell.Zone)
}

// race returns the first of two attempts that has a response to pass on; if
// neither has one, the one that ended last.
func (c *call) race(first, second *parallelAttempt, results <-chan *parallelAttempt) (*attempt, *http.Response, error) {
	winner := <-results
	loser := first
	if winner == first {
		loser = second
	}
	if winner.hasResponse() {
		go c.abandonLoser(loser, results)
	} else {
		c.endFailedAttempt(winner)
		winner = <-results
	}
	c.grant, c.reporter, c.granted = winner.grant, winner.reporter, true
	return winner.attempt, winner.resp, winner.err
}

// hasResponse reports whether the attempt has a response to pass on.
func (p *parallelAttempt) hasResponse() bool { return p.err == nil && !isShed(p.resp) }

// abandonLoser cancels the attempt that lost the race and returns its slot
// once the attempt has ended.
func (c *call) abandonLoser(p *parallelAttempt, results <-chan *parallelAttempt) {
	p.cancel()
	<-results
	if p.resp != nil {
		_ = p.resp.Body.Close()
	}
	c.f.latencies.record(c.service.Name, time.Since(p.attempt.started))
	c.endParallelAttempt(p, clusterpb.Outcome_OUTCOME_CANCELLED)
}

// endFailedAttempt ends an attempt that failed while the other one is still
// running.
func (c *call) endFailedAttempt(p *parallelAttempt) {
	c.avoid = append(c.avoid, p.grant.Upstream)
	switch {
	case p.err == nil:
		drainAndClose(p.resp.Body)
		c.endParallelAttempt(p, clusterpb.Outcome_OUTCOME_SHED)
	case !p.attempt.connected.Load():
		c.endParallelAttempt(p, clusterpb.Outcome_OUTCOME_UNREACHABLE)
	case c.ctx.Err() != nil:
		c.endParallelAttempt(p, clusterpb.Outcome_OUTCOME_CANCELLED)
	default:
		c.mayHaveRunErr = fault.New(fault.UpstreamBroken, "upstream %s: %v", p.grant.Upstream, p.err)
		c.endParallelAttempt(p, clusterpb.Outcome_OUTCOME_BROKEN)
	}
}

func (c *call) endParallelAttempt(p *parallelAttempt, outcome clusterpb.Outcome) {
	c.f.endAttempt(p.grant, p.reporter, slot.Result{
		Outcome:       outcome,
		ServiceTime:   time.Since(p.attempt.started),
		NewConnection: p.attempt.newConn.Load(),
	})
}
