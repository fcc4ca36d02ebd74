package gateway

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/permit"
)

const (
	// permitTimeout bounds a request for a permit. Gateways are within 1 ms of each
	// other, but one that has used up its CPU share is paused for up to 100 ms.
	permitTimeout = 150 * time.Millisecond
	// permitRetryInterval is the pause after a request for a permit whose answer did
	// not say when one is available, as another gateway is taking over.
	permitRetryInterval = 200 * time.Millisecond
	// issuerRetryInterval is the pause after a request for a permit that was not
	// answered. Another gateway takes over after some seconds.
	issuerRetryInterval = time.Second
	// unitsPerLimitedRequest is the number of units of a permit for one request to
	// an upstream with a rate limit: the load probe before it counts as well. Without
	// the probe, an upstream that has turned cold would go unnoticed.
	unitsPerLimitedRequest = permit.MaxUnits
)

// searchLimited asks for a permit for one upstream of the pool that names a rate
// limit, and with it probes the upstream. It returns a reservation, without a
// connection if there was no permit or no room, and the ID of the upstream, "" if
// there was none to ask for.
func (f *Forwarder) searchLimited(ctx context.Context, pool string, avoid []string, req balance.Requirements) (reservation, string) {
	st := f.state
	st.mu.Lock()
	u, ok := st.balancer.LimitedCandidate(st.now(), pool, avoid, f.opts.Random)
	st.mu.Unlock()
	if !ok {
		return reservation{}, ""
	}
	if !f.acquirePermit(ctx, u, permit.RateLimit, unitsPerLimitedRequest) {
		return reservation{}, u.ID
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	probed := f.probeOne(probeCtx, u)
	if probed.err != nil {
		return reservation{}, u.ID
	}
	choice := st.reserveWithPermit(u.ID, req)
	if choice.Outcome != balance.Selected {
		f.conns.Release(probed.conn, nil)
		return reservation{}, u.ID
	}
	return reservation{choice: choice, conn: probed.conn}, u.ID
}

// reserveWithPermit counts a request as in flight at the upstream, for which a
// permit has been taken, if it has room.
func (st *state) reserveWithPermit(id string, req balance.Requirements) balance.Choice {
	st.mu.Lock()
	defer st.mu.Unlock()
	choice := st.balancer.ChooseWithPermit(st.now(), id, req)
	if choice.Outcome == balance.Selected {
		st.countStart(choice)
	}
	return choice
}

// reserveCold counts a request as in flight at one of the upstreams in ids, which
// have been probed, if it is cold, has room, and there is a permit for it.
func (f *Forwarder) reserveCold(ctx context.Context, ids []string) balance.Choice {
	st := f.state
	st.mu.Lock()
	u, ok := st.balancer.ColdCandidate(st.now(), ids)
	st.mu.Unlock()
	if !ok || !f.acquirePermit(ctx, u, permit.ColdStart, 1) {
		return balance.Choice{Outcome: balance.Unavailable}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	choice := st.balancer.ChooseCold(st.now(), u.ID)
	if choice.Outcome == balance.Selected {
		st.countStart(choice)
	}
	return choice
}

// acquirePermit takes a permit for the upstream, here or from the gateway that
// issues them. If there is none, the upstream is not asked for again until one is
// expected.
func (f *Forwarder) acquirePermit(ctx context.Context, u balance.Upstream, purpose permit.Purpose, units int) bool {
	st := f.state
	st.mu.Lock()
	issuer := st.issuer.IssuerOf(u.ID)
	if issuer == st.gatewayID {
		defer st.mu.Unlock()
		d := st.takePermit(u, purpose, units)
		if !d.Granted {
			st.deferPermit(u.ID, d.Wait)
		}
		return d.Granted
	}
	address := st.clusterAddresses[issuer]
	st.mu.Unlock()
	var resp *clusterpb.AcquirePermitResponse
	if address != "" {
		resp = f.askIssuer(ctx, address, u, purpose, units)
	}
	if resp.GetGranted() {
		return true
	}
	wait := issuerRetryInterval
	if resp != nil {
		wait = time.Duration(resp.WaitMs) * time.Millisecond
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.deferPermit(u.ID, wait)
	return false
}

// takePermit issues a permit at the rate that the upstream takes. st.mu must be
// held.
func (st *state) takePermit(u balance.Upstream, purpose permit.Purpose, units int) permit.Decision {
	var perSecond float64
	if purpose == permit.ColdStart {
		if p := (*st.pools.Load())[u.Pool]; p != nil {
			perSecond = p.ColdPerS * st.coldRateShare
		}
	} else {
		limit := st.balancer.Limit(u.ID)
		if !limit.Named {
			return permit.Decision{}
		}
		perSecond = limit.PerSecond
	}
	return st.issuer.Take(st.now(), permit.Key{Upstream: u.ID, Purpose: purpose}, perSecond, units)
}

// deferPermit records that no permit for the upstream is expected before wait has
// passed; 0 means that the time is not known. st.mu must be held.
func (st *state) deferPermit(id string, wait time.Duration) {
	if wait <= 0 {
		wait = permitRetryInterval
	}
	st.balancer.DeferPermit(id, st.now()+wait)
}

// askIssuer asks another gateway for a permit and merges what it knows of the
// rate limit. It returns nil if the gateway does not answer in time.
func (f *Forwarder) askIssuer(ctx context.Context, address string, u balance.Upstream, purpose permit.Purpose, units int) *clusterpb.AcquirePermitResponse {
	st := f.state
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	req := &clusterpb.AcquirePermitRequest{
		Entry: st.gatewayID, Upstream: u.ID, StartedMs: u.Started, Units: uint32(units), Rate: st.upstreamRate(u.ID), ColdStart: purpose == permit.ColdStart,
	}
	start := time.Now()
	resp, err := f.opts.Permits(address).Acquire(ctx, req)
	f.opts.Metrics.PermitWait.RecordDuration(time.Since(start))
	if err != nil && ctx.Err() == context.Canceled {
		// The caller has disconnected.
		return nil
	}
	if err != nil {
		f.opts.Events.Log(event.PermitFailed).Str("upstream", u.ID).Str("pool", u.Pool).Str("issuer", address).Err(err).Send()
		return nil
	}
	st.mergeRate(u, resp.Rate, address, f.opts.Events)
	return resp
}

// reportLimit tells the gateway that issues the permits for the upstream that its
// rate limit has changed.
func (f *Forwarder) reportLimit(u balance.Upstream) {
	f.state.mu.Lock()
	issuer := f.state.issuer.IssuerOf(u.ID)
	address := f.state.clusterAddresses[issuer]
	f.state.mu.Unlock()
	if issuer != f.state.gatewayID && address != "" {
		f.askIssuer(context.Background(), address, u, permit.RateLimit, 0)
	}
}

// checkLimits probes the upstreams for which this gateway issues permits if
// nothing has been heard from them for a while, so that the end of a limit is
// noticed also when no request is sent.
func (f *Forwarder) checkLimits() {
	for _, u := range f.state.upstreamsToCheck() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			if probed := f.probeOne(ctx, u); probed.err == nil {
				f.conns.Release(probed.conn, nil)
			}
		}()
	}
}

// upstreamsToCheck returns the upstreams to probe and takes a unit for each.
func (st *state) upstreamsToCheck() []balance.Upstream {
	st.mu.Lock()
	defer st.mu.Unlock()
	var due []balance.Upstream
	now := st.now()
	for _, id := range st.issuer.LimitedUpstreams() {
		u, known := st.balancer.Find(id)
		limit := st.balancer.Limit(id)
		if known && limit.Named && !st.balancer.OutOfRotation(id) && st.balancer.Notice(u).Open(now) && st.issuer.TakeCheck(now, id, limit.PerSecond, limit.At) {
			due = append(due, u)
		}
	}
	return due
}

// stopIssuing ends the issuing of permits at the beginning of a planned stop.
func (st *state) stopIssuing() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.issuer.SetLeaving()
	st.allotments.issuer.SetLeaving()
}

