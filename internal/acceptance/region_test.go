package acceptance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// twoRegions is a set of three entry VMs in each of two regions.
func twoRegions() []freshness.EntryKey {
	var set []freshness.EntryKey
	for i := range 6 {
		set = append(set, freshness.EntryKey{ID: fmt.Sprintf("e%d", i), Region: regionNames[i/3]})
	}
	return set
}

// confirmEachOther lets the entry VMs of one region confirm one another.
func confirmEachOther(states []*freshness.State, set []freshness.EntryKey, now time.Duration) {
	for _, s := range states {
		for j, other := range states {
			s.RecordConfirmation(set[j], now, other.Revision(), other.Synced())
		}
	}
}

// A region that cannot reach the leader serves on. A change is accepted in the
// regions that hold it, and everywhere only after the cut.
func TestRegionThatIsCutOffServesOn(t *testing.T) {
	set := twoRegions()
	tracker := New(0, Revision{Number: 1, Set: set})
	start := time.Minute
	var states []*freshness.State
	for _, key := range set {
		s := freshness.New(key)
		s.Adopt(1, set)
		tracker.RecordAck(start, key, 1, time.Hour)
		lease, ok := tracker.GrantLease(start, start, start, key)
		assert.Assert(t, ok)
		assert.Assert(t, s.RecordLease(start, lease, 1))
		states = append(states, s)
	}
	assert.Equal(t, tracker.Advance(start), uint64(1))

	later := start + time.Hour
	near, far := states[:3], states[3:]
	tracker.AddRevision(Revision{Number: 2, Set: set})
	for i, s := range near {
		s.Adopt(2, set)
		tracker.RecordAck(later, set[i], 2, time.Hour)
	}
	tracker.Advance(later)
	assert.Equal(t, tracker.AcceptedIn("r0"), uint64(2))
	assert.Equal(t, tracker.AcceptedIn("r1"), uint64(1))
	assert.Equal(t, tracker.Accepted(), uint64(1))
	confirmEachOther(far, set[3:], later)
	for _, s := range far {
		assert.Assert(t, s.Fresh(later+time.Second))
	}

	healed := later + time.Second
	for i, s := range far {
		s.Adopt(2, set)
		tracker.RecordAck(healed, set[3+i], 2, time.Second)
	}
	tracker.Advance(healed)
	assert.Equal(t, tracker.Accepted(), uint64(1), "old confirmations still count")
	tracker.Advance(healed + freshness.AddDrift(freshness.ConfirmationValidity))
	assert.Equal(t, tracker.Accepted(), uint64(2))
}

// The set may change in one region while another, which it does not concern,
// is cut off; and not where its last change is not accepted.
func TestSetChangesBesideACut(t *testing.T) {
	set := twoRegions()
	tracker := New(0, Revision{Number: 1, Set: set, SetRevision: 1})
	for _, key := range set {
		tracker.RecordAck(time.Minute, key, 1, time.Hour)
	}
	tracker.Advance(time.Minute)
	grown := append(set[:3:3], freshness.EntryKey{ID: "new", Region: "r0"})
	grown = append(grown, set[3:]...)
	tracker.AddRevision(Revision{Number: 2, Set: grown, SetRevision: 2, PreviousSet: set})
	assert.Assert(t, !tracker.CanChangeSet())
	for _, key := range set[:3] {
		tracker.RecordAck(2*time.Minute, key, 2, time.Hour)
	}
	tracker.Advance(2 * time.Minute)
	assert.Equal(t, tracker.Accepted(), uint64(1))
	assert.Assert(t, tracker.CanChangeSet())
}
