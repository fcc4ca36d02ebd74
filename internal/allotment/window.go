package allotment

import "time"

// windowSlots is the number of periods into which a window is divided to count the
// permits issued in it. A permit counts until the period in which it was issued has left
// the window as a whole.
const windowSlots = 50

// windowCount counts the permits issued in a sliding window.
type windowCount struct {
	slots [windowSlots + 1]float64
	// period is the number of the newest slot, length the duration of one.
	period int64
	length time.Duration
	sum    float64
}

func newWindowCount(window time.Duration) *windowCount {
	return &windowCount{length: max(1, window/windowSlots)}
}

// advance drops what has left the window.
func (w *windowCount) advance(now time.Duration) {
	period := int64(now / w.length)
	for p := max(w.period+1, period-windowSlots); p <= period; p++ {
		slot := &w.slots[p%int64(len(w.slots))]
		w.sum -= *slot
		*slot = 0
	}
	w.period = max(w.period, period)
}

// add counts n permits as issued now.
func (w *windowCount) add(n float64) {
	w.slots[w.period%int64(len(w.slots))] += n
	w.sum += n
}

// takeBack no longer counts n permits, of those that were issued within the last age. The
// oldest of them are dropped, so that the others count for as long as any that may be used.
func (w *windowCount) takeBack(n float64, age time.Duration) {
	for p := max(0, w.period-int64(age/w.length)-1); p <= w.period && n > 0; p++ {
		slot := &w.slots[p%int64(len(w.slots))]
		taken := min(*slot, n)
		*slot -= taken
		w.sum -= taken
		n -= taken
	}
}

// scale multiplies the counts, when the limit changes.
func (w *windowCount) scale(factor float64) {
	w.sum = 0
	for i := range w.slots {
		w.slots[i] *= factor
		w.sum += w.slots[i]
	}
}

// until returns the time from now until the count has fallen to most.
func (w *windowCount) until(now time.Duration, most float64) time.Duration {
	left := w.sum
	for p := max(0, w.period-windowSlots); p <= w.period && left > most; p++ {
		left -= w.slots[p%int64(len(w.slots))]
		if left <= most {
			return max(0, time.Duration(p+windowSlots+1)*w.length-now)
		}
	}
	return 0
}
