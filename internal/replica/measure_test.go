package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// measureEnv is the environment variable that enables the measurements, which
// take about two minutes.
const measureEnv = "MEASURE"

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
}

// change returns a proposal of the size of an operator's change.
func change(i int) []byte {
	data := make([]byte, 200)
	binary.LittleEndian.PutUint64(data, uint64(i))
	return data
}

// proposeConcurrently proposes changes from several callers and returns the
// histogram of latencies in microseconds and the total time. Unless grouped is
// set, only one proposal is in progress at a time, so that each gets a sync of
// its own.
func proposeConcurrently(t *testing.T, n *Node, callers, each int, grouped bool) (*hdrhistogram.Histogram, time.Duration) {
	hists := make([]*hdrhistogram.Histogram, callers)
	var failed atomic.Int64
	var sequential sync.Mutex
	begin := time.Now()
	var group conc.WaitGroup
	for c := range callers {
		hists[c] = hdrhistogram.New(1, 60_000_000, 3)
		group.Go(func() {
			for i := range each {
				start := time.Now()
				if !grouped {
					sequential.Lock()
				}
				_, _, err := n.Propose(context.Background(), change(i))
				if !grouped {
					sequential.Unlock()
				}
				if err != nil {
					if failed.Add(1) == 1 {
						t.Logf("call %d after %v: %v", i, time.Since(begin), err)
					}
					return
				}
				_ = hists[c].RecordValue(time.Since(start).Microseconds())
			}
		})
	}
	group.Wait()
	took := time.Since(begin)
	if n := failed.Load(); n > 0 {
		t.Logf("%d callers stopped after an error", n)
	}
	for _, h := range hists[1:] {
		hists[0].Merge(h)
	}
	return hists[0], took
}

func TestMeasureRestartTime(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, count := range []int{100, 1000, 10000} {
		r := startGroup(t, 1, Options{})[0]
		waitForLeader(t, []*testReplica{r})
		proposeConcurrently(t, r.node, 50, count/50, true)
		r.stop()
		info, err := os.Stat(r.opts.DataDir + "/replica.log")
		assert.NilError(t, err)
		begin := time.Now()
		again := r.restart(t, false)
		opened := time.Since(begin)
		waitForLeader(t, []*testReplica{again})
		_, err = again.node.ConfirmedRead(context.Background())
		assert.NilError(t, err)
		t.Logf("%6d changes: file %7d bytes, open %8v, first confirmed read %8v",
			count, info.Size(), opened.Round(10*time.Microsecond), time.Since(begin).Round(10*time.Microsecond))
	}
}

func TestMeasureCommitRate(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, replicas := range []int{1, 3} {
		measureCommit(t, replicas, 1, false)
		for _, grouped := range []bool{false, true} {
			measureCommit(t, replicas, 16, grouped)
			measureCommit(t, replicas, 64, grouped)
		}
	}
}

func measureCommit(t *testing.T, replicas, callers int, grouped bool) {
	group := startGroup(t, replicas, Options{})
	leader := waitForLeader(t, group)
	hist, took := proposeConcurrently(t, leader.node, callers, 3000/callers, grouped)
	mode := "one by one"
	if grouped {
		mode = "grouped"
	}
	t.Logf("%d replicas, %-10s %2d callers: %6.0f changes/s, p50 %6.2f ms, p99 %6.2f ms", replicas, mode, callers,
		float64(hist.TotalCount())/took.Seconds(),
		float64(hist.ValueAtPercentile(50))/1000, float64(hist.ValueAtPercentile(99))/1000)
	for _, r := range group {
		r.stop()
	}
}

// trafficCounter counts the bytes read and written on connections and the read
// and write calls.
type trafficCounter struct{ bytes, operations atomic.Int64 }

type countedConn struct {
	net.Conn
	c *trafficCounter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.c.add(n)
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.c.add(n)
	return n, err
}

func (c *trafficCounter) add(n int) {
	c.bytes.Add(int64(n))
	c.operations.Add(1)
}

