package admission

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proptest"
)

// When one service takes all the capacity that it can get, another one must
// still get its fair share.
func TestOverloadedServiceLeavesCapacityForOthers(t *testing.T) {
	l := NewLimiter(100)
	taken := 0
	for l.Acquire("proofs") {
		taken++
	}
	assert.Equal(t, taken, 100*unreservedPermille/1000+25)
	l = NewLimiter(100)
	assert.Assert(t, l.Acquire("booking"))
	for l.Acquire("proofs") {
	}
	for i := 1; i < 25; i++ {
		assert.Assert(t, l.Acquire("booking"), "call %d", i)
	}
}

// For any sequence of Acquire and Release, the limit must hold, released
// capacity must be available again, and Total must equal the number of calls in
// flight.
func TestProofLimitHoldsAndReleaseRestoresCapacity(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(rt, "limit")
		l := NewLimiter(limit)
		held := make(map[string]int)
		total := 0
		rt.Repeat(map[string]func(*rapid.T){
			"acquire": func(rt *rapid.T) {
				s := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "service")
				if l.Acquire(s) {
					held[s]++
					total++
				} else if total*1000 < limit*unreservedPermille {
					rt.Fatalf("call refused at %d of %d in flight", total, limit)
				}
			},
			"release": func(rt *rapid.T) {
				s := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "service")
				if held[s] == 0 {
					return
				}
				l.Release(s)
				held[s]--
				total--
			},
			"": func(rt *rapid.T) {
				if total > limit || l.Total() != total {
					rt.Fatalf("Total returned %d, want %d; limit %d", l.Total(), total, limit)
				}
			},
		})
	})
}
