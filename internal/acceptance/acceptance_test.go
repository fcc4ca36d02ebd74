package acceptance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	longSinceConfirmed = time.Hour
	renewedAt          = 10 * time.Second
	changedAt          = renewedAt + 100*time.Millisecond
	// leaseEnd is the time at which the leases granted at renewedAt have expired:
	// after the lease duration plus clock drift.
	leaseEnd = renewedAt + 3030*time.Millisecond
)

func newEntrySet(n int) []freshness.EntryKey {
	set := make([]freshness.EntryKey, n)
	for i := range set {
		set[i] = freshness.EntryKey{ID: fmt.Sprintf("e%d", i), ClusterAddress: "a"}
	}
	return set
}

// newRenewedTracker returns a tracker whose entry VMs all hold revision 1 and a
// lease. Revision 2 is committed.
func newRenewedTracker(set []freshness.EntryKey) *Tracker {
	t := New(0, Revision{Number: 1, Set: set})
	for _, key := range set {
		t.RecordAck(renewedAt, key, 1, longSinceConfirmed)
		t.GrantLease(renewedAt, renewedAt, renewedAt, key)
	}
	t.Advance(renewedAt)
	t.AddRevision(Revision{Number: 2, Set: set})
	return t
}

func TestRevisionIsAcceptedWhenNoEntryVMCanUseAnOlderOne(t *testing.T) {
	const never = time.Duration(-1)
	for _, tc := range []struct {
		name           string
		entries        int
		acked          int
		sinceConfirmed time.Duration
		want           time.Duration
	}{
		{"all acknowledge", 20, 20, longSinceConfirmed, changedAt},
		{"one does not acknowledge", 20, 19, longSinceConfirmed, leaseEnd},
		{"half do not acknowledge", 20, 10, longSinceConfirmed, leaseEnd},
		{"a majority does not acknowledge", 20, 9, longSinceConfirmed, never},
		{"all acknowledge right after confirming an older revision", 20, 20, 0, changedAt + 2020*time.Millisecond},
		{"only one entry VM in the set", 1, 1, 0, changedAt},
		{"no entry VM", 0, 0, 0, changedAt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := newEntrySet(tc.entries)
			tr := newRenewedTracker(set)
			for _, key := range set[:tc.acked] {
				tr.RecordAck(changedAt, key, 2, tc.sinceConfirmed)
			}
			got := never
			for now := changedAt; now < changedAt+time.Minute; now += 10 * time.Millisecond {
				if tr.Advance(now) == 2 {
					got = now
					break
				}
			}
			assert.Equal(t, got, tc.want)
			assert.Equal(t, len(tr.MissingAcks(2)), tc.entries-tc.acked)
		})
	}
}

func TestNewLeaderWaitsForLeasesOfPreviousLeaderToExpire(t *testing.T) {
	set := newEntrySet(3)
	tr := New(0, Revision{Number: 5, Set: set})
	for _, key := range set[:2] {
		tr.RecordAck(0, key, 5, longSinceConfirmed)
	}
	leaseEndBound := freshness.AddDrift(freshness.LeaseDuration + freshness.MaxQuorumAge)
	assert.Equal(t, tr.Advance(leaseEndBound-1), uint64(0))
	assert.Equal(t, tr.Advance(leaseEndBound), uint64(5))
}

func TestLeaseNeedsRecentQuorumAndRegistration(t *testing.T) {
	set := newEntrySet(2)
	tr := New(0, Revision{Number: 1, Set: set[:1]})
	_, ok := tr.GrantLease(renewedAt, renewedAt, renewedAt-freshness.MaxQuorumAge, set[0])
	assert.Assert(t, ok)
	_, ok = tr.GrantLease(renewedAt, renewedAt, renewedAt-freshness.MaxQuorumAge-1, set[0])
	assert.Assert(t, !ok)
	_, ok = tr.GrantLease(renewedAt, renewedAt, renewedAt, set[1])
	assert.Assert(t, !ok)
}

// TestRemovedEntryVMsDoNotBlockAcceptance guards against revisions that are never
// accepted because a majority of the entry VMs has ended for good: these are
// removed, with the remaining set as previous set too.
func TestRemovedEntryVMsDoNotBlockAcceptance(t *testing.T) {
	set := newEntrySet(3)
	tr := newRenewedTracker(set)
	tr.RecordAck(changedAt, set[0], 2, longSinceConfirmed)
	assert.Equal(t, tr.Advance(changedAt+time.Minute), uint64(1))
	tr.AddRevision(Revision{Number: 3, Set: set[:2], SetRevision: 3, PreviousSet: set[:2]})
	tr.AddRevision(Revision{Number: 4, Set: set[:1], SetRevision: 4, PreviousSet: set[:1]})
	tr.RecordAck(changedAt+time.Minute, set[0], 4, longSinceConfirmed)
	assert.Equal(t, tr.Advance(changedAt+time.Minute), uint64(4))
}
