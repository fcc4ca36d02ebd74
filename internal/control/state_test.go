package control_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func desired(version uint64) *catalogpb.DesiredState {
	return &catalogpb.DesiredState{
		Version: version,
		Source:  []byte("text"),
		Pools:   []*catalogpb.Pool{{Name: "p", HealthPath: "/health"}},
		Routes: []*catalogpb.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Kind: catalogpb.RouteKind_ROUTE_KIND_SAFE, TimeoutMs: 1_000, MaxAttempts: 1,
			Shares: []*catalogpb.RouteShare{{Pool: "p", Weight: 1}},
		}},
	}
}

func upstreamOf(id string, state catalogpb.UpstreamState) *catalogpb.Upstream {
	return &catalogpb.Upstream{Id: id, StartedMs: 1, Sequence: 1, Address: "10.0.0.1:80", Zone: "a", Pool: "p", Slots: 2, State: state}
}

// TestStatesAtAnyControlVM sends states to a control VM that does not lead:
// resends are acknowledged, what is invalid is refused, and a read returns the
// text of the highest version.
func TestStatesAtAnyControlVM(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	none, err := g.admin().ReadState(ctx, &adminpb.ReadStateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, none.Version, uint64(0))
	for _, step := range []struct {
		version, held uint64
		applied       bool
	}{{3, 3, true}, {3, 3, false}, {2, 3, false}, {7, 7, true}} {
		resp, err := g.admin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desired(step.version)})
		assert.NilError(t, err)
		assert.Equal(t, resp.Result.HeldVersion, step.held)
		assert.Equal(t, resp.Result.Applied, step.applied)
	}
	bad := desired(9)
	bad.Routes[0].MaxAttempts = 0
	_, err = g.admin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: bad})
	assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.InvalidChange)
	dry, err := g.admin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desired(9), DryRun: true})
	assert.NilError(t, err)
	assert.Assert(t, dry.Result.Applied)
	read, err := g.admin().ReadState(ctx, &adminpb.ReadStateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, read.Version, uint64(7))
	assert.Equal(t, string(read.Source), "text")
	known, err := g.leaderAdmin().ReadState(ctx, &adminpb.ReadStateRequest{KnownVersion: 7})
	assert.NilError(t, err)
	assert.Equal(t, known.Version, uint64(7))
	assert.Equal(t, len(known.Source), 0)
	older, err := g.leaderAdmin().ReadState(ctx, &adminpb.ReadStateRequest{KnownVersion: 3})
	assert.NilError(t, err)
	assert.Equal(t, string(older.Source), "text")
}

// TestNothingIsAcknowledgedWithoutQuorum cuts the quorum: news of an upstream
// and reads are refused; what is committed already is acknowledged.
func TestNothingIsAcknowledgedWithoutQuorum(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	announce := func(state catalogpb.UpstreamState) error {
		limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := g.admin().AnnounceUpstream(limited, &adminpb.AnnounceUpstreamRequest{Upstream: upstreamOf("u", state)})
		return err
	}
	assert.NilError(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_READY))
	g.log.LoseQuorum()
	assert.NilError(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_READY))
	assert.Assert(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING) != nil)
	limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err := g.admin().ReadState(limited, &adminpb.ReadStateRequest{})
	assert.Assert(t, err != nil)
	_, err = g.admin().DropUpstream(limited, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u"}})
	assert.Assert(t, err != nil)
	_, err = g.admin().SetZoneOut(limited, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: true}})
	assert.Assert(t, err != nil)
}

func TestZoneOutAndDeparture(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	_, err := g.admin().AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: upstreamOf("u", catalogpb.UpstreamState_UPSTREAM_STATE_READY)})
	assert.NilError(t, err)
	for _, out := range []bool{true, true, false} {
		_, err = g.admin().SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: out}})
		assert.NilError(t, err)
	}
	_, err = g.admin().DropUpstream(ctx, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u"}})
	assert.NilError(t, err)
	cfg, err := g.admin().GetConfig(ctx, &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, cfg.Config.Upstreams[0].State, catalogpb.UpstreamState_UPSTREAM_STATE_GONE)
	assert.Equal(t, cfg.Config.Zones[0].State, catalogpb.ZoneState_ZONE_STATE_RETURNING)
}

// TestGatewayIsSentItsConfigurationBeforeItIsRegistered renews for a gateway
// that has just started, and for an entry VM that needs its lease.
func TestGatewayIsSentItsConfigurationBeforeItIsRegistered(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	_, err := g.admin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desired(3)})
	assert.NilError(t, err)
	assert.Assert(t, g.renew("e1", 1, 0, false).LeaseMs > 0)
	resp := g.renewStale("g1")
	assert.Equal(t, resp.LeaseMs, uint32(0))
	assert.Equal(t, resp.Config.GetStateVersion(), uint64(3))
}
