package consensus

import (
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// config is a membership and the log index from which it is in force.
type config struct {
	index   uint64
	members []*catalogpb.ControlMember
}

// entryLog is the log in memory: entries after a base, the newest snapshot,
// and the memberships that the two contain. The snapshot may lie beyond the
// base, so that slow followers still find recent entries.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*clusterpb.LogEntry
	snapshot  *clusterpb.ConsensusSnapshot
	configs   []config
	// dirty is the first index not yet handed over for writing; 0 when none.
	dirty uint64
}

func newLog(rec *clusterpb.LogRecord) entryLog {
	l := entryLog{baseIndex: rec.GetBaseIndex(), baseTerm: rec.GetBaseTerm(), snapshot: rec.GetSnapshot()}
	l.entries = slices.Clone(rec.GetEntries())
	l.resetConfigs()
	return l
}

// resetConfigs derives the memberships from the snapshot and the entries.
func (l *entryLog) resetConfigs() {
	l.configs = nil
	if m := l.snapshot.GetMembers(); m != nil {
		l.configs = append(l.configs, config{l.snapshot.GetIndex(), m.GetMembers()})
	}
	for _, e := range l.entries {
		if e.GetIndex() > l.snapshot.GetIndex() {
			l.noteConfig(e)
		}
	}
}

func (l *entryLog) noteConfig(e *clusterpb.LogEntry) {
	if m := e.GetMembers(); m != nil {
		l.configs = append(l.configs, config{e.GetIndex(), m.GetMembers()})
	}
}

// config returns the newest membership, committed or not.
func (l *entryLog) config() config {
	if len(l.configs) == 0 {
		return config{}
	}
	return l.configs[len(l.configs)-1]
}

// configAt returns the membership in force at index.
func (l *entryLog) configAt(index uint64) config {
	for _, c := range slices.Backward(l.configs) {
		if c.index <= index {
			return c
		}
	}
	return config{}
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].GetTerm(), true
	}
}

// slice returns the entries from index lo to hi, both included.
func (l *entryLog) slice(lo, hi uint64) []*clusterpb.LogEntry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex : hi-l.baseIndex]
}

// batch returns entries from index lo on, up to maxBytes but at least one.
func (l *entryLog) batch(lo uint64, maxBytes int) []*clusterpb.LogEntry {
	all := l.slice(lo, l.last())
	size := 0
	for i, e := range all {
		size += len(e.GetData()) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

// append adds one entry at the end.
func (l *entryLog) append(e *clusterpb.LogEntry) {
	l.entries = append(l.entries, e)
	l.noteConfig(e)
	if l.dirty == 0 {
		l.dirty = e.GetIndex()
	}
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.baseIndex-1])
	for len(l.configs) > 0 && l.config().index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
	if l.dirty == 0 || l.dirty > index {
		l.dirty = index
	}
}

// compact takes snap, which covers a committed index, and drops entries so
// that at most keep entries before it remain.
func (l *entryLog) compact(snap *clusterpb.ConsensusSnapshot, keep uint64) {
	l.snapshot = snap
	if snap.GetIndex() > l.baseIndex+keep {
		base := snap.GetIndex() - keep
		term, _ := l.term(base)
		l.entries = slices.Clone(l.slice(base+1, l.last()))
		l.baseIndex, l.baseTerm = base, term
	}
	l.resetConfigs()
}

// install replaces the whole log by snap.
func (l *entryLog) install(snap *clusterpb.ConsensusSnapshot) {
	l.snapshot = snap
	l.baseIndex, l.baseTerm = snap.GetIndex(), snap.GetTerm()
	l.entries = nil
	l.resetConfigs()
}

// upToDate reports whether a log that ends at index and term holds at least
// what this one holds.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
