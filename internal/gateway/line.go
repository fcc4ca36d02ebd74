package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/place"
	"balsamcourse.example/balsamcourse/internal/upconn"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// rounds is the number of searches, among other upstreams each time, before
	// a request waits. Four rounds of two find room at the loads of usual
	// days.
	rounds = 4
	// searchFactor bounds the speed of the upstreams that a search for waiters
	// takes: a slot above the knee, but none in a slow spell.
	searchFactor = 2
	// lateFactor does so for a request that will be late anyway.
	lateFactor = 2
	// unknownFactor does so for a route whose usual time is not known yet.
	unknownFactor = 2
	// searchPause is the time between two searches for the waiters of a pool.
	// Asking costs slots of upstreams that are scarce then; what falls free at
	// this entry VM is handed on without being asked for.
	searchPause = 50 * time.Millisecond
	// askedInSearch is the number of upstreams asked in such a search.
	askedInSearch = 2
	// usualMargin is the factor on the usual time of an answer that is kept
	// free before the target.
	usualMargin = 1.1
	// lateWait is the part of the time that is left which a late call waits. It
	// leaves time for the work and for one more attempt elsewhere.
	lateWait = 2
	// leastWait is the part of the target that a request may always wait.
	leastWait = 8
)

// poolLine holds the waiters of one pool.
type poolLine struct {
	line place.Queue
	// spots holds a channel for each waiter, which gets its spot.
	spots map[uint64]chan spot
	// searching is set while a search for the waiters is under way.
	searching bool
}

// line returns the line of a pool. The caller holds the lock.
func (w *world) line(pool string) *poolLine {
	l := w.lines[pool]
	if l == nil {
		l = &poolLine{spots: make(map[uint64]chan spot)}
		w.lines[pool] = l
	}
	return l
}

// seek finds an upstream with room, or returns the refusal. While others wait,
// a request joins them without a search of its own.
func (c *call) seek() (spot, error) {
	begun := time.Now()
	defer func() { c.waited += time.Since(begun) }()
	w := c.f.world
	w.mu.Lock()
	busy := w.line(c.pool).line.Len() > 0
	w.mu.Unlock()
	if busy {
		return c.waitInLine()
	}
	avoid := slices.Clone(c.avoid)
	for range rounds {
		c.searches++
		s, seen := c.f.search(c.ctx, c.pool, avoid, asked, c.need(c.maxFactor()))
		switch {
		case c.ctx.Err() != nil:
			c.f.giveBack(s)
			return spot{}, c.outOfTime()
		case s.conn != nil:
			return s, nil
		case len(seen) == 0 && len(avoid) == len(c.avoid):
			return spot{}, c.noUpstream()
		}
		avoid = append(avoid, seen...)
	}
	return c.waitInLine()
}

// noUpstream is the refusal when no upstream may get the request.
func (c *call) noUpstream() error {
	w := c.f.world
	w.mu.Lock()
	open, ready := w.board.CountUpstreams(w.now(), c.pool)
	w.mu.Unlock()
	return fault.After(fault.NoUpstream, c.comeBack(0), "pool %q: %d upstreams open, %d ready, %d tried", c.pool, open, ready, len(c.avoid))
}

// search asks some upstreams of the pool and returns which.
func (f *Forwarder) search(ctx context.Context, pool string, avoid []string, n int, need place.Requirements) (s spot, seen []string) {
	w := f.world
	w.mu.Lock()
	candidates := w.board.Candidates(w.now(), pool, avoid, n, rand.Float64)
	w.mu.Unlock()
	if len(candidates) == 0 {
		return spot{}, nil
	}
	for _, c := range candidates {
		seen = append(seen, c.ID)
	}
	return f.ask(ctx, candidates, need), seen
}

// begin counts a request at the chosen upstream. The caller holds the lock.
func (w *world) begin(c place.Choice) {
	w.board.RecordStart(c.At, c.Upstream.ID)
	w.line(c.Upstream.Pool).line.RecordStart(c.At)
}

// giveBack ends the use of a spot that no request was sent to.
func (f *Forwarder) giveBack(s spot) {
	if s.conn == nil {
		return
	}
	f.world.mu.Lock()
	f.world.board.RecordEnd(s.choice.Upstream.ID, s.choice.At)
	f.world.mu.Unlock()
	f.conns.Release(s.conn, nil)
}

// waitInLine waits until an upstream has room. It turns the call away at once
// when that would be too late.
func (c *call) waitInLine() (spot, error) {
	f, w := c.f, c.f.world
	id := f.waiters.Add(1)
	ch := make(chan spot, 1)
	w.mu.Lock()
	now := w.now()
	l := w.line(c.pool)
	work := w.paces[c.route.Name]
	startBy := now + c.mayWait(work)
	wait, ok := l.line.Enqueue(now, place.Waiter{
		ID: id, Priority: c.route.Priority, Late: c.late(work), StartBy: startBy, ServiceTime: work, Exclude: c.avoid,
	})
	search := ok && !l.searching
	if ok {
		l.spots[id] = ch
		l.searching = true
	}
	w.mu.Unlock()
	if !ok {
		return spot{}, fault.After(fault.QueueFull, c.comeBack(wait), "pool %q: a wait of %s", c.pool, wait)
	}
	if search {
		go f.searchFor(c.pool)
	}
	timer := time.NewTimer(startBy - now)
	defer timer.Stop()
	select {
	case s := <-ch:
		return s, nil
	case <-timer.C:
	case <-c.ctx.Done():
	}
	return c.leaveLine(id, ch, wait)
}

