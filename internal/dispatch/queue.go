package dispatch

import "time"

// waiter is a request that waits for a slot.
type waiter struct {
	key      RequestKey
	deadline time.Duration
	until    time.Duration
	avoid    []string
	// share is the part of the request that is expected to be served here.
	share float64
}

// queue holds waiters in order of arrival.
type queue struct {
	items []waiter
	// work is the sum of the shares.
	work float64
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) at(i int) *waiter { return &q.items[i] }

func (q *queue) push(w waiter) {
	q.items = append(q.items, w)
	q.work += w.share
}

func (q *queue) remove(i int) waiter {
	w := q.items[i]
	last := len(q.items) - 1
	copy(q.items[i:], q.items[i+1:])
	q.items[last] = waiter{}
	q.items = q.items[:last]
	q.work -= w.share
	if last == 0 {
		q.work = 0
	}
	return w
}

func (q *queue) has(k RequestKey) bool { return q.find(k) >= 0 }

func (q *queue) find(k RequestKey) int {
	for i := range q.items {
		if q.items[i].key == k {
			return i
		}
	}
	return -1
}
