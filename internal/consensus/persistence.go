package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// diskState tracks which state is durable and which has to be written.
type diskState struct {
	// durableIndex is the last index known to be durable.
	durableIndex uint64
	// hardStateDirty means that the next write must contain the term and vote;
	// rewrite means that it must contain the whole state.
	hardStateDirty bool
	rewrite        bool

	// writing is set while a write is outstanding. writingIndex is the last
	// index that it makes durable; writingHardState is set if it contains the
	// term and vote.
	writing          bool
	writingIndex     uint64
	writingHardState bool
}

// isDirty reports whether there is anything to write.
func (r *Replica) isDirty() bool {
	return r.disk.rewrite || r.disk.hardStateDirty || r.log.firstDirty != 0 || r.formation.dirty
}

// hardStateDurable reports whether the current term and vote are durable.
func (r *Replica) hardStateDurable() bool {
	return !r.disk.hardStateDirty && !r.disk.writingHardState
}

// startWrite adds the next write to out. While another write is outstanding, it
// keeps SendAfterSync for a later step, because the messages may depend on state
// that the outstanding write does not contain.
func (r *Replica) startWrite(out *Actions) {
	if r.disk.writing {
		r.out.SendAfterSync = out.SendAfterSync
		out.SendAfterSync = nil
		return
	}
	if !r.isDirty() {
		return
	}
	if r.disk.rewrite {
		out.Write = Write{Record: r.fullRecord(), Replace: true}
	} else {
		out.Write = Write{Record: r.incrementalRecord()}
	}
	r.disk.writing = true
	r.disk.writingIndex = r.log.lastIndex()
	r.disk.writingHardState = r.disk.hardStateDirty
	r.disk.hardStateDirty, r.disk.rewrite = false, false
	r.log.firstDirty, r.formation.dirty = 0, false
}

// handleWriteSynced records what the outstanding write has made durable.
func (r *Replica) handleWriteSynced() {
	if !r.disk.writing {
		return
	}
	r.disk.writing, r.disk.writingHardState = false, false
	r.disk.durableIndex = max(r.disk.durableIndex, r.disk.writingIndex)
	switch r.role {
	case Candidate:
		r.votes[r.cfg.ID] = r.hardStateDurable()
		r.countVotes()
	case Leader:
		r.advanceCommit()
	}
}

// truncate removes the entry at index and all entries after it. If the
// outstanding write contains some of them, they no longer count as durable when
// it completes.
func (r *Replica) truncate(index uint64) {
	r.log.truncate(index)
	r.disk.durableIndex = min(r.disk.durableIndex, index-1)
	r.disk.writingIndex = min(r.disk.writingIndex, index-1)
}

// fullRecord returns the complete durable state.
func (r *Replica) fullRecord() *clusterpb.LogRecord {
	return &clusterpb.LogRecord{
		DiskId:    r.cfg.DiskID,
		State:     &clusterpb.HardState{Term: r.term, Vote: r.vote},
		Snapshot:  r.log.snapshot,
		BaseIndex: r.log.baseIndex,
		BaseTerm:  r.log.baseTerm,
		Entries:   r.log.slice(r.log.baseIndex+1, r.log.lastIndex()),
	}
}

// incrementalRecord returns the changes since the last write.
func (r *Replica) incrementalRecord() *clusterpb.LogRecord {
	rec := &clusterpb.LogRecord{}
	if r.disk.hardStateDirty {
		rec.State = &clusterpb.HardState{Term: r.term, Vote: r.vote}
	}
	if r.log.firstDirty != 0 {
		rec.Entries = r.log.slice(r.log.firstDirty, r.log.lastIndex())
	}
	if r.formation.dirty {
		rec.Formation = &clusterpb.Membership{Members: cloneMemberList(r.formation.members)}
	}
	return rec
}
