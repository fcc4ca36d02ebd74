package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// resetElectionTimer draws a new election timeout. A follower that is the only
// voter starts an election at once.
func (r *Replica) resetElectionTimer() {
	if r.role == Follower && len(r.voters()) == 1 && r.isVoter() {
		r.electionDeadline = r.now
		return
	}
	wait, spread := r.cfg.ElectionTimeout, r.cfg.ElectionTimeout/2
	if !r.pastFirstElection && r.cfg.FirstElectionTimeout > 0 {
		// A wider range makes split votes less likely when all replicas have
		// started at the same time.
		wait, spread = r.cfg.FirstElectionTimeout, r.cfg.FirstElectionTimeout
	}
	r.electionDeadline = r.now + wait + nanoseconds(r.rng.Int64N(int64(spread)+1))
}

// handleElectionTimeout starts an election, except while a candidate's own vote
// is not durable yet: with a slow disk, each new term would come before the
// vote of the previous one is durable.
func (r *Replica) handleElectionTimeout() {
	if r.role == Candidate && !r.hardStateDurable() {
		r.resetElectionTimer()
		return
	}
	r.fire("election_timeout")
}

// requestPreVotes asks the voters whether this replica could win an election,
// without starting a new term.
func (r *Replica) requestPreVotes() {
	r.leader = 0
	r.pastFirstElection = true
	r.resetElectionTimer()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	r.sendVoteRequests(clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, r.sendNow)
	r.countPreVotes()
}

// requestVotes starts a new term in which the replica votes for itself. The
// requests are sent, and its own vote counts, once that vote is durable.
func (r *Replica) requestVotes() {
	r.leader = 0
	r.resetElectionTimer()
	r.term++
	r.vote = r.cfg.ID
	r.disk.hardStateDirty = true
	r.votes = map[uint64]bool{}
	r.votesRequestedAt = r.now
	r.sendVoteRequests(clusterpb.MessageKind_MESSAGE_KIND_VOTE, r.term, r.sendAfterSync)
}

func (r *Replica) sendVoteRequests(kind clusterpb.MessageKind, term uint64, send func(*clusterpb.ConsensusMessage)) {
	r.ballot.startRound()
	for _, id := range r.voters() {
		if id == r.cfg.ID {
			continue
		}
		send(&clusterpb.ConsensusMessage{
			Kind:     kind,
			To:       id,
			Term:     term,
			LogIndex: r.log.lastIndex(),
			LogTerm:  r.log.lastTerm(),
		})
	}
}

// handlePreVote grants a pre-vote if the sender's log is up to date and no
// leader has been heard within the election timeout. It changes no durable
// state.
func (r *Replica) handlePreVote(m *clusterpb.ConsensusMessage) {
	refusal := r.preVoteRefusal(m)
	grant := refusal == clusterpb.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	term := r.term
	if grant {
		term = m.GetTerm()
	}
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind:        clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY,
		To:          m.GetFrom(),
		Term:        term,
		Reject:      !grant,
		VoteRefusal: refusal,
	})
}

// preVoteRefusal returns why the pre-vote is refused, or VOTE_REFUSAL_UNSPECIFIED if
// it is granted.
func (r *Replica) preVoteRefusal(m *clusterpb.ConsensusMessage) clusterpb.VoteRefusal {
	switch {
	case r.role == Leader || r.leader != 0 && r.now-r.leaderHeardAt < r.cfg.ElectionTimeout:
		return clusterpb.VoteRefusal_VOTE_REFUSAL_LEADER_HEARD
	case m.GetTerm() <= r.term:
		return clusterpb.VoteRefusal_VOTE_REFUSAL_OLD_TERM
	case !r.log.upToDate(m.GetLogIndex(), m.GetLogTerm()):
		return clusterpb.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND
	default:
		return clusterpb.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	}
}

func (r *Replica) handlePreVoteReply(m *clusterpb.ConsensusMessage) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countPreVotes()
}

// countPreVotes starts an election if a quorum has granted a pre-vote.
func (r *Replica) countPreVotes() {
	if r.hasQuorum(r.hasVoteFrom) {
		r.fire("pre_votes_won")
	}
}

// handleVote grants at most one vote per term. The reply is sent once the vote
// is durable.
func (r *Replica) handleVote(m *clusterpb.ConsensusMessage) {
	refusal := r.voteRefusal(m)
	grant := refusal == clusterpb.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	if grant {
		if r.vote == 0 {
			r.vote = m.GetFrom()
			r.disk.hardStateDirty = true
		}
		r.resetElectionTimer()
	}
	r.sendAfterSync(&clusterpb.ConsensusMessage{
		Kind:        clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:          m.GetFrom(),
		Term:        r.term,
		Reject:      !grant,
		VoteRefusal: refusal,
	})
}

// voteRefusal returns why the vote is refused, or VOTE_REFUSAL_UNSPECIFIED if it is
// granted.
func (r *Replica) voteRefusal(m *clusterpb.ConsensusMessage) clusterpb.VoteRefusal {
	switch {
	case r.role == Leader:
		return clusterpb.VoteRefusal_VOTE_REFUSAL_LEADER_HEARD
	case r.vote != 0 && r.vote != m.GetFrom():
		return clusterpb.VoteRefusal_VOTE_REFUSAL_ALREADY_VOTED
	case !r.log.upToDate(m.GetLogIndex(), m.GetLogTerm()):
		return clusterpb.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND
	default:
		return clusterpb.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	}
}

func (r *Replica) handleVoteReply(m *clusterpb.ConsensusMessage) {
	if r.role != Candidate || m.GetReject() {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes()
}

// countVotes makes the replica leader if a quorum has voted for it and its own
// vote is durable.
func (r *Replica) countVotes() {
	if r.votes[r.cfg.ID] && r.hasQuorum(r.hasVoteFrom) {
		r.fire("votes_won")
	}
}

func (r *Replica) hasVoteFrom(id uint64) bool { return r.votes[id] }
