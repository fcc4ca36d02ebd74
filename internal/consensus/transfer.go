package consensus

import (
	"cmp"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// transferLeadership starts a transfer to another live voter. Proposals are refused
// until the transfer completes or the election timeout has passed.
func (r *Replica) transferLeadership(e Transfer) {
	result := ProposalResult{ID: e.ID, Fault: r.proposalFault()}
	target := r.transferCandidate()
	switch {
	case result.Fault != "":
	case target == 0:
		result.Fault = fault.NoQuorum
	default:
		r.leaderState.transferTarget = target
		r.leaderState.transferDeadline = r.now + r.cfg.ElectionTimeout
		r.tickTransfer()
	}
	if e.ID != 0 {
		r.out.ProposalResults = append(r.out.ProposalResults, result)
	}
}

// transferCandidate returns the live voter other than this replica whose log is most
// complete; among equals the one that has answered the latest heartbeat round, because
// a voter that has just failed still counts as live. It returns 0 if there is none.
func (r *Replica) transferCandidate() uint64 {
	best := uint64(0)
	for _, id := range r.voters() {
		if id == r.cfg.ID || !r.isLive(id) || r.leaderState.peers[id].leaving {
			continue
		}
		if best == 0 || cmp.Or(cmp.Compare(r.durableIndex(id), r.durableIndex(best)), cmp.Compare(r.ackedRound(id), r.ackedRound(best))) > 0 {
			best = id
		}
	}
	return best
}

// tickTransfer tells the candidate to start an election once all entries are
// committed and it holds them. It chooses again once per heartbeat round until the
// transfer ends.
func (r *Replica) tickTransfer() {
	if r.leaderState.transferTarget == 0 {
		return
	}
	if r.now >= r.leaderState.transferDeadline {
		r.leaderState.transferTarget = 0
		return
	}
	if r.commit != r.log.lastIndex() || r.leaderState.transferRound == r.leaderState.round {
		return
	}
	target := r.transferCandidate()
	if target == 0 || r.durableIndex(target) != r.log.lastIndex() {
		return
	}
	r.leaderState.transferTarget, r.leaderState.transferRound = target, r.leaderState.round
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind: clusterpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW,
		To:   target,
		Term: r.term,
	})
}
