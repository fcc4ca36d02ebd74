package control

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// restartTracker finds out whether all entry VMs that were registered at the beginning
// of a term have held leases of that term only, as after a complete outage. While each
// of them has also been in all lists of live entry VMs of the term, no issuer of permits
// of an earlier term can exist; see permit.Issuer.RecordAllRestarted.
type restartTracker struct {
	term uint64
	// addresses holds the cluster addresses of the entry VMs by id.
	addresses map[string]string
	// unknown holds the ids of those that have not said yet that their first lease
	// was one of this term.
	unknown map[string]bool
	// mixed is set once the condition cannot hold in this term.
	mixed bool
}

func newRestartTracker(term uint64, entries []*catalogpb.Entry) restartTracker {
	r := restartTracker{term: term, addresses: make(map[string]string, len(entries)), unknown: make(map[string]bool, len(entries))}
	for _, e := range entries {
		r.addresses[e.Id] = e.ClusterAddress
		r.unknown[e.Id] = true
	}
	r.recordEntries(entries)
	return r
}

// record records what an entry VM says of its first lease. It reports whether the
// condition has begun to hold.
func (r *restartTracker) record(req *clusterpb.RenewRequest) bool {
	switch first := req.FirstLeaseTerm; {
	case req.Entry.Leaving || first != 0 && first != r.term:
		r.mixed = true
	case first == r.term && r.unknown[req.Entry.Id]:
		delete(r.unknown, req.Entry.Id)
		return r.allRestarted(req.Entry.Id)
	}
	return false
}

// recordSilent records the list of silent entry VMs that is sent to others.
func (r *restartTracker) recordSilent(ids []string) { r.mixed = r.mixed || len(ids) > 0 }

// recordEntries records the registered entry VMs. One that has left, or that has come
// back at another address, may still run.
func (r *restartTracker) recordEntries(entries []*catalogpb.Entry) {
	known := 0
	for _, e := range entries {
		if address, ok := r.addresses[e.Id]; ok && address == e.ClusterAddress && !e.Leaving {
			known++
		}
	}
	r.mixed = r.mixed || known < len(r.addresses)
}

// allRestarted reports whether the condition holds and the entry VM was registered at
// the beginning of the term. Others have seen the rest without it.
func (r *restartTracker) allRestarted(id string) bool {
	_, registered := r.addresses[id]
	return !r.mixed && len(r.unknown) == 0 && registered
}