type countedListener struct {
	net.Listener
	c *trafficCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.c}, nil
}

// newCountedClient returns a client whose traffic is counted in c. It uses HTTP/2
// if h2 is set, and HTTP/1.1 otherwise.
func newCountedClient(c *trafficCounter, h2 bool) *http.Client {
	client := NewHTTPClient()
	tr := client.Transport.(*http.Transport)
	if !h2 {
		tr.Protocols, tr.HTTP2 = nil, nil
	}
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := newDialer().DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, c}, nil
	}
	return client
}

func processCPU(t *testing.T) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestMeasureIdleTraffic(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, replicas := range []int{3, 5, 7} {
		for _, h2 := range []bool{false, true} {
			measureIdle(t, replicas, h2)
		}
	}
}

func measureIdle(t *testing.T, replicas int, h2 bool) {
	const span = 10 * time.Second
	counters := make([]trafficCounter, replicas)
	group := startCountedGroup(t, replicas, counters, h2)
	leader := waitForLeader(t, group)
	time.Sleep(2 * time.Second)
	before := make([]int64, replicas)
	operations := make([]int64, replicas)
	for i := range counters {
		before[i], operations[i] = counters[i].bytes.Load(), counters[i].operations.Load()
	}
	cpu := processCPU(t)
	time.Sleep(span)
	cpu = processCPU(t) - cpu
	protocol := "HTTP/1.1"
	if h2 {
		protocol = "HTTP/2"
	}
	for i, r := range group {
		role := "follower"
		if r == leader {
			role = "leader"
		}
		bytes := float64(counters[i].bytes.Load()-before[i]) / span.Seconds()
		n := float64(counters[i].operations.Load()-operations[i]) / span.Seconds()
		t.Logf("%d replicas, %s, %-8s: %5.0f bytes/s in %3.0f reads and writes/s", replicas, protocol, role, bytes, n)
	}
	share := 100 * cpu.Seconds() / span.Seconds() / float64(replicas)
	t.Logf("%d replicas, %s: %.2f%% of a core for each replica", replicas, protocol, share)
	for _, r := range group {
		r.stop()
	}
}

func startCountedGroup(t *testing.T, replicas int, counters []trafficCounter, h2 bool) []*testReplica {
	var opts Options
	listeners := make([]net.Listener, replicas)
	for i := range listeners {
		listeners[i] = countedListener{listen(t), &counters[i]}
		opts.Bootstrap = append(opts.Bootstrap, memberAt(uint64(i+1), listeners[i]))
	}
	var group []*testReplica
	for i, l := range listeners {
		opts.ID, opts.DataDir = uint64(i+1), fmt.Sprintf("%s/%d", t.TempDir(), i)
		opts.Transport = NewTwirpTransport(opts.ID, newCountedClient(&counters[i], h2))
		group = append(group, startReplica(t, l, opts))
	}
	return group
}

func TestMeasureFailoverTime(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, planned := range []bool{false, true} {
		var times []time.Duration
		for range 10 {
			times = append(times, measureFailover(t, planned))
		}
		slices.Sort(times)
		t.Logf("planned %t: time to the next committed change p50 %v, max %v", planned, times[4], times[9])
	}
}

// measureFailover returns the time from the start of the transfer, if planned,
// or the stop of the leader to the next committed change.
func measureFailover(t *testing.T, planned bool) time.Duration {
	replicas := startGroup(t, 3, Options{})
	leader := waitForLeader(t, replicas)
	_, _, err := leader.node.Propose(context.Background(), change(0))
	assert.NilError(t, err)
	begin := time.Now()
	if planned {
		assert.NilError(t, leader.node.TransferLeadership(context.Background()))
	}
	leader.stop()
	rest := without(replicas, leader)
	for {
		next := waitForLeader(t, rest)
		if _, _, err := next.node.Propose(context.Background(), change(1)); err == nil {
			break
		}
	}
	took := time.Since(begin)
	for _, r := range rest {
		r.stop()
	}
	return took
}
