// Package acceptance decides, at the control leader, which leases entry VMs get
// and when a configuration revision is accepted. A revision is accepted in a
// region when no entry VM of the region can admit requests under an older
// revision any more.
//
// Times are readings of the leader's monotonic clock.
package acceptance

import (
	"maps"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
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

// ack is an acknowledgement of a revision by an entry VM.
type ack struct {
	revision uint64
	// confirmationsEnd is the time at which the confirmations have expired that
	// the entry VM gave to others before the acknowledgement.
	confirmationsEnd time.Duration
}

// entryState is what the leader knows about one entry VM.
type entryState struct {
	key freshness.EntryKey
	// acks holds the acknowledgements in ascending order of both fields. Of
	// those whose confirmations have expired only the newest is kept.
	acks   []ack
	grants []leaseGrant
}

// ackedRevision returns the newest acknowledged revision.
func (m *entryState) ackedRevision() uint64 {
	if len(m.acks) == 0 {
		return 0
	}
	return m.acks[len(m.acks)-1].revision
}

// dropExpired drops the acknowledgements that a newer one replaces because the
// confirmations given before both have expired.
func (m *entryState) dropExpired(now time.Duration) {
	replaced := 0
	for replaced+1 < len(m.acks) && m.acks[replaced+1].confirmationsEnd <= now {
		replaced++
	}
	m.acks = append(m.acks[:0], m.acks[replaced:]...)
}

// confirmsSince returns the oldest revision that the entry VM may still confirm
// to others, or that others may rely on by its earlier confirmations. alone is
// set if there is no other to confirm to.
func (m *entryState) confirmsSince(now time.Duration, alone bool) uint64 {
	if alone {
		return m.ackedRevision()
	}
	since := uint64(0)
	for _, a := range m.acks {
		if now < a.confirmationsEnd {
			break
		}
		since = a.revision
	}
	return since
}

// admitsSince returns the oldest revision under which the entry VM may admit
// requests by a lease: the newest that it has acknowledged, or that of an older
// lease. Without an unexpired lease it is latest.
func (m *entryState) admitsSince(now time.Duration, latest uint64) uint64 {
	oldest := latest
	for _, g := range m.grants {
		if now < g.expiresAt {
			oldest = min(oldest, g.revision)
		}
	}
	return max(oldest, m.ackedRevision())
}

// epoch is a sequence of revisions with the same sets of entry VMs.
type epoch struct {
	setRevision uint64
	// set and previousSet hold the entry VMs by region.
	set, previousSet map[string][]*entryState
	// pending holds the numbers of the revisions that are not yet accepted
	// everywhere, in ascending order.
	pending []uint64
}

// newestPending returns the newest pending revision that is at most limit.
func (e *epoch) newestPending(limit uint64) (uint64, bool) {
	i, found := slices.BinarySearch(e.pending, limit)
	if found {
		return limit, true
	}
	if i == 0 {
		return 0, false
	}
	return e.pending[i-1], true
}

// Tracker records leases and acknowledgements during one term of a leader. The
// time that it takes for one renewal grows with the number of entry VMs, but not
// with the number of pending revisions. It is not safe for concurrent use.
type Tracker struct {
	entries map[freshness.EntryKey]*entryState
	current Revision
	// registered contains the keys of current.Set.
	registered map[freshness.EntryKey]bool
	// epochs is ordered by age; the last one contains the current revision.
	epochs []*epoch
	// regions holds the regions of all entry VMs in the current and previous
	// set, which may hold an older revision.
	regions []string
	// accepted is the newest accepted revision by region.
	accepted map[string]uint64
	// confirming is scratch space of excludedBefore.
	confirming []uint64
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
	for _, set := range [][]freshness.EntryKey{current.Set, current.PreviousSet} {
		for _, key := range set {
			t.entry(key).grants = []leaseGrant{{revision: 0, expiresAt: expiresAt}}
		}
	}
	t.beginEpoch(current)
	t.appendRevision(current)
	return t
}

func (t *Tracker) entry(key freshness.EntryKey) *entryState {
	m := t.entries[key]
	if m == nil {
		m = &entryState{key: key}
		t.entries[key] = m
	}
	return m
}

// AddRevision adds a committed revision. It ignores one that is not newer than
// the current revision. Its sets are compared with those of the current
// revision only if their set revision differs.
func (t *Tracker) AddRevision(r Revision) {
	if r.Number <= t.current.Number {
		return
	}
	if r.SetRevision != t.current.SetRevision {
		t.beginEpoch(r)
	}
	t.appendRevision(r)
}

// appendRevision makes r, which belongs to the last epoch, the current revision.
func (t *Tracker) appendRevision(r Revision) {
	t.current = r
	last := t.epochs[len(t.epochs)-1]
	last.pending = append(last.pending, r.Number)
}

// beginEpoch begins an epoch with the sets of r.
func (t *Tracker) beginEpoch(r Revision) {
	e := &epoch{setRevision: r.SetRevision, set: t.byRegion(r.Set), previousSet: t.byRegion(r.PreviousSet)}
	t.epochs = append(t.epochs, e)
	t.registered = make(map[freshness.EntryKey]bool, len(r.Set))
	for _, key := range r.Set {
		t.registered[key] = true
	}
	t.regions = slices.Sorted(maps.Keys(e.set))
	for region := range e.previousSet {
		if e.set[region] == nil {
			t.regions = append(t.regions, region)
		}
	}
}

func (t *Tracker) byRegion(set []freshness.EntryKey) map[string][]*entryState {
	regions := make(map[string][]*entryState)
	for _, key := range set {
		regions[key.Region] = append(regions[key.Region], t.entry(key))
	}
	return regions
}

// RecordAck records an acknowledgement of a revision that was received at
// received. The entry VM last confirmed a revision to another entry VM, or
// started, sinceConfirmed before it sent the acknowledgement.
func (t *Tracker) RecordAck(received time.Duration, key freshness.EntryKey, revision uint64, sinceConfirmed time.Duration) {
	m := t.entry(key)
	if len(m.acks) > 0 && revision <= m.ackedRevision() {
		return
	}
	end := received + t.confirmationWait - freshness.SubtractDrift(sinceConfirmed)
	if len(m.acks) > 0 {
		end = max(end, m.acks[len(m.acks)-1].confirmationsEnd)
	}
	m.dropExpired(received)
	m.acks = append(m.acks, ack{revision, end})
}

// GrantLease decides on a lease for a request that was received at received from
// an entry VM that will hold the current revision when it uses the lease. It
// returns the duration of the lease. quorumAt is the time at which the last
// heartbeat round that a quorum answered was sent. GrantLease returns false when
// quorumAt is too long ago or the entry VM is not registered.
func (t *Tracker) GrantLease(now, received, quorumAt time.Duration, key freshness.EntryKey) (time.Duration, bool) {
	if now-quorumAt > freshness.MaxQuorumAge || !t.registered[key] {
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
	if revision <= t.accepted[region] {
		return
	}
	t.accepted[region] = revision
	acceptedEverywhere := t.Accepted()
	for _, e := range t.epochs {
		i, found := slices.BinarySearch(e.pending, acceptedEverywhere)
		if found {
			i++
		}
		e.pending = append(e.pending[:0], e.pending[i:]...)
	}
	for len(t.epochs) > 1 && len(t.epochs[0].pending) == 0 {
		t.epochs = slices.Delete(t.epochs, 0, 1)
	}
}

// AcceptedIn returns the newest revision accepted in a region: no entry VM of
// the region can admit requests under an older one any more.
func (t *Tracker) AcceptedIn(region string) uint64 { return t.accepted[region] }

// Accepted returns the newest revision accepted in all regions.
func (t *Tracker) Accepted() uint64 {
	lowest := t.current.Number
	for _, region := range t.regions {
		lowest = min(lowest, t.accepted[region])
	}
	return lowest
}

// CanChangeSet reports whether the set of registered entry VMs may change. It may
// once its last change is accepted in every region whose entry VMs changed.
func (t *Tracker) CanChangeSet() bool {
	e := t.epochs[len(t.epochs)-1]
	for _, region := range t.regions {
		if t.accepted[region] < e.setRevision && !slices.Equal(e.previousSet[region], e.set[region]) {
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
	for _, region := range t.regions {
		if t.accepted[region] < t.current.Number {
			t.advanceRegion(now, region)
		}
	}
	return t.Accepted()
}

// advanceRegion accepts the newest revision of the region for which no entry VM
// can admit requests under an older one: neither by a lease, nor by
// confirmations, because those that may have confirmed an older revision are no
// majority.
func (t *Tracker) advanceRegion(now time.Duration, region string) {
	byLeases := t.admittedSince(now, region)
	for _, e := range slices.Backward(t.epochs) {
		limit := min(byLeases, t.excludedBefore(now, e.set[region]))
		if e.setRevision > t.accepted[region] {
			limit = min(limit, t.excludedBefore(now, e.previousSet[region]))
		}
		if revision, ok := e.newestPending(limit); ok {
			t.accept(revision, region)
			return
		}
	}
}

// admittedSince returns the oldest revision under which an entry VM of the
// region may admit requests by a lease.
func (t *Tracker) admittedSince(now time.Duration, region string) uint64 {
	oldest := t.current.Number
	for _, m := range t.entries {
		if m.key.Region == region {
			oldest = min(oldest, m.admitsSince(now, t.current.Number))
		}
	}
	return oldest
}

// excludedBefore returns the newest revision for which fewer than a majority of
// the entry VMs in set may have given a confirmation of an older revision that is
// still valid. For an empty set it is the current revision.
func (t *Tracker) excludedBefore(now time.Duration, set []*entryState) uint64 {
	if len(set) == 0 {
		return t.current.Number
	}
	t.confirming = t.confirming[:0]
	for _, m := range set {
		t.confirming = append(t.confirming, m.confirmsSince(now, len(set) == 1))
	}
	slices.Sort(t.confirming)
	return t.confirming[freshness.Majority(len(set))-1]
}

func (t *Tracker) hasAcked(key freshness.EntryKey, revision uint64) bool {
	return t.entries[key] != nil && t.Acknowledged(key) >= revision
}

// Acknowledged returns the newest revision that the entry VM has acknowledged in this
// term, 0 if none.
func (t *Tracker) Acknowledged(key freshness.EntryKey) uint64 {
	m := t.entries[key]
	if m == nil {
		return 0
	}
	return m.ackedRevision()
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
