package gateway

import (
	"context"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// searchRounds is the number of searches, each among other upstreams, before
	// a request joins the queue. Four rounds of two probes find a free upstream
	// at ordinary load.
	searchRounds = 4
	// spareSearchRounds is the number of these that accept only upstreams with room
	// to spare. A search takes a few milliseconds, while an upstream that is slow or
	// nearly full adds most of the time of the work.
	spareSearchRounds = 2
	// queueMaxSlowdown is the largest slowdown, as a factor on the usual time of
	// the work, of an upstream that is selected for queued calls. It admits
	// upstreams that are slower because most of their slots are in use, but none
	// whose VM is temporarily slow.
	queueMaxSlowdown = 2
	// lateMaxSlowdown is the same bound for a request that misses its target
	// latency anyway: it takes no room that calls of any gateway need to be in time.
	lateMaxSlowdown = balance.SpareSlowdown
	// defaultMaxSlowdown is the same bound for a route without a known typical
	// response time or without a target latency.
	defaultMaxSlowdown = 2
	// queueSearchInterval is the pause after an unsuccessful search for the
	// queued calls of a pool. Probes occupy slots of upstreams, which are scarce
	// then; an upstream that answers a request of this entry VM is assigned to a
	// queued call without a probe.
	queueSearchInterval = 50 * time.Millisecond
	// probesPerQueueSearch is the number of upstreams probed in such a search.
	probesPerQueueSearch = 2
	// typicalTimeMargin is the safety factor on the typical response time when
	// the time left to the target latency is computed.
	typicalTimeMargin = 1.1
	// lateWaitDivisor is the divisor of the time left to the deadline that gives
	// the longest wait of a call that misses its target latency anyway. The rest
	// is left for the work and for one more attempt at another upstream.
	lateWaitDivisor = 2
	// minWaitDivisor is the divisor of the target latency that gives the lower
	// bound of the longest wait of other calls.
	minWaitDivisor = 8
)

// poolQueue is the queue of calls that wait for an upstream of one pool.
type poolQueue struct {
	waiters balance.Queue
	// reservations holds one channel per waiter, by its ID, on which it receives
	// its reservation.
	reservations map[uint64]chan reservation
	// searching is set while searchForWaiters runs for the pool.
	searching bool
}

// queue returns the queue of the pool and creates it on first use. st.mu must
// be held.
func (st *state) queue(pool string) *poolQueue {
	q := st.queues[pool]
	if q == nil {
		q = &poolQueue{reservations: make(map[uint64]chan reservation)}
		st.queues[pool] = q
	}
	return q
}

// acquire reserves an upstream with a free slot, or returns the refusal. While
// other calls wait for the pool, the call joins the queue without a search of
// its own.
func (c *call) acquire() (reservation, error) {
	start := time.Now()
	defer func() { c.waited += time.Since(start) }()
	st := c.f.state
	st.mu.Lock()
	busy := st.queue(c.pool).waiters.Len() > 0
	st.mu.Unlock()
	if busy && c.f.upstreamsLost() == reach.None {
		return c.waitInQueue()
	}
	avoid := slices.Clone(c.avoid)
	for round := 0; round < searchRounds; round++ {
		c.searches++
		spare := round < spareSearchRounds
		res, seen := c.f.search(c.ctx, c.pool, avoid, probesPerSearch, c.requirements(c.acceptedSlowdown(spare)))
		switch {
		case c.ctx.Err() != nil:
			c.f.releaseUnused(res)
			return reservation{}, c.deadlineTooShort()
		case res.conn != nil:
			return res, nil
		case len(seen) == 0 && len(avoid) == len(c.avoid):
			// Not even the first search found an upstream to probe.
			if _, limited := c.permitWait(); limited || c.resuming() {
				return c.waitInQueue()
			}
			return reservation{}, c.noUpstream()
		case c.f.upstreamsLost() != reach.None:
			c.lost = true
			return reservation{}, c.noUpstream()
		}
		avoid = append(avoid, seen...)
		if spare && (len(seen) == 0 || round == spareSearchRounds-1) {
			// Those without room to spare may do for the other searches.
			round = spareSearchRounds - 1
			avoid = slices.Clone(c.avoid)
		}
	}
	return c.waitInQueue()
}

