package consensus

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// progress is the leader's view of another member's log.
type progress struct {
	// matchIndex is the last index known to be durable on the member.
	matchIndex uint64
	// matchRound is the round in which matchIndex last advanced.
	matchRound uint64
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// ackedRound is the latest round that the member has answered.
	ackedRound uint64
	// heardAt is when the member last answered, this leader or an earlier one, and
	// trackedSince when this leader began to send to it.
	heardAt      time.Duration
	trackedSince time.Duration
	diskID       uint64
	// probing is set while it is unknown where the member's log matches;
	// probeSent means that entries have been sent to find out.
	probing   bool
	probeSent bool
	// snapshotRetryAt is when an unanswered snapshot is sent again.
	snapshotRetryAt time.Duration
	// bulkIndex is the last index of a large amount of log data. Until it is
	// acknowledged, or bulkUntil has passed, heartbeats may overtake the data.
	bulkIndex uint64
	bulkUntil time.Duration
	// lostEntries is set when the member has lost entries that it had
	// acknowledged. Its answers no longer count.
	lostEntries bool
	// leaving is set while the member is about to stop; leavingSince is when it said
	// so, and leavingRound the latest heartbeat round then.
	leaving      bool
	leavingRound uint64
	leavingSince time.Duration
}

// replicate sends every member the entries that it lacks, and a heartbeat if
// one is due.
func (r *Replica) replicate() {
	heartbeat := r.leaderState.heartbeatDue
	if heartbeat {
		r.startHeartbeatRound()
	}
	for _, m := range r.members() {
		if p := r.leaderState.peers[m.GetReplicaId()]; p != nil {
			r.sendToPeer(m.GetReplicaId(), p, heartbeat)
		}
	}
	if heartbeat {
		r.confirmRounds()
	}
}

func (r *Replica) sendToPeer(id uint64, p *progress, heartbeat bool) {
	_, known := r.log.term(p.nextIndex - 1)
	switch {
	case !known && r.now >= p.snapshotRetryAt:
		r.sendSnapshot(id, p)
	case !known:
		r.sendHeartbeat(id, r.log.baseIndex, heartbeat)
	case p.probing && p.probeSent:
		r.sendHeartbeat(id, p.nextIndex-1, heartbeat)
	case p.probing:
		p.probeSent = true
		r.sendAppend(id, p.nextIndex-1, r.batchFor(id, p))
	case !r.sendBatches(id, p):
		r.sendHeartbeat(id, r.heartbeatIndex(p), heartbeat)
	}
}

// heartbeatIndex returns the index up to which a heartbeat asks the member to confirm
// its log: that of the last entry sent, so that entries that were lost are sent again,
// except while a large amount of log data may still be on its way. An append that comes
// after lost entries is rejected at any time.
func (r *Replica) heartbeatIndex(p *progress) uint64 {
	if p.matchIndex < p.bulkIndex && r.now < p.bulkUntil && p.matchIndex >= r.log.baseIndex {
		return p.matchIndex
	}
	return p.nextIndex - 1
}

// transferTime is the time that large log data may take to be transferred and answered.
func (r *Replica) transferTime(bytes int) time.Duration {
	return r.cfg.ElectionTimeout + time.Duration(bytes)*time.Second/minBytesPerSecond
}

// bytesOf returns the size of the entries.
func bytesOf(entries []*clusterpb.LogEntry) int {
	n := 0
	for _, e := range entries {
		n += len(e.GetData())
	}
	return n
}

// sendBatches sends batches without waiting for replies, up to
// maxInflightEntries. It reports whether anything was sent.
func (r *Replica) sendBatches(id uint64, p *progress) bool {
	sent := false
	for p.nextIndex <= r.sendLimit(id) && p.nextIndex-p.matchIndex <= maxInflightEntries {
		entries := r.batchFor(id, p)
		r.sendAppend(id, p.nextIndex-1, entries)
		p.nextIndex += uint64(len(entries))
		sent = true
	}
	if sent {
		r.noteBulk(p)
	}
	return sent
}

// batchFor returns the next entries for a member.
func (r *Replica) batchFor(id uint64, p *progress) []*clusterpb.LogEntry {
	entries := r.log.batch(p.nextIndex, maxBatchBytes)
	if limit := r.sendLimit(id); p.nextIndex+uint64(len(entries)) > limit+1 {
		return entries[:max(limit+1, p.nextIndex)-p.nextIndex]
	}
	return entries
}

