package control

import (
	"fmt"
	"testing"

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
