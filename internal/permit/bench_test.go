package permit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures a permit at its issuer, among 22 and 200 live entry VMs.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{22, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var ids []string
			for i := range n {
				ids = append(ids, fmt.Sprint("edge-jm-south-a-", i))
			}
			i := NewIssuer(winner(ids, upstreamID))
			i.SetLive(0, ids)
			i.RecordLease(0, time.Hour)
			now := TakeoverDelay
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				i.Take(now, key, 1e6, 1)
			}
		})
	}
}
