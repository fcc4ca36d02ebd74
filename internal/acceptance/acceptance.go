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
)

// Revision is a committed configuration as far as acceptance is concerned.
type Revision struct {
	Number uint64
	// Set is the registered set in force from this revision on.
	Set []freshness.Key
	// SetRevision is the revision of the last change of the set.
	SetRevision uint64
	// PreviousSet is the set before that change.
	PreviousSet []freshness.Key
}

// grant is the latest lease on one revision. It allows work on that revision
// or a later one.
type grant struct {
	revision uint64
	until    time.Duration
}

// member is what the leader knows of one key.
type member struct {
	acked  uint64
	grants []grant
}

// pending is a revision that is committed and not yet accepted.
type pending struct {
	Revision
	// blockedAt is the time since which the keys that have not acknowledged
	// the revision cannot form a majority; valid when blocked is set.
	blockedAt time.Duration
	blocked   bool
}

// Tracker follows one term of a leader. It is not safe for concurrent use.
type Tracker struct {
	members  map[freshness.Key]*member
	current  Revision
	pending  []pending
	accepted uint64
}

// New returns the tracker of a leader whose term began at since, and whose
// current configuration, confirmed in that term, is current. Every entry VM is
// taken to hold a lease from the previous leader.
func New(since time.Duration, current Revision) *Tracker {
	t := &Tracker{members: make(map[freshness.Key]*member)}
	until := since + freshness.Lengthen(freshness.QuorumAge+freshness.Lease)
	for _, key := range union(current.Set, current.PreviousSet) {
		t.member(key).grants = []grant{{revision: 0, until: until}}
	}
	t.Publish(current)
	return t
}

func union(a, b []freshness.Key) []freshness.Key {
	keys := slices.Clone(a)
	for _, k := range b {
		if !slices.Contains(keys, k) {
			keys = append(keys, k)
		}
	}
	return keys
}

func (t *Tracker) member(key freshness.Key) *member {
	m := t.members[key]
	if m == nil {
		m = &member{}
		t.members[key] = m
	}
	return m
}

// Publish adds a committed revision.
func (t *Tracker) Publish(r Revision) {
	if r.Number <= t.current.Number {
		return
	}
	t.current = r
	t.pending = append(t.pending, pending{Revision: r})
}

// Ack records that the entry VM holds a revision.
func (t *Tracker) Ack(key freshness.Key, revision uint64) {
	m := t.member(key)
	m.acked = max(m.acked, revision)
}

// Grant decides on a lease for a request received at received from an entry
// VM that will hold the current revision when it uses the lease. quorumAt is
// the time at which the last heartbeat round that a quorum answered was sent.
func (t *Tracker) Grant(now, received, quorumAt time.Duration, key freshness.Key) (time.Duration, bool) {
	if now-quorumAt > freshness.QuorumAge || !slices.Contains(t.current.Set, key) {
		return 0, false
	}
	m := t.member(key)
	until := received + freshness.Lengthen(freshness.Lease)
	last := len(m.grants) - 1
	if last >= 0 && m.grants[last].revision == t.current.Number {
		m.grants[last].until = max(m.grants[last].until, until)
	} else {
		m.grants = append(m.grants, grant{t.current.Number, until})
	}
	m.grants = slices.DeleteFunc(m.grants, func(g grant) bool { return g.until <= now })
	return freshness.Lease, true
}

// Learn records that a revision was accepted, as an earlier leader found.
func (t *Tracker) Learn(revision uint64) {
	t.accept(min(revision, t.current.Number))
}

func (t *Tracker) accept(revision uint64) {
	t.accepted = max(t.accepted, revision)
	t.pending = slices.DeleteFunc(t.pending, func(p pending) bool { return p.Number <= t.accepted })
}

// Accepted returns the newest accepted revision.
func (t *Tracker) Accepted() uint64 { return t.accepted }

// Current returns the newest committed revision.
func (t *Tracker) Current() Revision { return t.current }

// Advance accepts what can be accepted at now and returns the newest accepted
// revision.
func (t *Tracker) Advance(now time.Duration) uint64 {
	for i := range t.pending {
		t.observe(now, &t.pending[i])
	}
	for i := len(t.pending) - 1; i >= 0; i-- {
		if t.acceptable(now, &t.pending[i]) {
			t.accept(t.pending[i].Number)
			break
		}
	}
	return t.accepted
}

// observe notes when the revision became blocked. Acknowledgements are never
// taken back, so it stays so.
func (t *Tracker) observe(now time.Duration, p *pending) {
	if p.blocked {
		return
	}
	for _, set := range t.sets(p) {
		if t.missing(set, p.Number) >= freshness.Majority(len(set)) {
			return
		}
	}
	p.blocked = true
	p.blockedAt = now
}

// sets returns the registered sets that an entry VM on a revision older than p
// may rely on, apart from those that an accepted change has ended.
func (t *Tracker) sets(p *pending) [][]freshness.Key {
	if p.SetRevision > t.accepted {
		return [][]freshness.Key{p.Set, p.PreviousSet}
	}
	return [][]freshness.Key{p.Set}
}

func (t *Tracker) acceptable(now time.Duration, p *pending) bool {
	if !p.blocked {
		return false
	}
	complete := true
	for _, set := range t.sets(p) {
		complete = complete && t.missing(set, p.Number) == 0
	}
	if !complete && now < p.blockedAt+freshness.Lengthen(freshness.Confirm) {
		return false
	}
	return !t.leased(now, p.Number)
}

// leased reports whether an entry VM that has not acknowledged the revision
// may hold a lease on an older one.
func (t *Tracker) leased(now time.Duration, revision uint64) bool {
	for _, m := range t.members {
		if m.acked >= revision {
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

// missing counts the keys of set that have not acknowledged the revision.
func (t *Tracker) missing(set []freshness.Key, revision uint64) int {
	n := 0
	for _, key := range set {
		if !t.acked(key, revision) {
			n++
		}
	}
	return n
}

func (t *Tracker) acked(key freshness.Key, revision uint64) bool {
	m := t.members[key]
	return m != nil && m.acked >= revision
}

// Missing returns the ids of the registered entry VMs that have not
// acknowledged the revision.
func (t *Tracker) Missing(revision uint64) []string {
	var ids []string
	for _, key := range t.current.Set {
		if !t.acked(key, revision) {
			ids = append(ids, key.ID)
		}
	}
	return ids
}