// sendLimit returns the index of the last entry that may be sent to a member. The entry
// that withdraws its vote has to be committed first. A voter that alone held it would
// be a learner, which stands for no election, while the others need its vote and do not
// get it, as their logs are behind.
func (r *Replica) sendLimit(id uint64) uint64 {
	latest := r.log.latestMembership()
	if latest.index <= r.commit || !findMember(latest.members, id).GetLearner() {
		return r.log.lastIndex()
	}
	before := findMember(r.log.membershipAt(latest.index-1).members, id)
	if before == nil || before.GetLearner() {
		return r.log.lastIndex()
	}
	return latest.index - 1
}

// noteBulk notes whether a large amount of log data is on its way to a member.
func (r *Replica) noteBulk(p *progress) {
	unacknowledged := r.log.slice(max(p.matchIndex, r.log.baseIndex)+1, p.nextIndex-1)
	if bytes := bytesOf(unacknowledged); bytes >= bulkBytes {
		p.bulkIndex, p.bulkUntil = p.nextIndex-1, r.now+r.transferTime(bytes)
	}
}

func (r *Replica) sendHeartbeat(id, prev uint64, due bool) {
	if due {
		r.sendAppend(id, prev, nil)
	}
}

func (r *Replica) sendAppend(id, prev uint64, entries []*clusterpb.LogEntry) {
	term, _ := r.log.term(prev)
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind:     clusterpb.MessageKind_MESSAGE_KIND_APPEND,
		To:       id,
		Term:     r.term,
		LogIndex: prev,
		LogTerm:  term,
		Commit:   r.commit,
		Entries:  entries,
		Round:    r.leaderState.round,
		Silences: r.leaderState.silences,
		KeepVote: r.isLeaving(id) && !r.canTakeOverVote(id),
	})
}

func (r *Replica) sendSnapshot(id uint64, p *progress) {
	p.snapshotRetryAt = r.now + r.transferTime(len(r.log.snapshot.GetData()))
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind:     clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       id,
		Term:     r.term,
		Round:    r.leaderState.round,
		Snapshot: r.log.snapshot,
	})
}

// handleAppendReply updates the progress of the replying member.
func (r *Replica) handleAppendReply(m *clusterpb.ConsensusMessage) {
	p := r.leaderState.peers[m.GetFrom()]
	if r.role != Leader || p == nil || m.GetLogIndex() > r.log.lastIndex() {
		return
	}
	r.checkPeerDisk(m, p)
	p.heardAt = r.now
	r.noteLeaving(p, m.GetLeaving())
	p.ackedRound = max(p.ackedRound, m.GetRound())
	if m.GetReject() {
		r.handleRejected(m, p)
	} else {
		r.handleAccepted(m, p)
	}
	r.advanceCommit()
	r.confirmRounds()
}

// checkPeerDisk discards the progress of a member that answers from a new disk,
// and records the disk id.
func (r *Replica) checkPeerDisk(m *clusterpb.ConsensusMessage, p *progress) {
	if p.diskID == m.GetFromDisk() {
		return
	}
	if p.diskID != 0 {
		*p = progress{nextIndex: r.log.lastIndex() + 1, probing: true}
	}
	p.diskID = m.GetFromDisk()
}

func (r *Replica) handleAccepted(m *clusterpb.ConsensusMessage, p *progress) {
	if m.GetLogIndex() > p.matchIndex {
		p.matchIndex = m.GetLogIndex()
		p.matchRound = r.leaderState.round
	}
	if p.matchIndex >= r.log.baseIndex {
		p.snapshotRetryAt = 0
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.probing, p.probeSent = false, false
}

// handleRejected moves nextIndex back after a mismatch. If the member rejects
// an entry that it had acknowledged, and the rejection answers a round started
// after that acknowledgement, the rejection cannot be a delayed message, so the
// member has lost entries.
func (r *Replica) handleRejected(m *clusterpb.ConsensusMessage, p *progress) {
	if m.GetLogIndex() <= p.matchIndex {
		p.lostEntries = p.lostEntries || m.GetRound() > p.matchRound
		return
	}
	p.nextIndex = max(min(m.GetRejectHint()+1, m.GetLogIndex()), p.matchIndex+1)
	p.probing, p.probeSent = true, false
}
