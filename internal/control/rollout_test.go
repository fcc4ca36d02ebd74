package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/rollout"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// rolloutGroup is a control group with a pool of which v1 is in rotation.
type rolloutGroup struct {
	*group
	t *testing.T
}

func newRolloutGroup(t *testing.T) rolloutGroup {
	g := rolloutGroup{newGroupWith(t, control.Options{Rollout: settings.Rollout{Share: 0.1, Slack: 50, RollbackMs: 5000}}), t}
	ctx := context.Background()
	_, err := g.leaderAdmin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: &catalogpb.DesiredState{
		Version: 1, Pools: []*catalogpb.Pool{{Name: "p", HealthPath: "/"}},
		Routes: []*catalogpb.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE, TimeoutMs: 100, MaxAttempts: 1,
			Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
		}},
	}})
	assert.NilError(t, err)
	for i, software := range []string{"v1", "v1", "v2", "v2"} {
		_, err := g.leaderAdmin().AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: &catalogpb.Upstream{
			Id: string(rune('a' + i)), StartedMs: uint64(1 + i), Address: string(rune('a'+i)) + ":1", Zone: "z", Pool: "p", Software: software,
			Slots: 1, State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		}})
		assert.NilError(t, err)
	}
	return g
}

func (g rolloutGroup) start(admin adminpb.Admin, target string, durationMs uint32) (*catalogpb.Rollout, error) {
	order := &catalogpb.StartRollout{Pool: "p", Target: target, DurationMs: durationMs}
	resp, err := admin.StartRollout(context.Background(), &adminpb.StartRolloutRequest{Rollout: order})
	return resp.GetRollout(), err
}

// mustStart orders a roll-out once the version in rotation is recorded.
func (g rolloutGroup) mustStart(target string, durationMs uint32) (started *catalogpb.Rollout) {
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		r, err := g.start(g.followerAdmin(), target, durationMs)
		if err != nil {
			return poll.Continue("%v", err)
		}
		started = r
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	return started
}

func (g rolloutGroup) read() *catalogpb.Rollout {
	resp, err := g.followerAdmin().GetRollout(context.Background(), &adminpb.GetRolloutRequest{Pool: "p"})
	assert.NilError(g.t, err)
	return resp.Rollout
}

func (g rolloutGroup) awaitState(state catalogpb.RolloutState, timeout time.Duration) *catalogpb.Rollout {
	var r *catalogpb.Rollout
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if r = g.read(); r.State != state {
			return poll.Continue("%v", r)
		}
		return poll.Success()
	}, poll.WithTimeout(timeout))
	return r
}

// renewWith renews a gateway that knows the newest configuration and reports evidence.
func (g rolloutGroup) renewWith(r *catalogpb.Rollout, incarnation uint64, knownMs, oldInFlight uint32, e rollout.Evidence) {
	_, err := g.leaderDistribution().Renew(context.Background(), &clusterpb.RenewRequest{
		Entry:       &catalogpb.Entry{Id: "g", ClusterAddress: "g:1", Incarnation: incarnation, ServesStale: true, Features: uint64(features.Supported)},
		ServesStale: true, Synced: true, Revision: r.ChangedRevision,
		RolloutEvidence: []*clusterpb.RolloutEvidence{{
			Pool: "p", StartedRevision: r.StartedRevision, Routes: e.Routes(), KnownMs: knownMs, OldInFlight: oldInFlight, AppliedRevision: r.ChangedRevision,
		}},
	})
	assert.NilError(g.t, err)
}

