package claims

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/view"
)

// entries is what the service uses of the registered entry VMs.
type entries struct {
	addresses map[string]string
	// leaving holds the processes that finish their requests before they stop.
	leaving map[string]bool
}

func entriesOf(v *view.View) *entries {
	e := &entries{addresses: make(map[string]string, len(v.Config.Entries)), leaving: make(map[string]bool)}
	for _, entry := range v.Config.Entries {
		e.addresses[entry.Id] = entry.ClusterAddress
		if entry.Leaving {
			e.leaving[claim.ProcessName(entry.Id, entry.Incarnation)] = true
		}
	}
	return e
}

// OnConfig adopts the members of a configuration. Revisions must not go back.
func (s *Service) OnConfig(v *view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.Store(entriesOf(v))
	s.adopt(v.Config.ClaimEpoch)
}

// learn adopts an epoch that another entry VM has received before this one.
func (s *Service) learn(ce *catalogpb.ClaimEpoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(ce)
}

// adopt moves on to an epoch if it is newer. The caller holds the lock.
func (s *Service) adopt(ce *catalogpb.ClaimEpoch) {
	old := s.timeline.Load()
	t := claim.NewTimeline(old, ce)
	if t == old {
		return
	}
	s.store.Adopt(s.now(), t)
	s.epoch.Store(ce)
	s.timeline.Store(t)
}

// leaving reports whether a process has announced a planned stop.
func (s *Service) leaving(process string) bool { return s.entries.Load().leaving[process] }
