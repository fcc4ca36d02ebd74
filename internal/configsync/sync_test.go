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
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/control/controltest"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/view"
)

// patience bounds waits for conditions.
const patience = 20 * time.Second

// process is a listener whose handler can be set after its address is known.
type process struct {
	server *httpnet.Server
	mux    atomic.Pointer[http.ServeMux]
}

// reset forgets the handlers, as a restart does.
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

// cluster is a control group of three and some entry VMs in one process.
type cluster struct {
	t       testing.TB
	ctx     context.Context
	client  *http.Client
	log     controltest.Log
	control []*process
	leader  *controltest.Replica
	second  *controltest.Replica
	entries []*configsync.Syncer
	admin   adminpb.Admin
	workers conc.WaitGroup
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
			c.second = r
		}
	}
	c.admin = adminpb.NewAdminProtobufClient("http://"+c.control[1].address(), httpnet.NewClient(nil))
	return c
}

// start starts an entry VM that knows the given control addresses.
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

func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
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

// TestChangeInForce makes a change through a control VM that does not lead and
// expects it everywhere, with cells in their own availability zone.
func TestChangeInForce(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 4 {
		c.start(fmt.Sprintf("e%d", i), string(rune('a'+i%2)), c.control[2].address())
	}
	eventually(t, "all are fresh", allFresh(c.entries))
	c.createService()
	resp := c.apply(4, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{
		Zone: "b", State: catalogpb.ZoneState_ZONE_STATE_LEAVING,
	}}})
	assert.Assert(t, resp.Accepted, "missing: %v", resp.Missing)
	for _, e := range c.entries {
		assert.Assert(t, !e.View().ZoneOpen("b"))
		assert.Assert(t, e.Fresh())
	}
	for i, zone := range []string{"a", "b"} {
		key := view.CellKey{Service: "s", Zone: zone}
		eventually(t, "one entry VM of the zone dispatches", func() bool {
			return dispatchers(c.entries, key) == 1 && dispatchers([]*configsync.Syncer{c.entries[i], c.entries[i+2]}, key) == 1
		})
	}
}

func dispatchers(entries []*configsync.Syncer, key view.CellKey) int {
	n := 0
	for _, e := range entries {
		if _, ok := e.Dispatches(key); ok {
			n++
		}
	}
	return n
}

// TestControlLost takes the control quorum away: entry VMs confirm each other,
// one that restarts is confirmed by the others, and no change goes through.
func TestControlLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 3 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	p := newProcess(t)
	_, stop := c.startAt(p, "e3", "a", 1, c.control[0].address())
	eventually(t, "all are fresh", allFresh(c.entries))
	c.createService()
	c.log.LoseQuorum()
	cut := time.Now()
	eventually(t, "all are fresh after their leases have ended", func() bool {
		return time.Since(cut) > freshness.LeaseDuration+time.Second && allFresh(c.entries)()
	})
	stop()
	p.reset()
	again, _ := c.startAt(p, "e3", "a", 2, c.control[0].address())
	eventually(t, "the restarted one is confirmed", again.Fresh)
	eventually(t, "the others are fresh", allFresh(c.entries[:3]))
}

// TestLeaderChange moves leadership: changes are accepted by the new leader.
func TestLeaderChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 3 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	eventually(t, "all are fresh", allFresh(c.entries))
	c.createService()
	c.log.SetLeader(c.second)
	number := uint64(10)
	eventually(t, "a change is accepted", func() bool {
		number++
		state := catalogpb.ZoneState_ZONE_STATE_LEAVING
		if number%2 == 0 {
			state = catalogpb.ZoneState_ZONE_STATE_RETURNING
		}
		return c.apply(number, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{Zone: "a", State: state}}}).Accepted
	})
	assert.Assert(t, allFresh(c.entries)())
}

// TestRelay starts an entry VM that reaches control VMs only through others.
func TestRelay(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.start("e0", "a", c.control[0].address())
	c.start("e1", "a", c.control[0].address())
	eventually(t, "both are fresh", allFresh(c.entries))
	eventually(t, "both are known", func() bool { return len(c.entries[0].View().Config.Entries) == 2 })
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
	eventually(t, "the one that is cut off holds a lease", s.Fresh)
	resp := c.apply(1, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "a"}}})
	assert.Assert(t, resp.Accepted, "missing: %v", resp.Missing)
	eventually(t, "it has the change", func() bool { return s.View().Revision() >= resp.Result.Revision })
}

var plain = httpnet.NewClient(nil)

// blockedTransport refuses calls to some addresses.
type blockedTransport map[string]bool

// RoundTrip implements http.RoundTripper.
func (b blockedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b[r.URL.Host] {
		return nil, fmt.Errorf("blocked")
	}
	return plain.Transport.RoundTrip(r)
}

func (c *cluster) entryAddress(id string) string {
	return c.entries[0].View().Entry(id).ClusterAddress
}

// TestLeaving announces a planned stop: the cells move at once.
func TestLeaving(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	for i := range 2 {
		c.start(fmt.Sprintf("e%d", i), "a", c.control[0].address())
	}
	eventually(t, "all are fresh", allFresh(c.entries))
	c.createService()
	key := view.CellKey{Service: "s", Zone: "a"}
	eventually(t, "one dispatches", func() bool { return dispatchers(c.entries, key) == 1 })
	first, second := c.entries[0], c.entries[1]
	if _, ok := second.Dispatches(key); ok {
		first, second = second, first
	}
	first.SetLeaving()
	eventually(t, "the other dispatches", func() bool { _, ok := second.Dispatches(key); return ok })
	assert.Equal(t, dispatchers(c.entries, key), 1)
}
