package acceptance

import (
	"fmt"
	"testing"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// BenchmarkRenewal measures the time that the leader's tracker takes for one
// renewal.
func BenchmarkRenewal(b *testing.B) {
	for _, n := range []int{20, 100} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			var set []freshness.EntryKey
			for i := range n {
				id := fmt.Sprintf("entry-%03d", i)
				set = append(set, freshness.EntryKey{ID: id, ClusterAddress: id})
			}
			t := New(0, Revision{Number: 1, Set: set})
			now := time.Duration(0)
			i := 0
			for b.Loop() {
				now += time.Second / time.Duration(n)
				key := set[i%n]
				i++
				t.RecordAck(now, key, 1, time.Hour)
				t.GrantLease(now, now, now, key)
				t.Advance(now)
			}
		})
	}
}
