package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// newBenchCell returns a cell of n upstreams that may each run two requests from
// the start.
func newBenchCell(n int) *Cell {
	c := New(Config{Slots: 2, ColdSlots: 2, WarmAfter: 1, QueueLimit: 1 << 20, ZoneOpen: true}, 0, 1)
	c.Step(0, AssignmentAccepted{})
	for i := range n {
		id := fmt.Sprintf("up-%04d", i)
		c.Step(0, Announce{ID: id, Address: "10.0.0.1:80", Slots: 2, Incarnation: 1, State: ReportedWarm})
	}
	return c
}

// BenchmarkGrant measures one grant and its release.
func BenchmarkGrant(b *testing.B) {
	for _, n := range []int{1, 5, 10, 20, 40} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := newBenchCell(n)
			b.ReportAllocs()
			for i := range b.N {
				now := time.Duration(i) * time.Microsecond
				k := RequestKey{"entry-01", 1, uint64(i)}
				c.Step(now, Acquire{Key: k, Deadline: now + time.Second})
				c.Step(now, Release{Key: k, Outcome: clusterpb.Outcome_OUTCOME_OK, ServiceTime: 50 * time.Millisecond})
				if i%10_000 == 0 {
					c.Step(now, Tick{})
				}
			}
		})
	}
}

// BenchmarkTick measures a tick of a cell without requests.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1, 5, 10, 20, 40} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			c := newBenchCell(n)
			b.ReportAllocs()
			for range b.N {
				c.Step(0, Tick{})
			}
		})
	}
}

// BenchmarkMemory reports the heap size of a cell, an upstream, a ticket and a
// queued request.
func BenchmarkMemory(b *testing.B) {
	const cells = 200
	fill := func(upstreams, requests int) float64 {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		all := make([]*Cell, cells)
		for i := range all {
			all[i] = newBenchCell(upstreams)
			for r := range requests {
				k := RequestKey{"entry-01", 1, uint64(r)}
				all[i].Step(0, Acquire{Key: k, Deadline: time.Hour, MaxWait: time.Hour})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(all)
		return float64(after.HeapAlloc-before.HeapAlloc) / cells
	}
	for range b.N {
		empty, ten, twenty := fill(0, 0), fill(10, 0), fill(20, 0)
		tickets, queued := fill(20, 40), fill(20, 1040)
		b.ReportMetric(empty, "B/cell")
		b.ReportMetric((twenty-ten)/10, "B/upstream")
		b.ReportMetric((tickets-twenty)/40, "B/ticket")
		b.ReportMetric((queued-tickets)/1000, "B/waiting")
	}
}
