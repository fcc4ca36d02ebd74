package load

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// arrivals generates the arrival times of a Poisson process.
type arrivals struct {
	rng            *rand.Rand
	meanIntervalNs float64
	atNs           float64
}

// newArrivals returns a generator with a mean of rate arrivals per second. The
// same seed produces the same times.
func newArrivals(rate float64, seed uint64) *arrivals {
	return &arrivals{
		rng:            rand.New(rand.NewPCG(seed, 0)),
		meanIntervalNs: float64(time.Second) / rate,
	}
}

// next returns the next arrival time, measured from the start of the run.
func (a *arrivals) next() time.Duration {
	a.atNs += a.rng.ExpFloat64() * a.meanIntervalNs
	return time.Duration(a.atNs)
}

// inFlightCounter counts the requests in flight.
type inFlightCounter struct {
	n atomic.Int64
}

// tryAcquire adds a request and reports true, or reports false if the count
// would exceed limit.
func (g *inFlightCounter) tryAcquire(limit int64) bool {
	if g.n.Add(1) > limit {
		g.n.Add(-1)
		return false
	}
	return true
}

func (g *inFlightCounter) release() { g.n.Add(-1) }

func (g *inFlightCounter) count() int64 { return g.n.Load() }