// noUpstream returns the refusal for a pool none of whose upstreams can be
// probed for this request.
func (c *call) noUpstream() error {
	st := c.f.state
	st.mu.Lock()
	open, ready := st.balancer.CountUpstreams(st.now(), c.pool)
	closed := st.closedByNotices(st.now(), c.pool)
	st.mu.Unlock()
	if closed {
		return c.refusedByNotices()
	}
	return fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "pool %q: %d upstreams accept work, %d of them are ready, %d were tried", c.pool, open, ready, len(c.avoid))
}

// search probes up to n upstreams of the pool that are not in avoid, and if none
// of them has room, one that names a rate limit and may get a request. It returns
// a reservation at the best one, without a connection if none has room, and the
// IDs of the upstreams that it probed.
func (f *Forwarder) search(ctx context.Context, pool string, avoid []string, n int, req balance.Requirements) (res reservation, seen []string) {
	st := f.state
	st.mu.Lock()
	candidates := st.balancer.Candidates(st.now(), pool, avoid, n, f.opts.Random)
	st.mu.Unlock()
	for _, c := range candidates {
		seen = append(seen, c.ID)
	}
	if len(candidates) > 0 {
		res = f.probe(ctx, candidates, req)
	}
	if res.conn != nil {
		return res, seen
	}
	res, limited := f.searchLimited(ctx, pool, avoid, req)
	if limited != "" {
		seen = append(seen, limited)
	}
	return res, seen
}

// countStart counts a request as in flight at the chosen upstream. st.mu must
// be held.
func (st *state) countStart(c balance.Choice) {
	st.balancer.RecordStart(c.At, c.Upstream.ID)
	st.queue(c.Upstream.Pool).waiters.RecordStart(c.At)
}

// releaseUnused releases a reservation on which no request was sent, with its
// connection.
func (f *Forwarder) releaseUnused(res reservation) {
	if res.conn == nil {
		return
	}
	f.state.mu.Lock()
	f.state.balancer.RecordEnd(res.choice.Upstream.ID, res.choice.At)
	f.state.mu.Unlock()
	f.conns.Release(res.conn, nil)
}

// waitInQueue waits until an upstream has room. It refuses the call at once if
// the predicted wait is too long.
func (c *call) waitInQueue() (reservation, error) {
	f, st := c.f, c.f.state
	id := f.lastWaiterID.Add(1)
	ch := make(chan reservation, 1)
	st.mu.Lock()
	now := st.now()
	q := st.queue(c.pool)
	if st.closedByNotices(now, c.pool) {
		st.mu.Unlock()
		return reservation{}, c.refusedByNotices()
	}
	work := st.typicalTimes[c.route.Name]
	startBy := now + c.maxWait(work)
	if permitWait, late := st.permitTooLate(now, c.pool, c.avoid, q.waiters.Len(), startBy); late {
		st.mu.Unlock()
		return reservation{}, c.rateLimited(permitWait)
	}
	wait, ok := q.waiters.Enqueue(now, balance.Waiter{
		ID: id, Priority: c.priority(), Late: c.missesTarget(work), StartBy: startBy, ServiceTime: work, Exclude: c.avoid,
	})
	search := ok && !q.searching
	if ok {
		q.reservations[id] = ch
		q.searching = true
	}
	st.mu.Unlock()
	if !ok {
		return reservation{}, fault.NewRetryable(fault.QueueFull, c.retryAfter(wait), "pool %q: predicted wait of %s is too long", c.pool, wait)
	}
	if search {
		go f.searchForWaiters(c.pool)
	}
	timer := time.NewTimer(startBy - now)
	defer timer.Stop()
	select {
	case res := <-ch:
		return c.checkReservation(res)
	case <-c.f.reach.lostSignal():
	case <-timer.C:
	case <-c.ctx.Done():
	}
	return c.leaveQueue(id, ch, wait)
}

