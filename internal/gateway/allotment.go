package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/allotment"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

const (
	// returnDelay is the time after which permits that are not needed are handed back.
	// It is a fraction of their validity, and long enough for the next calls to use
	// them.
	returnDelay = 30 * time.Millisecond
	// olderStateWait is the time after which a gateway asks again that knows a newer
	// desired state than the issuer.
	olderStateWait = 50 * time.Millisecond
	// allotmentJitter is the part of the time until a permit may be available by which
	// the Retry-After is extended at random, so that refused callers do not return
	// together. minAllotmentJitter is the least for which that is spread.
	allotmentJitter    = 0.5
	minAllotmentJitter = 100 * time.Millisecond
)

// allotments holds the permits for the requests of organisations, and issues those for
// which this gateway is the issuer.
type allotments struct {
	// limits holds the allotments of the newest desired state by organisation.
	limits  atomic.Pointer[map[string]allotment.Limit]
	version atomic.Uint64
	// issuer is guarded by state.mu.
	issuer *allotment.Issuer

	// mu guards the fields below.
	mu     sync.Mutex
	holder *allotment.Holder
	// changed holds a channel for each organisation for which calls wait; it is closed
	// when an answer has come.
	changed map[string]chan struct{}
	// counts holds the counts of the calls of each organisation since the last report.
	counts map[string]*allotmentCounts
}

// allotmentCounts counts calls of one organisation.
type allotmentCounts struct{ sent, refused, noIssuer uint64 }

// setAllotmentBounds sets what operators tolerate above allotments. It must be called
// before the first configuration is applied.
func (st *state) setAllotmentBounds(b allotment.Bounds) {
	a := &allotments{
		issuer:  allotment.NewIssuer(st.gatewayID, st.issuer, b),
		holder:  allotment.NewHolder(b, rand.Float64()),
		changed: make(map[string]chan struct{}),
		counts:  make(map[string]*allotmentCounts),
	}
	a.limits.Store(&map[string]allotment.Limit{})
	st.allotments = a
}

// update records the allotments of the desired state in cfg.
func (a *allotments) update(cfg *catalogpb.Config) {
	limits := make(map[string]allotment.Limit, len(cfg.Organisations))
	for _, o := range cfg.Organisations {
		limits[o.Name] = limitOf(o)
	}
	a.limits.Store(&limits)
	a.version.Store(cfg.StateVersion)
}

func limitOf(o *catalogpb.Organisation) allotment.Limit {
	return allotment.Limit{PerSecond: o.GetRatePerS(), Burst: o.GetBurst()}
}

// expectAllotment asks for a permit for the call in the background, which is there when
// the upstreams have answered the probes. It returns the refusal if there is none.
func (c *call) expectAllotment() error {
	if !limitOf(c.organisation).Limited() || c.mayRelay() {
		return nil
	}
	f, st := c.f, c.f.state
	st.mu.Lock()
	soon := st.queue(c.pool).waiters.Len() == 0
	st.mu.Unlock()
	a, name := st.allotments, c.organisation.Name
	a.mu.Lock()
	ask, status, wait := a.holder.Expect(f.opts.BootTime(), name, soon)
	a.mu.Unlock()
	c.allotmentExpected = name
	if status != allotment.Pending {
		c.allotmentExpected = ""
		return c.allotmentRefusal(status, wait)
	}
	f.askAllotment(ask)
	return nil
}

// admit decides whether the request may be sent now: the key of the caller is valid and
// there is a permit if the organisation has an allotment. It waits for the permit if
// there is none yet.
func (c *call) admit() error {
	for {
		if err := c.lookupOrganisation(); err != nil {
			return err
		}
		waited, err := c.takeAllotment()
		if err != nil {
			return err
		}
		if !waited {
			return nil
		}
		// The key may have been removed in the meantime.
	}
}

// takeAllotment takes a permit for the request unless the call still has one with which
// no upstream has run it. It reports whether it has waited.
func (c *call) takeAllotment() (waited bool, err error) {
	if !limitOf(c.organisation).Limited() {
		return false, nil
	}
	f, a, name := c.f, c.f.state.allotments, c.organisation.Name
	if c.permit != nil && c.permit.organisation == name && !c.permit.spent && c.permit.Valid(f.opts.BootTime()) {
		return false, nil
	}
	c.returnAllotment()
	start := time.Now()
	for {
		a.mu.Lock()
		p, status, wait, ask := a.holder.Use(f.opts.BootTime(), name, waited)
		var changed <-chan struct{}
		if status == allotment.Pending {
			changed = a.changedChannel(name)
		}
		a.mu.Unlock()
		c.allotmentExpected = ""
		f.askAllotment(ask)
		switch status {
		case allotment.Granted:
			c.permit = &callPermit{Permit: p, organisation: name}
			if waited {
				f.opts.Metrics.AllotmentWait.RecordDuration(time.Since(start))
			}
			return waited, nil
		case allotment.Pending:
		default:
			return waited, c.allotmentRefusal(status, wait)
		}
		waited = true
		timer := time.NewTimer(allotment.HedgeDelay)
		select {
		case <-changed:
		case <-timer.C:
		case <-c.ctx.Done():
			timer.Stop()
			a.mu.Lock()
			a.holder.StopWaiting(name)
			a.mu.Unlock()
			return waited, c.deadlineTooShort()
		}
		timer.Stop()
	}
}

