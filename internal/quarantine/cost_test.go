package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// TestMergeCostDoesNotGrowWithReports guards against incident inc1: gateways spent
// their CPU time on evaluating all crash reports anew for each new one.
func TestMergeCostDoesNotGrowWithReports(t *testing.T) {
	const (
		known = 1000
		added = 100
		// maxBytes allows for the new report and for the growth of maps.
		maxBytes = 4096
	)
	d := New(Limits{Threshold: 3, Hold: time.Hour, MaxReports: 10_000})
	var rep reporter
	next := func() []*clusterpb.CrashReport {
		n := rep.sequence
		return []*clusterpb.CrashReport{rep.crash(fmt.Sprintf("request %d", n), fmt.Sprintf("u%d", n%300))}
	}
	for i := range known {
		d.Merge(time.Duration(i)*time.Millisecond, next())
	}
	var reports [][]*clusterpb.CrashReport
	for range added {
		reports = append(reports, next())
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, r := range reports {
		d.Merge(known*time.Millisecond, r)
	}
	runtime.ReadMemStats(&after)
	got := (after.TotalAlloc - before.TotalAlloc) / added
	assert.Assert(t, got <= maxBytes, "merging one report allocates %d bytes, expected at most %d", got, maxBytes)
}
