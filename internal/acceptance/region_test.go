package acceptance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/freshness"
)

// newTwoRegionSet returns three entry VMs in each of two regions.
func newTwoRegionSet() []freshness.EntryKey {
	var set []freshness.EntryKey
	for i := range 6 {
		set = append(set, freshness.EntryKey{ID: fmt.Sprintf("e%d", i), Region: regionNames[i/3]})
	}
	return set
}

// confirmEachOther gives each entry VM of one region confirmations from all.
func confirmEachOther(states []*freshness.State, set []freshness.EntryKey, now time.Duration) {
	for _, s := range states {
		for j, other := range states {
			s.RecordConfirmation(set[j], now, other.Revision(), other.Synced())
		}
	}
}

// TestRegionThatCannotReachLeaderKeepsServing guards against an outage of a region
// that cannot reach the leader. A change is accepted in the regions that have
// adopted it, and everywhere only after that region has.
func TestRegionThatCannotReachLeaderKeepsServing(t *testing.T) {
	set := newTwoRegionSet()
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
	reachable, unreachable := states[:3], states[3:]
	tracker.AddRevision(Revision{Number: 2, Set: set})
	for i, s := range reachable {
		s.Adopt(2, set)
		tracker.RecordAck(later, set[i], 2, time.Hour)
	}
	tracker.Advance(later)
	assert.Equal(t, tracker.AcceptedIn("r0"), uint64(2))
	assert.Equal(t, tracker.AcceptedIn("r1"), uint64(1))
	assert.Equal(t, tracker.Accepted(), uint64(1))
	confirmEachOther(unreachable, set[3:], later)
	for _, s := range unreachable {
		assert.Assert(t, s.Fresh(later+time.Second))
	}

	healed := later + time.Second
	for i, s := range unreachable {
		s.Adopt(2, set)
		tracker.RecordAck(healed, set[3+i], 2, time.Second)
	}
	tracker.Advance(healed)
	assert.Equal(t, tracker.Accepted(), uint64(1), "confirmations given before the acknowledgement are still valid")
	tracker.Advance(healed + freshness.AddDrift(freshness.ConfirmationValidity))
	assert.Equal(t, tracker.Accepted(), uint64(2))
}

// TestSetCanChangeWhileUnaffectedRegionIsUnreachable guards against a region that
// cannot reach the leader blocking changes of the set elsewhere. A region whose
// entry VMs have changed must accept that change before the next one.
func TestSetCanChangeWhileUnaffectedRegionIsUnreachable(t *testing.T) {
	set := newTwoRegionSet()
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
