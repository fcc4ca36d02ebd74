package slot

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// source is a configview.Source whose view and freshness are set by a test.
type source struct {
	v     atomic.Pointer[configview.View]
	stale atomic.Bool
}

func (s *source) View() *configview.View { return s.v.Load() }
func (s *source) Fresh() bool            { return !s.stale.Load() }

// entryVM is an entry VM with a dispatcher server and a client.
type entryVM struct {
	src        *source
	server     *dispatchserver.Server
	client     *Client
	httpServer *httptest.Server
	cancel     context.CancelFunc
}

// cluster is a set of entry VMs with the same configuration.
type cluster struct {
	t   testing.TB
	ctx context.Context
	vms []*entryVM
	cfg *catalogpb.Config
}

// newCluster starts n entry VMs; entry VM i is in zone i. Cell i is in zone i
// and dispatched by entry VM i.
func newCluster(t testing.TB, n int, svc *catalogpb.Service) *cluster {
	cl := &cluster{t: t, ctx: t.Context(), cfg: &catalogpb.Config{Revision: 1, Services: []*catalogpb.Service{svc}}}
	for i := range n {
		id, zone := fmt.Sprintf("e%d", i), fmt.Sprintf("z%d", i)
		vm := &entryVM{src: &source{}}
		ctx, stop := context.WithCancel(context.Background())
		vm.cancel = stop
		vm.server = dispatchserver.New(dispatchserver.Options{Entry: id, Incarnation: 1, View: vm.src})
		vm.httpServer = httptest.NewServer(vm.server.Handler())
		vm.client = NewClient(Options{Entry: id, Zone: zone, Incarnation: 1, View: vm.src, Local: vm.server})
		done := make(chan struct{}, 2)
		go func() { vm.server.Run(ctx); done <- struct{}{} }()
		go func() { vm.client.Run(ctx); done <- struct{}{} }()
		t.Cleanup(func() { stop(); vm.httpServer.Close(); <-done; <-done })
		cl.vms = append(cl.vms, vm)
		cl.cfg.Entries = append(cl.cfg.Entries, &catalogpb.Entry{Id: id, Zone: zone, Incarnation: 1, ClusterAddress: vm.httpServer.Listener.Addr().String()})
		cl.cfg.Zones = append(cl.cfg.Zones, &catalogpb.Zone{Name: zone, State: catalogpb.ZoneState_ZONE_STATE_IN})
		cl.cfg.Cells = append(cl.cfg.Cells, &catalogpb.Cell{Service: svc.Name, Zone: zone, Entry: id, Incarnation: 1, Epoch: 1})
	}
	cl.applyConfig()
	return cl
}

// applyConfig gives the configuration to every entry VM.
func (cl *cluster) applyConfig() {
	for _, vm := range cl.vms {
		v := configview.New(proto.Clone(cl.cfg).(*catalogpb.Config))
		vm.src.v.Store(v)
		vm.client.OnConfig(cl.ctx, v)
		vm.server.OnConfig(v)
	}
}

func (cl *cluster) announce(vm int, id, zone string, slots uint32) {
	cl.vms[vm].server.Announce([]*clusterpb.Announcement{{
		Service: "s", Zone: zone, Id: id, Address: id + ":80", Slots: slots, Incarnation: 1, State: "warm",
	}})
}

func (cl *cluster) acquire(vm int) (Grant, error) {
	return cl.vms[vm].client.Acquire(cl.ctx, Request{Service: "s", Deadline: time.Now().Add(5 * time.Second)})
}

// acquireEventually repeats acquire until it succeeds, for up to 10 s.
func (cl *cluster) acquireEventually(vm int) Grant {
	cl.t.Helper()
	var g Grant
	var err error
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if g, err = cl.acquire(vm); err == nil {
			return g
		}
	}
	cl.t.Fatal(err)
	return Grant{}
}

func ok(d time.Duration) Result {
	return Result{Outcome: clusterpb.Outcome_OUTCOME_OK, ServiceTime: d}
}

