// Package freshness decides, at an entry VM, whether new work may be admitted
// on the configuration that it holds.
//
// Work may be admitted under a lease from the control leader, or while a
// majority of the registered entry VMs of its region has confirmed in the
// recent past that none of them holds a newer revision. Regions are judged
// apart, so that one that is cut off from the others goes on. Configurations
// only move forward.
// Times are readings of the monotonic clock of the entry VM.
package freshness

import (
	"slices"
	"time"
)

// Durations that entry VMs and control VMs agree on.
const (
	// LeaseDuration is the length of a lease, counted from the moment at which the
	// entry VM sent its request.
	LeaseDuration = 3 * time.Second
	// ConfirmationValidity is the time for which a confirmation holds, counted likewise.
	ConfirmationValidity = 2 * time.Second
	// MaxQuorumAge bounds the age of the last answered heartbeat round at which
	// a leader still grants leases.
	MaxQuorumAge = 750 * time.Millisecond
	// MaxDriftPermille bounds the difference in rate between two clocks.
	MaxDriftPermille = 10
)

// SubtractDrift returns d less the drift bound, for the holder of a promise.
func SubtractDrift(d time.Duration) time.Duration { return d - d*MaxDriftPermille/1000 }

// AddDrift returns d plus the drift bound, for the giver of a promise.
func AddDrift(d time.Duration) time.Duration { return d + d*MaxDriftPermille/1000 }

// Majority returns the size of a majority of n.
func Majority(n int) int { return n/2 + 1 }

// EntryKey identifies an entry VM as a member of the registered set. At most one
// process at a time serves a key: it listens on the cluster address from
// before its first request until it has ended.
type EntryKey struct {
	ID             string
	ClusterAddress string
	Region         string
}

// InRegion returns the keys of set that are in the region.
func InRegion(set []EntryKey, region string) []EntryKey {
	var in []EntryKey
	for _, key := range set {
		if key.Region == region {
			in = append(in, key)
		}
	}
	return in
}

// State is what one process of an entry VM knows. It is not safe for
// concurrent use.
type State struct {
	self     EntryKey
	revision uint64
	// set holds the registered entry VMs of the own region.
	set        []EntryKey
	registered bool
	synced     bool
	leaseUntil time.Duration
	confirmed  map[EntryKey]time.Duration
	accepted   uint64
}

// New returns the state of a process that has just started.
func New(self EntryKey) *State {
	return &State{self: self, confirmed: make(map[EntryKey]time.Duration)}
}

// Revision returns the revision held; 0 when none.
func (s *State) Revision() uint64 { return s.revision }

// Registered reports whether the revision held has this entry VM in its set.
func (s *State) Registered() bool { return s.registered }

// AcceptedRevision returns the newest revision known to be accepted.
func (s *State) AcceptedRevision() uint64 { return s.accepted }

// Synced reports whether the process has held a lease since its start. Only
// then may it confirm the revision of another entry VM: before, it may have
// forgotten a revision that it acknowledged.
func (s *State) Synced() bool { return s.synced }

// Adopt takes a committed revision, with its registered set, into force. It
// reports false for a revision that is not newer than the one held.
func (s *State) Adopt(revision uint64, set []EntryKey) bool {
	if revision <= s.revision {
		return false
	}
	s.revision = revision
	s.set = InRegion(set, s.self.Region)
	s.registered = slices.Contains(set, s.self)
	return true
}

// RecordAccepted records that a revision is accepted.
func (s *State) RecordAccepted(revision uint64) { s.accepted = max(s.accepted, revision) }

// RecordLease records a lease for revisions from revision on, in answer to a request
// sent at sent. It reports false, and changes nothing, when the revision held
// is older.
func (s *State) RecordLease(sent, lease time.Duration, revision uint64) bool {
	if lease <= 0 || s.revision < revision || s.revision == 0 {
		return false
	}
	s.synced = true
	s.leaseUntil = max(s.leaseUntil, sent+SubtractDrift(lease))
	return true
}

// RecordConfirmation records the answer of another entry VM to a request sent at sent:
// the newest revision that it holds, and whether it is synced.
func (s *State) RecordConfirmation(from EntryKey, sent time.Duration, newest uint64, synced bool) {
	if !synced || newest > s.revision || from == s.self {
		return
	}
	if last, ok := s.confirmed[from]; !ok || sent > last {
		s.confirmed[from] = sent
	}
}

// FreshUntil returns the time before which new work may be admitted on the
// revision held, as far as is known now.
func (s *State) FreshUntil() time.Duration {
	if !s.registered {
		return 0
	}
	return max(s.leaseUntil, s.majorityUntil())
}

// Fresh reports whether new work may be admitted at now.
func (s *State) Fresh(now time.Duration) bool { return now < s.FreshUntil() }

// LeaseExpiry returns the end of the lease.
func (s *State) LeaseExpiry() time.Duration { return s.leaseUntil }

// majorityUntil returns the end of the confirmation by a majority.
func (s *State) majorityUntil() time.Duration {
	need := Majority(len(s.set))
	if s.synced {
		need--
	}
	if need == 0 {
		return s.aloneUntil()
	}
	var sent []time.Duration
	for _, key := range s.set {
		if at, ok := s.confirmed[key]; ok {
			sent = append(sent, at)
		}
	}
	if len(sent) < need {
		return 0
	}
	slices.SortFunc(sent, func(a, b time.Duration) int { return int(b - a) })
	return sent[need-1] + SubtractDrift(ConfirmationValidity)
}

// forever is later than any reading of the clock.
const forever = time.Duration(1<<63 - 1)

// aloneUntil is the confirmation of an entry VM that is a majority by itself.
func (s *State) aloneUntil() time.Duration { return forever }