// leaveQueue ends the wait. A reservation that was assigned in the meantime is
// used unless the call has ended.
func (c *call) leaveQueue(id uint64, ch <-chan reservation, wait time.Duration) (reservation, error) {
	st := c.f.state
	st.mu.Lock()
	q := st.queue(c.pool)
	left := q.waiters.Remove(id)
	delete(q.reservations, id)
	st.mu.Unlock()
	if !left {
		res := <-ch
		if c.ctx.Err() == nil {
			return c.checkReservation(res)
		}
		c.f.releaseUnused(res)
	}
	if c.ctx.Err() != nil {
		return reservation{}, c.deadlineTooShort()
	}
	if c.f.upstreamsLost() != reach.None {
		c.lost = true
		return reservation{}, c.noUpstream()
	}
	// The target latency is missed, but the deadline has not passed yet.
	late := balance.Requirements{MaxSlowdown: lateMaxSlowdown, Bytes: c.body.length}
	if res, _ := c.f.search(c.ctx, c.pool, c.avoid, probesPerSearch, late); res.conn != nil {
		return res, nil
	}
	if permitWait, limited := c.permitWait(); limited {
		return reservation{}, c.rateLimited(permitWait)
	}
	return reservation{}, fault.NewRetryable(fault.QueueFull, c.retryAfter(wait), "pool %q: no upstream had a free slot in time", c.pool)
}

// checkReservation returns the reservation that a queued call has received, or the
// refusal if it has received one without a connection.
func (c *call) checkReservation(res reservation) (reservation, error) {
	if res.closed {
		return reservation{}, c.refusedByNotices()
	}
	if res.conn == nil {
		wait, _ := c.permitWait()
		return reservation{}, c.rateLimited(wait)
	}
	return res, nil
}

// maxWait returns how long the call may wait for an upstream and still meet its
// target latency, which counts from the caller's first attempt. A call that
// misses the target anyway may wait for a part of the time left to its
// deadline.
func (c *call) maxWait(typical time.Duration) time.Duration {
	if c.missesTarget(typical) {
		return time.Until(c.deadline) / lateWaitDivisor
	}
	need := time.Duration(typicalTimeMargin * float64(typical))
	return max(c.timeToTarget()-need, c.route.TargetLatency/minWaitDivisor)
}

// timeToTarget returns the time left until the target latency is exceeded, or
// until the deadline if that is earlier.
func (c *call) timeToTarget() time.Duration {
	left := time.Until(c.deadline)
	if c.route.TargetLatency <= 0 {
		return left
	}
	return min(left, c.route.TargetLatency-c.spent-time.Since(c.arrived))
}

// missesTarget reports whether a response after the typical time would exceed
// the target latency.
func (c *call) missesTarget(typical time.Duration) bool { return c.timeToTarget() < typical }

// requirements returns the requirements of the request. A trial goes to an idle upstream
// if there is one: should the upstream end, no other request is lost or blamed.
func (c *call) requirements(maxSlowdown float64) balance.Requirements {
	return balance.Requirements{MaxSlowdown: maxSlowdown, Bytes: c.body.length, Idle: c.trial != nil}
}

// acceptedSlowdown returns the highest slowdown of an upstream that a search accepts.
func (c *call) acceptedSlowdown(spare bool) float64 {
	if spare {
		return min(c.maxSlowdown(), balance.SpareSlowdown)
	}
	return c.maxSlowdown()
}

// maxSlowdown returns how many times longer than typical the work may take for
// the response to meet the target latency.
func (c *call) maxSlowdown() float64 {
	typical := c.f.state.typicalTime(c.route.Name)
	if typical == 0 || c.route.TargetLatency <= 0 {
		return defaultMaxSlowdown
	}
	if c.missesTarget(typical) {
		return lateMaxSlowdown
	}
	return max(1, float64(c.timeToTarget())/(typicalTimeMargin*float64(typical)))
}

