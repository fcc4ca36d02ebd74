package baseline

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/slot"
)

// staticView is a view source whose view never changes and is always fresh.
type staticView struct{ v *configview.View }

func (f staticView) View() *configview.View { return f.v }
func (f staticView) Fresh() bool            { return true }

func newTestAllocator(policy Policy) *Allocator {
	zones := []*catalogpb.Zone{{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_IN}, {Name: "b", State: catalogpb.ZoneState_ZONE_STATE_OUT}}
	s := New(Options{Policy: policy, View: staticView{configview.New(&catalogpb.Config{Zones: zones})}})
	s.ApplyAnnouncements([]*clusterpb.Announcement{
		{Service: "s", Zone: "a", Id: "u1", Slots: 2, State: "warm"},
		{Service: "s", Zone: "a", Id: "u2", Slots: 2, State: "warm"},
		{Service: "s", Zone: "a", Id: "gone", Slots: 2, State: "draining"},
		{Service: "s", Zone: "b", Id: "out", Slots: 2, State: "warm"},
	})
	return s
}

func TestAcquireSkipsDrainingUpstreamsAndClosedZones(t *testing.T) {
	s := newTestAllocator(Random)
	for range 50 {
		g, err := s.Acquire(context.Background(), slot.Request{Service: "s"})
		assert.NilError(t, err)
		assert.Assert(t, g.Upstream == "u1" || g.Upstream == "u2")
	}
	_, err := s.Acquire(context.Background(), slot.Request{Service: "s", Avoid: []string{"u1", "u2"}})
	assert.ErrorContains(t, err, "no_upstream")
}

func TestP2CSharedPicksLessLoadedUpstream(t *testing.T) {
	s := newTestAllocator(P2CShared)
	s.ApplyPeerCounts("e2", []*clusterpb.UpstreamCount{{Service: "s", Upstream: "u1", InFlight: 2}})
	g, err := s.Acquire(context.Background(), slot.Request{Service: "s"})
	assert.NilError(t, err)
	assert.Equal(t, g.Upstream, "u2")
	s.Release(g, slot.Result{})
	assert.Equal(t, s.services["s"].find("u2").target.LocalInFlight, 0)
}
