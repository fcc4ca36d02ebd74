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
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/control/controltest"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// group is a control group of two replicas on loopback listeners. The first one
// leads. All calls are authenticated as operator.
type group struct {
	t        *testing.T
	log      controltest.Log
	replicas []*controltest.Replica
	servers  []*httpnet.Server
	control  []*control.Server
	operator string
}

func newGroup(t *testing.T) *group { return newGroupWith(t, control.Options{}) }

func newGroupWith(t *testing.T, o control.Options) *group {
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
		o.Client = httpnet.NewClient(nil)
		o.Operator = func(context.Context) string { return g.operator }
		s := control.New(o)
		r := g.log.Add(server.Address(), s.StateMachine())
		s.SetReplica(r)
		mux.Handle(clusterpb.DistributionPathPrefix, s.DistributionHandler())
		mux.Handle(adminpb.AdminPathPrefix, s.PeerAdminHandler())
		mux.Handle(clusterpb.RolloutsPathPrefix, s.RolloutsHandler())
		workers.Go(func() { s.Run(ctx) })
		g.servers = append(g.servers, server)
		g.control = append(g.control, s)
		g.replicas = append(g.replicas, r)
	}
	return g
}

// followerAdmin returns a client of the control VM that does not lead.
func (g *group) followerAdmin() adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+g.servers[1].Address(), httpnet.NewClient(nil))
}

// leaderAdmin returns a client of the control VM that leads.
func (g *group) leaderAdmin() adminpb.Admin {
	return adminpb.NewAdminProtobufClient("http://"+g.servers[0].Address(), httpnet.NewClient(nil))
}

func (g *group) leaderDistribution() clusterpb.Distribution {
	return clusterpb.NewDistributionProtobufClient("http://"+g.servers[0].Address(), httpnet.NewClient(nil))
}

// config returns the configuration of the control VM that leads.
func (g *group) config() *catalogpb.Config { return g.control[0].Config() }

// renewGateway sends a renewal of a gateway that has no configuration yet.
func (g *group) renewGateway(id string) *clusterpb.RenewResponse {
	resp, err := g.leaderDistribution().Renew(context.Background(), &clusterpb.RenewRequest{
		Entry:       &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: 1, ServesStale: true},
		ServesStale: true,
	})
	assert.NilError(g.t, err)
	return resp
}

func (g *group) renew(id string, incarnation, revision uint64, synced bool) *clusterpb.RenewResponse {
	resp, err := g.leaderDistribution().Renew(context.Background(), &clusterpb.RenewRequest{
		Entry:    &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: incarnation},
		Revision: revision,
		WaitMs:   1000,
		Synced:   synced,
		QuietMs:  60_000,
	})
	assert.NilError(g.t, err)
	return resp
}

func putZoneRequest(operator string, number uint64, dryRun bool) *adminpb.ApplyRequest {
	put := &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: &catalogpb.Zone{Name: "a"}}}
	return &adminpb.ApplyRequest{
		DryRun: dryRun,
		WaitMs: 200,
		Change: &catalogpb.OperatorChange{
			Id:     &catalogpb.ChangeID{Operator: operator, Number: number},
			Change: put,
		},
	}
}

func TestForwardedCallKeepsAuthenticatedOperator(t *testing.T) {
	g := newGroup(t)
	g.operator = "ann"
	_, err := g.followerAdmin().Apply(t.Context(), putZoneRequest("bob", 1, false))
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.Unauthorized)
	resp, err := g.followerAdmin().Apply(t.Context(), putZoneRequest("ann", 1, false))
	assert.NilError(t, err)
	assert.Equal(t, resp.Result.Outcome, catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED)
}

func TestDryRunReturnsDiffAndChangesNothing(t *testing.T) {
	g := newGroup(t)
	resp, err := g.followerAdmin().Apply(t.Context(), putZoneRequest("ann", 1, true))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Result.Diff), 1)
	cfg, err := g.followerAdmin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Config.Zones), 0)
}