// searchForWaiters probes upstreams of the pool and assigns them to queued
// calls until the queue is empty.
func (f *Forwarder) searchForWaiters(pool string) {
	ctx := context.Background()
	for f.continueSearch(pool) {
		res, _ := f.search(ctx, pool, nil, probesPerQueueSearch, balance.Requirements{MaxSlowdown: queueMaxSlowdown})
		given := res.conn != nil && f.assignOrRelease(pool, res)
		f.state.dismissRateLimited(pool)
		if !given {
			wait.For(ctx, queueSearchInterval)
		}
	}
}

// permitTooLate reports whether the pool has only upstreams with a rate limit and
// the search for its queued calls will get no permit by startBy for the call after
// the given number of others. It returns the wait for that permit. st.mu must be
// held.
func (st *state) permitTooLate(now time.Duration, pool string, exclude []string, ahead int, startBy time.Duration) (time.Duration, bool) {
	wait, limited := st.balancer.PermitWait(now, pool, exclude, ahead, unitsPerLimitedRequest)
	return wait, limited && now+wait+queueSearchInterval > startBy
}

// dismissRateLimited removes from the queue of the pool the calls that can only be
// sent with a permit and for which none is expected in time, and all calls if all
// upstreams leave or pause.
func (st *state) dismissRateLimited(pool string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.dismissPaused(pool)
	now := st.now()
	q := st.queue(pool)
	kept := 0
	for _, id := range q.waiters.RemoveAll(func(w balance.Waiter) bool {
		if _, late := st.permitTooLate(now, pool, w.Exclude, kept, w.StartBy); late {
			return true
		}
		kept++
		return false
	}) {
		q.reservations[id] <- reservation{}
		delete(q.reservations, id)
	}
}

// continueSearch reports whether calls still wait for the pool. Otherwise it
// marks the search as ended, so that the next call to join starts a new one.
func (f *Forwarder) continueSearch(pool string) bool {
	st := f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	q := st.queue(pool)
	q.searching = q.waiters.Len() > 0
	return q.searching
}

// assignOrRelease assigns the reservation to the next queued call, or releases
// it if no queued call can use it. It reports whether it was assigned.
func (f *Forwarder) assignOrRelease(pool string, res reservation) bool {
	st := f.state
	st.mu.Lock()
	given := st.queue(pool).assign(st.now(), res)
	st.mu.Unlock()
	if !given {
		f.releaseUnused(res)
	}
	return given
}

// assign hands the reservation to the next waiter that can use it and reports
// whether there was one. The lock of the state must be held.
func (q *poolQueue) assign(now time.Duration, res reservation) bool {
	waiter, ok := q.waiters.Dequeue(now, res.choice.Upstream.ID, res.choice.Load.Slowdown())
	if !ok {
		return false
	}
	q.reservations[waiter.ID] <- res
	delete(q.reservations, waiter.ID)
	return true
}

// releaseAfterResponse releases a connection whose response has been read to
// its end. If the upstream still has room, the connection goes to the next
// queued call.
func (f *Forwarder) releaseAfterResponse(pool string, id string, load string, conn *upstreamconn.Conn, x *upstreamconn.Exchange) {
	if !f.conns.PrepareReuse(conn, x) {
		return
	}
	if !f.assignConn(pool, id, load, conn) {
		f.conns.PutIdle(conn)
	}
}

// assignConn records the load that the upstream reported with its response and,
// if the upstream has room, assigns the connection to the next queued call. It
// reports whether it did.
func (f *Forwarder) assignConn(pool string, id string, load string, conn *upstreamconn.Conn) bool {
	st := f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.now()
	if l, ok := f.opts.Headers.ParseLoad(load); ok {
		st.balancer.RecordResponseLoad(now, id, l)
	}
	q := st.queue(pool)
	if q.waiters.Len() == 0 {
		return false
	}
	choice, ok := st.balancer.ChooseOne(now, id)
	if !ok || !q.assign(now, reservation{choice: choice, conn: conn}) {
		return false
	}
	st.countStart(choice)
	return true
}
