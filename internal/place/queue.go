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
	// Late is set when the request misses its target already. It starts only
	// when none waits that can be in time: one that is in time is worth far more
	// to its caller.
	Late bool
	// StartBy is the last moment at which a start still makes its target.
	StartBy time.Duration
	// ServiceTime is the usual time of the work.
	ServiceTime time.Duration
	// Exclude lists the upstreams that the request must not go to.
	Exclude []string
}

// Constants of the line.
const (
	// rateSpan is the span over which starts are counted, to predict waits.
	rateSpan = time.Second
	// rateAfter is how long a line must last before its rate of starts says
	// anything of the room at the upstreams.
	rateAfter = 200 * time.Millisecond
	// turnOfOthers is the number of starts of which one goes to the least urgent
	// waiters, so that none starves while urgent ones alone exceed the room.
	turnOfOthers = 3
)

// Queue is the queue of one pool at one entry VM. It turns away, on arrival, a
// request that could not start in time behind the more urgent ones, so that it
// learns at once and can come back while it still has time. It is not safe for
// concurrent use.
type Queue struct {
	waiters []Waiter
	// since is when the line last began.
	since time.Duration
	// starts holds the times of the starts while the line lasts.
	starts []time.Duration
	turns  int
}

// Len returns the number of waiters.
func (l *Queue) Len() int { return len(l.waiters) }

// RecordStart counts a start of a request of the pool, of one that has waited or
// of one that has not.
func (l *Queue) RecordStart(now time.Duration) {
	if len(l.waiters) == 0 {
		l.starts = l.starts[:0]
		return
	}
	l.forget(now)
	l.starts = append(l.starts, now)
}

func (l *Queue) forget(now time.Duration) {
	old := 0
	for old < len(l.starts) && l.starts[old] <= now-rateSpan {
		old++
	}
	l.starts = l.starts[old:]
}

// Predict returns how long a request of the priority would wait for its start:
// the waiters of its priority that are before it, over the part of the starts,
// while the line has lasted, that goes to them. The first one always waits: few
// entry VMs start often enough for a prediction that is shorter than one pause
// between starts. It returns 0 while that says nothing.
func (l *Queue) Predict(now time.Duration, late bool, priority int) time.Duration {
	span := min(now-l.since, rateSpan)
	if len(l.waiters) == 0 || span < rateAfter {
		return 0
	}
	l.forget(now)
	ahead, moreUrgent, lessUrgent := 0, false, false
	for _, w := range l.waiters {
		switch {
		case now > w.StartBy, w.Late && !late:
		case late && !w.Late, w.Priority == priority:
			ahead++
		case w.Priority < priority:
			moreUrgent = true
		default:
			lessUrgent = true
		}
	}
	wait := span * time.Duration(ahead) / time.Duration(max(1, len(l.starts)))
	switch {
	case moreUrgent:
		return wait * turnOfOthers
	case lessUrgent:
		return wait * turnOfOthers / (turnOfOthers - 1)
	}
	return wait
}

// Enqueue adds a waiter. It reports false, with the predicted wait, when the
// waiter could not start in time.
func (l *Queue) Enqueue(now time.Duration, w Waiter) (wait time.Duration, ok bool) {
	wait = l.Predict(now, w.Late, w.Priority)
	if now+wait > w.StartBy {
		return wait, false
	}
	if len(l.waiters) == 0 {
		l.since, l.starts = now, l.starts[:0]
	}
	l.waiters = append(l.waiters, w)
	return wait, true
}

// Dequeue removes and returns the waiter to start at the upstream, where work takes
// factor times as long as usual.
func (l *Queue) Dequeue(now time.Duration, upstream string, factor float64) (Waiter, bool) {
	best := -1
	for i, w := range l.waiters {
		longer := time.Duration((factor - 1) * float64(w.ServiceTime))
		if now+max(0, longer) > w.StartBy || slices.Contains(w.Exclude, upstream) {
			continue
		}
		if best < 0 || l.before(w, l.waiters[best]) {
			best = i
		}
	}
	if best < 0 {
		return Waiter{}, false
	}
	l.turns++
	w := l.waiters[best]
	l.waiters = slices.Delete(l.waiters, best, best+1)
	return w, true
}

// before orders two waiters: those that can be in time first, then by priority,
// then by the time left. One turn of a few goes to the least urgent.
func (l *Queue) before(a, b Waiter) bool {
	if a.Late != b.Late {
		return b.Late
	}
	if a.Priority == b.Priority {
		return a.StartBy < b.StartBy
	}
	return (a.Priority < b.Priority) == (l.turns%turnOfOthers != 0)
}

// Remove removes a waiter that no longer waits. It reports false when the
// waiter has been started meanwhile.
func (l *Queue) Remove(id uint64) bool {
	at := slices.IndexFunc(l.waiters, func(w Waiter) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	l.waiters = slices.Delete(l.waiters, at, at+1)
	return true
}
