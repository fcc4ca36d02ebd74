package consensus

import (
	"slices"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// followLeader accepts the sender of a message of the current term as the
// leader.
func (r *Replica) followLeader(leader uint64) {
	r.fire("leader_seen")
	r.leader = leader
	r.leaderHeardAt = r.now
	r.pastFirstElection = true
	r.resetElectionTimer()
}

// handleAppend appends entries that follow the entry with the given index and
// term. The reply is sent once the entries are durable.
func (r *Replica) handleAppend(m *clusterpb.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.followLeader(m.GetFrom())
	r.recordSilences(m)
	r.keepsVote = m.GetKeepVote()
	reply := &clusterpb.ConsensusMessage{
		Kind:    clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:      m.GetFrom(),
		Term:    r.term,
		Round:   m.GetRound(),
		Leaving: r.leaving,
	}
	switch {
	case m.GetLogIndex() < r.log.baseIndex:
		reply.LogIndex = r.commit
	case !r.matchesEntry(m.GetLogIndex(), m.GetLogTerm()):
		reply.Reject = true
		reply.LogIndex = m.GetLogIndex()
		reply.RejectHint = r.rejectHint(m.GetLogIndex())
	default:
		r.mergeEntries(m.GetEntries())
		reply.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
		r.commit = max(r.commit, min(m.GetCommit(), reply.LogIndex))
		r.noteCaughtUp(m.GetCommit())
	}
	r.replyToAppend(reply, len(m.GetEntries()) == 0)
}

// noteCaughtUp sets caughtUpIndex if this replica has all entries up to the commit
// index of the leader, and the last of them is of its term.
func (r *Replica) noteCaughtUp(leaderCommit uint64) {
	if r.caughtUpIndex > 0 || leaderCommit > r.commit {
		return
	}
	if term, ok := r.log.term(r.commit); ok && term == r.term {
		r.caughtUpIndex = r.commit
	}
}

// replyToAppend sends the reply once everything it acknowledges is durable. The
// reply to a heartbeat is sent at once and acknowledges only what is already
// durable, so that a slow disk does not cost the leader its quorum.
func (r *Replica) replyToAppend(reply *clusterpb.ConsensusMessage, heartbeat bool) {
	if !heartbeat || !r.hardStateDurable() {
		r.sendAfterSync(reply)
		return
	}
	if !reply.GetReject() {
		reply.LogIndex = min(reply.GetLogIndex(), r.disk.durableIndex)
	}
	r.sendNow(reply)
}

// matchesEntry reports whether the log holds an entry with this index and term.
func (r *Replica) matchesEntry(index, term uint64) bool {
	t, ok := r.log.term(index)
	if ok && r.cfg.disabledRules&ruleLogMatch != 0 {
		return true
	}
	return ok && t == term
}

// rejectHint returns the last index that may still match the leader's log. It
// skips all uncommitted entries of the conflicting entry's term.
func (r *Replica) rejectHint(prev uint64) uint64 {
	if prev > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	hint := prev
	conflict, _ := r.log.term(prev)
	for hint > r.commit {
		t, ok := r.log.term(hint)
		if !ok || t != conflict {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends the entries that the log lacks. If an uncommitted entry
// conflicts with one of them, it and all entries after it are removed first.
func (r *Replica) mergeEntries(entries []*clusterpb.LogEntry) {
	before := r.log.latestMembership()
	for _, e := range entries {
		term, ok := r.log.term(e.GetIndex())
		if ok && term == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= r.commit {
			return
		}
		if ok {
			r.truncate(e.GetIndex())
		}
		r.log.append(e)
	}
	// Another membership may have the same index as the one that it takes the place of.
	if after := r.log.latestMembership(); after.index != before.index || !slices.Equal(after.members, before.members) {
		r.updateRole()
	}
}

// handleSnapshot replaces the log with the snapshot if the log does not already
// contain the snapshot's last entry.
func (r *Replica) handleSnapshot(m *clusterpb.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.followLeader(m.GetFrom())
	snap := m.GetSnapshot()
	switch {
	case snap.GetIndex() <= r.commit:
	case r.matchesEntry(snap.GetIndex(), snap.GetTerm()):
		r.commit = snap.GetIndex()
	default:
		r.installSnapshot(snap)
	}
	r.sendAfterSync(&clusterpb.ConsensusMessage{
		Kind:     clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:       m.GetFrom(),
		Term:     r.term,
		Round:    m.GetRound(),
		LogIndex: r.commit,
		Leaving:  r.leaving,
	})
}

func (r *Replica) installSnapshot(snap *clusterpb.ConsensusSnapshot) {
	r.log.installSnapshot(snap)
	r.disk.durableIndex, r.disk.writingIndex = 0, 0
	r.commit, r.applied = snap.GetIndex(), snap.GetIndex()
	r.out.RestoreSnapshot = snap
	r.disk.rewrite = true
	r.updateRole()
}
