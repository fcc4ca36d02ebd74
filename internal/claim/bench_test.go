package claim

import (
	"fmt"
	"testing"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// hundred returns an epoch of 100 VMs that was reached by restarts.
func hundred(restarts int) *catalogpb.ClaimEpoch {
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

// BenchmarkTimeline measures what a starting process computes.
func BenchmarkTimeline(b *testing.B) {
	ce := hundred(maxChanges)
	for range b.N {
		NewTimeline(nil, ce)
	}
}

// BenchmarkAdopt measures what a running process computes for one restart of
// another entry VM.
func BenchmarkAdopt(b *testing.B) {
	before, after := hundred(maxChanges), hundred(maxChanges+1)
	t := NewTimeline(nil, before)
	for range b.N {
		s := NewStore(Member{ID: "e050", Incarnation: 1}, Limits{})
		s.Adopt(0, t)
		s.Adopt(0, NewTimeline(t, after))
	}
}