// upstreamRate returns what this gateway knows of the rate limit.
func (st *state) upstreamRate(id string) *clusterpb.UpstreamRate {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.upstreamRateLocked(id)
}

// upstreamRateLocked is upstreamRate for callers that hold st.mu.
func (st *state) upstreamRateLocked(id string) *clusterpb.UpstreamRate {
	limit := st.balancer.Limit(id)
	if !limit.Known {
		return &clusterpb.UpstreamRate{}
	}
	age := min(st.now()-limit.At, maxRateAge)
	return &clusterpb.UpstreamRate{
		Known: true, Limited: limit.Named, PerSecond: limit.PerSecond, AgeMs: uint32(age.Milliseconds()), NamedByProbes: st.balancer.NamedByProbes(id),
	}
}

// maxRateAge bounds the age in a message.
const maxRateAge = time.Hour

// mergeRate records what the gateway from knows of the rate limit of the
// upstream, if that is newer.
func (st *state) mergeRate(u balance.Upstream, rate *clusterpb.UpstreamRate, from string, log event.Logger) {
	if !rate.GetKnown() || !isRate(rate.PerSecond) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	limit := balance.RateLimit{Known: true, Named: rate.Limited, PerSecond: rate.PerSecond, At: st.now() - time.Duration(rate.AgeMs)*time.Millisecond}
	if before, changed := st.balancer.MergeLimit(u.ID, limit, rate.NamedByProbes); changed {
		logLimit(log, u, before, limit, from)
	}
}