// leaveLine ends the wait. A spot that came at the last moment is used.
func (c *call) leaveLine(id uint64, ch <-chan spot, wait time.Duration) (spot, error) {
	w := c.f.world
	w.mu.Lock()
	l := w.line(c.pool)
	left := l.line.Remove(id)
	delete(l.spots, id)
	w.mu.Unlock()
	if !left {
		s := <-ch
		if c.ctx.Err() == nil {
			return s, nil
		}
		c.f.giveBack(s)
	}
	if c.ctx.Err() != nil {
		return spot{}, c.outOfTime()
	}
	// Late, but served.
	if s, _ := c.f.search(c.ctx, c.pool, c.avoid, asked, c.need(lateFactor)); s.conn != nil {
		return s, nil
	}
	return spot{}, fault.After(fault.QueueFull, c.comeBack(wait), "pool %q: no room in time", c.pool)
}

// mayWait is how long the call may wait for its start and still be answered
// within its target, which counts from the caller's first attempt. A caller
// that is late already waits for a part of the time that it has left.
func (c *call) mayWait(usual time.Duration) time.Duration {
	if c.late(usual) {
		return time.Until(c.deadline) / lateWait
	}
	need := time.Duration(usualMargin * float64(usual))
	return max(c.targetLeft()-need, c.route.TargetLatency/leastWait)
}

// targetLeft is what is left of the target, or of the caller's time where that
// ends before.
func (c *call) targetLeft() time.Duration {
	left := time.Until(c.deadline)
	if c.route.TargetLatency <= 0 {
		return left
	}
	return min(left, c.route.TargetLatency-c.spent-time.Since(c.arrived))
}

// late reports whether an answer in the usual time would miss the target.
func (c *call) late(usual time.Duration) bool { return c.targetLeft() < usual }

func (c *call) need(maxFactor float64) place.Requirements {
	return place.Requirements{MaxSlowdown: maxFactor, Bytes: c.body.length}
}

// maxFactor is how much longer than usual the work may take for an answer
// within the target.
func (c *call) maxFactor() float64 {
	usual := c.f.world.usual(c.route.Name)
	if usual == 0 || c.route.TargetLatency <= 0 {
		return unknownFactor
	}
	if c.late(usual) {
		return lateFactor
	}
	return max(1, float64(c.targetLeft())/(usualMargin*float64(usual)))
}

// searchFor asks upstreams for those who wait, until nobody does.
func (f *Forwarder) searchFor(pool string) {
	ctx := context.Background()
	for {
		s, _ := f.search(ctx, pool, nil, askedInSearch, place.Requirements{MaxSlowdown: searchFactor})
		if s.conn != nil {
			f.handOn(pool, s)
		}
		if !f.stillSearching(pool) {
			return
		}
		if s.conn == nil {
			wait.For(ctx, searchPause)
		}
	}
}

func (f *Forwarder) stillSearching(pool string) bool {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.line(pool)
	l.searching = l.line.Len() > 0
	return l.searching
}

// handOn gives a spot to the waiter whose turn it is, or back to the pool.
func (f *Forwarder) handOn(pool string, s spot) {
	w := f.world
	w.mu.Lock()
	given := w.line(pool).give(w.now(), s)
	w.mu.Unlock()
	if !given {
		f.giveBack(s)
	}
}

// give gives a spot to the waiter whose turn it is, if there is one.
func (l *poolLine) give(now time.Duration, s spot) bool {
	waiter, ok := l.line.Dequeue(now, s.choice.Upstream.ID, s.choice.Load.Slowdown())
	if !ok {
		return false
	}
	l.spots[waiter.ID] <- s
	delete(l.spots, waiter.ID)
	return true
}

// free ends the use of a connection after a whole answer. When others wait and
// the upstream has room, it goes to the next of them.
func (f *Forwarder) free(pool string, id string, load string, conn *upconn.Conn, x *upconn.Exchange) {
	if !f.conns.PrepareReuse(conn, x) {
		return
	}
	if !f.passOn(pool, id, load, conn) {
		f.conns.PutIdle(conn)
	}
}

// passOn takes in the load that an upstream has told with its answer, and gives
// the connection to the next waiter if there is room.
func (f *Forwarder) passOn(pool string, id string, load string, conn *upconn.Conn) bool {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if l, ok := f.opts.Headers.ParseLoad(load); ok {
		w.board.RecordResponseLoad(now, id, l)
	}
	l := w.line(pool)
	if l.line.Len() == 0 {
		return false
	}
	choice, ok := w.board.ChooseOne(now, id)
	if !ok || !l.give(now, spot{choice: choice, conn: conn}) {
		return false
	}
	w.begin(choice)
	return true
}
