package forward

import (
	"sync"
	"time"
)

// Bounds of the wait before a second attempt is made in parallel.
const (
	// hedgePermille is the wait as a multiple of the mean time of an answer. A
	// tenth of exponential times is longer.
	hedgePermille = 2300
	minHedgeDelay = 5 * time.Millisecond
	// paceSamples is the number of answers before the mean counts, and
	// paceWeight the weight of one more answer.
	paceSamples = 20
	paceWeight  = 1.0 / 32
)

// paces holds the mean time of an answer, by service.
type paces struct {
	mu    sync.Mutex
	means map[string]pace
}

// pace is the mean time of the answers of one service.
type pace struct {
	mean    float64
	samples int
}

func newPaces() *paces { return &paces{means: make(map[string]pace)} }

// add takes in the time of one answer, or of an attempt that was given up.
func (p *paces) add(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.means[service]
	m.samples++
	weight := max(paceWeight, 1/float64(m.samples))
	m.mean += weight * (float64(took) - m.mean)
	p.means[service] = m
}

// hedgeAfter returns the wait before a second attempt; it reports false while
// too few answers are known.
func (p *paces) hedgeAfter(service string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.means[service]
	if m.samples < paceSamples {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(m.mean*hedgePermille/1000)), true
}
