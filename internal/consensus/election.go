package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// resetElection draws a new election timeout. A replica that is the only voter
// has nobody to wait for.
func (r *Replica) resetElection() {
	if r.role == Follower && len(r.voters()) == 1 && r.isVoter() {
		r.electionDeadline = r.now
		return
	}
	wait, spread := r.cfg.ElectionTimeout, r.cfg.ElectionTimeout/2
	if !r.settled && r.cfg.FirstElectionTimeout > 0 {
		// Spread more widely: the replicas have started together.
		wait, spread = r.cfg.FirstElectionTimeout, r.cfg.FirstElectionTimeout
	}
	r.electionDeadline = r.now + wait + timeout(r.rng.Int64N(int64(spread)+1))
}

// electionTimeout opens an election, but not a second one before the vote of
// the first is durable: a slow disk would never catch up with the terms.
func (r *Replica) electionTimeout() {
	if r.role == Candidate && !r.stateDurable() {
		r.resetElection()
		return
	}
	r.fire("election_timeout")
}

// askPreVotes asks whether an election could be won, without a new term.
func (r *Replica) askPreVotes() {
	r.leader = 0
	r.settled = true
	r.resetElection()
	r.votes = map[uint64]bool{r.cfg.ID: true}
	r.askVoters(clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, r.sendNow)
	r.countPreVotes()
}

// askVotes opens a new term and votes for itself. The requests leave after
// the vote is durable; the replica's own vote counts from then on.
func (r *Replica) askVotes() {
	r.leader = 0
	r.resetElection()
	r.term++
	r.vote = r.cfg.ID
	r.disk.stateDirty = true
	r.votes = map[uint64]bool{}
	r.voteSent = r.now
	r.askVoters(clusterpb.MessageKind_MESSAGE_KIND_VOTE, r.term, r.sendSynced)
}

func (r *Replica) askVoters(kind clusterpb.MessageKind, term uint64, send func(*clusterpb.ConsensusMessage)) {
	for _, id := range r.voters() {
		if id == r.cfg.ID {
			continue
		}
		send(&clusterpb.ConsensusMessage{
			Kind:     kind,
			To:       id,
			Term:     term,
			LogIndex: r.log.last(),
			LogTerm:  r.log.lastTerm(),
		})
	}
}

// handlePreVote grants a pre-vote when the sender could win and no leader has
// been heard within the election timeout. It changes no durable state.
func (r *Replica) handlePreVote(m *clusterpb.ConsensusMessage) {
	heard := r.role == Leader || r.leader != 0 && r.now-r.heard < r.cfg.ElectionTimeout
	grant := !heard && m.GetTerm() > r.term && r.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	term := r.term
	if grant {
		term = m.GetTerm()
	}
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind:   clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY,
		To:     m.GetFrom(),
		Term:   term,
		Reject: !grant,
	})
}

func (r *Replica) handlePreVoteReply(m *clusterpb.ConsensusMessage) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countPreVotes()
}

func (r *Replica) countPreVotes() {
	if r.hasQuorum(r.voted) {
		r.fire("pre_votes_won")
	}
}

// handleVote grants at most one vote in a term. The answer leaves after the
// vote is durable.
func (r *Replica) handleVote(m *clusterpb.ConsensusMessage) {
	free := r.vote == 0 || r.vote == m.GetFrom()
	grant := free && r.role != Leader && r.log.upToDate(m.GetLogIndex(), m.GetLogTerm())
	if grant {
		if r.vote == 0 {
			r.vote = m.GetFrom()
			r.disk.stateDirty = true
		}
		r.resetElection()
	}
	r.sendSynced(&clusterpb.ConsensusMessage{
		Kind:   clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.GetFrom(),
		Term:   r.term,
		Reject: !grant,
	})
}

func (r *Replica) handleVoteReply(m *clusterpb.ConsensusMessage) {
	if r.role != Candidate || m.GetReject() {
		return
	}
	r.votes[m.GetFrom()] = true
	r.countVotes()
}

// countVotes needs the replica's own vote to be durable first.
func (r *Replica) countVotes() {
	if r.votes[r.cfg.ID] && r.hasQuorum(r.voted) {
		r.fire("votes_won")
	}
}

func (r *Replica) voted(id uint64) bool { return r.votes[id] }
