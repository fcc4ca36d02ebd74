package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func key(id string) EntryKey { return EntryKey{ID: id, ClusterAddress: id + ":1"} }

var fiveEntries = []EntryKey{key("a"), key("b"), key("c"), key("d"), key("e")}

// TestLeaseDurationIsCountedFromSendingTheRequest also expects a lease for a newer
// revision to be rejected and an earlier request not to shorten the lease.
func TestLeaseDurationIsCountedFromSendingTheRequest(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, !s.RecordLease(time.Second, LeaseDuration, 1), "no revision has been adopted")
	s.Adopt(3, fiveEntries)
	assert.Assert(t, !s.RecordLease(time.Second, LeaseDuration, 4), "lease is for a newer revision than the one held")
	assert.Assert(t, !s.Synced())
	assert.Assert(t, s.RecordLease(time.Second, LeaseDuration, 3))
	assert.Assert(t, s.Synced())
	end := time.Second + SubtractDrift(LeaseDuration)
	assert.Assert(t, s.Fresh(end-1))
	assert.Assert(t, !s.Fresh(end))
	s.RecordLease(0, LeaseDuration, 3)
	assert.Equal(t, s.LeaseExpiry(), end)
}

// TestOnlyNewerRevisionsAreAdopted also expects an entry VM outside the registered
// set never to be fresh.
func TestOnlyNewerRevisionsAreAdopted(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, s.Adopt(3, fiveEntries))
	assert.Assert(t, !s.Adopt(3, nil))
	assert.Assert(t, !s.Adopt(2, nil))
	assert.Assert(t, s.Registered())
	assert.Assert(t, s.Adopt(4, fiveEntries[1:]))
	s.RecordLease(time.Second, LeaseDuration, 4)
	assert.Assert(t, !s.Fresh(time.Second), "entry VM is not in the registered set")
}

// The time until which the revision was the newest one must not be later than the
// leader's clock says, and never decrease.
func TestNewestTimeIsALowerBound(t *testing.T) {
	s := New(key("a"))
	_, known := s.NewestAt()
	assert.Assert(t, !known, "no lease yet")
	s.Adopt(3, fiveEntries)
	s.RecordLease(time.Second, LeaseDuration, 3)
	for _, c := range []struct{ sent, after, want time.Duration }{
		{time.Second, 0, time.Second},
		{2 * time.Second, 500 * time.Millisecond, 2*time.Second + SubtractDrift(500*time.Millisecond)},
		{2 * time.Second, -500 * time.Millisecond, 2*time.Second + SubtractDrift(500*time.Millisecond)},
		{4 * time.Second, -500 * time.Millisecond, 4*time.Second - AddDrift(500*time.Millisecond)},
	} {
		s.RecordNewest(c.sent, c.after)
		at, known := s.NewestAt()
		assert.Assert(t, known)
		assert.Equal(t, at, c.want)
	}
}

func TestMajorityOfConfirmationsKeepsTheConfigurationFresh(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, fiveEntries)
	s.RecordLease(0, LeaseDuration, 3)
	later := 10 * time.Second
	s.RecordConfirmation(key("b"), later, 3, true)
	assert.Assert(t, !s.Fresh(later))
	s.RecordConfirmation(key("c"), later, 4, true)
	s.RecordConfirmation(key("d"), later, 3, false)
	s.RecordConfirmation(key("x"), later, 3, true)
	s.RecordConfirmation(key("a"), later, 3, true)
	assert.Assert(t, !s.Fresh(later), "confirmations with a newer revision, of an unsynced or unregistered entry VM or of itself must not count")
	s.RecordConfirmation(key("e"), later+time.Second, 2, true)
	assert.Assert(t, s.Fresh(later))
	assert.Equal(t, s.FreshUntil(), later+SubtractDrift(ConfirmationValidity))
}

// TestRestartedProcessIsNotCountedInTheMajority expects a process that has not held
// a lease to need a majority of other entry VMs: it may have lost a newer revision
// when it restarted.
func TestRestartedProcessIsNotCountedInTheMajority(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, fiveEntries)
	s.RecordConfirmation(key("b"), time.Second, 3, true)
	s.RecordConfirmation(key("c"), time.Second, 3, true)
	assert.Assert(t, !s.Fresh(time.Second))
	s.RecordConfirmation(key("d"), time.Second, 3, true)
	assert.Assert(t, s.Fresh(time.Second))
	assert.Assert(t, !s.Synced())
}
