// Package acceptance decides, at the control leader, which leases entry VMs get
// and when a configuration revision is accepted. A revision is accepted in a
// region when no entry VM of the region can admit requests under an older
// revision any more.
//
// Times are readings of the leader's monotonic clock.
package acceptance

import (
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/union"
)

// Revision describes a committed configuration: its number and the entry VMs
// that have to adopt it.
type Revision struct {
	Number uint64
	// Set contains the entry VMs that are registered from this revision on.
	Set []freshness.EntryKey
	// SetRevision is the revision of the last change of Set.
	SetRevision uint64
	// PreviousSet contains the entry VMs that were registered before that change.
	PreviousSet []freshness.EntryKey
}

// leaseGrant is the last lease granted to an entry VM at one revision. The entry
// VM may admit requests under that revision or a later one until it expires.
type leaseGrant struct {
	revision  uint64
	expiresAt time.Duration
}

// entryState is what the leader knows about one entry VM.
type entryState struct {
	ackedRevision uint64
	// confirmationsEnd is the time at which the confirmations have expired that
	// the entry VM gave to others before it acknowledged ackedRevision.
	confirmationsEnd time.Duration
	grants           []leaseGrant
}

// pendingRevision is a committed revision that is not yet accepted everywhere.
type pendingRevision struct {
	Revision
	// confirmationsEnd holds, for each entry VM that has acknowledged the
	// revision, the time at which its earlier confirmations have expired.
	confirmationsEnd map[freshness.EntryKey]time.Duration
}

// Tracker records leases and acknowledgements during one term of a leader. It is
// not safe for concurrent use.
type Tracker struct {
	entries map[freshness.EntryKey]*entryState
	current Revision
	pending []pendingRevision
	// accepted is the newest accepted revision by region.
	accepted map[string]uint64
	// leaseWait and confirmationWait are the times after which a lease and a
	// confirmation have expired on any clock within the drift bound.
	leaseWait        time.Duration
	confirmationWait time.Duration
}

// New returns the tracker of a leader whose term began at since. The current
// revision must be confirmed in that term. Every entry VM is assumed to hold a
// lease from the previous leader.
func New(since time.Duration, current Revision) *Tracker {
	t := &Tracker{
		entries:          make(map[freshness.EntryKey]*entryState),
		accepted:         make(map[string]uint64),
		leaseWait:        freshness.AddDrift(freshness.LeaseDuration),
		confirmationWait: freshness.AddDrift(freshness.ConfirmationValidity),
	}
	expiresAt := since + freshness.AddDrift(freshness.MaxQuorumAge+freshness.LeaseDuration)
	for _, key := range union.Of(current.Set, current.PreviousSet) {
		t.entry(key).grants = []leaseGrant{{revision: 0, expiresAt: expiresAt}}
	}
	t.AddRevision(current)
	return t
}

func (t *Tracker) entry(key freshness.EntryKey) *entryState {
	m := t.entries[key]
	if m == nil {
		m = &entryState{}
		t.entries[key] = m
	}
	return m
}

// AddRevision adds a committed revision. It ignores one that is not newer than
// the current revision.
func (t *Tracker) AddRevision(r Revision) {
	if r.Number <= t.current.Number {
		return
	}
	t.current = r
	p := pendingRevision{Revision: r, confirmationsEnd: make(map[freshness.EntryKey]time.Duration)}
	for key, m := range t.entries {
		if m.ackedRevision >= r.Number {
			p.confirmationsEnd[key] = m.confirmationsEnd
		}
	}
	t.pending = append(t.pending, p)
}

// RecordAck records an acknowledgement of a revision that was received at
// received. The entry VM last confirmed a revision to another entry VM, or
// started, sinceConfirmed before it sent the acknowledgement.
func (t *Tracker) RecordAck(received time.Duration, key freshness.EntryKey, revision uint64, sinceConfirmed time.Duration) {
	confirmationsEnd := received + t.confirmationWait - freshness.SubtractDrift(sinceConfirmed)
	m := t.entry(key)
	if revision > m.ackedRevision {
		m.ackedRevision, m.confirmationsEnd = revision, confirmationsEnd
	}
	for _, p := range t.pending {
		if _, ok := p.confirmationsEnd[key]; !ok && revision >= p.Number {
			p.confirmationsEnd[key] = confirmationsEnd
		}
	}
}

// GrantLease decides on a lease for a request that was received at received from
// an entry VM that will hold the current revision when it uses the lease. It
// returns the duration of the lease. quorumAt is the time at which the last
// heartbeat round that a quorum answered was sent. GrantLease returns false when
// quorumAt is too long ago or the entry VM is not registered.
func (t *Tracker) GrantLease(now, received, quorumAt time.Duration, key freshness.EntryKey) (time.Duration, bool) {
	if now-quorumAt > freshness.MaxQuorumAge || !slices.Contains(t.current.Set, key) {
		return 0, false
	}
	m := t.entry(key)
	expiresAt := received + t.leaseWait
	last := len(m.grants) - 1
	if last >= 0 && m.grants[last].revision == t.current.Number {
		m.grants[last].expiresAt = max(m.grants[last].expiresAt, expiresAt)
	} else {
		m.grants = append(m.grants, leaseGrant{t.current.Number, expiresAt})
	}
	m.grants = slices.DeleteFunc(m.grants, func(g leaseGrant) bool { return g.expiresAt <= now })
	return freshness.LeaseDuration, true
}

