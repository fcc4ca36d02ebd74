// Package freshness decides whether an entry VM may admit new work on the
// configuration that it holds.
//
// An entry VM may admit work while it holds a lease from the control leader, or
// while a majority of the registered entry VMs of its region has confirmed within
// ConfirmationValidity that it holds no newer revision. The majority is counted per
// region, so that a region that is partitioned from the others keeps working. The
// revision held never decreases.
//
// Times are readings of the monotonic clock of the entry VM.
package freshness

import (
	"slices"
	"time"
)

// Settings that must be equal on all entry VMs and control VMs.
const (
	// LeaseDuration is the duration of a lease, counted from the time at which the
	// entry VM sent its request.
	LeaseDuration = 3 * time.Second
	// LiveTimeout is the time without a renewal after which control counts an entry
	// VM as silent: others take over what it does alone.
	LiveTimeout = 2500 * time.Millisecond
	// ConfirmationValidity is the time for which a confirmation is valid, counted
	// from the time at which it was requested.
	ConfirmationValidity = 2 * time.Second
	// MaxQuorumAge limits the granting of leases: a leader grants them only while
	// the last heartbeat round that a quorum answered is no older than this.
	MaxQuorumAge = 750 * time.Millisecond
	// MaxDriftPermille is the greatest difference in rate between two clocks, in
	// thousandths.
	MaxDriftPermille = 10
)

// SubtractDrift returns d less MaxDriftPermille. The holder of a lease or a
// confirmation uses it, so that its period ends first.
func SubtractDrift(d time.Duration) time.Duration { return d - d*MaxDriftPermille/1000 }

// AddDrift returns d plus MaxDriftPermille. The side that granted a lease or gave a
// confirmation uses it, so that its period ends last.
func AddDrift(d time.Duration) time.Duration { return d + d*MaxDriftPermille/1000 }

// Majority returns the size of the smallest majority of n members.
func Majority(n int) int { return n/2 + 1 }

// EntryKey identifies an entry VM in the registered set. At most one process at a
// time runs under a key, since it listens on the cluster address from before its
// first request until it ends.
type EntryKey struct {
	ID             string
	ClusterAddress string
	Region         string
}

// InRegion returns the keys of set in the given region.
func InRegion(set []EntryKey, region string) []EntryKey {
	var members []EntryKey
	for _, key := range set {
		if key.Region == region {
			members = append(members, key)
		}
	}
	return members
}

// State is what one process of an entry VM knows about the freshness of its
// configuration. It is not safe for concurrent use.
type State struct {
	self     EntryKey
	revision uint64
	// members holds the registered entry VMs of this region.
	members []EntryKey
	// registered reports whether this entry VM is in the registered set.
	registered  bool
	synced      bool
	leaseExpiry time.Duration
	// newestAt is the time until which the revision held was the newest one,
	// according to control. It is a reading of another clock than the other times,
	// one that also runs while the VM is suspended.
	newestAt time.Duration
	// confirmedAt maps each other entry VM to the time at which its last
	// confirmation was requested.
	confirmedAt map[EntryKey]time.Duration
	accepted    uint64
}

// New returns the state of a newly started process.
func New(self EntryKey) *State {
	return &State{self: self, confirmedAt: make(map[EntryKey]time.Duration)}
}

// Revision returns the revision held, or 0 if there is none.
func (s *State) Revision() uint64 { return s.revision }

// Registered reports whether this entry VM is in the registered set of the revision
// held.
func (s *State) Registered() bool { return s.registered }

// AcceptedRevision returns the newest revision known to be accepted, which means
// that no entry VM admits work on an older one.
func (s *State) AcceptedRevision() uint64 { return s.accepted }

// Synced reports whether the process has been granted a lease since it started.
// Only then may it confirm the revision of another entry VM: a process that
// restarted may have lost a newer revision that it had acknowledged.
func (s *State) Synced() bool { return s.synced }

// Adopt replaces the revision held by a committed one with its registered set. It
// does nothing and reports false if that revision is not newer.
func (s *State) Adopt(revision uint64, set []EntryKey) bool {
	if revision <= s.revision {
		return false
	}
	s.revision = revision
	s.members = InRegion(set, s.self.Region)
	s.registered = slices.Contains(set, s.self)
	return true
}

// RecordAccepted records that a revision is accepted. Older revisions than the one
// recorded are ignored.
func (s *State) RecordAccepted(revision uint64) { s.accepted = max(s.accepted, revision) }

// RecordLease records a lease that was requested at sent and is valid for the
// given revision and newer ones. It reports false, and changes nothing, if the
// revision held is older or the lease is not positive.
func (s *State) RecordLease(sent, lease time.Duration, revision uint64) bool {
	if lease <= 0 || s.revision < revision || s.revision == 0 {
		return false
	}
	s.synced = true
	s.leaseExpiry = max(s.leaseExpiry, sent+SubtractDrift(lease))
	return true
}

// RecordNewest records that the revision held was the newest one until after had
// passed since sent, measured by the clock of the leader. after may be negative.
// sent is a reading of a clock that also runs while the VM is suspended. RecordNewest
// must be called only for a lease that RecordLease has recorded.
func (s *State) RecordNewest(sent, after time.Duration) {
	if after > 0 {
		after = SubtractDrift(after)
	} else {
		after = -AddDrift(-after)
	}
	s.newestAt = max(s.newestAt, sent+after)
}

// NewestAt returns the time until which the revision held was the newest one,
// according to control, on the clock of RecordNewest. It reports false before the
// first lease.
func (s *State) NewestAt() (time.Duration, bool) { return s.newestAt, s.synced }

// RecordConfirmation records the response of another entry VM to a request sent at
// sent: the newest revision that it holds, and whether it is synced. The response
// of an entry VM that is not synced or holds a newer revision is ignored.
func (s *State) RecordConfirmation(from EntryKey, sent time.Duration, newest uint64, synced bool) {
	if !synced || newest > s.revision || from == s.self {
		return
	}
	if last, ok := s.confirmedAt[from]; !ok || sent > last {
		s.confirmedAt[from] = sent
	}
}

// FreshUntil returns the time until which new work may be admitted on the revision
// held. Later leases and confirmations extend it.
func (s *State) FreshUntil() time.Duration {
	if !s.registered {
		return 0
	}
	return max(s.leaseExpiry, s.confirmationExpiry())
}

// Fresh reports whether new work may be admitted at the time now.
func (s *State) Fresh(now time.Duration) bool { return now < s.FreshUntil() }

// LeaseExpiry returns the time at which the lease ends.
func (s *State) LeaseExpiry() time.Duration { return s.leaseExpiry }

// confirmationExpiry returns the time until which a majority confirms the revision
// held. This process is part of the majority if it is synced.
func (s *State) confirmationExpiry() time.Duration {
	required := Majority(len(s.members))
	if s.synced {
		required--
	}
	if required == 0 {
		return s.soleMemberExpiry()
	}
	var sentTimes []time.Duration
	for _, key := range s.members {
		if at, ok := s.confirmedAt[key]; ok {
			sentTimes = append(sentTimes, at)
		}
	}
	if len(sentTimes) < required {
		return 0
	}
	slices.SortFunc(sentTimes, func(a, b time.Duration) int { return int(b - a) })
	return sentTimes[required-1] + SubtractDrift(ConfirmationValidity)
}

// maxTime is later than every reading of the clock.
const maxTime = time.Duration(1<<63 - 1)

// soleMemberExpiry returns the confirmation expiry of an entry VM that is a majority
// by itself: its confirmation never expires.
func (s *State) soleMemberExpiry() time.Duration { return maxTime }
