package balance

import (
	"slices"
	"time"
)

// Waiter is a request that waits for a free slot at the upstreams of a pool.
type Waiter struct {
	ID uint64
	// Priority orders waiters; 0 is the highest.
	Priority int
	// Late is set when the request can no longer meet its latency target. It is
	// dequeued only when no other waiter can be started, as a response within
	// the target is worth far more to the caller, and only for an upstream with room
	// to spare, as requests that can still be in time wait at other entry VMs.
	Late bool
	// StartBy is the latest start time at which the request meets its latency
	// target.
	StartBy time.Duration
	// ServiceTime is the usual execution time of the request.
	ServiceTime time.Duration
	// Exclude lists the upstreams that the request must not be sent to.
	Exclude []string
}

// Parameters of the queue.
const (
	// startRateWindow is the sliding window over which starts are counted to
	// predict waiting times.
	startRateWindow = time.Second
	// minStartRateWindow is how long the queue must have been non-empty before
	// its rate of starts is used as an estimate of the capacity.
	minStartRateWindow = 200 * time.Millisecond
	// lowPriorityInterval is the number of dequeues of which one goes to the
	// lowest priority, so that it does not starve while higher priorities alone
	// exceed the capacity.
	lowPriorityInterval = 3
)

// Queue holds the waiting requests of one pool at one entry VM. It rejects on
// arrival a request that could not be started in time behind those of higher
// priority, so that the caller learns this at once and can retry in time. It is
// not safe for concurrent use.
type Queue struct {
	waiters []Waiter
	// nonEmptySince is when the queue last became non-empty.
	nonEmptySince time.Duration
	// starts holds the times of recent starts while the queue is non-empty.
	starts []time.Duration
	// dequeued counts the waiters returned by Dequeue.
	dequeued int
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return len(q.waiters) }

// RecordStart records the start of a request of the pool, whether or not it was
// queued.
func (q *Queue) RecordStart(now time.Duration) {
	if len(q.waiters) == 0 {
		q.starts = q.starts[:0]
		return
	}
	q.dropOldStarts(now)
	q.starts = append(q.starts, now)
}

// dropOldStarts removes the starts that have left the window.
func (q *Queue) dropOldStarts(now time.Duration) {
	expired := 0
	for expired < len(q.starts) && q.starts[expired] <= now-startRateWindow {
		expired++
	}
	q.starts = q.starts[expired:]
}

// PredictWait returns the expected waiting time of a new request: the number of
// waiters of its priority ahead of it, divided by the rate of starts that goes
// to this priority. The result is 0 for a request with none ahead, because most
// entry VMs start requests too rarely to predict a wait shorter than the interval
// between two starts, and while there is no estimate of the rate.
func (q *Queue) PredictWait(now time.Duration, late bool, priority int) time.Duration {
	window := min(now-q.nonEmptySince, startRateWindow)
	if len(q.waiters) == 0 || window < minStartRateWindow {
		return 0
	}
	q.dropOldStarts(now)
	ahead, moreUrgent, lessUrgent := 0, false, false
	for _, w := range q.waiters {
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
	wait := window * time.Duration(ahead) / time.Duration(max(1, len(q.starts)))
	switch {
	case moreUrgent:
		return wait * lowPriorityInterval
	case lessUrgent:
		return wait * lowPriorityInterval / (lowPriorityInterval - 1)
	}
	return wait
}

// Enqueue adds a waiter and returns its predicted waiting time. It reports
// false, and does not add the waiter, if that time ends after StartBy.
func (q *Queue) Enqueue(now time.Duration, w Waiter) (wait time.Duration, ok bool) {
	wait = q.PredictWait(now, w.Late, w.Priority)
	if now+wait > w.StartBy {
		return wait, false
	}
	if len(q.waiters) == 0 {
		q.nonEmptySince, q.starts = now, q.starts[:0]
	}
	q.waiters = append(q.waiters, w)
	return wait, true
}

// Dequeue removes and returns the next waiter that can be sent to the upstream
// and started in time there. slowdown is the current Load.Slowdown of the
// upstream. It reports false if there is no such waiter.
func (q *Queue) Dequeue(now time.Duration, upstream string, slowdown float64) (Waiter, bool) {
	best := -1
	for i, w := range q.waiters {
		extra := time.Duration((slowdown - 1) * float64(w.ServiceTime))
		if now+max(0, extra) > w.StartBy || w.Late && slowdown > SpareSlowdown || slices.Contains(w.Exclude, upstream) {
			continue
		}
		if best < 0 || q.before(w, q.waiters[best]) {
			best = i
		}
	}
	if best < 0 {
		return Waiter{}, false
	}
	q.dequeued++
	w := q.waiters[best]
	q.waiters = slices.Delete(q.waiters, best, best+1)
	return w, true
}

// RemoveAll removes the waiters for which remove reports true and returns their
// IDs.
func (q *Queue) RemoveAll(remove func(Waiter) bool) []uint64 {
	var removed []uint64
	q.waiters = slices.DeleteFunc(q.waiters, func(w Waiter) bool {
		if !remove(w) {
			return false
		}
		removed = append(removed, w.ID)
		return true
	})
	return removed
}

// before reports whether a is dequeued before b: requests that can meet their
// target come first, then those of higher priority, then the earlier StartBy.
// In one of every lowPriorityInterval dequeues, lower priorities come first.
func (q *Queue) before(a, b Waiter) bool {
	if a.Late != b.Late {
		return b.Late
	}
	if a.Priority == b.Priority {
		return a.StartBy < b.StartBy
	}
	return (a.Priority < b.Priority) == (q.dequeued%lowPriorityInterval != 0)
}

// Remove removes a waiter. It reports false if the waiter is not in the queue,
// as it has been dequeued before.
func (q *Queue) Remove(id uint64) bool {
	at := slices.IndexFunc(q.waiters, func(w Waiter) bool { return w.ID == id })
	if at < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, at, at+1)
	return true
}
