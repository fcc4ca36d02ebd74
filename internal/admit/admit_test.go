package admit

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proof"
)

func TestFloodLeavesRoomForOthers(t *testing.T) {
	l := NewLimiter(100)
	taken := 0
	for l.Acquire("proofs") {
		taken++
	}
	assert.Equal(t, taken, 100*sharedPermille/1000+25)
	l = NewLimiter(100)
	assert.Assert(t, l.Acquire("booking"))
	for l.Acquire("proofs") {
	}
	for i := 1; i < 25; i++ {
		assert.Assert(t, l.Acquire("booking"), "place %d", i)
	}
}

// Whatever services ask for, the limit holds, a released place can be taken
// again, and counts return to zero.
func TestProofLimiterCounts(t *testing.T) {
	proof.Check(t, func(rt *rapid.T) {
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
				} else if total*1000 < limit*sharedPermille {
					rt.Fatalf("refused at %d of %d", total, limit)
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
					rt.Fatalf("total %d, counted %d, limit %d", l.Total(), total, limit)
				}
			},
		})
	})
}
