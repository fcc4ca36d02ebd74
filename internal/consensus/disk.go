package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// diskState is what the replica knows of its disk.
type diskState struct {
	// stable is the last index known to be durable.
	stable uint64
	// stateDirty and replace ask for the next write to hold the term and vote,
	// or everything.
	stateDirty bool
	replace    bool

	// busy is set while a write is under way. writing is the last index that
	// it makes durable; writingState is set when it holds the term and vote.
	busy         bool
	writing      uint64
	writingState bool
}

// dirty reports whether something waits for the next write.
func (r *Replica) dirty() bool {
	return r.disk.replace || r.disk.stateDirty || r.log.dirty != 0 || r.formation.dirty
}

// stateDurable reports whether the current term and vote are durable.
func (r *Replica) stateDurable() bool {
	return !r.disk.stateDirty && !r.disk.writingState
}

// takeWrite adds the next write to out, unless one is under way; then the
// messages that wait for the next one are kept, too.
func (r *Replica) takeWrite(out *Actions) {
	if r.disk.busy {
		r.out.SendAfterSync = out.SendAfterSync
		out.SendAfterSync = nil
		return
	}
	if !r.dirty() {
		return
	}
	if r.disk.replace {
		out.Write = Write{Record: r.image(), Replace: true}
	} else {
		out.Write = Write{Record: r.delta()}
	}
	r.disk.busy = true
	r.disk.writing = r.log.last()
	r.disk.writingState = r.disk.stateDirty
	r.disk.stateDirty, r.disk.replace = false, false
	r.log.dirty, r.formation.dirty = 0, false
}

// synced counts what the write under way has made durable.
func (r *Replica) synced() {
	if !r.disk.busy {
		return
	}
	r.disk.busy, r.disk.writingState = false, false
	r.disk.stable = max(r.disk.stable, r.disk.writing)
	switch r.role {
	case Candidate:
		r.votes[r.cfg.ID] = r.stateDurable()
		r.countVotes()
	case Leader:
		r.advanceCommit()
	}
}

// truncate removes the entries from index on. What is being written for them
// no longer counts.
func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.disk.stable = min(r.disk.stable, index-1)
	r.disk.writing = min(r.disk.writing, index-1)
}

// image returns the whole durable state.
func (r *Replica) image() *clusterpb.LogRecord {
	return &clusterpb.LogRecord{
		DiskId:    r.cfg.DiskID,
		State:     &clusterpb.HardState{Term: r.term, Vote: r.vote},
		Snapshot:  r.log.snapshot,
		BaseIndex: r.log.baseIndex,
		BaseTerm:  r.log.baseTerm,
		Entries:   r.log.slice(r.log.baseIndex+1, r.log.last()),
	}
}

// delta returns what changed since the last write.
func (r *Replica) delta() *clusterpb.LogRecord {
	rec := &clusterpb.LogRecord{}
	if r.disk.stateDirty {
		rec.State = &clusterpb.HardState{Term: r.term, Vote: r.vote}
	}
	if r.log.dirty != 0 {
		rec.Entries = r.log.slice(r.log.dirty, r.log.last())
	}
	if r.formation.dirty {
		rec.Formation = &clusterpb.Membership{Members: cloneAll(r.formation.members)}
	}
	return rec
}
