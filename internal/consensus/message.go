package consensus

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// timeout converts a random number of nanoseconds.
func timeout(n int64) time.Duration { return time.Duration(n) }

// sendNow sends a message that speaks of no durable state.
func (r *Replica) sendNow(m *clusterpb.ConsensusMessage) {
	r.out.Send = append(r.out.Send, r.stamp(m))
}

// sendSynced sends a message once the write of this step is durable.
func (r *Replica) sendSynced(m *clusterpb.ConsensusMessage) {
	r.out.SendAfterSync = append(r.out.SendAfterSync, r.stamp(m))
}

func (r *Replica) stamp(m *clusterpb.ConsensusMessage) *clusterpb.ConsensusMessage {
	m.From = r.cfg.ID
	m.FromDisk = r.cfg.DiskID
	m.ToDisk = r.member(m.GetTo()).GetDiskId()
	return m
}

// receive handles one message. It drops a message meant for another disk, and
// one from a member whose disk is not the recorded one.
func (r *Replica) receive(m *clusterpb.ConsensusMessage) {
	if m.GetTo() == r.cfg.ID && m.GetKind() == clusterpb.MessageKind_MESSAGE_KIND_FORM {
		r.handleForm(m)
		return
	}
	if r.role == Forming || !r.admits(m) {
		return
	}
	switch {
	case m.GetTerm() > r.term && !speculative(m):
		r.adoptTerm(m.GetTerm())
	case m.GetTerm() < r.term:
		r.answerOldTerm(m)
		return
	}
	r.dispatch(m)
}

func (r *Replica) admits(m *clusterpb.ConsensusMessage) bool {
	if m.GetTo() != r.cfg.ID || !r.sameDisk(m.GetToDisk(), r.cfg.DiskID) {
		return false
	}
	from := r.member(m.GetFrom())
	return from == nil || r.sameDisk(from.GetDiskId(), m.GetFromDisk())
}

// speculative reports whether the term of a message is not yet in use.
func speculative(m *clusterpb.ConsensusMessage) bool {
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return !m.GetReject()
	default:
		return false
	}
}

// answerOldTerm tells the sender of a request from an old term which term it
// has missed.
func (r *Replica) answerOldTerm(m *clusterpb.ConsensusMessage) {
	reply := &clusterpb.ConsensusMessage{To: m.GetFrom(), Term: r.term, Reject: true}
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	case clusterpb.MessageKind_MESSAGE_KIND_VOTE:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
	case clusterpb.MessageKind_MESSAGE_KIND_APPEND, clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	default:
		return
	}
	r.sendSynced(reply)
}

func (r *Replica) dispatch(m *clusterpb.ConsensusMessage) {
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.handlePreVote(m)
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		r.handlePreVoteReply(m)
	case clusterpb.MessageKind_MESSAGE_KIND_VOTE:
		r.handleVote(m)
	case clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		r.handleVoteReply(m)
	case clusterpb.MessageKind_MESSAGE_KIND_APPEND:
		r.handleAppend(m)
	case clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		r.handleAppendReply(m)
	case clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.handleSnapshot(m)
	case clusterpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if r.isVoter() {
			r.fire("transfer")
		}
	}
}
