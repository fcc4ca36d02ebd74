package place

import (
	"slices"
	"time"
)

// Waiter is a request that waits for room at the upstreams of a pool.
type Waiter struct {
	ID uint64
	// Priority orders waiters; 0 goes first.
	Priority int
	// StartBy is the last moment at which a start still makes its target.
	StartBy time.Duration
	// Work is the usual time of the work.
	Work time.Duration
	// Avoid lists the upstreams that the request must not go to.
	Avoid []string
}

// Constants of the line.
const (
	// rateSpan is the span over which starts are counted, to predict waits.
	rateSpan = time.Second
	// rateAfter is how long a line must last before its rate of starts says
	// anything of the room at the upstreams.
	rateAfter = 200 * time.Millisecond
	// turnOfOldest is the number of starts of which one goes to the waiter that
	// must start soonest, whatever its priority, so that none starves.
	turnOfOldest = 5
)

// Line is the queue of one pool at one entry VM. It turns away, on arrival, a
// request that could not start in time behind the more urgent ones, so that it
// learns at once and can come back while it still has time. It is not safe for
// concurrent use.
type Line struct {
	waiters []Waiter
	// since is when the line last began.
	since time.Duration
	// starts holds the times of the starts while the line lasts.
	starts []time.Duration
	turns  int
}

// Len returns the number of waiters.
func (l *Line) Len() int { return len(l.waiters) }

// Started counts a start of a request of the pool, of one that has waited or
// of one that has not.
func (l *Line) Started(now time.Duration) {
	if len(l.waiters) == 0 {
		l.starts = l.starts[:0]
		return
	}
	l.forget(now)
	l.starts = append(l.starts, now)
}

func (l *Line) forget(now time.Duration) {
	old := 0
	for old < len(l.starts) && l.starts[old] <= now-rateSpan {
		old++
	}
	l.starts = l.starts[old:]
}

// Predict returns how long a request of the priority would wait for its start:
// the number of waiters that go first over the rate of starts while the line
// has lasted. It returns 0 while that says nothing.
func (l *Line) Predict(now time.Duration, priority int) time.Duration {
	span := min(now-l.since, rateSpan)
	if len(l.waiters) == 0 || span < rateAfter {
		return 0
	}
	l.forget(now)
	ahead := 0
	for _, w := range l.waiters {
		if w.Priority <= priority {
			ahead++
		}
	}
	return span * time.Duration(ahead+1) / time.Duration(max(1, len(l.starts)))
}

// Join adds a waiter. It reports false, with the predicted wait, when the
// waiter could not start in time.
func (l *Line) Join(now time.Duration, w Waiter) (wait time.Duration, ok bool) {
	wait = l.Predict(now, w.Priority)
	if now+wait > w.StartBy {
		return wait, false
	}
	if len(l.waiters) == 0 {
		l.since, l.starts = now, l.starts[:0]
	}
	l.waiters = append(l.waiters, w)
	return wait, true
}

// Next removes and returns the waiter to start at the upstream, where work takes
// factor times as long as usual.
func (l *Line) Next(now time.Duration, upstream string, factor float64) (Waiter, bool) {
	l.turns++
	best := -1
	for i, w := range l.waiters {
		longer := time.Duration((factor - 1) * float64(w.Work))
		if now+max(0, longer) > w.StartBy || slices.Contains(w.Avoid, upstream) {
			continue
		}
		if best < 0 || l.before(w, l.waiters[best]) {
			best = i
		}
	}
	if best < 0 {
		return Waiter{}, false
	}
	w := l.waiters[best]
	l.waiters = slices.Delete(l.waiters, best, best+1)
	return w, true
}

// before orders two waiters: by priority, then by the time left; every few
// turns by the time left alone.
func (l *Line) before(a, b Waiter) bool {
	if a.Priority != b.Priority && l.turns%turnOfOldest != 0 {
		return a.Priority < b.Priority
	}
	return a.StartBy < b.StartBy
}

// Leave removes a waiter that no longer waits. It reports false when the
// waiter has been started meanwhile.
func (l *Line) Leave(id uint64) bool {
	at := slices.IndexFunc(l.waiters, func(w Waiter) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, at, at+1)
	return true
}
