package claim

import (
	"fmt"
	"testing"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// epochOf100Members returns the epoch of 100 entry VMs after a number of restarts.
func epochOf100Members(restarts int) *catalogpb.ClaimEpoch {
	var members []*catalogpb.ClaimMember
	for i := range 100 {
		members = append(members, &catalogpb.ClaimMember{Id: fmt.Sprintf("e%03d", i), Incarnation: 1, Zone: fmt.Sprintf("z%d", i%8)})
	}
	ce := NextEpoch(nil, members)
	for i := range restarts {
		m := members[i%100]
		members[i%100] = &catalogpb.ClaimMember{Id: m.Id, Incarnation: m.Incarnation + 1, Zone: m.Zone}
		ce = NextEpoch(ce, members)
	}
	return ce
}

// BenchmarkNewPlacementHistory measures the history that a starting process
// computes from an epoch with all its changes.
func BenchmarkNewPlacementHistory(b *testing.B) {
	ce := epochOf100Members(maxEpochChanges)
	for range b.N {
		NewPlacementHistory(nil, ce)
	}
}

// BenchmarkUpdateHistory measures the work of a store for its first history and
// for one restart of another entry VM after it.
func BenchmarkUpdateHistory(b *testing.B) {
	before, after := epochOf100Members(maxEpochChanges), epochOf100Members(maxEpochChanges+1)
	history := NewPlacementHistory(nil, before)
	for range b.N {
		s := NewStore(Member{ID: "e050", Incarnation: 1}, Limits{})
		s.UpdateHistory(0, history)
		s.UpdateHistory(0, NewPlacementHistory(history, after))
	}
}