// TestUnacceptedChangeListsMissingEntries registers two entry VMs that stop
// renewing: a change is not accepted, and the response names both.
func TestUnacceptedChangeListsMissingEntries(t *testing.T) {
	g := newGroup(t)
	first := g.renew("e0", 1, 0, false)
	g.renew("e0", 1, first.Revision, true)
	second := g.renew("e1", 1, 0, false)
	assert.Assert(t, second.LeaseMs > 0)
	resp, err := g.followerAdmin().Apply(t.Context(), putZoneRequest("ann", 1, false))
	assert.NilError(t, err)
	assert.Assert(t, !resp.Accepted)
	assert.DeepEqual(t, resp.Missing, []string{"e0", "e1"})
	status, err := g.followerAdmin().GetStatus(t.Context(), &adminpb.GetStatusRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(status.Entries), 2)
	assert.Equal(t, status.LeaderId, uint64(1))
}

func TestRemoveEntryDeletesRegisteredAndRejectsUnknownID(t *testing.T) {
	g := newGroup(t)
	g.renew("e0", 1, 0, false)
	_, err := g.followerAdmin().RemoveEntry(t.Context(), &adminpb.RemoveEntryRequest{Id: "e9", Ended: true})
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.NotFound)
	_, err = g.followerAdmin().RemoveEntry(t.Context(), &adminpb.RemoveEntryRequest{Id: "e0", Ended: true})
	assert.NilError(t, err)
	cfg, err := g.followerAdmin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Config.Entries), 0)
}

// TestOldIncarnationGetsNoLease sends a renewal of a process that has been
// replaced by a newer incarnation.
func TestOldIncarnationGetsNoLease(t *testing.T) {
	g := newGroup(t)
	assert.Assert(t, g.renew("e0", 2, 0, false).LeaseMs > 0)
	assert.Equal(t, g.renew("e0", 1, 0, false).LeaseMs, uint32(0))
}

