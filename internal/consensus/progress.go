package consensus

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index known to be durable there.
	match uint64
	// matchRound is the newest round when match last grew.
	matchRound uint64
	next       uint64
	// acked is the newest round that the member answered.
	acked uint64
	// heard is when the member last answered, or when it became known.
	heard time.Duration
	disk  uint64
	// probing is set while the point from which to send is not known.
	probing bool
	probed  bool
	// snapshotUntil is when an unanswered snapshot is sent again.
	snapshotUntil time.Duration
	// regressed is set when the member lost entries that it had acknowledged;
	// it no longer counts.
	regressed bool
}

// replicate sends what members lack, and a heartbeat when one is due.
func (r *Replica) replicate() {
	heartbeat := r.lead.broadcast
	if heartbeat {
		r.startRound()
	}
	for _, m := range r.members() {
		if p := r.lead.peers[m.GetReplicaId()]; p != nil {
			r.sendEntries(m.GetReplicaId(), p, heartbeat)
		}
	}
	if heartbeat {
		r.checkRounds()
	}
}

func (r *Replica) sendEntries(id uint64, p *progress, heartbeat bool) {
	_, known := r.log.term(p.next - 1)
	switch {
	case !known && r.now >= p.snapshotUntil:
		r.sendSnapshot(id, p)
	case !known:
		r.sendHeartbeat(id, r.log.baseIndex, heartbeat)
	case p.probing && p.probed:
		r.sendHeartbeat(id, p.next-1, heartbeat)
	case p.probing:
		p.probed = true
		r.sendAppend(id, p.next-1, r.log.batch(p.next, maxBatchBytes))
	case !r.stream(id, p):
		r.sendHeartbeat(id, p.next-1, heartbeat)
	}
}

// stream sends batches without waiting for answers, up to the window. It
// reports whether anything was sent.
func (r *Replica) stream(id uint64, p *progress) bool {
	sent := false
	for p.next <= r.log.last() && p.next-p.match <= maxInflightEntries {
		entries := r.log.batch(p.next, maxBatchBytes)
		r.sendAppend(id, p.next-1, entries)
		p.next += uint64(len(entries))
		sent = true
	}
	return sent
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
		Round:    r.lead.round,
	})
}

func (r *Replica) sendSnapshot(id uint64, p *progress) {
	p.snapshotUntil = r.now + r.cfg.ElectionTimeout
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind:     clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       id,
		Term:     r.term,
		Round:    r.lead.round,
		Snapshot: r.log.snapshot,
	})
}

// handleAppendReply notes how far a member has come.
func (r *Replica) handleAppendReply(m *clusterpb.ConsensusMessage) {
	p := r.lead.peers[m.GetFrom()]
	if r.role != Leader || p == nil || m.GetLogIndex() > r.log.last() {
		return
	}
	r.noteDisk(m, p)
	p.heard = r.now
	p.acked = max(p.acked, m.GetRound())
	if m.GetReject() {
		r.backUp(m, p)
	} else {
		r.advance(m, p)
	}
	r.advanceCommit()
	r.checkRounds()
}

// noteDisk starts afresh with a learner that answers from another disk.
func (r *Replica) noteDisk(m *clusterpb.ConsensusMessage, p *progress) {
	if p.disk == m.GetFromDisk() {
		return
	}
	if p.disk != 0 {
		*p = progress{next: r.log.last() + 1, probing: true}
	}
	p.disk = m.GetFromDisk()
}

func (r *Replica) advance(m *clusterpb.ConsensusMessage, p *progress) {
	if m.GetLogIndex() > p.match {
		p.match = m.GetLogIndex()
		p.matchRound = r.lead.round
	}
	if p.match >= r.log.baseIndex {
		p.snapshotUntil = 0
	}
	p.next = max(p.next, p.match+1)
	p.probing, p.probed = false, false
}

// backUp moves the sending point back after a refusal. A refusal that answers
// a round begun after an acknowledgement cannot be an old message: the member
// has lost what it acknowledged.
func (r *Replica) backUp(m *clusterpb.ConsensusMessage, p *progress) {
	if m.GetLogIndex() <= p.match {
		p.regressed = p.regressed || m.GetRound() > p.matchRound
		return
	}
	p.next = max(min(m.GetRejectHint()+1, m.GetLogIndex()), p.match+1)
	p.probing, p.probed = true, false
}