// TestBadRolloutIsRolledBack lets a gateway report failures to a control VM that does not
// lead. The verdict must be committed soon, and an order that is repeated after it must
// not start the roll-out again.
func TestBadRolloutIsRolledBack(t *testing.T) {
	g := newRolloutGroup(t)
	_, err := g.followerAdmin().GetRollout(context.Background(), &adminpb.GetRolloutRequest{Pool: "p"})
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.NotFound)
	r := g.mustStart("v2", 60_000)
	again, err := g.start(g.leaderAdmin(), "v2", 60_000)
	assert.NilError(t, err)
	assert.Equal(t, again.StartedRevision, r.StartedRevision)
	_, err = g.start(g.leaderAdmin(), "v3", 60_000)
	assert.Equal(t, fault.FromTwirp(err, fault.Internal).Kind, fault.RolloutUnderWay)
	e := rollout.Evidence{
		{Route: "r", Upstream: "a"}:            {Requests: 300, Timed: 300},
		{Route: "r", Upstream: "b"}:            {Requests: 300, Timed: 300},
		{Route: "r", Upstream: "c", New: true}: {Requests: 33, Timed: 13, Failures: 20},
		{Route: "r", Upstream: "d", New: true}: {Requests: 33, Timed: 13, Failures: 20},
	}
	reports := clusterpb.NewRolloutsProtobufClient("http://"+g.servers[1].Address(), httpnet.NewClient(nil))
	began := time.Now()
	_, err = reports.Report(context.Background(), &clusterpb.ReportEvidenceRequest{Entry: "g", Incarnation: 1, Evidence: []*clusterpb.RolloutEvidence{
		{Pool: "p", StartedRevision: r.StartedRevision, Routes: e.Routes(), KnownMs: 500},
	}})
	assert.NilError(t, err)
	r = g.awaitState(catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 2*time.Second)
	t.Logf("rolled back %v after the report: %s", time.Since(began), r.Reason)
	again, err = g.start(g.followerAdmin(), "v2", 60_000)
	assert.NilError(t, err)
	assert.Equal(t, again.StartedRevision, r.StartedRevision, "a repeated order started the roll-out again")
	assert.Equal(t, again.State, catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK)
	// The other control VM has applied the verdict, too, and knows when.
	g.log.SetLeader(g.replicas[1])
	again, err = g.start(g.followerAdmin(), "v2", 60_000)
	assert.NilError(t, err)
	assert.Equal(t, again.State, catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK)
}

// TestGoodRolloutIsCompletedOnceTheOldVersionIsIdle guards against a verdict that lets
// the old upstreams stop while a gateway still uses them.
func TestGoodRolloutIsCompletedOnceTheOldVersionIsIdle(t *testing.T) {
	g := newRolloutGroup(t)
	r := g.mustStart("v2", 2000)
	began := time.Now()
	inFlight := uint32(1)
	for r.State != catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED && time.Since(began) < 6*time.Second {
		if time.Since(began) > 3*time.Second {
			inFlight = 0
		}
		g.renewWith(r, 1, uint32(time.Since(began).Milliseconds()), inFlight, nil)
		if r = g.read(); inFlight > 0 {
			assert.Assert(t, r.State != catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED)
		}
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, r.State, catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED)
	assert.Equal(t, r.ShiftPermille, uint32(1000))
	config, err := g.leaderAdmin().GetConfig(context.Background(), &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, config.Config.PoolSoftware[0].Software, "v2")
}

// TestNewLeaderLearnsTheElapsedTime replaces the leader by one that has no evidence. It
// must take no step before gateways have reported, and then continue.
func TestNewLeaderLearnsTheElapsedTime(t *testing.T) {
	g := newRolloutGroup(t)
	r := g.mustStart("v2", 3000)
	g.log.SetLeader(g.replicas[1])
	time.Sleep(1800 * time.Millisecond)
	assert.Equal(t, g.read().State, catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE, "without a report of any gateway")
	e := rollout.Evidence{{Route: "r", Upstream: "c", New: true}: {Requests: 60, Timed: 10, Failures: 50}}
	client := clusterpb.NewRolloutsProtobufClient("http://"+g.servers[0].Address(), httpnet.NewClient(nil))
	_, err := client.Report(context.Background(), &clusterpb.ReportEvidenceRequest{Entry: "g", Incarnation: 1, Evidence: []*clusterpb.RolloutEvidence{
		{Pool: "p", StartedRevision: r.StartedRevision, Routes: e.Routes(), KnownMs: 1500},
	}})
	assert.NilError(t, err)
	g.awaitState(catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK, 2*time.Second)
}