// RecordAccepted records that an earlier leader accepted a revision in a region.
func (t *Tracker) RecordAccepted(revision uint64, region string) {
	t.accept(min(revision, t.current.Number), region)
}

func (t *Tracker) accept(revision uint64, region string) {
	t.accepted[region] = max(t.accepted[region], revision)
	acceptedEverywhere := t.Accepted()
	t.pending = slices.DeleteFunc(t.pending, func(p pendingRevision) bool { return p.Number <= acceptedEverywhere })
}

// AcceptedIn returns the newest revision accepted in a region: no entry VM of
// the region can admit requests under an older one any more.
func (t *Tracker) AcceptedIn(region string) uint64 { return t.accepted[region] }

// Accepted returns the newest revision accepted in all regions.
func (t *Tracker) Accepted() uint64 {
	lowest := t.current.Number
	for _, region := range t.regions() {
		lowest = min(lowest, t.accepted[region])
	}
	return lowest
}

// regions returns the regions of all entry VMs in the current and previous set,
// which may hold an older revision.
func (t *Tracker) regions() []string {
	var regions []string
	for _, key := range union.Of(t.current.Set, t.current.PreviousSet) {
		if !slices.Contains(regions, key.Region) {
			regions = append(regions, key.Region)
		}
	}
	return regions
}

// CanChangeSet reports whether the set of registered entry VMs may change. It may
// once its last change is accepted in every region whose entry VMs changed.
func (t *Tracker) CanChangeSet() bool {
	for _, region := range t.regions() {
		if t.accepted[region] >= t.current.SetRevision {
			continue
		}
		previous := freshness.InRegion(t.current.PreviousSet, region)
		if !slices.Equal(previous, freshness.InRegion(t.current.Set, region)) {
			return false
		}
	}
	return true
}

// Current returns the newest committed revision.
func (t *Tracker) Current() Revision { return t.current }

// Advance accepts the revisions that can be accepted at now and returns the
// newest revision accepted in all regions.
func (t *Tracker) Advance(now time.Duration) uint64 {
	for _, region := range t.regions() {
		t.advanceRegion(now, region)
	}
	return t.Accepted()
}

func (t *Tracker) advanceRegion(now time.Duration, region string) {
	for i := len(t.pending) - 1; i >= 0; i-- {
		p := &t.pending[i]
		if p.Number <= t.accepted[region] {
			return
		}
		if t.canAccept(now, p, region) {
			t.accept(p.Number, region)
			return
		}
	}
}

// canAccept reports whether no entry VM of the region can admit requests under a
// revision older than p: neither by confirmations, because those that may have
// confirmed an older revision are no majority of the region, nor by a lease.
func (t *Tracker) canAccept(now time.Duration, p *pendingRevision, region string) bool {
	if !p.excludesOldMajority(now, freshness.InRegion(p.Set, region)) {
		return false
	}
	if p.SetRevision > t.accepted[region] && !p.excludesOldMajority(now, freshness.InRegion(p.PreviousSet, region)) {
		return false
	}
	return !t.mayHoldOlderLease(now, p.Number, region)
}

// excludesOldMajority reports whether fewer than a majority of the entry VMs in
// set may have given a confirmation of an older revision that is still valid. An
// entry VM alone in its set has no other to confirm to.
func (p *pendingRevision) excludesOldMajority(now time.Duration, set []freshness.EntryKey) bool {
	mayConfirmOlder := 0
	for _, key := range set {
		confirmationsEnd, acked := p.confirmationsEnd[key]
		if !acked || now < confirmationsEnd && len(set) > 1 {
			mayConfirmOlder++
		}
	}
	return mayConfirmOlder < freshness.Majority(len(set))
}

// mayHoldOlderLease reports whether an entry VM of the region that has not
// acknowledged the revision may hold a lease granted at an older one.
func (t *Tracker) mayHoldOlderLease(now time.Duration, revision uint64, region string) bool {
	for key, m := range t.entries {
		if key.Region != region || m.ackedRevision >= revision {
			continue
		}
		for _, g := range m.grants {
			if g.revision < revision && now < g.expiresAt {
				return true
			}
		}
	}
	return false
}

func (t *Tracker) hasAcked(key freshness.EntryKey, revision uint64) bool {
	m := t.entries[key]
	return m != nil && m.ackedRevision >= revision
}

// MissingAcks returns the ids of the registered entry VMs that have not
// acknowledged the revision.
func (t *Tracker) MissingAcks(revision uint64) []string {
	var ids []string
	for _, key := range t.current.Set {
		if !t.hasAcked(key, revision) {
			ids = append(ids, key.ID)
		}
	}
	return ids
}