// callPermit is the permit of a call.
type callPermit struct {
	allotment.Permit
	organisation string
	// spent is set while an upstream may have run the request with it.
	spent bool
}

// endAttempt records whether an upstream may have run the request in the attempt that
// has ended. If not, the permit is left for the next attempt.
func (c *call) endAttempt(mayHaveRun bool) {
	if c.permit != nil {
		c.permit.spent = mayHaveRun
		if mayHaveRun {
			c.returnAllotment()
		}
	}
}

// returnAllotment ends the use of the permit of the call, and gives it back if no
// upstream has run the request with it.
func (c *call) returnAllotment() {
	f, a := c.f, c.f.state.allotments
	if name := c.allotmentExpected; name != "" {
		c.allotmentExpected = ""
		a.mu.Lock()
		a.holder.Forget(name)
		a.mu.Unlock()
		f.returnUnneededLater(name)
	}
	p := c.permit
	c.permit = nil
	if p == nil {
		return
	}
	if p.spent {
		a.count(p.organisation, func(n *allotmentCounts) { n.sent++ })
		return
	}
	a.mu.Lock()
	a.holder.Return(f.opts.BootTime(), p.organisation, p.Permit)
	a.mu.Unlock()
	f.returnUnneededLater(p.organisation)
}

// allotmentRefusal returns the refusal of a call without a permit.
func (c *call) allotmentRefusal(status allotment.Status, wait time.Duration) error {
	a, name := c.f.state.allotments, c.organisation.Name
	wait += time.Duration(c.f.opts.Random() * max(allotmentJitter*float64(wait), float64(minAllotmentJitter)))
	wait = max(minRetryAfter, wait)
	limit := limitOf(c.organisation)
	if status == allotment.NoIssuer {
		a.count(name, func(n *allotmentCounts) { n.noIssuer++ })
		c.f.opts.Metrics.OrganisationCalls(name, telemetry.AllotmentNoIssuer).Inc(1)
		return fault.NewRetryable(fault.AllotmentUnknown, wait, "organisation %q: no gateway that issues the permits of its allotment answers", name)
	}
	a.count(name, func(n *allotmentCounts) { n.refused++ })
	c.f.opts.Metrics.OrganisationCalls(name, telemetry.AllotmentRefused).Inc(1)
	return fault.NewRetryable(fault.AllotmentUsed, wait, "organisation %q: its allotment of %g requests per second and a burst of %g over all gateways is used up", name, limit.PerSecond, limit.Burst)
}

func (a *allotments) count(organisation string, add func(*allotmentCounts)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.counts[organisation]
	if n == nil {
		n = &allotmentCounts{}
		a.counts[organisation] = n
	}
	add(n)
}

// changedChannel returns the channel that is closed at the next answer for the
// organisation. a.mu must be held.
func (a *allotments) changedChannel(organisation string) <-chan struct{} {
	ch := a.changed[organisation]
	if ch == nil {
		ch = make(chan struct{})
		a.changed[organisation] = ch
	}
	return ch
}

// askAllotment makes a request for permits in the background; nil means none.
func (f *Forwarder) askAllotment(ask *allotment.Ask) {
	st := f.state
	for ask != nil {
		key := allotment.Key(ask.Organisation, ask.Shard)
		st.mu.Lock()
		issuer := st.issuer.IssuerOf(key)
		address := st.clusterAddresses[issuer]
		st.mu.Unlock()
		if issuer != st.gatewayID && address != "" {
			go func() {
				answer, ok := f.askAllotmentIssuer(address, ask)
				f.askAllotment(f.recordAllotmentAnswer(ask, answer, ok))
			}()
			return
		}
		answer := allotment.Answer{}
		if issuer == st.gatewayID {
			answer = st.issueAllotment(ask.Organisation, ask.Shard, st.allotments.version.Load(), ask.Units, ask.Returned)
		}
		ask = f.recordAllotmentAnswer(ask, answer, true)
	}
}

// recordAllotmentAnswer records an answer, lets the calls that wait for it go on, and
// returns the next request to be made.
func (f *Forwarder) recordAllotmentAnswer(ask *allotment.Ask, answer allotment.Answer, ok bool) *allotment.Ask {
	a := f.state.allotments
	a.mu.Lock()
	next := a.holder.Answered(f.opts.BootTime(), ask, answer, ok)
	if ch := a.changed[ask.Organisation]; ch != nil {
		close(ch)
		delete(a.changed, ask.Organisation)
	}
	a.mu.Unlock()
	if answer.Granted > 0 {
		f.returnUnneededLater(ask.Organisation)
	}
	return next
}