// permitServer serves the Permits service to other gateways.
type permitServer struct {
	state *state
	log   event.Logger
}

// Acquire implements clusterpb.Permits. It issues no permit for an upstream that
// is not known here in the same start, as one of the two configurations is old.
func (s *permitServer) Acquire(_ context.Context, req *clusterpb.AcquirePermitRequest) (*clusterpb.AcquirePermitResponse, error) {
	st := s.state
	st.mu.Lock()
	u, known := st.balancer.Find(req.Upstream)
	st.mu.Unlock()
	if !known || u.Started != req.StartedMs {
		return &clusterpb.AcquirePermitResponse{}, nil
	}
	st.mergeRate(u, req.Rate, req.Entry, s.log)
	st.mu.Lock()
	defer st.mu.Unlock()
	resp := &clusterpb.AcquirePermitResponse{Rate: st.upstreamRateLocked(u.ID)}
	if req.Units == 0 {
		return resp, nil
	}
	purpose := permit.RateLimit
	if req.ColdStart {
		purpose = permit.ColdStart
	}
	d := st.takePermit(u, purpose, int(min(req.Units, permit.MaxUnits)))
	resp.Granted, resp.WaitMs = d.Granted, uint32((d.Wait+time.Millisecond-1)/time.Millisecond)
	return resp, nil
}

// permitWait returns the time until a permit may be available for an upstream
// that the call may be sent to, after the calls that wait in the queue. It reports
// false unless all of these upstreams name a rate limit.
func (c *call) permitWait() (time.Duration, bool) {
	st := c.f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.balancer.PermitWait(st.now(), c.group, c.avoid, st.queue(c.group).waiters.Len(), unitsPerLimitedRequest)
}

// rateLimited returns the refusal of a call for which no permit is expected in
// time.
func (c *call) rateLimited(wait time.Duration) error {
	return fault.NewRetryable(fault.RateLimited, c.retryAfter(wait), "pool %q: all upstreams name a rate limit, the next request may be sent in %s", c.pool, wait)
}
