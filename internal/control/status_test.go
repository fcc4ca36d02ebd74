package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// TestStatusTellsRegisteredProcessFromItsSuccessor guards against a status that shows an
// entry VM as live although only another process under its ID reports: the registered
// one holds back every revision then.
func TestStatusTellsRegisteredProcessFromItsSuccessor(t *testing.T) {
	registered := &catalogpb.Entry{Id: "e1", ClusterAddress: "old:1", Incarnation: 1}
	cfg := &catalogpb.Config{Revision: 2, SetRevision: 2, Entries: []*catalogpb.Entry{registered}}
	l := &loop{server: &Server{start: time.Now()}, term: newTerm(1, 0, cfg)}
	report := func(now time.Duration, e *catalogpb.Entry, revision uint64) {
		l.term.recordReport(now, &renewal{request: &clusterpb.RenewRequest{Entry: e, Revision: revision, Build: "abc", QuietMs: 60_000}, received: now})
	}
	report(time.Second, registered, 2)
	l.term.tracker.Advance(time.Minute)
	got := l.term.statusOf(time.Second, registered)
	assert.Equal(t, got.ClusterAddress, "old:1")
	assert.Equal(t, got.AcknowledgedRevision, uint64(2))
	assert.Equal(t, got.Build, "abc")
	assert.Assert(t, got.Live && got.SupersededBy == "")

	next := &catalogpb.Config{Revision: 3, SetRevision: 2, Entries: cfg.Entries}
	l.term.publish(time.Minute, next)
	report(2*time.Minute, &catalogpb.Entry{Id: "e1", ClusterAddress: "new:1", Incarnation: 2}, 0)
	got = l.term.statusOf(2*time.Minute, registered)
	assert.Assert(t, !got.Live)
	assert.Equal(t, got.SupersededBy, "new:1")
	assert.Equal(t, got.AcknowledgedRevision, uint64(2))
	assert.Equal(t, l.term.unacceptedSince, time.Minute)
}
