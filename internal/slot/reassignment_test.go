package slot

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// upstreamLoad simulates upstreams and counts their requests in flight.
type upstreamLoad struct {
	mu      sync.Mutex
	running map[string]int
	peak    map[string]int
}

func (c *upstreamLoad) run(id string, d time.Duration) {
	c.mu.Lock()
	c.running[id]++
	c.peak[id] = max(c.peak[id], c.running[id])
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	c.running[id]--
	c.mu.Unlock()
}

// TestUpstreamLimitsHoldWhileACellIsReassigned runs calls through three entry VMs
// over HTTP while a cell changes its dispatcher, and expects that no upstream ever
// has more requests in flight than its limit of one. In the end no slot may remain
// taken.
func TestUpstreamLimitsHoldWhileACellIsReassigned(t *testing.T) {
	cl := newCluster(t, 3, &catalogpb.Service{Name: "s", ColdSlots: 1, WarmAfter: 1 << 20, QueueLimit: 1 << 10})
	cl.cfg.Cells = cl.cfg.Cells[:1]
	cl.applyConfig()
	load := &upstreamLoad{running: make(map[string]int), peak: make(map[string]int)}
	ctx, stop := context.WithCancel(t.Context())
	var served atomic.Int64
	var wg conc.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for ctx.Err() == nil {
				g, err := cl.vms[i%3].client.Acquire(ctx, Request{Service: "s", Deadline: time.Now().Add(2 * time.Second)})
				if err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				load.run(g.Upstream, time.Duration(rng.IntN(4))*time.Millisecond)
				served.Add(1)
				cl.vms[i%3].client.Release(g, ok(time.Millisecond))
			}
		})
	}
	for epoch := uint64(2); epoch < 12; epoch++ {
		target := served.Load() + 30
		for served.Load() < target {
			cl.announce(0, "u0", "z0", 4)
			cl.announce(1, "u1", "z0", 4)
			time.Sleep(5 * time.Millisecond)
		}
		cfg := proto.CloneOf(cl.cfg)
		cfg.Revision = epoch
		cfg.Cells[0].Epoch = epoch
		cfg.Cells[0].Entry = cl.cfg.Entries[epoch%3].Id
		cl.cfg = cfg
		cl.applyConfig()
	}
	stop()
	wg.Wait()
	for id, peak := range load.peak {
		assert.Equal(t, peak, 1, id)
	}
	for _, vm := range cl.vms {
		waitIdle(t, vm)
	}
}

// waitIdle waits until no slot of the cells that an entry VM dispatches is taken,
// and fails the test after 10 s.
func waitIdle(t *testing.T, vm *entryVM) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		taken := 0
		for _, all := range vm.server.Status(t.Context()) {
			for _, u := range all {
				taken += u.InFlight
			}
		}
		if taken == 0 {
			return
		}
	}
	t.Fatal("slots are still taken after 10 s")
}
