package claims

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// BenchmarkRollingRestart restarts each of 20 entry VMs once for each
// iteration, while the others claim. Each epoch reaches them over spread.
func BenchmarkRollingRestart(b *testing.B) {
	const (
		vms     = 20
		workers = 4
		pause   = time.Millisecond
		spread  = 200 * time.Millisecond
	)
	c := newCluster(b, vms, nil)
	l := newLoad(c)
	stop := l.start(workers, pause)
	b.ResetTimer()
	for n := range b.N {
		for i := range vms {
			l.restart(c, i, uint64(n+2), spread)
			l.join(c, i)
		}
	}
	b.StopTimer()
	stop()
	l.report(b)
}

// TestProofOneRunPerKeyOverConnections restarts entry VMs faster than they can
// sync, while callers resend a few keys through all of them.
func TestProofOneRunPerKeyOverConnections(t *testing.T) {
	const (
		vms      = 6
		restarts = 10
		workers  = 8
	)
	c := newCluster(t, vms, nil)
	l := newLoad(c)
	l.distinct = 60
	stop := l.start(workers, time.Millisecond)
	for n := range restarts {
		l.restart(c, n%vms, uint64(n+2), 20*time.Millisecond)
		l.set(n%vms, c.services[fmt.Sprintf("e%d", n%vms)])
	}
	stop()
	t.Logf("%d calls, %d keys ran, refused: %v", len(l.times), len(l.runs), l.refused)
	assert.Assert(t, len(l.runs) > 0)
	for key, n := range l.runs {
		assert.Equal(t, n, 1, key)
	}
}

// load claims through live services and counts.
type load struct {
	keys atomic.Int64
	// distinct bounds the keys, which are then sent again; 0 means no bound.
	distinct int64

	mu      sync.Mutex
	live    []*Service
	times   []time.Duration
	refused map[string]int
	// runs counts the requests sent under each key.
	runs map[string]int
}

func newLoad(c *cluster) *load {
	l := &load{live: make([]*Service, len(c.services)), refused: make(map[string]int), runs: make(map[string]int)}
	for i := range l.live {
		l.live[i] = c.services[fmt.Sprintf("e%d", i)]
	}
	return l
}

// start runs workers until the returned function is called.
func (l *load) start(workers int, pause time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for range workers {
		running.Go(func() { l.claim(ctx, pause) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (l *load) claim(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		n := l.keys.Add(1)
		s := l.pick(int(n))
		if l.distinct > 0 {
			n = n / 3 % l.distinct
		}
		key := fmt.Sprintf("key-%d", n)
		begun := time.Now()
		d := s.Begin(ctx, "booking", key, [32]byte{1})
		if ctx.Err() == nil {
			l.record(d, time.Since(begun))
		}
		if d.Kind == Proceed && d.Claim.Start(ctx) == nil {
			l.run(key)
			d.Claim.Finish(&clusterpb.KeptAnswer{Status: 201})
		}
		time.Sleep(pause)
	}
}

func (l *load) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *load) pick(n int) *Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.live[n%len(l.live)] == nil {
		n++
	}
	return l.live[n%len(l.live)]
}

func (l *load) record(d Decision, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, took)
	if d.Kind == Refuse {
		l.refused[string(d.Refusal.Kind)]++
	}
}

func (l *load) set(i int, s *Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live[i] = s
}

// restart replaces one service, and lets the others know one after the other.
func (l *load) restart(c *cluster, i int, incarnation uint64, spread time.Duration) {
	id := fmt.Sprintf("e%d", i)
	l.set(i, nil)
	time.Sleep(spread)
	c.stop(id)
	c.start(id, incarnation)
	c.advance()
	for _, s := range c.services {
		s.OnConfig(c.view)
		time.Sleep(spread / time.Duration(len(c.services)))
	}
}

// join waits until a restarted service votes, and sends calls to it again.
func (l *load) join(c *cluster, i int) {
	id := fmt.Sprintf("e%d", i)
	for !c.services[id].Synced() {
		time.Sleep(time.Millisecond)
	}
	l.set(i, c.services[id])
}

func (l *load) report(b *testing.B) {
	slices.Sort(l.times)
	total := len(l.times)
	refused := 0
	for _, n := range l.refused {
		refused += n
	}
	b.ReportMetric(float64(l.times[total/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(l.times[total*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(l.times[total-1].Microseconds()), "max-µs")
	b.ReportMetric(float64(total), "claims")
	b.ReportMetric(float64(refused), "refused")
	b.Logf("refused by kind: %v", l.refused)
}
