package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func key(id string) EntryKey { return EntryKey{ID: id, ClusterAddress: id + ":1"} }

var five = []EntryKey{key("a"), key("b"), key("c"), key("d"), key("e")}

func TestLeaseCountsFromSending(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, !s.RecordLease(time.Second, LeaseDuration, 1), "nothing is held")
	s.Adopt(3, five)
	assert.Assert(t, !s.RecordLease(time.Second, LeaseDuration, 4), "an older revision is held")
	assert.Assert(t, !s.Synced())
	assert.Assert(t, s.RecordLease(time.Second, LeaseDuration, 3))
	assert.Assert(t, s.Synced())
	end := time.Second + SubtractDrift(LeaseDuration)
	assert.Assert(t, s.Fresh(end-1))
	assert.Assert(t, !s.Fresh(end))
	s.RecordLease(0, LeaseDuration, 3)
	assert.Equal(t, s.LeaseExpiry(), end)
}

func TestOnlyForward(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, s.Adopt(3, five))
	assert.Assert(t, !s.Adopt(3, nil))
	assert.Assert(t, !s.Adopt(2, nil))
	assert.Assert(t, s.Registered())
	assert.Assert(t, s.Adopt(4, five[1:]))
	s.RecordLease(time.Second, LeaseDuration, 4)
	assert.Assert(t, !s.Fresh(time.Second), "not in the set")
}

func TestMajorityConfirms(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, five)
	s.RecordLease(0, LeaseDuration, 3)
	later := 10 * time.Second
	s.RecordConfirmation(key("b"), later, 3, true)
	assert.Assert(t, !s.Fresh(later))
	s.RecordConfirmation(key("c"), later, 4, true)
	s.RecordConfirmation(key("d"), later, 3, false)
	s.RecordConfirmation(key("x"), later, 3, true)
	s.RecordConfirmation(key("a"), later, 3, true)
	assert.Assert(t, !s.Fresh(later), "newer, not synced, not in the set, itself")
	s.RecordConfirmation(key("e"), later+time.Second, 2, true)
	assert.Assert(t, s.Fresh(later))
	assert.Equal(t, s.FreshUntil(), later+SubtractDrift(ConfirmationValidity))
}

// TestRestartedNeedsOthers expects a process that has not held a lease to
// count only the others.
func TestRestartedNeedsOthers(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, five)
	s.RecordConfirmation(key("b"), time.Second, 3, true)
	s.RecordConfirmation(key("c"), time.Second, 3, true)
	assert.Assert(t, !s.Fresh(time.Second))
	s.RecordConfirmation(key("d"), time.Second, 3, true)
	assert.Assert(t, s.Fresh(time.Second))
	assert.Assert(t, !s.Synced())
}
