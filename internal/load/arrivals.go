package load

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// arrivals draws the times of a Poisson process.
type arrivals struct {
	rng *rand.Rand
	gap float64
	at  float64
}

// newArrivals returns arrivals with a mean of rate a second. The same seed
// gives the same times.
func newArrivals(rate float64, seed uint64) *arrivals {
	return &arrivals{
		rng: rand.New(rand.NewPCG(seed, 0)),
		gap: float64(time.Second) / rate,
	}
}

// next returns the time of the next arrival since the start.
func (a *arrivals) next() time.Duration {
	a.at += a.rng.ExpFloat64() * a.gap
	return time.Duration(a.at)
}

// gauge counts the requests in flight.
type gauge struct {
	n atomic.Int64
}

// enter reports false, and counts nothing, at the limit.
func (g *gauge) enter(limit int64) bool {
	if g.n.Add(1) > limit {
		g.n.Add(-1)
		return false
	}
	return true
}

func (g *gauge) leave() { g.n.Add(-1) }

func (g *gauge) value() int64 { return g.n.Load() }
