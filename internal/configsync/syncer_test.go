package configsync_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/control/controltest"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// waitTimeout is the longest wait for a condition.
const waitTimeout = 20 * time.Second

// process is a server whose handlers can be set after its address is known.
type process struct {
	server *httpnet.Server
	mux    atomic.Pointer[http.ServeMux]
}

// reset removes all handlers, as a restart does.
func (p *process) reset() { p.mux.Store(http.NewServeMux()) }

func (p *process) handle(path string, h http.Handler) { p.mux.Load().Handle(path, h) }

// ServeHTTP implements http.Handler.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.Load().ServeHTTP(w, r)
}

func (p *process) address() string { return p.server.Address() }

func newProcess(t testing.TB) *process {
	p := &process{}
	p.reset()
	var err error
	p.server, err = httpnet.Listen("127.0.0.1:0", p, httpnet.Limits{})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, p.server.Close()) })
	return p
}

// cluster is a control group of three and a number of entry VMs in one process.
type cluster struct {
	t        testing.TB
	ctx      context.Context
	client   *http.Client
	log      controltest.Log
	control  []*process
	leader   *controltest.Replica
	follower *controltest.Replica
	entries  []*configsync.Syncer
	admin    adminpb.Admin
	workers  conc.WaitGroup
}

func newCluster(t testing.TB) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ctx: ctx, client: httpnet.NewClient(nil)}
	t.Cleanup(func() {
		cancel()
		c.workers.Wait()
	})
	for i := range 3 {
		p := newProcess(t)
		s := control.New(control.Options{Client: httpnet.NewClient(nil)})
		r := c.log.Add(p.address(), s.StateMachine())
		s.SetReplica(r)
		p.handle(adminpb.AdminPathPrefix, s.PeerAdminHandler())
		p.handle("/", s.DistributionHandler())
		c.workers.Go(func() { s.Run(ctx) })
		c.control = append(c.control, p)
		switch i {
		case 0:
			c.leader = r
		case 1:
			c.follower = r
		}
	}
	c.admin = adminpb.NewAdminProtobufClient("http://"+c.control[1].address(), httpnet.NewClient(nil))
	return c
}

// start runs an entry VM that knows the given control addresses.
func (c *cluster) start(id, zone string, controlAddresses ...string) (*configsync.Syncer, context.CancelFunc) {
	return c.startAt(newProcess(c.t), id, zone, 1, controlAddresses...)
}

func (c *cluster) startAt(p *process, id, zone string, incarnation uint64, controlAddresses ...string) (*configsync.Syncer, context.CancelFunc) {
	s := configsync.New(configsync.Options{
		Entry:            &catalogpb.Entry{Id: id, Zone: zone, ClusterAddress: p.address(), Incarnation: incarnation},
		ControlAddresses: controlAddresses,
		Client:           c.client,
	})
	p.handle("/", s.Handler())
	ctx, cancel := context.WithCancel(c.ctx)
	c.workers.Go(func() { s.Run(ctx) })
	c.entries = append(c.entries, s)
	return s, cancel
}

func (c *cluster) apply(number uint64, change *catalogpb.Change) *adminpb.ApplyResponse {
	resp, err := c.admin.Apply(c.ctx, &adminpb.ApplyRequest{Change: &catalogpb.OperatorChange{
		Id:     &catalogpb.ChangeID{Operator: "op", Number: number},
		Change: change,
	}})
	assert.NilError(c.t, err)
	return resp
}

func (c *cluster) createService() {
	c.apply(1, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "a"}}})
	c.apply(2, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "b"}}})
	c.apply(3, &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{Name: "s", PathPrefix: "/s"}}})
}

func waitUntil(t testing.TB, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}

func allFresh(entries []*configsync.Syncer) func() bool {
	return func() bool {
		for _, e := range entries {
			if !e.Fresh() {
				return false
			}
		}
		return true
	}
}

// The change goes through a control VM that is not the leader. Cells must be
// assigned to entry VMs of their own zone.
func TestAcceptedChangeIsInForceOnAllEntryVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 4 {
		c.start(fmt.Sprintf("e%d", i), string(rune('a'+i%2)), c.control[2].address())
	}
	waitUntil(t, "all entry VMs have fresh configurations", allFresh(c.entries))
	c.createService()
	resp := c.apply(4, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{
		Zone: "b", State: catalogpb.ZoneState_ZONE_STATE_LEAVING,
	}}})
	assert.Assert(t, resp.Accepted, "change not accepted, entry VMs missing: %v", resp.Missing)
	for _, e := range c.entries {
		assert.Assert(t, !e.View().ZoneOpen("b"))
		assert.Assert(t, e.Fresh())
	}
	for i, zone := range []string{"a", "b"} {
		key := configview.CellKey{Service: "s", Zone: zone}
		waitUntil(t, "exactly one entry VM dispatches the cell, and it is of the cell's zone", func() bool {
			return countDispatching(c.entries, key) == 1 && countDispatching([]*configsync.Syncer{c.entries[i], c.entries[i+2]}, key) == 1
		})
	}
}

func countDispatching(entries []*configsync.Syncer, key configview.CellKey) int {
	n := 0
	for _, e := range entries {
		if _, ok := e.Dispatches(key); ok {
			n++
		}
	}
	return n
}

