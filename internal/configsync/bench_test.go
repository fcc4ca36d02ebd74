package configsync_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func countingClient(bytes *atomic.Int64) *http.Client {
	return httpnet.NewClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	})
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// grow starts entry VMs in four availability zones until there are n, each with
// its own connection to the leader.
func (c *cluster) grow(n int, bytes *atomic.Int64) {
	for len(c.entries) < n {
		c.client = countingClient(bytes)
		c.start(fmt.Sprintf("e%03d", len(c.entries)), string(rune('a'+len(c.entries)%4)), c.control[0].address())
	}
	waitUntil(c.t, "all entry VMs have fresh configurations", allFresh(c.entries))
}

func (c *cluster) createCells(services int) {
	c.createCellsIn(4, services)
	waitUntil(c.t, "all cells are assigned", func() bool {
		return len(c.entries[0].View().Config.Cells) == 4*services
	})
}

func (c *cluster) createCellsIn(zones, services int) {
	for i := range zones {
		c.apply(uint64(1+i), &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: string(rune('a' + i))}}})
	}
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		c.apply(uint64(100+i), &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{Name: name, PathPrefix: "/" + name}}})
	}
}

// BenchmarkIdle reports the traffic between entry VMs and leader in bytes per
// second, in both directions, in total and per entry VM, and the CPU time of
// both sides together.
func BenchmarkIdle(b *testing.B) {
	const window = 10 * time.Second
	for _, n := range []int{10, 20, 40, 100} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			c := newCluster(b)
			var bytes atomic.Int64
			c.grow(n, &bytes)
			c.createCells(10)
			time.Sleep(2 * time.Second)
			for b.Loop() {
				before, cpu := bytes.Load(), cpuTime()
				time.Sleep(window)
				rate := float64(bytes.Load()-before) / window.Seconds()
				share := float64(cpuTime()-cpu) / float64(window)
				b.ReportMetric(rate, "B/s")
				b.ReportMetric(rate/float64(n), "B/s/entry")
				b.ReportMetric(100*share, "%core")
			}
		})
	}
}

// BenchmarkAccepted reports, with 20 entry VMs, the time from an operator's
// call to the answer that the change is accepted, and the traffic in bytes per
// change.
func BenchmarkAccepted(b *testing.B) {
	c := newCluster(b)
	var bytes atomic.Int64
	c.grow(20, &bytes)
	c.createCells(10)
	number := uint64(1000)
	var times []time.Duration
	before := bytes.Load()
	for b.Loop() {
		state := catalogpb.ZoneState_ZONE_STATE_LEAVING
		if number%2 == 1 {
			state = catalogpb.ZoneState_ZONE_STATE_RETURNING
		}
		number++
		start := time.Now()
		resp := c.apply(number, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{Zone: "a", State: state}}})
		times = append(times, time.Since(start))
		assert.Assert(b, resp.Accepted)
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(bytes.Load()-before)/float64(len(times)), "B/change")
}
