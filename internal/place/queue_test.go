package place

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestBurstIsTurnedAwayOnArrival replays a burst on upstreams that free one
// slot every 100 ms: those who could start in time wait, the others are told
// at once, and how long they would have waited.
func TestBurstIsTurnedAwayOnArrival(t *testing.T) {
	var l Queue
	now := time.Duration(0)
	waiting, refused := 0, 0
	var told time.Duration
	for id := range uint64(200) {
		now += 10 * ms
		wait, ok := l.Enqueue(now, Waiter{ID: id, StartBy: now + 500*ms})
		if ok {
			waiting++
		} else {
			refused++
			told = wait
		}
		if now%(100*ms) == 0 {
			if _, ok := l.Dequeue(now, "u", 1); ok {
				l.RecordStart(now)
			}
		}
	}
	assert.Assert(t, refused > 100, "%d refused", refused)
	assert.Assert(t, told > 500*ms && told < 5*time.Second, "told %s", told)
	late := 0
	for ; l.Len() > 0 && now < 10*time.Second; now += 100 * ms {
		if _, ok := l.Dequeue(now, "u", 1); !ok {
			break
		}
		late++
	}
	assert.Assert(t, late <= 60, "%d still waited", late)
}

// TestUrgentGoFirstAndNobodyStarves replays a long overload with two
// priorities.
func TestUrgentGoFirstAndNobodyStarves(t *testing.T) {
	var l Queue
	started := map[int]int{}
	now := time.Duration(0)
	for id := range uint64(3000) {
		now += 10 * ms
		l.Enqueue(now, Waiter{ID: id, Priority: 1 + int(id%2), StartBy: now + 400*ms})
		if id%3 == 0 {
			if w, ok := l.Dequeue(now, "u", 1); ok {
				l.RecordStart(now)
				started[w.Priority]++
			}
		}
		if id >= 40 {
			l.Remove(id - 40)
		}
	}
	// Served at least a quarter as often as all, with equal numbers of both.
	assert.Assert(t, started[1] > started[2], "%v", started)
	assert.Assert(t, started[2]*4 >= (started[1]+started[2])/2, "%v", started)
}

func TestNextKeepsToWhatAWaiterAllows(t *testing.T) {
	var l Queue
	l.Enqueue(0, Waiter{ID: 1, StartBy: 100 * ms, ServiceTime: 100 * ms, Exclude: []string{"bad"}})
	_, ok := l.Dequeue(0, "bad", 1)
	assert.Assert(t, !ok)
	_, ok = l.Dequeue(50*ms, "u", 1.7)
	assert.Assert(t, !ok, "work that takes 70 ms longer cannot start 50 ms before the last moment")
	w, ok := l.Dequeue(50*ms, "u", 1)
	assert.Assert(t, ok && w.ID == 1)
	assert.Assert(t, !l.Remove(1))
}

func TestAShortLineSaysNothingOfTheRate(t *testing.T) {
	var l Queue
	_, ok := l.Enqueue(time.Hour, Waiter{ID: 1, StartBy: time.Hour + ms})
	assert.Assert(t, ok)
	_, ok = l.Enqueue(time.Hour+rateAfter/2, Waiter{ID: 2, StartBy: time.Hour + rateAfter/2 + ms})
	assert.Assert(t, ok, "no start has been seen, but the line is young")
	_, ok = l.Enqueue(time.Hour+2*rateAfter, Waiter{ID: 3, StartBy: time.Hour + 2*rateAfter + ms})
	assert.Assert(t, ok, "those before it cannot start any more")
	_, ok = l.Enqueue(time.Hour+2*rateAfter, Waiter{ID: 4, StartBy: time.Hour + 2*rateAfter + ms})
	assert.Assert(t, !ok)
}

// TestEveryWaiterEndsOnce draws histories and checks that each waiter is
// started or leaves, once.
func TestEveryWaiterEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Queue
		here := map[uint64]bool{}
		now, next := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				next++
				w := Waiter{ID: next, Priority: rapid.IntRange(0, 3).Draw(t, "priority"), StartBy: now + 300*ms}
				if _, ok := l.Enqueue(now, w); ok {
					here[next] = true
				}
			case 1:
				if w, ok := l.Dequeue(now, "u", 1); ok {
					assert.Assert(t, here[w.ID] && now <= w.StartBy)
					delete(here, w.ID)
					l.RecordStart(now)
				}
			case 2:
				id := uint64(rapid.IntRange(0, int(next)).Draw(t, "leaves"))
				assert.Equal(t, l.Remove(id), here[id])
				delete(here, id)
			}
			assert.Equal(t, l.Len(), len(here))
		}
	})
}

// TestLateWaitersAreLast replays an overload in which refused callers come
// back: the room goes to those that can still be in time.
func TestLateWaitersAreLast(t *testing.T) {
	var l Queue
	l.Enqueue(0, Waiter{ID: 1, Late: true, StartBy: time.Minute})
	l.Enqueue(0, Waiter{ID: 2, Priority: 9, StartBy: time.Minute})
	l.Enqueue(0, Waiter{ID: 3, Priority: 1, Late: true, StartBy: time.Minute})
	l.Enqueue(0, Waiter{ID: 4, Priority: 1, StartBy: time.Minute})
	assert.Equal(t, l.Predict(time.Second, false, 1), time.Second*3/2, "late waiters are not before it")
	assert.Equal(t, l.Predict(time.Second, true, 0), 3*time.Second*3/2)
	last := 0
	for n := range 4 {
		w, ok := l.Dequeue(time.Second, "u", 1)
		assert.Assert(t, ok)
		if w.Late {
			last++
		}
		assert.Equal(t, last > 0, n >= 2)
	}
}
