package acceptance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	longQuiet = time.Hour
	renewedAt = 10 * time.Second
	changedAt = renewedAt + 100*time.Millisecond
	// leaseEnd is when the leases granted at renewedAt have run out.
	leaseEnd = renewedAt + 3030*time.Millisecond
)

func setOf(n int) []freshness.EntryKey {
	set := make([]freshness.EntryKey, n)
	for i := range set {
		set[i] = freshness.EntryKey{ID: fmt.Sprintf("e%d", i), ClusterAddress: "a"}
	}
	return set
}

// renewed returns a tracker whose entry VMs all hold revision 1 and a lease,
// with revision 2 committed.
func renewed(set []freshness.EntryKey) *Tracker {
	t := New(0, Revision{Number: 1, Set: set})
	for _, key := range set {
		t.RecordAck(renewedAt, key, 1, longQuiet)
		t.GrantLease(renewedAt, renewedAt, renewedAt, key)
	}
	t.Advance(renewedAt)
	t.AddRevision(Revision{Number: 2, Set: set})
	return t
}

func TestWhenAccepted(t *testing.T) {
	const never = time.Duration(-1)
	for _, tc := range []struct {
		name    string
		entries int
		acked   int
		quiet   time.Duration
		want    time.Duration
	}{
		{"all acknowledge", 20, 20, longQuiet, changedAt},
		{"one is silent", 20, 19, longQuiet, leaseEnd},
		{"half are silent", 20, 10, longQuiet, leaseEnd},
		{"a majority is silent", 20, 9, longQuiet, never},
		{"all acknowledge, all confirmed just before", 20, 20, 0, changedAt + 2020*time.Millisecond},
		{"alone in its set", 1, 1, 0, changedAt},
		{"no entry VM", 0, 0, 0, changedAt},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := setOf(tc.entries)
			tr := renewed(set)
			for _, key := range set[:tc.acked] {
				tr.RecordAck(changedAt, key, 2, tc.quiet)
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

func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	set := setOf(3)
	tr := New(0, Revision{Number: 5, Set: set})
	for _, key := range set[:2] {
		tr.RecordAck(0, key, 5, longQuiet)
	}
	oldLeases := freshness.AddDrift(freshness.LeaseDuration + freshness.MaxQuorumAge)
	assert.Equal(t, tr.Advance(oldLeases-1), uint64(0))
	assert.Equal(t, tr.Advance(oldLeases), uint64(5))
}

func TestGrantNeedsQuorumAndRegistration(t *testing.T) {
	set := setOf(2)
	tr := New(0, Revision{Number: 1, Set: set[:1]})
	_, ok := tr.GrantLease(renewedAt, renewedAt, renewedAt-freshness.MaxQuorumAge, set[0])
	assert.Assert(t, ok)
	_, ok = tr.GrantLease(renewedAt, renewedAt, renewedAt-freshness.MaxQuorumAge-1, set[0])
	assert.Assert(t, !ok)
	_, ok = tr.GrantLease(renewedAt, renewedAt, renewedAt, set[1])
	assert.Assert(t, !ok)
}

// TestEndedEntriesDoNotBlock removes a silent majority whose processes have
// ended for good.
func TestEndedEntriesDoNotBlock(t *testing.T) {
	set := setOf(3)
	tr := renewed(set)
	tr.RecordAck(changedAt, set[0], 2, longQuiet)
	assert.Equal(t, tr.Advance(changedAt+time.Minute), uint64(1))
	tr.AddRevision(Revision{Number: 3, Set: set[:2], SetRevision: 3, PreviousSet: set[:2]})
	tr.AddRevision(Revision{Number: 4, Set: set[:1], SetRevision: 4, PreviousSet: set[:1]})
	tr.RecordAck(changedAt+time.Minute, set[0], 4, longQuiet)
	assert.Equal(t, tr.Advance(changedAt+time.Minute), uint64(4))
}
