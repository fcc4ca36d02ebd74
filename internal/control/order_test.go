package control_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// TestOutdatedOrderIsRejectedAndRepeatedOneAcknowledged guards against orders of every
// kind that reach the leader late, after the opposite order. Each case makes an order,
// then the opposite one, then sends the first again as another control VM would that
// has held it all the while. Repeated, the last order must be acknowledged. In a mix of
// builds, orders have their old effect.
func TestOutdatedOrderIsRejectedAndRepeatedOneAcknowledged(t *testing.T) {
	zone := func(out bool) func(context.Context, adminpb.Admin) error {
		return func(ctx context.Context, a adminpb.Admin) error {
			_, err := a.SetZoneOut(ctx, &adminpb.SetZoneOutRequest{Change: &catalogpb.SetZoneOut{Zone: "z", Out: out}})
			return err
		}
	}
	change := func(number uint64, c *catalogpb.Change) func(context.Context, adminpb.Admin) error {
		return func(ctx context.Context, a adminpb.Admin) error {
			_, err := a.Apply(ctx, &adminpb.ApplyRequest{WaitMs: 1, Change: &catalogpb.OperatorChange{
				Id: &catalogpb.ChangeID{Operator: "o", Number: number}, Change: c,
			}})
			return err
		}
	}
	service := func(path string) *catalogpb.Change {
		return &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{Name: "s", PathPrefix: path}}}
	}
	zoneState := func(s catalogpb.ZoneState) *catalogpb.Change {
		return &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: &catalogpb.SetZoneState{Zone: "z", State: s}}}
	}
	start := func(at uint64) func(context.Context, adminpb.Admin) error {
		return func(ctx context.Context, a adminpb.Admin) error {
			u := upstreamInState("u", catalogpb.UpstreamState_UPSTREAM_STATE_READY)
			u.StartedMs = at
			_, err := a.AnnounceUpstream(ctx, &adminpb.AnnounceUpstreamRequest{Upstream: u})
			return err
		}
	}
	drop := func(ctx context.Context, a adminpb.Admin) error {
		_, err := a.DropUpstream(ctx, &adminpb.DropUpstreamRequest{Drop: &catalogpb.DropUpstream{Id: "u"}})
		return err
	}
	state := func(version uint64) func(context.Context, adminpb.Admin) error {
		return func(ctx context.Context, a adminpb.Admin) error {
			_, err := a.ApplyState(ctx, &adminpb.ApplyStateRequest{State: desiredState(version)})
			return err
		}
	}
	cases := map[string]struct {
		before, order, opposite, late func(context.Context, adminpb.Admin) error
		// harmless orders are acknowledged, but change nothing.
		harmless bool
	}{
		"zone":                 {zone(true), zone(false), zone(true), zone(false), false},
		"confirmed zone":       {zone(true), zone(false), zone(true), zone(false), false},
		"unknown zone":         {state(1), zone(true), zone(false), zone(true), false},
		"operator change":      {state(1), change(1, service("/a")), change(2, service("/b")), change(3, service("/a")), false},
		"zone state":           {zone(true), change(1, zoneState(catalogpb.ZoneState_ZONE_STATE_RETURNING)), zone(true), change(3, zoneState(catalogpb.ZoneState_ZONE_STATE_RETURNING)), false},
		"drop":                 {start(1), drop, start(2), drop, false},
		"desired state":        {state(1), state(2), state(3), state(2), true},
		"announcement":         {start(1), start(2), start(3), start(2), true},
		"same operator change": {state(1), change(1, service("/a")), change(2, service("/b")), change(1, service("/a")), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.operator = "o"
			assert.NilError(t, c.before(t.Context(), g.leaderAdmin()))
			base := g.config().Revision
			if name != "confirmed zone" {
				assert.NilError(t, c.order(t.Context(), g.leaderAdmin()))
			}
			assert.NilError(t, c.opposite(t.Context(), g.leaderAdmin()))
			want := g.config()
			err := c.late(heldSince(t, base), g.leaderAdmin())
			if c.harmless {
				assert.NilError(t, err)
			} else {
				assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.OutdatedOrder)
			}
			assert.Equal(t, g.config().Revision, want.Revision, "a late order has changed the configuration")
			assert.NilError(t, c.opposite(heldSince(t, base), g.leaderAdmin()), "an order that was accepted is rejected when repeated")

			g.replicas[1].SetFeatures(0)
			if !c.harmless {
				assert.NilError(t, c.late(heldSince(t, base), g.leaderAdmin()), "a late order in a mix of builds")
			}
		})
	}
}

