package control_test

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
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/control/controltest"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// group is a control group of two whose calls come from operator.
type group struct {
	t        *testing.T
	log      controltest.Log
	replicas []*controltest.Replica
	servers  []*httpnet.Server
	operator string
}

func newGroup(t *testing.T) *group {
	g := &group{t: t}
	ctx, cancel := context.WithCancel(context.Background())
	var workers conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	for range 2 {
		mux := http.NewServeMux()
		server, err := httpnet.Listen("127.0.0.1:0", mux, httpnet.Limits{})
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, server.Close()) })
		s := control.New(control.Options{
			Client:   httpnet.NewClient(nil),
			Operator: func(context.Context) string { return g.operator },
		})
		r := g.log.Add(server.Address(), s.StateMachine())
		s.SetReplica(r)
		mux.Handle(clusterpb.DistributionPathPrefix, s.DistributionHandler())
		mux.Handle(adminpb.AdminPathPrefix, s.PeerAdminHandler())
		workers.Go(func() { s.Run(ctx) })
		g.servers = append(g.servers, server)
		g.replicas = append(g.replicas, r)
	}
	return g
}

// admin returns a client of the server that does not lead.
func (g *group) admin() adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+g.servers[1].Address(), httpnet.NewClient(nil))
}

// leaderAdmin is the operators' service of the control VM that leads.
func (g *group) leaderAdmin() adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+g.servers[0].Address(), httpnet.NewClient(nil))
}

func (g *group) leader() clusterpb.Distribution {
	return clusterpb.NewDistributionProtobufClient("http://"+g.servers[0].Address(), httpnet.NewClient(nil))
}

// renewStale renews for a gateway that holds nothing yet.
func (g *group) renewStale(id string) *clusterpb.RenewResponse {
	resp, err := g.leader().Renew(context.Background(), &clusterpb.RenewRequest{
		Entry:       &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: 1, ServesStale: true},
		ServesStale: true,
	})
	assert.NilError(g.t, err)
	return resp
}

func (g *group) renew(id string, incarnation, revision uint64, synced bool) *clusterpb.RenewResponse {
	resp, err := g.leader().Renew(context.Background(), &clusterpb.RenewRequest{
		Entry:    &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: incarnation},
		Revision: revision,
		WaitMs:   1000,
		Synced:   synced,
		QuietMs:  60_000,
	})
	assert.NilError(g.t, err)
	return resp
}

func apply(operator string, number uint64, dry bool) *adminpb.ApplyRequest {
	put := &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "a"}}}
	return &adminpb.ApplyRequest{
		DryRun: dry,
		WaitMs: 200,
		Change: &catalogpb.OperatorChange{
			Id:     &catalogpb.ChangeID{Operator: operator, Number: number},
			Change: put,
		},
	}
}

func TestOperatorIsPassedOn(t *testing.T) {
	g := newGroup(t)
	g.operator = "ann"
	_, err := g.admin().Apply(t.Context(), apply("bob", 1, false))
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.Unauthorized)
	resp, err := g.admin().Apply(t.Context(), apply("ann", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, resp.Result.Outcome, catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
}

func TestDryRun(t *testing.T) {
	g := newGroup(t)
	resp, err := g.admin().Apply(t.Context(), apply("ann", 1, true))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Result.Diff), 1)
	cfg, err := g.admin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Config.Zones), 0)
}

// TestSilentEntryIsNamed registers two entry VMs, of which only one renews.
func TestSilentEntryIsNamed(t *testing.T) {
	g := newGroup(t)
	first := g.renew("e0", 1, 0, false)
	g.renew("e0", 1, first.Revision, true)
	second := g.renew("e1", 1, 0, false)
	assert.Assert(t, second.LeaseMs > 0)
	resp, err := g.admin().Apply(t.Context(), apply("ann", 1, false))
	assert.NilError(t, err)
	assert.Assert(t, !resp.Accepted)
	assert.DeepEqual(t, resp.Missing, []string{"e0", "e1"})
	status, err := g.admin().GetStatus(t.Context(), &adminpb.GetStatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(status.Entries), 2)
	assert.Equal(t, status.LeaderId, uint64(1))
}

func TestRemovedEntry(t *testing.T) {
	g := newGroup(t)
	g.renew("e0", 1, 0, false)
	_, err := g.admin().RemoveEntry(t.Context(), &adminpb.RemoveEntryRequest{Id: "e9", Ended: true})
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.NotFound)
	_, err = g.admin().RemoveEntry(t.Context(), &adminpb.RemoveEntryRequest{Id: "e0", Ended: true})
	assert.NilError(t, err)
	cfg, err := g.admin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Config.Entries), 0)
}

// TestOldIncarnationGetsNoLease renews for a process that another replaced.
func TestOldIncarnationGetsNoLease(t *testing.T) {
	g := newGroup(t)
	assert.Assert(t, g.renew("e0", 2, 0, false).LeaseMs > 0)
	assert.Equal(t, g.renew("e0", 1, 0, false).LeaseMs, uint32(0))
}

// TestNoQuorumNoLease takes the quorum away from a leader that keeps its role.
func TestNoQuorumNoLease(t *testing.T) {
	g := newGroup(t)
	first := g.renew("e0", 1, 0, false)
	assert.Assert(t, first.LeaseMs > 0)
	g.log.LoseQuorum()
	time.Sleep(time.Second)
	assert.Equal(t, g.renew("e0", 1, first.Revision, true).LeaseMs, uint32(0))
	unsynced := g.renew("e0", 1, 0, false)
	assert.Equal(t, unsynced.LeaseMs, uint32(0))
	assert.Equal(t, unsynced.Config.GetRevision(), first.Revision)
}

