package consensus

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

func nanoseconds(n int64) time.Duration { return time.Duration(n) }

// sendNow sends a message that does not depend on unsynced state.
func (r *Replica) sendNow(m *clusterpb.ConsensusMessage) {
	r.out.Send = append(r.out.Send, r.withIDs(m))
}

// sendAfterSync sends a message once this step's write is durable.
func (r *Replica) sendAfterSync(m *clusterpb.ConsensusMessage) {
	r.out.SendAfterSync = append(r.out.SendAfterSync, r.withIDs(m))
}

// withIDs fills in the replica and disk ids of the sender and the disk id of the
// receiver.
func (r *Replica) withIDs(m *clusterpb.ConsensusMessage) *clusterpb.ConsensusMessage {
	m.From = r.cfg.ID
	m.FromDisk = r.cfg.DiskID
	m.ToDisk = r.member(m.GetTo()).GetDiskId()
	return m
}

// handleMessage handles one message. Messages meant for another replica or disk
// are dropped, as are messages from a member whose disk id differs from the
// recorded one.
func (r *Replica) handleMessage(m *clusterpb.ConsensusMessage) {
	if m.GetTo() == r.cfg.ID && m.GetKind() == clusterpb.MessageKind_MESSAGE_KIND_FORM {
		r.handleFormation(m)
		return
	}
	if r.role == Forming {
		return
	}
	if !r.accepts(m) {
		r.recordIgnored(m)
		return
	}
	r.recordAnswer(m)
	switch {
	case m.GetTerm() > r.term && !hasProspectiveTerm(m):
		r.adoptTerm(m.GetTerm())
	case m.GetTerm() < r.term:
		r.rejectOldTerm(m)
		return
	}
	r.dispatch(m)
}

func (r *Replica) accepts(m *clusterpb.ConsensusMessage) bool {
	if m.GetTo() != r.cfg.ID || !r.diskMatches(m.GetToDisk(), r.cfg.DiskID) {
		return false
	}
	from := r.member(m.GetFrom())
	return from == nil || r.diskMatches(from.GetDiskId(), m.GetFromDisk())
}

// hasProspectiveTerm reports whether m carries a term that the sender has not
// started yet: a pre-vote request, or a reply that grants one.
func hasProspectiveTerm(m *clusterpb.ConsensusMessage) bool {
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		return !m.GetReject()
	default:
		return false
	}
}

// rejectOldTerm tells the sender of a request with an old term the current
// term.
func (r *Replica) rejectOldTerm(m *clusterpb.ConsensusMessage) {
	reply := &clusterpb.ConsensusMessage{To: m.GetFrom(), Term: r.term, Reject: true}
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
		reply.VoteRefusal = clusterpb.VoteRefusal_VOTE_REFUSAL_OLD_TERM
	case clusterpb.MessageKind_MESSAGE_KIND_VOTE:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
		reply.VoteRefusal = clusterpb.VoteRefusal_VOTE_REFUSAL_OLD_TERM
	case clusterpb.MessageKind_MESSAGE_KIND_APPEND, clusterpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		reply.Kind = clusterpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	default:
		return
	}
	r.sendAfterSync(reply)
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
