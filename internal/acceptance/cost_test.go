package acceptance

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// costTracker returns a tracker of a leader with n entry VMs that hold revision 1,
// and with pending later revisions that none of them has acknowledged.
func costTracker(n, pending int) (*Tracker, []freshness.EntryKey) {
	set := newEntrySet(n)
	t := New(0, Revision{Number: 1, Set: set, PreviousSet: set})
	for _, key := range set {
		t.RecordAck(renewedAt, key, 1, longSinceConfirmed)
		t.GrantLease(renewedAt, renewedAt, renewedAt, key)
	}
	t.Advance(renewedAt)
	for i := range pending {
		t.AddRevision(Revision{Number: uint64(i + 2), Set: set, PreviousSet: set})
	}
	return t, set
}

// bytesPerRenewal returns the bytes that the tracker allocates for one renewal of
// each entry VM, by renewal. Unlike the time that a renewal takes, they do not
// depend on the machine.
func bytesPerRenewal(t *Tracker, set []freshness.EntryKey) uint64 {
	now := renewedAt + time.Millisecond
	renewAll := func() {
		for _, key := range set {
			t.RecordAck(now, key, 1, longSinceConfirmed)
			t.GrantLease(now, now, now, key)
			t.Advance(now)
		}
	}
	renewAll()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	renewAll()
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / uint64(len(set))
}

// TestRenewalCostDoesNotGrowWithGroupOrBacklog guards against incident inc1: the
// leader was busy with renewals alone, and configurations were late.
func TestRenewalCostDoesNotGrowWithGroupOrBacklog(t *testing.T) {
	// maxBytes allows for the grants that a renewal records.
	const maxBytes = 1024
	for _, tc := range []struct{ entries, pending int }{{20, 0}, {200, 0}, {200, 1}, {200, 300}} {
		t.Run(fmt.Sprintf("%d entry VMs and %d pending revisions", tc.entries, tc.pending), func(t *testing.T) {
			tr, set := costTracker(tc.entries, tc.pending)
			got := bytesPerRenewal(tr, set)
			assert.Assert(t, got <= maxBytes, "one renewal allocates %d bytes, expected at most %d", got, maxBytes)
		})
	}
}
