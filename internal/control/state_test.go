package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func desiredState(version uint64) *catalogpb.DesiredState {
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

func upstreamInState(id string, state catalogpb.UpstreamState) *catalogpb.Upstream {
	return &catalogpb.Upstream{Id: id, StartedMs: 1, Sequence: 1, Address: "10.0.0.1:80", Zone: "a", Pool: "p", Slots: 2, State: state}
}

// TestDesiredStateThroughFollower sends desired states to a control VM that
// does not lead: resends are acknowledged, invalid states are refused, and a
// read returns the source of the highest version.
func TestDesiredStateThroughFollower(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	none, err := g.followerAdmin().ReadState(ctx, &adminpb.ReadStateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, none.Version, uint64(0))
	for _, step := range []struct {
		version, held uint64
		applied       bool
	}{{3, 3, true}, {3, 3, false}, {2, 3, false}, {7, 7, true}} {
		resp, err := g.followerAdmin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desiredState(step.version)})
		assert.NilError(t, err)
		assert.Equal(t, resp.Result.HeldVersion, step.held)
		assert.Equal(t, resp.Result.Applied, step.applied)
	}
	invalid := desiredState(9)
	invalid.Routes[0].MaxAttempts = 0
	_, err = g.followerAdmin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: invalid})
	assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.InvalidChange)
	dryRun, err := g.followerAdmin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desiredState(9), DryRun: true})
	assert.NilError(t, err)
	assert.Assert(t, dryRun.Result.Applied)
	read, err := g.followerAdmin().ReadState(ctx, &adminpb.ReadStateRequest{})
	assert.NilError(t, err)
	assert.Equal(t, read.Version, uint64(7))
	assert.Equal(t, string(read.Source), "text")
	known, err := g.leaderAdmin().ReadState(ctx, &adminpb.ReadStateRequest{KnownVersion: 7})
	assert.NilError(t, err)
	assert.Equal(t, known.Version, uint64(7))
	assert.Equal(t, len(known.Source), 0)
	outdated, err := g.leaderAdmin().ReadState(ctx, &adminpb.ReadStateRequest{KnownVersion: 3})
	assert.NilError(t, err)
	assert.Equal(t, string(outdated.Source), "text")
}

// TestWithoutQuorumOnlyCommittedAnnouncementIsAcknowledged cuts the control VMs
// off from their quorum: an announcement that is already committed is
// acknowledged; a changed one, reads and other changes fail.
func TestWithoutQuorumOnlyCommittedAnnouncementIsAcknowledged(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	announce := func(state catalogpb.UpstreamState) error {
		limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := g.followerAdmin().AnnounceUpstream(limited, &adminpb.AnnounceUpstreamRequest{Upstream: upstreamInState("u", state)})
		return err
	}
	assert.NilError(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_READY))
	g.log.LoseQuorum()
	assert.NilError(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_READY))
	assert.Assert(t, announce(catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING) != nil)
	limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, err := g.followerAdmin().ReadState(limited, &adminpb.ReadStateRequest{})
	assert.Assert(t, err != nil)
	_, err = g.followerAdmin().DropUpstream(limited, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u"}})
	assert.Assert(t, err != nil)
	_, err = g.followerAdmin().SetZoneOut(limited, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: true}})
	assert.Assert(t, err != nil)
}

// TestLongTextsOfUpstreamsAreRefused guards against announcements that fill the memory of all
// control VMs and entry VMs.
func TestLongTextsOfUpstreamsAreRefused(t *testing.T) {
	g := newGroup(t)
	long := strings.Repeat("x", 300)
	for name, set := range map[string]func(*catalogpb.Upstream){
		"id":       func(u *catalogpb.Upstream) { u.Id = long },
		"address":  func(u *catalogpb.Upstream) { u.Address = long },
		"zone":     func(u *catalogpb.Upstream) { u.Zone = long },
		"pool":     func(u *catalogpb.Upstream) { u.Pool = long },
		"software": func(u *catalogpb.Upstream) { u.Software = long },
	} {
		u := upstreamInState("u", catalogpb.UpstreamState_UPSTREAM_STATE_READY)
		set(u)
		_, err := g.followerAdmin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
		assert.Check(t, fault.FromTwirp(err, fault.Internal).Kind == fault.InvalidChange, "%s: %v", name, err)
	}
	_, err := g.followerAdmin().DropUpstream(t.Context(), &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: long}})
	assert.Check(t, fault.FromTwirp(err, fault.Internal).Kind == fault.InvalidChange, "drop: %v", err)
	assert.Equal(t, len(g.config().Upstreams), 0)
}

// TestNumberOfUpstreamsIsBounded announces upstreams until new ones are refused. Those that
// are recorded can still change and leave, and make room for others.
func TestNumberOfUpstreamsIsBounded(t *testing.T) {
	const maxUpstreams = 3
	g := newGroupWith(t, control.Options{MaxUpstreams: maxUpstreams})
	announce := func(i int, state catalogpb.UpstreamState) error {
		u := upstreamInState(fmt.Sprintf("u%d", i), state)
		u.Address = fmt.Sprintf("10.0.0.%d:80", i)
		_, err := g.followerAdmin().AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
		return err
	}
	for i := range maxUpstreams {
		assert.NilError(t, announce(i, catalogpb.UpstreamState_UPSTREAM_STATE_READY))
	}
	err := announce(maxUpstreams, catalogpb.UpstreamState_UPSTREAM_STATE_READY)
	assert.Assert(t, fault.FromTwirp(err, fault.Internal).Kind == fault.Overloaded, "%v", err)
	assert.NilError(t, announce(0, catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING))
	_, err = g.followerAdmin().DropUpstream(t.Context(), &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u0"}})
	assert.NilError(t, err)
	assert.NilError(t, announce(maxUpstreams, catalogpb.UpstreamState_UPSTREAM_STATE_READY))
}

func TestSetZoneOutAndDropUpstreamChangeConfig(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	_, err := g.followerAdmin().AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: upstreamInState("u", catalogpb.UpstreamState_UPSTREAM_STATE_READY)})
	assert.NilError(t, err)
	for _, out := range []bool{true, true, false} {
		_, err = g.followerAdmin().SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "a", Out: out}})
		assert.NilError(t, err)
	}
	_, err = g.followerAdmin().DropUpstream(ctx, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u"}})
	assert.NilError(t, err)
	cfg, err := g.followerAdmin().GetConfig(ctx, &adminpb.GetConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, cfg.Config.Upstreams[0].State, catalogpb.UpstreamState_UPSTREAM_STATE_GONE)
	assert.Equal(t, cfg.Config.Zones[0].State, catalogpb.ZoneState_ZONE_STATE_RETURNING)
}

// TestUnregisteredGatewayGetsConfigWithoutLease sends the first renewals of a
// gateway, which gets its configuration before it is registered, and of an
// entry VM that needs a lease.
func TestUnregisteredGatewayGetsConfigWithoutLease(t *testing.T) {
	g := newGroup(t)
	ctx := context.Background()
	_, err := g.followerAdmin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: desiredState(3)})
	assert.NilError(t, err)
	assert.Assert(t, g.renew("e1", 1, 0, false).LeaseMs > 0)
	resp := g.renewGateway("g1")
	assert.Equal(t, resp.LeaseMs, uint32(0))
	assert.Equal(t, resp.Config.GetStateVersion(), uint64(3))
}