// heldSince returns the context of a call by another control VM that has held an order
// since it had applied the revision.
func heldSince(t *testing.T, revision uint64) context.Context {
	header := http.Header{}
	header.Set("Balsam-Forwarded", "1")
	header.Set("Balsam-Operator", "o")
	header.Set("Balsam-Base-Revision", strconv.FormatUint(revision, 10))
	header.Set("Balsam-Upstream-Start", "1")
	ctx, err := twirp.WithHTTPRequestHeaders(t.Context(), header)
	assert.NilError(t, err)
	return ctx
}

// TestRemovalOfEntryIsBoundedAndRepeatable guards against a removal that was held while
// the entry VM registered again, and against a repeated removal that is rejected.
func TestRemovalOfEntryIsBoundedAndRepeatable(t *testing.T) {
	g := newGroup(t)
	remove := func(ctx context.Context) error {
		_, err := g.leaderAdmin().RemoveEntry(ctx, &adminpb.RemoveEntryRequest{Id: "e0", Ended: true})
		return err
	}
	g.renew("e0", 1, 0, false)
	base := g.config().Revision
	assert.NilError(t, remove(t.Context()))
	assert.NilError(t, remove(t.Context()))
	g.renew("e0", 2, 0, false)
	assert.Equal(t, fault.FromTwirp(remove(heldSince(t, base)), "").Kind, fault.OutdatedOrder)
	assert.Equal(t, len(g.config().Entries), 1)
}

// TestSupportNamesWhoLacksFeature guards against commands that an older build does not
// understand: each member and each registered gateway has to state its support.
func TestSupportNamesWhoLacksFeature(t *testing.T) {
	g := newGroup(t)
	want := features.BoundedOrders
	g.renewGateway("g-old")
	var err error
	for g.config().Entries == nil {
		time.Sleep(10 * time.Millisecond)
	}
	assert.NilError(t, control.Supports(g.control[0], want, false))
	err = control.Supports(g.control[0], want, true)
	assert.Assert(t, fault.KindOf(err) == fault.UnsupportedYet && strings.Contains(err.Error(), "g-old"), "%v", err)
	g.replicas[1].SetFeatures(0)
	err = control.Supports(g.control[0], want, false)
	assert.Assert(t, fault.KindOf(err) == fault.UnsupportedYet && strings.Contains(err.Error(), g.servers[1].Address()), "%v", err)
	assert.Equal(t, fault.KindOf(control.Supports(g.control[1], want, false)), fault.NotLeader)
}

// TestSilentMemberKeepsOrdersBounded guards against EVAC: a leader that had not heard from a
// suspended member since its start carried out orders of any age, since that member might
// have run an older build.
func TestSilentMemberKeepsOrdersBounded(t *testing.T) {
	g := newGroup(t)
	want := features.BoundedOrders
	g.replicas[1].Silence()
	err := control.Supports(g.control[0], want, false)
	assert.Equal(t, fault.KindOf(err), fault.UnsupportedYet, "nothing is known of the member: %v", err)

	g = newGroup(t)
	assert.NilError(t, control.Supports(g.control[0], want, false))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !control.GroupFeatures(g.control[0]).Has(want) {
			return poll.Continue("what all members support is not recorded")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	g.replicas[1].Silence()
	assert.NilError(t, control.Supports(g.control[0], want, false))
	g.replicas[1].SetFeatures(0)
	err = control.Supports(g.control[0], want, false)
	assert.Equal(t, fault.KindOf(err), fault.UnsupportedYet, "the member has stated that it runs an older build: %v", err)
}
