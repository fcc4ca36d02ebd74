package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// registeredLoop returns a loop that leads n registered gateways, all of which have
// renewed.
func registeredLoop(t testing.TB, n int) *loop {
	s := New(Options{})
	l := newLoop(t.Context(), s, nil)
	cfg := &catalogpb.Config{Revision: 1, SetRevision: 1}
	for i := range n {
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: fmt.Sprintf("gateway-%03d", i), ClusterAddress: "a", Incarnation: 1, ServesStale: true})
	}
	l.term = newTerm(1, 0, cfg)
	for _, e := range cfg.Entries {
		l.term.recordReport(s.now(), &renewal{request: &clusterpb.RenewRequest{Entry: e, Revision: 1, Synced: true, ServesStale: true}})
	}
	return l
}

// TestCommitDoesNotRebuildSets guards against incident inc1: each announcement of an
// upstream made the leader build the set of all gateways again.
func TestCommitDoesNotRebuildSets(t *testing.T) {
	const maxAllocations = 16
	l := registeredLoop(t, 200)
	revision := uint64(1)
	got := testing.AllocsPerRun(100, func() {
		revision++
		next := &catalogpb.Config{Revision: revision, SetRevision: 1, Entries: l.term.config.Entries}
		l.term.publish(l.server.now(), next)
		if cmd := l.registrationCommand(); cmd != nil {
			t.Errorf("unexpected registration of %v", cmd)
		}
	})
	assert.Assert(t, got <= maxAllocations, "a commit allocates %v times, expected at most %d", got, maxAllocations)
}

// TestAcceptanceIsNotSearchedForEachRenewal guards against a leader whose processor time
// for renewals grows with the square of the number of gateways.
func TestAcceptanceIsNotSearchedForEachRenewal(t *testing.T) {
	const gateways, mostSearches = 449, 2
	synctest.Test(t, func(t *testing.T) {
		l := registeredLoop(t, gateways)
		l.server.opts.Replica = &stubReplica{leads: true}
		l.term.number = 0
		entries := l.term.config.Entries
		// The leases of the leader before have expired.
		time.Sleep(time.Minute)
		l.term.publish(l.server.now(), &catalogpb.Config{Revision: 2, SetRevision: 1, Entries: entries})
		for _, e := range entries {
			l.onRenewal(&renewal{
				request:  &clusterpb.RenewRequest{Entry: e, Revision: 2, Synced: true, ServesStale: true, WaitMs: 1000, QuietMs: 60_000},
				received: l.server.now(), reply: make(chan *clusterpb.RenewResponse, 1),
			})
		}
		assert.Assert(t, l.load.searches <= mostSearches, "%d renewals at once cause %d searches", gateways, l.load.searches)
		l.onTick()
		assert.Equal(t, l.term.tracker.Accepted(), uint64(2))
	})
}

// TestConfigIntervalGrowsWithTheGroup checks the interval while answers take no time.
func TestConfigIntervalGrowsWithTheGroup(t *testing.T) {
	for gateways, want := range map[int]time.Duration{1: time.Millisecond, 50: 50 * time.Millisecond, 449: maxConfigInterval} {
		assert.Equal(t, registeredLoop(t, gateways).configInterval(), want)
	}
}

// BenchmarkCommit measures a commit that concerns no gateway, with all renewals
// held.
func BenchmarkCommit(b *testing.B) {
	l := registeredLoop(b, 191)
	for _, e := range l.term.config.Entries {
		l.term.heldRenewals = append(l.term.heldRenewals, &renewal{request: &clusterpb.RenewRequest{Entry: e, Revision: 1 << 40, Synced: true, ServesStale: true, WaitMs: 1 << 20}, received: l.server.now()})
	}
	revision := uint64(1)
	for b.Loop() {
		revision++
		l.term.publish(l.server.now(), &catalogpb.Config{Revision: revision, SetRevision: 1, Entries: l.term.config.Entries})
		l.answerHeldRenewals(func(r *renewal) bool { return l.answerDue(r) })
		l.registrationCommand()
	}
}
