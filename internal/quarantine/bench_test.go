package quarantine

import (
	"fmt"
	"testing"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// BenchmarkMergeAfterZoneLoss measures the merge of one more report after the
// loss of 140 upstreams of one service with 4 requests each.
func BenchmarkMergeAfterZoneLoss(b *testing.B) {
	d, rep := New(Limits{Threshold: 2, Hold: 1 << 40, MaxReports: 4096}), &reporter{}
	for i := range 560 {
		d.Merge(0, []*clusterpb.CrashReport{rep.crash(fmt.Sprint(i), fmt.Sprint(i/4))})
	}
	b.ResetTimer()
	for i := range b.N {
		d.Merge(0, []*clusterpb.CrashReport{rep.crash(fmt.Sprint(i%560), fmt.Sprint(i%140))})
	}
}
