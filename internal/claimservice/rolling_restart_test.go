package claimservice

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

// BenchmarkRollingRestart restarts each of 20 entry VMs once per iteration, while
// the others claim keys. Each epoch reaches the VMs one after the other, over the
// time spread.
func BenchmarkRollingRestart(b *testing.B) {
	const (
		vms     = 20
		workers = 4
		pause   = time.Millisecond
		spread  = 200 * time.Millisecond
	)
	c := newCluster(b, vms, nil)
	l := newClaimLoad(c)
	stop := l.start(workers, pause)
	b.ResetTimer()
	for n := range b.N {
		for i := range vms {
			l.restart(c, i, uint64(n+2), spread)
			l.waitSynced(c, i)
		}
	}
	b.StopTimer()
	stop()
	l.report(b)
}

// TestProofEachKeyRunsAtMostOnceOverHTTP checks that each key is sent at most once
// while entry VMs restart faster than they can sync and callers retry a few keys
// through all of them.
func TestProofEachKeyRunsAtMostOnceOverHTTP(t *testing.T) {
	const (
		vms      = 6
		restarts = 10
		workers  = 8
	)
	c := newCluster(t, vms, nil)
	l := newClaimLoad(c)
	l.distinctKeys = 60
	stop := l.start(workers, time.Millisecond)
	for n := range restarts {
		l.restart(c, n%vms, uint64(n+2), 20*time.Millisecond)
		l.setService(n%vms, c.services[fmt.Sprintf("e%d", n%vms)])
	}
	stop()
	t.Logf("%d calls, %d keys sent, refused: %v", len(l.claimTimes), len(l.sendsPerKey), l.refused)
	assert.Assert(t, len(l.sendsPerKey) > 0)
	for key, n := range l.sendsPerKey {
		assert.Equal(t, n, 1, key)
	}
}

// claimLoad claims keys through the running services and counts the decisions.
type claimLoad struct {
	keys atomic.Int64
	// distinctKeys is the number of keys, which are reused; 0 uses a new key for
	// each claim.
	distinctKeys int64

	mu         sync.Mutex
	running    []*Service
	claimTimes []time.Duration
	refused    map[string]int
	// sendsPerKey is the number of requests sent under each key.
	sendsPerKey map[string]int
}

func newClaimLoad(c *cluster) *claimLoad {
	l := &claimLoad{running: make([]*Service, len(c.services)), refused: make(map[string]int), sendsPerKey: make(map[string]int)}
	for i := range l.running {
		l.running[i] = c.services[fmt.Sprintf("e%d", i)]
	}
	return l
}

// start starts workers that claim keys with a pause after each claim. stop ends
// them and waits for them.
func (l *claimLoad) start(workers int, pause time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	for range workers {
		running.Go(func() { l.claimKeys(ctx, pause) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (l *claimLoad) claimKeys(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		n := l.keys.Add(1)
		s := l.pickService(int(n))
		if l.distinctKeys > 0 {
			n = n / 3 % l.distinctKeys
		}
		key := fmt.Sprintf("key-%d", n)
		startedAt := time.Now()
		d := s.Begin(ctx, "booking", key, [32]byte{1})
		if ctx.Err() == nil {
			l.record(d, time.Since(startedAt))
		}
		if d.Kind == Proceed && d.Claim.Start(ctx) == nil {
			l.countSend(key)
			d.Claim.Finish(&clusterpb.KeptAnswer{Status: 201})
		}
		time.Sleep(pause)
	}
}

func (l *claimLoad) countSend(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendsPerKey[key]++
}

func (l *claimLoad) pickService(n int) *Service {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.running[n%len(l.running)] == nil {
		n++
	}
	return l.running[n%len(l.running)]
}

func (l *claimLoad) record(d Decision, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimTimes = append(l.claimTimes, took)
	if d.Kind == Refuse {
		l.refused[string(d.Refusal.Kind)]++
	}
}

func (l *claimLoad) setService(i int, s *Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[i] = s
}

// restart replaces one service by a new incarnation, and applies the new epoch to
// the services one after the other within the time spread.
func (l *claimLoad) restart(c *cluster, i int, incarnation uint64, spread time.Duration) {
	id := fmt.Sprintf("e%d", i)
	l.setService(i, nil)
	time.Sleep(spread)
	c.stop(id)
	c.start(id, incarnation)
	c.advanceEpoch()
	for _, s := range c.services {
		s.OnConfig(c.view)
		time.Sleep(spread / time.Duration(len(c.services)))
	}
}

// waitSynced waits until a restarted service has synced, and uses it again.
func (l *claimLoad) waitSynced(c *cluster, i int) {
	id := fmt.Sprintf("e%d", i)
	for !c.services[id].Synced() {
		time.Sleep(time.Millisecond)
	}
	l.setService(i, c.services[id])
}

func (l *claimLoad) report(b *testing.B) {
	slices.Sort(l.claimTimes)
	total := len(l.claimTimes)
	refused := 0
	for _, n := range l.refused {
		refused += n
	}
	b.ReportMetric(float64(l.claimTimes[total/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(l.claimTimes[total*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(l.claimTimes[total-1].Microseconds()), "max-µs")
	b.ReportMetric(float64(total), "claims")
	b.ReportMetric(float64(refused), "refused")
	b.Logf("refused by kind: %v", l.refused)
}
