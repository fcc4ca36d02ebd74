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
	l := &load{live: make([]*Service, vms), refused: make(map[string]int)}
	for i := range vms {
		l.live[i] = c.services[fmt.Sprintf("e%d", i)]
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for w := range workers {
		running.Go(func() { l.claim(ctx, w, pause) })
	}
	b.ResetTimer()
	for n := range b.N {
		for i := range vms {
			l.restart(c, i, uint64(n+2), spread)
		}
	}
	b.StopTimer()
	cancel()
	running.Wait()
	l.report(b)
}

// load claims through live services and counts.
type load struct {
	keys atomic.Int64

	mu      sync.Mutex
	live    []*Service
	times   []time.Duration
	refused map[string]int
}

func (l *load) claim(ctx context.Context, worker int, pause time.Duration) {
	for ctx.Err() == nil {
		n := l.keys.Add(1)
		s := l.pick(int(n))
		begun := time.Now()
		d := s.Begin(ctx, "booking", fmt.Sprintf("key-%d-%d", worker, n), [32]byte{1})
		if ctx.Err() == nil {
			l.record(d, time.Since(begun))
		}
		if d.Kind == Proceed {
			d.Claim.Finish(&clusterpb.KeptAnswer{Status: 201})
		}
		time.Sleep(pause)
	}
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
