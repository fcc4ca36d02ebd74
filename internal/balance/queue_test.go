package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A burst meets upstreams that free one slot every 100 ms. Requests that can
// start in time wait; the others are rejected at once with the time that they
// would have waited.
func TestBurstIsRejectedOnArrivalWithPredictedWait(t *testing.T) {
	var q Queue
	now := time.Duration(0)
	waiting, rejected := 0, 0
	var lastPredicted time.Duration
	for id := range uint64(200) {
		now += 10 * ms
		wait, ok := q.Enqueue(now, Waiter{ID: id, StartBy: now + 500*ms})
		if ok {
			waiting++
		} else {
			rejected++
			lastPredicted = wait
		}
		if now%(100*ms) == 0 {
			if _, ok := q.Dequeue(now, "u", 1); ok {
				q.RecordStart(now)
			}
		}
	}
	assert.Assert(t, rejected > 100, "%d rejected", rejected)
	assert.Assert(t, lastPredicted > 500*ms && lastPredicted < 5*time.Second, "predicted wait %s", lastPredicted)
	remaining := 0
	for ; q.Len() > 0 && now < 10*time.Second; now += 100 * ms {
		if _, ok := q.Dequeue(now, "u", 1); !ok {
			break
		}
		remaining++
	}
	assert.Assert(t, remaining <= 60, "%d still waiting", remaining)
}

// A long overload with two priorities: the higher one goes first, and the lower
// one is still served.
func TestHighPriorityGoesFirstWithoutStarvingLowPriority(t *testing.T) {
	var q Queue
	started := map[int]int{}
	now := time.Duration(0)
	for id := range uint64(3000) {
		now += 10 * ms
		q.Enqueue(now, Waiter{ID: id, Priority: 1 + int(id%2), StartBy: now + 400*ms})
		if id%3 == 0 {
			if w, ok := q.Dequeue(now, "u", 1); ok {
				q.RecordStart(now)
				started[w.Priority]++
			}
		}
		if id >= 40 {
			q.Remove(id - 40)
		}
	}
	// With equal numbers of both, the lower priority gets at least a quarter of
	// the average number of starts.
	assert.Assert(t, started[1] > started[2], "%v", started)
	assert.Assert(t, started[2]*4 >= (started[1]+started[2])/2, "%v", started)
}

func TestDequeueRespectsDeadlineAndExcludedUpstreams(t *testing.T) {
	var q Queue
	q.Enqueue(0, Waiter{ID: 1, StartBy: 100 * ms, ServiceTime: 100 * ms, Exclude: []string{"bad"}})
	_, ok := q.Dequeue(0, "bad", 1)
	assert.Assert(t, !ok)
	_, ok = q.Dequeue(50*ms, "u", 1.7)
	assert.Assert(t, !ok, "work that takes 70 ms longer cannot start 50 ms before StartBy")
	w, ok := q.Dequeue(50*ms, "u", 1)
	assert.Assert(t, ok && w.ID == 1)
	assert.Assert(t, !q.Remove(1))
}

func TestNoWaitIsPredictedForARecentlyFilledQueue(t *testing.T) {
	var q Queue
	_, ok := q.Enqueue(time.Hour, Waiter{ID: 1, StartBy: time.Hour + ms})
	assert.Assert(t, ok)
	_, ok = q.Enqueue(time.Hour+minStartRateWindow/2, Waiter{ID: 2, StartBy: time.Hour + minStartRateWindow/2 + ms})
	assert.Assert(t, ok, "no start was recorded, but the queue has been non-empty too briefly")
	_, ok = q.Enqueue(time.Hour+2*minStartRateWindow, Waiter{ID: 3, StartBy: time.Hour + 2*minStartRateWindow + ms})
	assert.Assert(t, ok, "the waiters ahead have passed StartBy")
	_, ok = q.Enqueue(time.Hour+2*minStartRateWindow, Waiter{ID: 4, StartBy: time.Hour + 2*minStartRateWindow + ms})
	assert.Assert(t, !ok)
}

// Draws random sequences of operations and checks that each waiter is either
// dequeued or removed, once.
func TestEachWaiterIsStartedOrRemovedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		waiting := map[uint64]bool{}
		now, next := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				next++
				w := Waiter{ID: next, Priority: rapid.IntRange(0, 3).Draw(t, "priority"), StartBy: now + 300*ms}
				if _, ok := q.Enqueue(now, w); ok {
					waiting[next] = true
				}
			case 1:
				if w, ok := q.Dequeue(now, "u", 1); ok {
					assert.Assert(t, waiting[w.ID] && now <= w.StartBy)
					delete(waiting, w.ID)
					q.RecordStart(now)
				}
			case 2:
				id := uint64(rapid.IntRange(0, int(next)).Draw(t, "remove"))
				assert.Equal(t, q.Remove(id), waiting[id])
				delete(waiting, id)
			}
			assert.Equal(t, q.Len(), len(waiting))
		}
	})
}

// During an overload, rejected callers retry. Free slots must go to requests
// that can still meet their target.
func TestLateWaitersAreDequeuedLast(t *testing.T) {
	var q Queue
	q.Enqueue(0, Waiter{ID: 1, Late: true, StartBy: time.Minute})
	q.Enqueue(0, Waiter{ID: 2, Priority: 9, StartBy: time.Minute})
	q.Enqueue(0, Waiter{ID: 3, Priority: 1, Late: true, StartBy: time.Minute})
	q.Enqueue(0, Waiter{ID: 4, Priority: 1, StartBy: time.Minute})
	assert.Equal(t, q.PredictWait(time.Second, false, 1), time.Second*3/2, "late waiters are not counted")
	assert.Equal(t, q.PredictWait(time.Second, true, 0), 3*time.Second*3/2)
	lateCount := 0
	for n := range 4 {
		w, ok := q.Dequeue(time.Second, "u", 1)
		assert.Assert(t, ok)
		if w.Late {
			lateCount++
		}
		assert.Equal(t, lateCount > 0, n >= 2)
	}
}
