package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeoutsThatDifferAreNotTimeSpent replays callers of one route that wait for
// different times, half of which come back with less than two thirds of it, and a few
// that wait ten times as long. Only those that come back have used up time.
func TestTimeoutsThatDifferAreNotTimeSpent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	var s statedTimeouts
	for i := range 10_000 {
		first := time.Duration((0.85 + 0.3*random.Float64()) * float64(6*time.Second))
		switch {
		case i%50 == 49:
			s.record(10 * first)
		case i%2 == 1:
			spent := s.record(first * 3 / 5)
			assert.Assert(t, i < statedTimeoutSamples || spent > 0 && spent < 4*time.Second, "call %d: %s", i, spent)
		default:
			assert.Equal(t, s.record(first), time.Duration(0), "call %d", i)
		}
	}
}