// Without a control quorum no lease can be renewed. The entry VMs must confirm
// each other, including one that restarts.
func TestEntryVMsStayFreshWithoutControlQuorum(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 3 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	p := newProcess(t)
	_, stop := c.startAt(p, "e3", "a", 1, c.control[0].address())
	waitUntil(t, "all entry VMs have fresh configurations", allFresh(c.entries))
	c.createService()
	c.log.LoseQuorum()
	cut := time.Now()
	waitUntil(t, "all entry VMs have fresh configurations after their leases have ended", func() bool {
		return time.Since(cut) > freshness.LeaseDuration+time.Second && allFresh(c.entries)()
	})
	stop()
	p.reset()
	restarted, _ := c.startAt(p, "e3", "a", 2, c.control[0].address())
	waitUntil(t, "the restarted entry VM has a fresh configuration", restarted.Fresh)
	waitUntil(t, "the other entry VMs have fresh configurations", allFresh(c.entries[:3]))
}

func TestChangesAreAcceptedAfterLeaderChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 3 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	waitUntil(t, "all entry VMs have fresh configurations", allFresh(c.entries))
	c.createService()
	c.log.SetLeader(c.follower)
	number := uint64(10)
	waitUntil(t, "a change is accepted", func() bool {
		number++
		state := catalogpb.ZoneState_ZONE_STATE_LEAVING
		if number%2 == 0 {
			state = catalogpb.ZoneState_ZONE_STATE_RETURNING
		}
		return c.apply(number, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{Zone: "a", State: state}}}).Accepted
	})
	assert.Assert(t, allFresh(c.entries)())
}

// An entry VM that cannot reach any control VM must receive leases and changes
// through other entry VMs.
func TestEntryVMCutOffFromControlRenewsThroughOthers(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.start("e0", "a", c.control[0].address())
	c.start("e1", "a", c.control[0].address())
	waitUntil(t, "both entry VMs have fresh configurations", allFresh(c.entries))
	waitUntil(t, "both entry VMs are registered", func() bool { return len(c.entries[0].View().Config.Entries) == 2 })
	blocked := map[string]bool{}
	for _, p := range c.control {
		blocked[p.address()] = true
	}
	p := newProcess(t)
	s := configsync.New(configsync.Options{
		Entry:            &catalogpb.Entry{Id: "e2", Zone: "a", ClusterAddress: p.address(), Incarnation: 1},
		ControlAddresses: []string{c.control[0].address()},
		PeerAddresses:    []string{c.entryAddress("e0"), c.entryAddress("e1")},
		Client:           &http.Client{Transport: blockedTransport(blocked)},
	})
	p.handle("/", s.Handler())
	c.workers.Go(func() { s.Run(c.ctx) })
	waitUntil(t, "the entry VM that is cut off has a fresh configuration", s.Fresh)
	resp := c.apply(1, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "a"}}})
	assert.Assert(t, resp.Accepted, "change not accepted, entry VMs missing: %v", resp.Missing)
	waitUntil(t, "the entry VM that is cut off has the change", func() bool { return s.View().Revision() >= resp.Result.Revision })
}

var plainClient = httpnet.NewClient(nil)

// blockedTransport fails calls to the addresses in the map.
type blockedTransport map[string]bool

// RoundTrip implements http.RoundTripper.
func (b blockedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b[r.URL.Host] {
		return nil, fmt.Errorf("address %s is blocked", r.URL.Host)
	}
	return plainClient.Transport.RoundTrip(r)
}

func (c *cluster) entryAddress(id string) string {
	return c.entries[0].View().Entry(id).ClusterAddress
}

// The cells must move when the stop is announced, before the entry VM has
// stopped.
func TestLeavingEntryVMHandsOverItsCells(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 2 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	waitUntil(t, "all entry VMs have fresh configurations", allFresh(c.entries))
	c.createService()
	key := configview.CellKey{Service: "s", Zone: "a"}
	waitUntil(t, "exactly one entry VM dispatches the cell", func() bool { return countDispatching(c.entries, key) == 1 })
	first, second := c.entries[0], c.entries[1]
	if _, ok := second.Dispatches(key); ok {
		first, second = second, first
	}
	first.SetLeaving()
	waitUntil(t, "the other entry VM dispatches the cell", func() bool { _, ok := second.Dispatches(key); return ok })
	assert.Equal(t, countDispatching(c.entries, key), 1)
}

// TestIsolatedEntryVMIsKnownToOthers lets one entry VM lose all upstreams and
// reach them again.
func TestIsolatedEntryVMIsKnownToOthers(t *testing.T) {
	c := newCluster(t)
	var entries []*configsync.Syncer
	for i := range 3 {
		s, cancel := c.start(fmt.Sprint("e", i), "a", c.control[0].address())
		defer cancel()
		entries = append(entries, s)
	}
	waitUntil(t, "all entry VMs are fresh", allFresh(entries))
	for _, isolated := range []bool{true, false, true} {
		entries[0].SetIsolated(isolated)
		waitUntil(t, "all entry VMs know it", func() bool {
			for _, e := range entries {
				if e.Isolated("e0") != isolated {
					return false
				}
			}
			return true
		})
		assert.Assert(t, !entries[2].Isolated("e1"))
	}
}
