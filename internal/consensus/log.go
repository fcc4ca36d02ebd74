package consensus

import (
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// membership is a list of members and the log index from which it is in effect.
type membership struct {
	index   uint64
	members []*catalogpb.ControlMember
}

// entryLog is the in-memory log: the entries after a base index, the latest
// snapshot, and the memberships that these contain. The snapshot may be ahead
// of the base index, so that slow followers can still be sent recent entries
// instead of the snapshot.
type entryLog struct {
	baseIndex   uint64
	baseTerm    uint64
	entries     []*clusterpb.LogEntry
	snapshot    *clusterpb.ConsensusSnapshot
	memberships []membership
	// firstDirty is the first index not yet included in a Write; 0 if there is
	// none.
	firstDirty uint64
}

func newLog(rec *clusterpb.LogRecord) entryLog {
	l := entryLog{baseIndex: rec.GetBaseIndex(), baseTerm: rec.GetBaseTerm(), snapshot: rec.GetSnapshot()}
	l.entries = slices.Clone(rec.GetEntries())
	l.rebuildMemberships()
	return l
}

// rebuildMemberships derives the memberships from the snapshot and the entries.
func (l *entryLog) rebuildMemberships() {
	l.memberships = nil
	if m := l.snapshot.GetMembers(); m != nil {
		l.memberships = append(l.memberships, membership{l.snapshot.GetIndex(), m.GetMembers()})
	}
	for _, e := range l.entries {
		if e.GetIndex() > l.snapshot.GetIndex() {
			l.recordMembership(e)
		}
	}
}

func (l *entryLog) recordMembership(e *clusterpb.LogEntry) {
	if m := e.GetMembers(); m != nil {
		l.memberships = append(l.memberships, membership{e.GetIndex(), m.GetMembers()})
	}
}

// latestMembership returns the latest membership, whether committed or not.
func (l *entryLog) latestMembership() membership {
	if len(l.memberships) == 0 {
		return membership{}
	}
	return l.memberships[len(l.memberships)-1]
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) membership {
	for _, m := range slices.Backward(l.memberships) {
		if m.index <= index {
			return m
		}
	}
	return membership{}
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].GetTerm(), true
	}
}

// slice returns the entries from index lo to index hi, both inclusive.
func (l *entryLog) slice(lo, hi uint64) []*clusterpb.LogEntry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex : hi-l.baseIndex]
}

// batch returns the entries from index lo onwards, limited to maxBytes but at
// least one entry if there is any.
func (l *entryLog) batch(lo uint64, maxBytes int) []*clusterpb.LogEntry {
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.GetData()) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *entryLog) append(e *clusterpb.LogEntry) {
	l.entries = append(l.entries, e)
	l.recordMembership(e)
	if l.firstDirty == 0 {
		l.firstDirty = e.GetIndex()
	}
}

// truncate removes the entry at index and all entries after it.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.baseIndex-1])
	for len(l.memberships) > 0 && l.latestMembership().index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	if l.firstDirty == 0 || l.firstDirty > index {
		l.firstDirty = index
	}
}

// compact stores snap, which must cover only committed entries, and discards
// all but the last keep entries that it covers.
func (l *entryLog) compact(snap *clusterpb.ConsensusSnapshot, keep uint64) {
	l.snapshot = snap
	if snap.GetIndex() > l.baseIndex+keep {
		base := snap.GetIndex() - keep
		term, _ := l.term(base)
		l.entries = slices.Clone(l.slice(base+1, l.lastIndex()))
		l.baseIndex, l.baseTerm = base, term
	}
	l.rebuildMemberships()
}

// installSnapshot replaces the whole log with snap.
func (l *entryLog) installSnapshot(snap *clusterpb.ConsensusSnapshot) {
	l.snapshot = snap
	l.baseIndex, l.baseTerm = snap.GetIndex(), snap.GetTerm()
	l.entries = nil
	l.rebuildMemberships()
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
