package allotment

import (
	"fmt"
	"testing"
	"time"

	"balsamcourse.example/balsamcourse/internal/permit"
)

// BenchmarkPermit measures the decisions for one request, at the gateway and at the
// issuer, among 449 and 825 live gateways.
func BenchmarkPermit(b *testing.B) {
	for _, n := range []int{449, 825} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			leases := permit.NewIssuer("gateway-0")
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint("gateway-", i)
			}
			leases.SetLive(0, ids)
			leases.RecordLease(0, time.Hour)
			organisation := "o"
			for leases.IssuerOf(Key(organisation, 0)) != "gateway-0" {
				organisation += "o"
			}
			issuer, holder := NewIssuer("gateway-0", leases, testBounds), NewHolder(testBounds, 0)
			limit := Limit{PerSecond: 1e6, Burst: 1e6}
			now := time.Minute
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * time.Millisecond
				ask, _, _ := holder.Expect(now, organisation, true)
				for ask != nil {
					ask = holder.Answered(now, ask, issuer.Take(now, organisation, 0, limit, ask.Units, ask.Returned), true)
				}
				holder.Use(now, organisation, false)
			}
		})
	}
}
