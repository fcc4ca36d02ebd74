package slot

import (
	"syscall"
	"testing"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// benchmarkGrant measures how long entry VM 0 takes to acquire and release a slot
// of a cell that the given entry VM dispatches.
func benchmarkGrant(b *testing.B, dispatcher int) {
	cl := newCluster(b, 2, &catalogpb.Service{Name: "s", ColdSlots: 64, Slots: 64})
	cl.cfg.Cells = cl.cfg.Cells[dispatcher : dispatcher+1]
	cl.applyConfig()
	zone := cl.cfg.Zones[dispatcher].Name
	announce := func() { cl.announce(dispatcher, "u", zone, 64) }
	announce()
	g := cl.acquireEventually(0)
	cl.vms[0].client.Release(g, ok(time.Millisecond))
	b.ReportAllocs()
	last := time.Now()
	before := processTime(b)
	for b.Loop() {
		if time.Since(last) > time.Second {
			announce()
			last = time.Now()
		}
		g, err := cl.acquire(0)
		if err != nil {
			b.Fatal(err)
		}
		cl.vms[0].client.Release(g, ok(time.Millisecond))
	}
	b.ReportMetric(float64((processTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processTime returns the CPU time used by the process, which runs both entry VMs.
func processTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func BenchmarkGrantLocal(b *testing.B) { benchmarkGrant(b, 0) }

func BenchmarkGrantRemote(b *testing.B) { benchmarkGrant(b, 1) }
