// Package acceptance decides, at the control leader, which leases may be
// granted and when a revision is accepted: when no entry VM can admit work on
// an older configuration any more.
//
// Times are readings of the monotonic clock of the leader.
package acceptance

import (
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/union"
)

// Revision is a committed configuration as far as acceptance is concerned.
type Revision struct {
	Number uint64
	// Set is the registered set in force from this revision on.
	Set []freshness.EntryKey
	// SetRevision is the revision of the last change of the set.
	SetRevision uint64
	// PreviousSet is the set before that change.
	PreviousSet []freshness.EntryKey
}

// grant is the latest lease on one revision. It allows work on that revision
// or a later one.
type grant struct {
	revision uint64
	until    time.Duration
}

// member is what the leader knows of one key.
type member struct {
	acked uint64
	// quietAt is the time from which no confirmation counts any more that the
	// entry VM gave before it acknowledged.
	quietAt time.Duration
	grants  []grant
}

// pending is a revision that is committed and not yet accepted.
type pending struct {
	Revision
	// quietAt holds, for each key that has acknowledged the revision, the time
	// from which its earlier confirmations do not count any more.
	quietAt map[freshness.EntryKey]time.Duration
}

// Tracker follows one term of a leader. It is not safe for concurrent use.
type Tracker struct {
	members map[freshness.EntryKey]*member
	current Revision
	pending []pending
	// accepted holds the newest accepted revision of each region.
	accepted map[string]uint64
	// lease and confirm are the waits for the promises of entry VMs to end.
	lease   time.Duration
	confirm time.Duration
}

// New returns the tracker of a leader whose term began at since, and whose
// current configuration, confirmed in that term, is current. Every entry VM is
// taken to hold a lease from the previous leader.
func New(since time.Duration, current Revision) *Tracker {
	t := &Tracker{
		members:  make(map[freshness.EntryKey]*member),
		accepted: make(map[string]uint64),
		lease:    freshness.AddDrift(freshness.LeaseDuration),
		confirm:  freshness.AddDrift(freshness.ConfirmationValidity),
	}
	until := since + freshness.AddDrift(freshness.MaxQuorumAge+freshness.LeaseDuration)
	for _, key := range union.Of(current.Set, current.PreviousSet) {
		t.member(key).grants = []grant{{revision: 0, until: until}}
	}
	t.AddRevision(current)
	return t
}

func (t *Tracker) member(key freshness.EntryKey) *member {
	m := t.members[key]
	if m == nil {
		m = &member{}
		t.members[key] = m
	}
	return m
}

// AddRevision adds a committed revision.
func (t *Tracker) AddRevision(r Revision) {
	if r.Number <= t.current.Number {
		return
	}
	t.current = r
	p := pending{Revision: r, quietAt: make(map[freshness.EntryKey]time.Duration)}
	for key, m := range t.members {
		if m.acked >= r.Number {
			p.quietAt[key] = m.quietAt
		}
	}
	t.pending = append(t.pending, p)
}

// RecordAck records a report, received at received, that the entry VM holds a
// revision, and that it last confirmed a revision to another one, or started,
// quiet before it sent the report.
func (t *Tracker) RecordAck(received time.Duration, key freshness.EntryKey, revision uint64, quiet time.Duration) {
	quietAt := received + t.confirm - freshness.SubtractDrift(quiet)
	m := t.member(key)
	if revision > m.acked {
		m.acked, m.quietAt = revision, quietAt
	}
	for _, p := range t.pending {
		if _, ok := p.quietAt[key]; !ok && revision >= p.Number {
			p.quietAt[key] = quietAt
		}
	}
}

// GrantLease decides on a lease for a request received at received from an entry
// VM that will hold the current revision when it uses the lease. quorumAt is
// the time at which the last heartbeat round that a quorum answered was sent.
func (t *Tracker) GrantLease(now, received, quorumAt time.Duration, key freshness.EntryKey) (time.Duration, bool) {
	if now-quorumAt > freshness.MaxQuorumAge || !slices.Contains(t.current.Set, key) {
		return 0, false
	}
	m := t.member(key)
	until := received + t.lease
	last := len(m.grants) - 1
	if last >= 0 && m.grants[last].revision == t.current.Number {
		m.grants[last].until = max(m.grants[last].until, until)
	} else {
		m.grants = append(m.grants, grant{t.current.Number, until})
	}
	m.grants = slices.DeleteFunc(m.grants, func(g grant) bool { return g.until <= now })
	return freshness.LeaseDuration, true
}

