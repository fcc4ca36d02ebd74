package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// Guards against two issuers of permits at once: an entry VM may be told that all have
// restarted only if none can hold a lease, or a list of live entry VMs, of an earlier
// term, or a list that lacks it.
func TestAllRestartedOnlyIfNoOtherIssuerCanExist(t *testing.T) {
	const number = 7
	entry := func(id, address string) *catalogpb.Entry {
		return &catalogpb.Entry{Id: id, ClusterAddress: address, ServesStale: true}
	}
	a, b, c := entry("a", "a:1"), entry("b", "b:1"), entry("c", "c:1")
	moved, leaving := entry("b", "b:2"), entry("b", "b:1")
	leaving.Leaving = true
	reportOf := func(e *catalogpb.Entry, first, revision uint64) func(*term) {
		return func(tm *term) {
			r := &renewal{request: &clusterpb.RenewRequest{Entry: e, FirstLeaseTerm: first, Revision: revision}, received: time.Second}
			tm.recordReport(time.Second, r)
			tm.restarts.record(r.request)
		}
	}
	report := func(e *catalogpb.Entry, first uint64) func(*term) { return reportOf(e, first, 1) }
	publish := func(entries ...*catalogpb.Entry) func(*term) {
		return func(tm *term) {
			tm.publish(time.Second, &catalogpb.Config{Revision: tm.config.Revision + 1, SetRevision: tm.config.SetRevision + 1, Entries: entries})
		}
	}
	for _, tc := range []struct {
		name  string
		steps []func(*term)
		want  bool
	}{
		{"all have leases of this term only", []func(*term){report(a, 0), report(b, 0), report(a, number), report(b, number)}, true},
		{"one has no lease yet", []func(*term){report(a, number), report(b, 0)}, false},
		{"one has a lease of an earlier term", []func(*term){report(a, number), report(b, number-1)}, false},
		{"one was silent", []func(*term){report(a, number), report(b, number), func(tm *term) {
			tm.restarts.recordSilent(tm.silentEntries(2*time.Second + freshness.LiveTimeout))
		}}, false},
		{"one is leaving", []func(*term){report(a, number), report(leaving, number)}, false},
		{"one was removed", []func(*term){report(a, number), report(b, number), publish(a)}, false},
		{"one came back at another address", []func(*term){report(a, number), report(b, number), publish(a, moved)}, false},
		{"another was added, and one does not know it", []func(*term){report(a, number), report(b, number), publish(a, b, c), report(a, number), reportOf(b, number, 2), reportOf(c, number, 2)}, false},
		{"another was added, and all know it", []func(*term){report(a, number), report(b, number), publish(a, b, c), reportOf(a, number, 2), reportOf(b, number, 2), reportOf(c, number, 2)}, true},
		{"one restarted again", []func(*term){report(a, number), report(b, number), report(b, 0)}, true},
	} {
		tm := newTerm(number, 0, &catalogpb.Config{Revision: 1, SetRevision: 1, Entries: []*catalogpb.Entry{a, b}})
		for _, step := range tc.steps {
			step(tm)
		}
		assert.Equal(t, tm.restarts.allRestarted(), tc.want, tc.name)
	}
}
