package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/load"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// measureVariable is the environment variable that enables measurements, which
// log figures and check none.
const measureVariable = "BALSAMCOURSE_MEASURE"

const (
	callsPerRoute       = 2000
	loadDuration        = 6 * time.Second
	loadWarmup          = time.Second
	idleDuration        = 10 * time.Second
	clockTicksPerSecond = 100
	mebibyte            = 1 << 20
	fastUpstreams       = 4
)

// usage is the CPU time of a process and its resident memory in bytes.
type usage struct {
	cpu time.Duration
	rss int64
}

// usage reads the CPU time and the resident memory of the process from /proc.
func (p *process) usage() usage {
	pid := strconv.Itoa(p.PID())
	stat, err := os.ReadFile(filepath.Join("/proc", pid, "stat"))
	assert.NilError(p.t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{
		cpu: time.Duration(user+system) * time.Second / clockTicksPerSecond,
		rss: pages * int64(os.Getpagesize()),
	}
}

// startMeasuredCluster starts a cluster with warm upstreams whose service time
// is 0. It skips the test when measurements are not enabled.
func startMeasuredCluster(t *testing.T) (*cluster, []*Upstream) {
	t.Helper()
	if os.Getenv(measureVariable) == "" {
		t.Skip("set " + measureVariable + "=1 to measure")
	}
	c := newCluster(t, 3, 4)
	c.configureBooking()
	var ups []*Upstream
	for i := range fastUpstreams {
		u, err := StartUpstream(UpstreamOptions{
			Service: "booking", Zone: zones[i%2], ID: fmt.Sprintf("up-%d", i+1), Slots: 64, ColdSlots: 64,
			StartWarm: true, AnnounceAddresses: c.announces, Seed: uint64(i), Key: upstreamKey,
		})
		assert.NilError(t, err)
		t.Cleanup(u.Kill)
		ups = append(ups, u)
	}
	c.awaitServing("call")
	return c, ups
}

// TestMeasureAddedTime measures the latency that entry VMs add. It compares
// calls through them with direct calls to an idle upstream, one at a time and
// alternately.
func TestMeasureAddedTime(t *testing.T) {
	c, ups := startMeasuredCluster(t)
	routes := []struct {
		name, address, method, path string
		key                         bool
		times                       []time.Duration
	}{
		{name: "direct to the upstream", address: ups[0].Address(), method: "GET", path: "/booking/dates"},
		{name: "entry VM that dispatches", address: c.callers[0], method: "GET", path: "/booking/dates"},
		{name: "another entry VM", address: c.callers[2], method: "GET", path: "/booking/dates"},
		{name: "dispatcher, with a claim", address: c.callers[0], method: "POST", path: "/booking/pay/1", key: true},
	}
	client := &http.Client{Timeout: callTimeout}
	for n := range callsPerRoute {
		for i := range routes {
			r := &routes[i]
			req, err := http.NewRequest(r.method, "http://"+r.address+r.path, nil)
			assert.NilError(t, err)
			if r.key {
				req.Header.Set("Idempotency-Key", fmt.Sprintf("added-%d", n))
			}
			start := time.Now()
			resp, err := client.Do(req)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			r.times = append(r.times, time.Since(start))
		}
	}
	direct := [2]time.Duration{}
	for i, r := range routes {
		p50, p99 := quantile(r.times, 500), quantile(r.times, 990)
		if i == 0 {
			direct = [2]time.Duration{p50, p99}
		}
		t.Logf("%-26s p50 %6.3f ms, p99 %6.3f ms, added %6.3f and %6.3f ms", r.name,
			millis(p50), millis(p99), millis(p50-direct[0]), millis(p99-direct[1]))
	}
}

// quantile returns the value below which the given permille of the times lie.
func quantile(times []time.Duration, permille int) time.Duration {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*permille/1000]
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// TestMeasureCallSlope measures the CPU time that entry VMs use for each call.
func TestMeasureCallSlope(t *testing.T) {
	c, _ := startMeasuredCluster(t)
	for _, kind := range []struct {
		name, method, path string
		entry              int
		key                bool
	}{
		{"dispatcher", "GET", "/booking/dates", 0, false},
		{"another entry VM", "GET", "/booking/dates", 2, false},
		{"dispatcher, with a claim", "POST", "/booking/pay/1", 0, true},
	} {
		for _, rate := range []float64{250, 500, 1000} {
			before := c.usages()
			report, err := load.Run(context.Background(), load.Plan{
				Service: "booking", Targets: []lookup.Entry{{ID: "x", Address: c.callers[kind.entry], Weight: 1}},
				Rate: rate, Duration: loadDuration, Warmup: loadWarmup, Method: kind.method, Path: kind.path,
				IdempotencyKey: kind.key, Timeout: callTimeout, MaxInFlight: 1000,
			})
			assert.NilError(t, err)
			after := c.usages()
			calls := rate * loadDuration.Seconds()
			total := time.Duration(0)
			for i := range after {
				total += after[i].cpu - before[i].cpu
			}
			own := after[kind.entry].cpu - before[kind.entry].cpu
			t.Logf("%-26s %5.0f/s: own %6.1f us, all entry VMs %6.1f us a call, p99 %.2f ms, resident %.1f MB", kind.name, rate,
				float64(own.Microseconds())/calls, float64(total.Microseconds())/calls, report.Latency.P99Ms, float64(after[kind.entry].rss)/mebibyte)
		}
	}
}

// usages returns the usage of every entry process.
func (c *cluster) usages() []usage {
	out := make([]usage, len(c.entries))
	for i, p := range c.entries {
		out[i] = p.usage()
	}
	return out
}

// TestMeasureIdle measures the CPU share and memory of idle processes.
func TestMeasureIdle(t *testing.T) {
	c, _ := startMeasuredCluster(t)
	all := append(append([]*process(nil), c.controls...), c.entries...)
	before := make([]usage, len(all))
	for i, p := range all {
		before[i] = p.usage()
	}
	time.Sleep(idleDuration)
	for i, p := range all {
		u := p.usage()
		t.Logf("%-10s %.2f%% of a core, resident %.1f MB", p.Name, 100*(u.cpu-before[i].cpu).Seconds()/idleDuration.Seconds(), float64(u.rss)/mebibyte)
	}
}
