package gossip

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// BenchmarkSpread measures the time until all entry VMs know of a crash, and
// the CPU time of all of them together.
func BenchmarkSpread(b *testing.B) {
	for _, vms := range []int{20, 100} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			services := startServices(b, vms)
			before := cpuTime()
			b.ResetTimer()
			for i := range b.N {
				r := quarantine.Signature{Service: "lotboard", Exact: fmt.Sprint(i)}
				services[0].Crashed(r, quarantine.Crash{Upstream: "u1", Incarnation: uint64(i)}, false)
				if err := services[0].Flush(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-µs/report")
		})
	}
}

// BenchmarkIdle measures the CPU time per second of one entry VM that has no
// reports.
func BenchmarkIdle(b *testing.B) {
	services := startServices(b, 20)
	before := cpuTime()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	perVM := (cpuTime() - before).Microseconds() / int64(len(services)) / int64(b.N)
	b.ReportMetric(float64(perVM), "cpu-µs/s/VM")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
