package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/features"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/rollout"
)

// newWatchedTerm returns a term with a roll-out under way since the time 0 and two
// gateways.
func newWatchedTerm() (*term, *rolloutWatch) {
	r := &catalogpb.Rollout{
		Pool: "p", Target: "v2", DurationMs: 12_000, State: catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING, StartedRevision: 5, ChangedRevision: 9,
	}
	cfg := &catalogpb.Config{
		Revision: 9, Rollouts: []*catalogpb.Rollout{r}, PoolSoftware: []*catalogpb.PoolSoftware{{Pool: "p", Software: "v1"}},
		Zones: []*catalogpb.Zone{{Name: "out", State: catalogpb.ZoneState_ZONE_STATE_OUT}},
	}
	for _, id := range []string{"g1", "g2"} {
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: id, ClusterAddress: id + ":1", Incarnation: 1, ServesStale: true, Features: uint64(features.Supported)})
	}
	return newTerm(1, 0, cfg), &rolloutWatch{rollout: r, collector: rollout.NewCollector(0, 12*time.Second), cold: make(map[string]coldStart)}
}

// TestCapacityOfTheNewVersion counts only upstreams that take requests, and cold ones in
// part until their cold start has ended.
func TestCapacityOfTheNewVersion(t *testing.T) {
	tm, w := newWatchedTerm()
	ready, draining := catalogpb.UpstreamState_UPSTREAM_STATE_READY, catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	tm.config.Upstreams = []*catalogpb.Upstream{
		{Id: "old", Pool: "p", Software: "v1", Slots: 10, State: ready},
		{Id: "old-out", Pool: "p", Software: "v1", Slots: 10, State: ready, Zone: "out"},
		{Id: "warm", Pool: "p", Software: "v2", Slots: 1, State: ready},
		{Id: "cold", Pool: "p", Software: "v2", Slots: 4, State: ready, ColdMs: 2000},
		{Id: "draining", Pool: "p", Software: "v2", Slots: 10, State: draining},
		{Id: "new-out", Pool: "p", Software: "v2", Slots: 10, State: ready, Zone: "out"},
		{Id: "other-pool", Pool: "q", Software: "v2", Slots: 10, State: ready},
		{Id: "other-version", Pool: "p", Software: "v0", Slots: 10, State: ready},
	}
	count, bearable, capacity := tm.newCapacity(time.Second, w)
	assert.Equal(t, count, 2)
	assert.Equal(t, bearable, uint32(314), "2.2 of 7 slots in use")
	assert.Equal(t, capacity, uint32(714))
	_, bearable, _ = tm.newCapacity(3*time.Second, w)
	assert.Equal(t, bearable, uint32(714), "after the cold start")
}

// TestAllLiveGatewaysMustHaveMoved guards against a roll-out that is completed while a
// gateway uses the old version, and against one that waits for a gateway that has ended.
func TestAllLiveGatewaysMustHaveMoved(t *testing.T) {
	tm, w := newWatchedTerm()
	renew := func(now time.Duration, id string) {
		assert.Assert(t, tm.recordReport(now, &renewal{request: &clusterpb.RenewRequest{Entry: tm.registered(id)}}))
	}
	evidence := func(now time.Duration, id string, applied uint64, inFlight uint32) {
		w.collector.Record(now, id, 1, &clusterpb.RolloutEvidence{
			AppliedRevision: applied, OldInFlight: inFlight, KnownMs: uint32(now.Milliseconds()) + 3000,
		})
	}
	check := func(now time.Duration, informed, followed, moved bool) {
		t.Helper()
		p := tm.progressOf(now, w)
		assert.DeepEqual(t, []bool{p.Informed, p.Followed, p.Moved}, []bool{informed, followed, moved})
	}
	renew(time.Second, "g1")
	renew(time.Second, "g2")
	check(time.Second, false, false, false)
	evidence(time.Second, "g1", 9, 0)
	check(time.Second, false, false, false)
	evidence(time.Second, "g2", 8, 0)
	check(time.Second, true, false, false)
	evidence(1100*time.Millisecond, "g2", 9, 3)
	check(1100*time.Millisecond, true, true, false)
	evidence(1200*time.Millisecond, "g2", 9, 0)
	check(1200*time.Millisecond, true, true, true)
	assert.Equal(t, tm.progressOf(1200*time.Millisecond, w).Elapsed, 4200*time.Millisecond, "a gateway has known of the roll-out for longer than this VM")
	evidence(1300*time.Millisecond, "g2", 9, 1)
	check(1300*time.Millisecond, true, true, false)
	// g2 has ended.
	renew(3*time.Second, "g1")
	check(time.Second+freshness.LiveTimeout+time.Millisecond, true, true, true)
	// No gateway is heard from, as if this VM were cut off from them.
	check(10*time.Second, true, false, false)
}
