package control

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// silentReference is the definition of silentEntries.
func silentReference(t *term, now time.Duration) []string {
	var ids []string
	for _, e := range t.config.Entries {
		if t.timeSinceReport(now, e.Id) > freshness.LiveTimeout {
			ids = append(ids, e.Id)
		}
	}
	return ids
}

// TestProofSilentEntriesAgreeWithReference draws renewals and registrations.
func TestProofSilentEntriesAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Second
		tm := newTerm(1, now, &catalogpb.Config{Revision: 1, SetRevision: 1})
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "id"))
			now += time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond
			entry := &catalogpb.Entry{Id: id, ClusterAddress: "a", Incarnation: 1, ServesStale: true}
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				entries := slices.Clone(tm.config.Entries)
				if i, known := slices.BinarySearchFunc(entries, id, func(e *catalogpb.Entry, id string) int { return cmp.Compare(e.Id, id) }); known {
					entries = slices.Delete(entries, i, i+1)
				} else {
					entries = slices.Insert(entries, i, entry)
				}
				tm.publish(now, &catalogpb.Config{Revision: uint64(step) + 2, SetRevision: uint64(step) + 2, Entries: entries})
			default:
				tm.recordReport(now, &renewal{request: &clusterpb.RenewRequest{Entry: entry}, received: now})
			}
			assert.DeepEqual(t, tm.silentEntries(now), silentReference(tm, now))
		}
	})
}

// TestSilentEntriesAreNotSearchedForEachResponse guards against incident inc2:
// each response to a gateway searched the reports of all gateways.
func TestSilentEntriesAreNotSearchedForEachResponse(t *testing.T) {
	l := registeredLoop(t, 3)
	now := l.server.now()
	assert.Equal(t, len(l.term.silentEntries(now)), 0)
	// Without its reports a search would find all silent.
	l.term.reports, l.term.leaderSince = nil, now-2*freshness.LiveTimeout
	assert.Equal(t, len(l.term.silentEntries(now+freshness.LiveTimeout/2)), 0)
	assert.Equal(t, len(l.term.silentEntries(now+2*freshness.LiveTimeout)), 3)
}

// BenchmarkRenewals measures one renewal of each of 215 gateways that brings no
// change.
func BenchmarkRenewals(b *testing.B) {
	l := registeredLoop(b, 215)
	l.server.opts.Replica = &stubReplica{leads: true}
	l.term.number = 0
	for b.Loop() {
		for _, e := range l.term.config.Entries {
			l.onRenewal(&renewal{
				request:  &clusterpb.RenewRequest{Entry: e, Revision: 1, Synced: true, ServesStale: true},
				received: l.server.now(), reply: make(chan *clusterpb.RenewResponse, 1),
			})
		}
	}
}
