package dispatch

import "time"

// waiter is a queued request.
type waiter struct {
	key      RequestKey
	deadline time.Duration
	// latestGrant is the time after which a grant would come too late.
	latestGrant time.Duration
	// avoid lists ids of upstreams that must not be granted.
	avoid []string
	// weight is 1/n for a request queued in n cells, since only one of them is
	// expected to serve it.
	weight float64
}

// queue holds waiters in order of arrival.
type queue struct {
	items []waiter
	// totalWeight is the sum of the waiters' weights.
	totalWeight float64
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) at(i int) *waiter { return &q.items[i] }

func (q *queue) push(w waiter) {
	q.items = append(q.items, w)
	q.totalWeight += w.weight
}

func (q *queue) remove(i int) waiter {
	w := q.items[i]
	last := len(q.items) - 1
	copy(q.items[i:], q.items[i+1:])
	q.items[last] = waiter{}
	q.items = q.items[:last]
	q.totalWeight -= w.weight
	if last == 0 {
		q.totalWeight = 0
	}
	return w
}

func (q *queue) contains(k RequestKey) bool { return q.index(k) >= 0 }

// index returns the position of the request with key k, or -1.
func (q *queue) index(k RequestKey) int {
	for i := range q.items {
		if q.items[i].key == k {
			return i
		}
	}
	return -1
}
