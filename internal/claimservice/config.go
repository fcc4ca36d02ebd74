package claimservice

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/configview"
)

// entryVMs holds the addresses and the draining state of the registered entry VMs.
type entryVMs struct {
	// addresses holds the cluster addresses by entry VM ID.
	addresses map[string]string
	// draining holds the ProcessNames of processes that complete their requests
	// before a planned stop.
	draining map[string]bool
}

func newEntryVMs(v *configview.View) *entryVMs {
	e := &entryVMs{addresses: make(map[string]string, len(v.Config.Entries)), draining: make(map[string]bool)}
	for _, entry := range v.Config.Entries {
		e.addresses[entry.Id] = entry.ClusterAddress
		if entry.Leaving {
			e.draining[claim.ProcessName(entry.Id, entry.Incarnation)] = true
		}
	}
	return e
}

// OnConfig applies the claim members and entry VMs of a configuration. Calls must
// be in the order of the configuration revisions.
func (s *Service) OnConfig(v *configview.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryVMs.Store(newEntryVMs(v))
	s.applyEpochLocked(v.Config.ClaimEpoch)
}

// applyEpoch applies an epoch that was received from another entry VM.
func (s *Service) applyEpoch(ce *catalogpb.ClaimEpoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEpochLocked(ce)
}

// applyEpochLocked applies an epoch if it is newer than the current one. The
// caller holds s.mu.
func (s *Service) applyEpochLocked(ce *catalogpb.ClaimEpoch) {
	old := s.history.Load()
	history := claim.NewPlacementHistory(old, ce)
	if history == old {
		return
	}
	s.store.UpdateHistory(s.now(), history)
	s.epoch.Store(ce)
	s.history.Store(history)
}

// isDraining reports whether the process with the given ProcessName is draining
// before a planned stop.
func (s *Service) isDraining(process string) bool { return s.entryVMs.Load().draining[process] }
