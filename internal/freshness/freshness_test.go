package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func key(id string) Key { return Key{ID: id, ClusterAddress: id + ":1"} }

var five = []Key{key("a"), key("b"), key("c"), key("d"), key("e")}

func TestLeaseCountsFromSending(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, !s.Grant(time.Second, Lease, 1), "nothing is held")
	s.Adopt(3, five)
	assert.Assert(t, !s.Grant(time.Second, Lease, 4), "an older revision is held")
	assert.Assert(t, !s.Synced())
	assert.Assert(t, s.Grant(time.Second, Lease, 3))
	assert.Assert(t, s.Synced())
	end := time.Second + Shorten(Lease)
	assert.Assert(t, s.Fresh(end-1))
	assert.Assert(t, !s.Fresh(end))
	s.Grant(0, Lease, 3)
	assert.Equal(t, s.LeaseUntil(), end)
}

func TestOnlyForward(t *testing.T) {
	s := New(key("a"))
	assert.Assert(t, s.Adopt(3, five))
	assert.Assert(t, !s.Adopt(3, nil))
	assert.Assert(t, !s.Adopt(2, nil))
	assert.Assert(t, s.Registered())
	assert.Assert(t, s.Adopt(4, five[1:]))
	s.Grant(time.Second, Lease, 4)
	assert.Assert(t, !s.Fresh(time.Second), "not in the set")
}

func TestMajorityConfirms(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, five)
	s.Grant(0, Lease, 3)
	later := 10 * time.Second
	s.Confirmed(key("b"), later, 3, true)
	assert.Assert(t, !s.Fresh(later))
	s.Confirmed(key("c"), later, 4, true)
	s.Confirmed(key("d"), later, 3, false)
	s.Confirmed(key("x"), later, 3, true)
	s.Confirmed(key("a"), later, 3, true)
	assert.Assert(t, !s.Fresh(later), "newer, not synced, not in the set, itself")
	s.Confirmed(key("e"), later+time.Second, 2, true)
	assert.Assert(t, s.Fresh(later))
	assert.Equal(t, s.Deadline(), later+Shorten(Confirm))
}

// TestRestartedNeedsOthers expects a process that has not held a lease to
// count only the others.
func TestRestartedNeedsOthers(t *testing.T) {
	s := New(key("a"))
	s.Adopt(3, five)
	s.Confirmed(key("b"), time.Second, 3, true)
	s.Confirmed(key("c"), time.Second, 3, true)
	assert.Assert(t, !s.Fresh(time.Second))
	s.Confirmed(key("d"), time.Second, 3, true)
	assert.Assert(t, s.Fresh(time.Second))
	assert.Assert(t, !s.Synced())
}