func TestDeltaAndHold(t *testing.T) {
	g := newGroup(t)
	first := g.renew("e0", 1, 0, false)
	held := make(chan *clusterpb.RenewResponse, 1)
	var workers conc.WaitGroup
	workers.Go(func() { held <- g.renew("e0", 1, first.Revision, true) })
	_, err := g.admin().Apply(t.Context(), apply("ann", 1, false))
	assert.NilError(t, err)
	workers.Wait()
	resp := <-held
	for resp.Delta == nil {
		resp = g.renew("e0", 1, first.Revision, true)
	}
	assert.Equal(t, resp.Delta.BaseRevision, first.Revision)
}

// TestGatewaysAreRegisteredTogether lets many gateways start at once, none of
// which acknowledges anything further: all are registered by a few commands.
func TestGatewaysAreRegisteredTogether(t *testing.T) {
	const gateways = 60
	g := newGroup(t)
	var workers conc.WaitGroup
	for i := range gateways {
		workers.Go(func() {
			_, err := g.leader().Renew(context.Background(), &clusterpb.RenewRequest{
				Entry:       &catalogpb.Entry{Id: fmt.Sprint("g", i), ClusterAddress: fmt.Sprint("g", i, ":1"), Incarnation: 1, ServesStale: true},
				ServesStale: true,
			})
			assert.Check(t, err)
		})
	}
	workers.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		cfg, err := g.leaderAdmin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
		if err != nil {
			return poll.Error(err)
		}
		if len(cfg.Config.Entries) < gateways {
			return poll.Continue("%d registered", len(cfg.Config.Entries))
		}
		assert.Assert(t, cfg.Config.Revision < gateways/2, "revision %d", cfg.Config.Revision)
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// TestManyChangesGoOutTogether makes changes one after another while a gateway
// among many follows: it is sent few configurations, the last one soon.
func TestManyChangesGoOutTogether(t *testing.T) {
	const gateways, changes = 100, 400
	g := newGroup(t)
	for i := range gateways {
		g.renewStale(fmt.Sprint("g", i))
	}
	follow := func(revision uint64) *clusterpb.RenewResponse {
		resp, err := g.leader().Renew(t.Context(), &clusterpb.RenewRequest{
			Entry:       &catalogpb.Entry{Id: "g0", ClusterAddress: "g0:1", Incarnation: 1, ServesStale: true},
			ServesStale: true, Synced: true, Revision: revision, WaitMs: 1000,
		})
		assert.NilError(t, err)
		return resp
	}
	var last atomic.Uint64
	var workers conc.WaitGroup
	begun := time.Now()
	workers.Go(func() {
		for i := range changes {
			u := upstreamOf(fmt.Sprint("u", i), catalogpb.UpstreamState_UPSTREAM_STATE_READY)
			u.Address = fmt.Sprint("10.0.0.1:", 1000+i)
			_, err := g.admin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
			assert.Check(t, err)
		}
		cfg, err := g.leaderAdmin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
		assert.Check(t, err)
		last.Store(cfg.Config.GetRevision())
	})
	news, held := 0, uint64(0)
	for last.Load() == 0 || held < last.Load() {
		resp := follow(held)
		if resp.Revision > held && (resp.Delta != nil || resp.Config != nil) {
			news++
			held = resp.Revision
		}
	}
	workers.Wait()
	pace := gateways * control.NewsPacePerEntry
	assert.Assert(t, news <= int(time.Since(begun)/pace)+2, "%d configurations in %s", news, time.Since(begun))
}

// TestGatewayFarBehindGetsADelta lets a gateway miss as many announcements as come
// within a second when many upstreams are replaced.
func TestGatewayFarBehindGetsADelta(t *testing.T) {
	const missed = 300
	g := newGroup(t)
	first := g.renewStale("g0")
	for i := range missed {
		u := upstreamOf(fmt.Sprint("u", i), catalogpb.UpstreamState_UPSTREAM_STATE_READY)
		u.Address = fmt.Sprint("10.0.0.1:", 1000+i)
		_, err := g.leaderAdmin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
		assert.NilError(t, err)
	}
	resp, err := g.leader().Renew(t.Context(), &clusterpb.RenewRequest{
		Entry:       &catalogpb.Entry{Id: "g0", ClusterAddress: "g0:1", Incarnation: 1, ServesStale: true},
		ServesStale: true, Synced: true, Revision: first.Config.GetRevision(), WaitMs: 1000,
	})
	assert.NilError(t, err)
	assert.Assert(t, resp.Config == nil && resp.Delta != nil)
	assert.Equal(t, len(resp.Delta.PutUpstreams), missed)
}

// TestEntryThatCannotBeRegisteredIsRefused renews under a name that no entry VM may
// have.
func TestEntryThatCannotBeRegisteredIsRefused(t *testing.T) {
	g := newGroup(t)
	_, err := g.leader().Renew(t.Context(), &clusterpb.RenewRequest{
		Entry: &catalogpb.Entry{Id: "no name\n", ClusterAddress: "e:1", Incarnation: 1, ServesStale: true}, ServesStale: true,
	})
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.InvalidChange)
}