func TestClientPrefersItsZoneAndUsesAnotherWhenItsOwnIsFull(t *testing.T) {
	cl := newCluster(t, 2, &catalogpb.Service{Name: "s", ColdSlots: 1})
	cl.announce(0, "u0", "z0", 1)
	cl.announce(0, "u1", "z1", 1)
	g := cl.acquireEventually(0)
	for g.Upstream != "u0" {
		cl.vms[0].client.Release(g, ok(time.Millisecond))
		g = cl.acquireEventually(0)
	}
	other := cl.acquireEventually(0)
	assert.Equal(t, other.Upstream, "u1")
	assert.Equal(t, other.Dispatcher, "e1")
	cl.vms[0].client.Release(other, ok(time.Millisecond))
	again := cl.acquireEventually(1)
	assert.Equal(t, again.Upstream, "u1")
}

func TestClientIsRefusedWhenQueueIsFullOrConfigurationIsNotFresh(t *testing.T) {
	cl := newCluster(t, 1, &catalogpb.Service{Name: "s", ColdSlots: 1, QueueLimit: 1})
	cl.announce(0, "u0", "z0", 1)
	first := cl.acquireEventually(0)
	got := make(chan Grant)
	go func() { got <- cl.acquireEventually(0) }()
	cl.waitQueued(0)
	_, err := cl.acquire(0)
	assert.Equal(t, fault.KindOf(err), fault.QueueFull)
	cl.vms[0].client.Release(first, ok(time.Millisecond))
	assert.Equal(t, (<-got).Upstream, "u0")
	cl.vms[0].src.stale.Store(true)
	_, err = cl.acquire(0)
	assert.Equal(t, fault.KindOf(err), fault.NotFresh)
}

// TestDispatcherLearnsWhatUpstreamHasSaidToOtherEntryVM lets an upstream pause, and
// then leave, in answers to an entry VM that does not dispatch its cell. No entry
// VM may get its slots any more.
func TestDispatcherLearnsWhatUpstreamHasSaidToOtherEntryVM(t *testing.T) {
	for said, want := range map[notice.Notice]fault.Kind{
		{Pause: time.Minute}: fault.UpstreamsPaused,
		{Leaving: true}:      fault.NoUpstream,
	} {
		cl := newCluster(t, 2, &catalogpb.Service{Name: "s", ColdSlots: 4})
		cl.announce(1, "u1", "z1", 4)
		g := cl.acquireEventually(0)
		assert.Equal(t, g.Dispatcher, "e1")
		cl.vms[0].client.Release(g, Result{Outcome: clusterpb.Outcome_OUTCOME_OK, ServiceTime: time.Millisecond, Notice: said})
		var err error
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && err == nil; {
			if g, err = cl.acquire(1); err == nil {
				cl.vms[1].client.Release(g, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
			}
		}
		assert.Equal(t, fault.KindOf(err), want)
		if want == fault.UpstreamsPaused {
			after := fault.FromError(err).RetryAfter
			assert.Assert(t, after > 50*time.Second && after < 2*time.Minute, "told to come back after %s", after)
		}
	}
}

// waitQueued waits until a request is in a queue of entry VM i.
func (cl *cluster) waitQueued(i int) {
	for {
		n := 0
		for _, c := range cl.vms[i].server.Queued(cl.ctx) {
			n += c
		}
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestNewDispatcherWaitsForTicketsOfThePreviousOne guards against exceeding an
// upstream's limit when its cell gets a new dispatcher: the slot that the previous
// one granted is not granted again before it is released.
func TestNewDispatcherWaitsForTicketsOfThePreviousOne(t *testing.T) {
	cl := newCluster(t, 3, &catalogpb.Service{Name: "s", ColdSlots: 1})
	cl.cfg.Cells = cl.cfg.Cells[:1]
	cl.applyConfig()
	cl.announce(0, "u0", "z0", 1)
	held := cl.acquireEventually(1)
	next := &catalogpb.Config{Revision: 2, Services: cl.cfg.Services, Zones: cl.cfg.Zones, Entries: cl.cfg.Entries}
	next.Cells = []*catalogpb.Cell{{Service: "s", Zone: "z0", Entry: "e2", Incarnation: 1, Epoch: 2}}
	cl.cfg = next
	cl.applyConfig()
	got := make(chan Grant)
	go func() { got <- cl.acquireEventually(0) }()
	cl.waitQueued(2)
	cl.vms[1].client.Release(held, ok(time.Millisecond))
	g := <-got
	assert.Equal(t, g.Dispatcher, "e2")
	assert.Equal(t, g.Epoch, uint64(2))
}