// RecordAccepted records that a revision was accepted in a region, as an earlier leader
// found.
func (t *Tracker) RecordAccepted(revision uint64, region string) {
	t.accept(min(revision, t.current.Number), region)
}

func (t *Tracker) accept(revision uint64, region string) {
	t.accepted[region] = max(t.accepted[region], revision)
	everywhere := t.Accepted()
	t.pending = slices.DeleteFunc(t.pending, func(p pending) bool { return p.Number <= everywhere })
}

// AcceptedIn returns the newest revision accepted in a region: no entry VM of
// the region can admit work on an older one any more.
func (t *Tracker) AcceptedIn(region string) uint64 { return t.accepted[region] }

// Accepted returns the newest revision accepted in all regions.
func (t *Tracker) Accepted() uint64 {
	lowest := t.current.Number
	for _, region := range t.regions() {
		lowest = min(lowest, t.accepted[region])
	}
	return lowest
}

// regions returns the regions in which an entry VM may hold an older revision.
func (t *Tracker) regions() []string {
	var regions []string
	for _, key := range union.Of(t.current.Set, t.current.PreviousSet) {
		if !slices.Contains(regions, key.Region) {
			regions = append(regions, key.Region)
		}
	}
	return regions
}

// CanChangeSet reports whether the registered set may change: the last change is
// accepted in every region whose entry VMs it changed.
func (t *Tracker) CanChangeSet() bool {
	for _, region := range t.regions() {
		if t.accepted[region] >= t.current.SetRevision {
			continue
		}
		before := freshness.InRegion(t.current.PreviousSet, region)
		if !slices.Equal(before, freshness.InRegion(t.current.Set, region)) {
			return false
		}
	}
	return true
}

// Current returns the newest committed revision.
func (t *Tracker) Current() Revision { return t.current }

// Advance accepts what can be accepted at now and returns the newest revision
// accepted in all regions.
func (t *Tracker) Advance(now time.Duration) uint64 {
	for _, region := range t.regions() {
		t.advanceIn(now, region)
	}
	return t.Accepted()
}

func (t *Tracker) advanceIn(now time.Duration, region string) {
	for i := len(t.pending) - 1; i >= 0; i-- {
		p := &t.pending[i]
		if p.Number <= t.accepted[region] {
			return
		}
		if t.acceptable(now, p, region) {
			t.accept(p.Number, region)
			return
		}
	}
}

// acceptable reports whether no entry VM of the region can admit work on a
// revision older than p: neither by confirmations, since no majority of the
// region has failed to acknowledge p, nor by a lease.
func (t *Tracker) acceptable(now time.Duration, p *pending, region string) bool {
	if !p.blocks(now, freshness.InRegion(p.Set, region)) {
		return false
	}
	if p.SetRevision > t.accepted[region] && !p.blocks(now, freshness.InRegion(p.PreviousSet, region)) {
		return false
	}
	return !t.leased(now, p.Number, region)
}

// blocks reports whether the keys of set that may have confirmed an older
// revision are less than a majority. A key alone in its set has nobody to
// confirm to.
func (p *pending) blocks(now time.Duration, set []freshness.EntryKey) bool {
	open := 0
	for _, key := range set {
		quietAt, acked := p.quietAt[key]
		if !acked || now < quietAt && len(set) > 1 {
			open++
		}
	}
	return open < freshness.Majority(len(set))
}

// leased reports whether an entry VM of the region that has not acknowledged
// the revision may hold a lease on an older one.
func (t *Tracker) leased(now time.Duration, revision uint64, region string) bool {
	for key, m := range t.members {
		if key.Region != region || m.acked >= revision {
			continue
		}
		for _, g := range m.grants {
			if g.revision < revision && now < g.until {
				return true
			}
		}
	}
	return false
}

func (t *Tracker) acked(key freshness.EntryKey, revision uint64) bool {
	m := t.members[key]
	return m != nil && m.acked >= revision
}

// MissingAcks returns the ids of the registered entry VMs that have not
// acknowledged the revision.
func (t *Tracker) MissingAcks(revision uint64) []string {
	var ids []string
	for _, key := range t.current.Set {
		if !t.acked(key, revision) {
			ids = append(ids, key.ID)
		}
	}
	return ids
}
