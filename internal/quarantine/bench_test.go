package quarantine

import (
	"fmt"
	"testing"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// BenchmarkZoneLoss measures one more report after the loss of 140 upstreams
// of one service with 4 requests each.
func BenchmarkZoneLoss(b *testing.B) {
	s, e := New(Limits{Threshold: 2, Hold: 1 << 40, MaxReports: 4096}), &evidence{}
	for i := range 560 {
		s.Merge(0, []*clusterpb.CrashReport{e.crash(fmt.Sprint(i), fmt.Sprint(i/4))})
	}
	b.ResetTimer()
	for i := range b.N {
		s.Merge(0, []*clusterpb.CrashReport{e.crash(fmt.Sprint(i%560), fmt.Sprint(i%140))})
	}
}