// returnUnneededLater hands back permits of the organisation that are not needed by
// then.
func (f *Forwarder) returnUnneededLater(organisation string) {
	time.AfterFunc(returnDelay, func() {
		a := f.state.allotments
		for {
			a.mu.Lock()
			ask := a.holder.Flush(f.opts.BootTime(), organisation)
			a.mu.Unlock()
			if ask == nil {
				return
			}
			f.askAllotment(ask)
		}
	})
}

// askAllotmentIssuer asks another gateway for permits. It reports false if the gateway
// does not answer in time.
func (f *Forwarder) askAllotmentIssuer(address string, ask *allotment.Ask) (allotment.Answer, bool) {
	st := f.state
	// The call that needs the permit may end first; the permits are for others as well.
	ctx, cancel := context.WithTimeout(f.opts.Context, permitTimeout)
	defer cancel()
	st.allotments.mu.Lock()
	demand, held := st.allotments.holder.Demand(f.opts.BootTime(), ask.Organisation)
	st.allotments.mu.Unlock()
	resp, err := f.opts.Allotments(address).Take(ctx, &clusterpb.TakeAllotmentRequest{
		Entry: st.gatewayID, Organisation: ask.Organisation, Shard: uint32(ask.Shard), Units: uint32(ask.Units), Returned: uint32(ask.Returned),
		DemandPerS: demand, Held: uint32(held), StateVersion: st.allotments.version.Load(),
	})
	if err != nil && f.opts.Context.Err() != nil {
		return allotment.Answer{}, false
	}
	if err != nil {
		f.opts.Events.Log(event.AllotmentFailed).Str("organisation", ask.Organisation).Uint64("shard", uint64(ask.Shard)).Str("issuer", address).Err(err).Send()
		return allotment.Answer{}, false
	}
	return allotment.Answer{Granted: int(resp.Granted), Issuing: resp.Issuing, Wait: time.Duration(resp.WaitMs) * time.Millisecond}, true
}

// issueAllotment issues permits of a shard to a gateway whose desired state has the
// given version.
func (st *state) issueAllotment(organisation string, shard int, version uint64, units, returned int) allotment.Answer {
	a := st.allotments
	limit := (*a.limits.Load())[organisation]
	switch {
	case limit.Limited():
	case version > a.version.Load():
		// The newer state limits the organisation, this one does not.
		return allotment.Answer{Wait: olderStateWait}
	default:
		return allotment.Answer{Granted: units, Issuing: true}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return a.issuer.Take(st.now(), organisation, shard, limit, units, returned)
}

// allotmentServer serves the Allotments service to other gateways.
type allotmentServer struct{ state *state }

// Take implements clusterpb.Allotments.
func (s *allotmentServer) Take(_ context.Context, req *clusterpb.TakeAllotmentRequest) (*clusterpb.TakeAllotmentResponse, error) {
	if req.Shard >= allotment.Shards {
		return nil, fault.ToTwirp(fault.New(fault.BadRequest, "shard %d, want one below %d", req.Shard, allotment.Shards))
	}
	answer := s.state.issueAllotment(req.Organisation, int(req.Shard), req.StateVersion, int(min(req.Units, allotment.MaxUnits)), int(min(req.Returned, allotment.MaxUnits)))
	return &clusterpb.TakeAllotmentResponse{
		Granted: uint32(answer.Granted), Issuing: answer.Issuing, WaitMs: uint32((answer.Wait + time.Millisecond - 1) / time.Millisecond),
	}, nil
}

// reportAllotments logs and counts the calls of organisations with an allotment and the
// permits issued since the last call, where some were refused, and drops state that is
// not used.
func (f *Forwarder) reportAllotments() {
	st, log := f.state, f.opts.Events
	a := st.allotments
	st.mu.Lock()
	a.issuer.DropLost(st.now())
	issued := a.issuer.TakeCounts()
	st.mu.Unlock()
	a.mu.Lock()
	a.holder.DropUnused(f.opts.BootTime())
	counts := a.counts
	a.counts = make(map[string]*allotmentCounts)
	a.mu.Unlock()
	for name, n := range counts {
		f.opts.Metrics.OrganisationCalls(name, telemetry.AllotmentSent).Inc(int64(n.sent))
		if n.refused+n.noIssuer > 0 {
			log.Log(event.AllotmentUsed).Str("organisation", name).Uint64("sent", n.sent).Uint64("refused", n.refused).Uint64("no_issuer", n.noIssuer).Send()
		}
	}
	limits := *a.limits.Load()
	for name, n := range issued {
		if n.Refused > 0 {
			log.Log(event.AllotmentIssued).Str("organisation", name).Str("limit", fmt.Sprintf("%g/s, burst %g", limits[name].PerSecond, limits[name].Burst)).Uint64("issued", uint64(max(0, n.Issued))).Uint64("refused", uint64(n.Refused)).Send()
		}
	}
}
