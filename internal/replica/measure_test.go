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

// measureEnv turns the measurements on; they take about two minutes.
const measureEnv = "MEASURE"

func needMeasure(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skipf("set %s=1 to measure", measureEnv)
	}
}

// change is a proposal of the size of an operator's change.
func change(i int) []byte {
	data := make([]byte, 200)
	binary.LittleEndian.PutUint64(data, uint64(i))
	return data
}

// proposeMany proposes from several callers and returns the latencies. Unless
// grouped is set, callers wait for each other, and each change gets a sync of
// its own.
func proposeMany(t *testing.T, n *Node, callers, each int, grouped bool) (*hdrhistogram.Histogram, time.Duration) {
	hists := make([]*hdrhistogram.Histogram, callers)
	var failed atomic.Int64
	var turn sync.Mutex
	begin := time.Now()
	var group conc.WaitGroup
	for c := range callers {
		hists[c] = hdrhistogram.New(1, 60_000_000, 3)
		group.Go(func() {
			for i := range each {
				start := time.Now()
				if !grouped {
					turn.Lock()
				}
				_, _, err := n.Propose(context.Background(), change(i))
				if !grouped {
					turn.Unlock()
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
		t.Logf("%d callers gave up after an error", n)
	}
	for _, h := range hists[1:] {
		hists[0].Merge(h)
	}
	return hists[0], took
}

func TestMeasureRestart(t *testing.T) {
	needMeasure(t)
	for _, count := range []int{100, 1000, 10000} {
		h := startGroup(t, 1, Options{})[0]
		waitLeader(t, []*host{h})
		proposeMany(t, h.node, 50, count/50, true)
		h.stop()
		info, err := os.Stat(h.opts.DataDir + "/replica.log")
		assert.NilError(t, err)
		begin := time.Now()
		again := h.restart(t, false)
		opened := time.Since(begin)
		waitLeader(t, []*host{again})
		_, err = again.node.ConfirmedRead(context.Background())
		assert.NilError(t, err)
		t.Logf("%6d changes: file %7d bytes, open %8v, first confirmed read %8v",
			count, info.Size(), opened.Round(10*time.Microsecond), time.Since(begin).Round(10*time.Microsecond))
	}
}

func TestMeasureCommit(t *testing.T) {
	needMeasure(t)
	for _, replicas := range []int{1, 3} {
		measureCommit(t, replicas, 1, false)
		for _, grouped := range []bool{false, true} {
			measureCommit(t, replicas, 16, grouped)
			measureCommit(t, replicas, 64, grouped)
		}
	}
}

func measureCommit(t *testing.T, replicas, callers int, grouped bool) {
	hosts := startGroup(t, replicas, Options{})
	lead := waitLeader(t, hosts)
	hist, took := proposeMany(t, lead.node, callers, 3000/callers, grouped)
	mode := "one by one"
	if grouped {
		mode = "grouped"
	}
	t.Logf("%d replicas, %-10s %2d callers: %6.0f changes/s, p50 %6.2f ms, p99 %6.2f ms", replicas, mode, callers,
		float64(hist.TotalCount())/took.Seconds(),
		float64(hist.ValueAtPercentile(50))/1000, float64(hist.ValueAtPercentile(99))/1000)
	for _, h := range hosts {
		h.stop()
	}
}

// counter counts what connections carry.
type counter struct{ bytes, calls atomic.Int64 }

type countedConn struct {
	net.Conn
	c *counter
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

func (c *counter) add(n int) {
	c.bytes.Add(int64(n))
	c.calls.Add(1)
}

type countedListener struct {
	net.Listener
	c *counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.c}, nil
}

// countedClient returns a client whose connections c counts.
func countedClient(c *counter, h2 bool) *http.Client {
	client := NewHTTPClient()
	tr := client.Transport.(*http.Transport)
	if !h2 {
		tr.Protocols, tr.HTTP2 = nil, nil
	}
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer().DialContext(ctx, network, address)
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

func TestMeasureIdle(t *testing.T) {
	needMeasure(t)
	for _, replicas := range []int{3, 5, 7} {
		for _, h2 := range []bool{false, true} {
			measureIdle(t, replicas, h2)
		}
	}
}

func measureIdle(t *testing.T, replicas int, h2 bool) {
	const span = 10 * time.Second
	counters := make([]counter, replicas)
	group := startCounted(t, replicas, counters, h2)
	lead := waitLeader(t, group)
	time.Sleep(2 * time.Second)
	before := make([]int64, replicas)
	calls := make([]int64, replicas)
	for i := range counters {
		before[i], calls[i] = counters[i].bytes.Load(), counters[i].calls.Load()
	}
	cpu := processCPU(t)
	time.Sleep(span)
	cpu = processCPU(t) - cpu
	protocol := "HTTP/1.1"
	if h2 {
		protocol = "HTTP/2"
	}
	for i, h := range group {
		role := "follower"
		if h == lead {
			role = "leader"
		}
		bytes := float64(counters[i].bytes.Load()-before[i]) / span.Seconds()
		n := float64(counters[i].calls.Load()-calls[i]) / span.Seconds()
		t.Logf("%d replicas, %s, %-8s: %5.0f bytes/s in %3.0f reads and writes/s", replicas, protocol, role, bytes, n)
	}
	share := 100 * cpu.Seconds() / span.Seconds() / float64(replicas)
	t.Logf("%d replicas, %s: %.2f%% of a core for each replica", replicas, protocol, share)
	for _, h := range group {
		h.stop()
	}
}

func startCounted(t *testing.T, replicas int, counters []counter, h2 bool) []*host {
	var opts Options
	listeners := make([]net.Listener, replicas)
	for i := range listeners {
		listeners[i] = countedListener{listen(t), &counters[i]}
		opts.Bootstrap = append(opts.Bootstrap, memberAt(uint64(i+1), listeners[i]))
	}
	var hosts []*host
	for i, l := range listeners {
		opts.ID, opts.DataDir = uint64(i+1), fmt.Sprintf("%s/%d", t.TempDir(), i)
		opts.Transport = NewTwirpTransport(opts.ID, countedClient(&counters[i], h2))
		hosts = append(hosts, startHost(t, l, opts))
	}
	return hosts
}

func TestMeasureFailover(t *testing.T) {
	needMeasure(t)
	for _, planned := range []bool{false, true} {
		var times []time.Duration
		for range 10 {
			times = append(times, measureFailover(t, planned))
		}
		slices.Sort(times)
		t.Logf("planned %t: time to the next committed change p50 %v, max %v", planned, times[4], times[9])
	}
}

// measureFailover returns the time from the loss of the leader to the next
// committed change.
func measureFailover(t *testing.T, planned bool) time.Duration {
	hosts := startGroup(t, 3, Options{})
	lead := waitLeader(t, hosts)
	_, _, err := lead.node.Propose(context.Background(), change(0))
	assert.NilError(t, err)
	begin := time.Now()
	if planned {
		assert.NilError(t, lead.node.TransferLeadership(context.Background()))
	}
	lead.stop()
	rest := others(hosts, lead)
	for {
		next := waitLeader(t, rest)
		if _, _, err := next.node.Propose(context.Background(), change(1)); err == nil {
			break
		}
	}
	took := time.Since(begin)
	for _, h := range rest {
		h.stop()
	}
	return took
}
