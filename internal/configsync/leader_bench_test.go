package configsync_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
)

// Environment variables with which this test binary only runs entry VMs: the
// address of a control VM and the number of entry VMs.
const (
	envControl = "BALSAMCOURSE_TEST_CONTROL"
	envEntries = "BALSAMCOURSE_TEST_ENTRIES"
)

// TestHostEntries runs entry VMs until its standard input ends. It is skipped
// except in the process that BenchmarkLeader starts.
func TestHostEntries(t *testing.T) {
	address := os.Getenv(envControl)
	if address == "" {
		t.Skip("runs only under BenchmarkLeader")
	}
	n, err := strconv.Atoi(os.Getenv(envEntries))
	assert.NilError(t, err)
	c := newCluster(t)
	c.control = c.control[:0]
	var bytes atomic.Int64
	for i := range n {
		c.client = countingClient(&bytes)
		c.start(fmt.Sprintf("e%03d", i), string(rune('a'+i%8)), address)
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	assert.NilError(t, err)
}

// BenchmarkLeader reports the CPU time and memory of the control VMs, with the
// entry VMs in another process.
func BenchmarkLeader(b *testing.B) {
	const window = 10 * time.Second
	for _, size := range [][2]int{{20, 10}, {100, 10}, {100, 140}} {
		b.Run(fmt.Sprintf("entries=%d/services=%d", size[0], size[1]), func(b *testing.B) {
			c := newCluster(b)
			host := exec.Command(os.Args[0], "-test.run=TestHostEntries$")
			host.Env = append(os.Environ(), envControl+"="+c.control[0].address(), envEntries+"="+strconv.Itoa(size[0]))
			stdin, err := host.StdinPipe()
			assert.NilError(b, err)
			assert.NilError(b, host.Start())
			defer func() { assert.NilError(b, host.Wait()) }()
			defer stdin.Close()
			c.createCellsIn(8, size[1])
			waitUntil(b, "all entry VMs are registered and all cells assigned", func() bool {
				resp, err := c.admin.GetConfig(c.ctx, &adminpb.GetConfigRequest{})
				return err == nil && len(resp.Config.Entries) == size[0] && len(resp.Config.Cells) == 8*size[1]
			})
			time.Sleep(3 * time.Second)
			for b.Loop() {
				cpu := cpuTime()
				time.Sleep(window)
				b.ReportMetric(100*float64(cpuTime()-cpu)/float64(window), "%core")
				var mem runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&mem)
				b.ReportMetric(float64(mem.HeapAlloc)/(1<<20), "heap-MB")
				b.ReportMetric(float64(mem.Sys)/(1<<20), "sys-MB")
			}
		})
	}
}
