package control

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// restartTracker finds out whether all registered entry VMs have held leases of this
// term only, as after a complete outage, and know of each other. While each of them has
// also been in all lists of live entry VMs of the term, there can be no issuer of
// permits of an earlier term or in a view that lacks one; see
// permit.Issuer.RecordAllRestarted.
type restartTracker struct {
	term uint64
	// revision is that of the last change of the registered entry VMs.
	revision uint64
	// addresses holds the cluster addresses of the entry VMs by id.
	addresses map[string]string
	// unknown holds the ids of those that have not said yet that they have revision and
	// that their first lease was one of this term.
	unknown map[string]bool
	// mixed is set once the condition cannot hold in this term.
	mixed bool
}

func newRestartTracker(term uint64, cfg *catalogpb.Config) restartTracker {
	r := restartTracker{term: term}
	r.recordEntries(cfg)
	return r
}

// record records what an entry VM says of its first lease. It reports whether the
// condition has begun to hold.
func (r *restartTracker) record(req *clusterpb.RenewRequest) bool {
	switch first := req.FirstLeaseTerm; {
	case req.Entry.Leaving || first != 0 && first != r.term:
		r.mixed = true
	case first == r.term && req.Revision >= r.revision && r.unknown[req.Entry.Id]:
		delete(r.unknown, req.Entry.Id)
		return r.allRestarted()
	}
	return false
}

// recordSilent records the list of silent entry VMs that is sent to others.
func (r *restartTracker) recordSilent(ids []string) { r.mixed = r.mixed || len(ids) > 0 }

// recordEntries records the registered entry VMs, which have changed. One that has left,
// or that has come back at another address, may still run.
func (r *restartTracker) recordEntries(cfg *catalogpb.Config) {
	addresses := make(map[string]string, len(cfg.Entries))
	r.unknown = make(map[string]bool, len(cfg.Entries))
	for _, e := range cfg.Entries {
		addresses[e.Id] = e.ClusterAddress
		r.unknown[e.Id] = true
		r.mixed = r.mixed || e.Leaving
	}
	for id, address := range r.addresses {
		r.mixed = r.mixed || addresses[id] != address
	}
	r.addresses, r.revision = addresses, cfg.Revision
}

// allRestarted reports whether the condition holds.
func (r *restartTracker) allRestarted() bool { return !r.mixed && len(r.unknown) == 0 }