// TestLeaderWithoutQuorumGrantsNoLease cuts a leader off from its quorum while
// it still believes that it leads.
func TestLeaderWithoutQuorumGrantsNoLease(t *testing.T) {
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

func TestHeldRenewalReceivesDeltaOnChange(t *testing.T) {
	g := newGroup(t)
	first := g.renew("e0", 1, 0, false)
	held := make(chan *clusterpb.RenewResponse, 1)
	var workers conc.WaitGroup
	workers.Go(func() { held <- g.renew("e0", 1, first.Revision, true) })
	_, err := g.followerAdmin().Apply(t.Context(), putZoneRequest("ann", 1, false))
	assert.NilError(t, err)
	workers.Wait()
	resp := <-held
	for resp.Delta == nil {
		resp = g.renew("e0", 1, first.Revision, true)
	}
	assert.Equal(t, resp.Delta.BaseRevision, first.Revision)
}

// TestGatewaysThatStartTogetherAreRegisteredInBatches starts many gateways at
// once, none of which acknowledges a later revision: all are registered, by far
// fewer commands than there are gateways.
func TestGatewaysThatStartTogetherAreRegisteredInBatches(t *testing.T) {
	const gateways = 60
	g := newGroup(t)
	var workers conc.WaitGroup
	for i := range gateways {
		workers.Go(func() {
			_, err := g.leaderDistribution().Renew(context.Background(), &clusterpb.RenewRequest{
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

// TestConfigsSentToGatewayAreRateLimited makes many changes in a row while one
// of many gateways renews: it gets the last configuration, and no more
// configurations than the minimum interval allows.
func TestConfigsSentToGatewayAreRateLimited(t *testing.T) {
	const gateways, changes = 100, 400
	g := newGroup(t)
	for i := range gateways {
		g.renewGateway(fmt.Sprint("g", i))
	}
	renewFrom := func(revision uint64) *clusterpb.RenewResponse {
		resp, err := g.leaderDistribution().Renew(t.Context(), &clusterpb.RenewRequest{
			Entry:       &catalogpb.Entry{Id: "g0", ClusterAddress: "g0:1", Incarnation: 1, ServesStale: true},
			ServesStale: true, Synced: true, Revision: revision, WaitMs: 1000,
		})
		assert.NilError(t, err)
		return resp
	}
	var lastRevision atomic.Uint64
	var workers conc.WaitGroup
	start := time.Now()
	workers.Go(func() {
		for i := range changes {
			u := upstreamInState(fmt.Sprint("u", i), catalogpb.UpstreamState_UPSTREAM_STATE_READY)
			u.Address = fmt.Sprint("10.0.0.1:", 1000+i)
			_, err := g.followerAdmin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
			assert.Check(t, err)
		}
		cfg, err := g.leaderAdmin().GetConfig(t.Context(), &adminpb.GetConfigRequest{})
		assert.Check(t, err)
		lastRevision.Store(cfg.Config.GetRevision())
	})
	configsSent, heldRevision := 0, uint64(0)
	for lastRevision.Load() == 0 || heldRevision < lastRevision.Load() {
		resp := renewFrom(heldRevision)
		if resp.Revision > heldRevision && (resp.Delta != nil || resp.Config != nil) {
			configsSent++
			heldRevision = resp.Revision
		}
	}
	workers.Wait()
	interval := gateways * control.ConfigIntervalPerEntry
	assert.Assert(t, configsSent <= int(time.Since(start)/interval)+2, "%d configurations in %s", configsSent, time.Since(start))
}

// TestGatewayHundredsOfRevisionsBehindGetsDelta lets a gateway miss as many
// announcements as can occur within a second when many upstreams are replaced.
func TestGatewayHundredsOfRevisionsBehindGetsDelta(t *testing.T) {
	const missed = 300
	g := newGroup(t)
	first := g.renewGateway("g0")
	for i := range missed {
		u := upstreamInState(fmt.Sprint("u", i), catalogpb.UpstreamState_UPSTREAM_STATE_READY)
		u.Address = fmt.Sprint("10.0.0.1:", 1000+i)
		_, err := g.leaderAdmin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
		assert.NilError(t, err)
	}
	resp, err := g.leaderDistribution().Renew(t.Context(), &clusterpb.RenewRequest{
		Entry:       &catalogpb.Entry{Id: "g0", ClusterAddress: "g0:1", Incarnation: 1, ServesStale: true},
		ServesStale: true, Synced: true, Revision: first.Config.GetRevision(), WaitMs: 1000,
	})
	assert.NilError(t, err)
	assert.Assert(t, resp.Config == nil && resp.Delta != nil)
	assert.Equal(t, len(resp.Delta.PutUpstreams), missed)
}

// TestRenewRefusesInvalidEntryID sends a renewal with an id that cannot be
// registered.
func TestRenewRefusesInvalidEntryID(t *testing.T) {
	g := newGroup(t)
	_, err := g.leaderDistribution().Renew(t.Context(), &clusterpb.RenewRequest{
		Entry: &catalogpb.Entry{Id: "no name\n", ClusterAddress: "e:1", Incarnation: 1, ServesStale: true}, ServesStale: true,
	})
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.InvalidChange)
}

// TestControlVMsThatDoNotLeadSendDeltas guards against incident inc1: gateways that
// asked another control VM than the leader, or a new leader, were sent whole
// configurations over congested links.
func TestControlVMsThatDoNotLeadSendDeltas(t *testing.T) {
	g := newGroup(t)
	gateway := &catalogpb.Entry{Id: "g1", ClusterAddress: "g1:1", Incarnation: 1, ServesStale: true}
	_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(1)})
	assert.NilError(t, err)
	held := g.renewGateway(gateway.Id).Revision
	assert.Assert(t, held > 0)
	for version := uint64(2); version < 5; version++ {
		_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(version)})
		assert.NilError(t, err)
	}
	renew := func(server int) *clusterpb.RenewResponse {
		client := clusterpb.NewDistributionProtobufClient("http://"+g.servers[server].Address(), httpnet.NewClient(nil))
		resp, err := client.Renew(t.Context(), &clusterpb.RenewRequest{Entry: gateway, Revision: held, Synced: true, ServesStale: true, WaitMs: 100})
		assert.NilError(t, err)
		return resp
	}
	follower := renew(1)
	assert.Assert(t, follower.Config == nil && follower.Delta.GetBaseRevision() == held, "the follower sent %v", follower)
	g.log.SetLeader(g.replicas[1])
	leader := renew(1)
	assert.Assert(t, leader.Config == nil && leader.Delta.GetBaseRevision() == held, "the new leader sent %v", leader)
	assert.Equal(t, leader.Delta.StateVersion, uint64(4))
}

// TestRestartedGatewayGetsPackedConfig also expects the same from a control VM that
// does not lead, and the plain configuration for entry VMs that do not ask for
// packed ones.
// A leader states until when the configuration in its answer was the newest one:
// not after the last heartbeat round that a quorum has answered, since another may
// lead by then.
func TestAnswerStatesUntilWhenItsConfigIsTheNewest(t *testing.T) {
	g := newGroup(t)
	g.renewGateway("g1")
	req := &clusterpb.RenewRequest{
		Entry: &catalogpb.Entry{Id: "g1", ClusterAddress: "g1:1", Incarnation: 1, ServesStale: true}, ServesStale: true, WaitMs: 200,
	}
	renew := func() (*clusterpb.RenewResponse, time.Duration) {
		req.Synced = true
		start := time.Now()
		resp, err := g.leaderDistribution().Renew(t.Context(), req)
		assert.NilError(t, err)
		return resp, time.Since(start)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, _ := renew()
		req.Revision = resp.Revision
		if resp.LeaseMs > 0 {
			return poll.Success()
		}
		return poll.Continue("the gateway has no lease")
	})
	held, took := renew()
	newest := time.Duration(held.NewestMs) * time.Millisecond
	assert.Assert(t, newest > 0 && newest <= took, "newest until %s after the receipt, answered after %s", newest, took)

	g.log.LoseQuorum()
	lost := time.Now()
	time.Sleep(20 * time.Millisecond)
	received := time.Now()
	late, _ := renew()
	if late.LeaseMs > 0 {
		assert.Assert(t, time.Duration(late.NewestMs)*time.Millisecond <= lost.Sub(received)+time.Millisecond, "%d", late.NewestMs)
	}
}

// A state that was sent again is acknowledged by a control VM that does not lead
// once the leader says that it holds it, and does not go through the log again.
func TestStateSentAgainIsAcknowledgedThroughFollower(t *testing.T) {
	g := newGroup(t)
	for range 2 {
		_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(3)})
		assert.NilError(t, err)
	}
	resp, err := g.followerAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(3)})
	assert.NilError(t, err)
	assert.Assert(t, !resp.Result.Applied)
	assert.Equal(t, resp.Result.HeldVersion, uint64(3))
}

func TestRestartedGatewayGetsPackedConfig(t *testing.T) {
	g := newGroup(t)
	_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(3)})
	assert.NilError(t, err)
	for _, server := range g.servers {
		client := clusterpb.NewDistributionProtobufClient("http://"+server.Address(), httpnet.NewClient(nil))
		req := &clusterpb.RenewRequest{Entry: &catalogpb.Entry{Id: "g1", ClusterAddress: "g1:1", Incarnation: 1, ServesStale: true}, ServesStale: true, AcceptsPacked: true}
		packed, err := client.Renew(t.Context(), req)
		assert.NilError(t, err)
		assert.Assert(t, packed.Config == nil && packed.Delta == nil)
		cfg, err := catalog.UnpackConfig(packed.PackedConfig)
		assert.NilError(t, err)
		assert.Equal(t, cfg.StateVersion, uint64(3))
		assert.Equal(t, cfg.Revision, packed.Revision)
		req.AcceptsPacked = false
		plain, err := client.Renew(t.Context(), req)
		assert.NilError(t, err)
		assert.Assert(t, plain.Config != nil && plain.PackedConfig == nil)
	}
}
