package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// follow takes the sender of a message of the current term as leader.
func (r *Replica) follow(leader uint64) {
	r.fire("leader_seen")
	r.leader = leader
	r.heard = r.now
	r.settled = true
	r.resetElection()
}

// handleAppend takes entries that continue the log at the given index and
// term. The answer leaves after the entries are durable.
func (r *Replica) handleAppend(m *clusterpb.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.follow(m.GetFrom())
	reply := &clusterpb.ConsensusMessage{
		Kind:  clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:    m.GetFrom(),
		Term:  r.term,
		Round: m.GetRound(),
	}
	switch {
	case m.GetLogIndex() < r.log.baseIndex:
		reply.LogIndex = r.commit
	case !r.matches(m.GetLogIndex(), m.GetLogTerm()):
		reply.Reject = true
		reply.LogIndex = m.GetLogIndex()
		reply.RejectHint = r.rejectHint(m.GetLogIndex())
	default:
		r.takeEntries(m.GetEntries())
		reply.LogIndex = m.GetLogIndex() + uint64(len(m.GetEntries()))
		r.commit = max(r.commit, min(m.GetCommit(), reply.LogIndex))
	}
	r.answerAppend(reply, len(m.GetEntries()) == 0)
}

// answerAppend sends the answer once what it claims is durable. A heartbeat is
// answered at once, for what is durable already, so that a slow disk does not
// make the leader lose its quorum.
func (r *Replica) answerAppend(reply *clusterpb.ConsensusMessage, heartbeat bool) {
	if !heartbeat || !r.stateDurable() {
		r.sendSynced(reply)
		return
	}
	if !reply.GetReject() {
		reply.LogIndex = min(reply.GetLogIndex(), r.disk.stable)
	}
	r.sendNow(reply)
}

// matches reports whether the log holds an entry with this index and term.
func (r *Replica) matches(index, term uint64) bool {
	t, ok := r.log.term(index)
	if ok && r.cfg.off&ruleLogMatch != 0 {
		return true
	}
	return ok && t == term
}

// rejectHint returns the last index that may still match the leader's log. It
// skips the whole term of a conflicting entry.
func (r *Replica) rejectHint(prev uint64) uint64 {
	if prev > r.log.last() {
		return r.log.last()
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

// takeEntries appends the entries that the log lacks. An entry of another term
// at the same index, and all after it, give way.
func (r *Replica) takeEntries(entries []*clusterpb.LogEntry) {
	before := r.log.config().index
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
	if r.log.config().index != before {
		r.syncRole()
	}
}

// handleSnapshot replaces the log when the snapshot is ahead of it.
func (r *Replica) handleSnapshot(m *clusterpb.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.follow(m.GetFrom())
	snap := m.GetSnapshot()
	switch {
	case snap.GetIndex() <= r.commit:
	case r.matches(snap.GetIndex(), snap.GetTerm()):
		r.commit = snap.GetIndex()
	default:
		r.install(snap)
	}
	r.sendSynced(&clusterpb.ConsensusMessage{
		Kind:     clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:       m.GetFrom(),
		Term:     r.term,
		Round:    m.GetRound(),
		LogIndex: r.commit,
	})
}

func (r *Replica) install(snap *clusterpb.ConsensusSnapshot) {
	r.log.install(snap)
	r.disk.stable, r.disk.writing = 0, 0
	r.commit, r.applied = snap.GetIndex(), snap.GetIndex()
	r.out.RestoreSnapshot = snap
	r.disk.replace = true
	r.syncRole()
}
