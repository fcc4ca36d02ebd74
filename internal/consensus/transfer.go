package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// transferLeadership starts a transfer to the live voter whose log is most
// complete. Proposals are refused until the transfer completes or the election
// timeout has passed.
func (r *Replica) transferLeadership(e Transfer) {
	result := ProposalResult{ID: e.ID, Fault: r.proposalFault()}
	target := uint64(0)
	for _, id := range r.voters() {
		better := target == 0 || r.durableIndex(id) > r.durableIndex(target)
		if id != r.cfg.ID && r.isLive(id) && better {
			target = id
		}
	}
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

// tickTransfer tells the target to start an election once all entries are
// committed and the target holds them. It repeats this once per heartbeat round
// until the transfer ends.
func (r *Replica) tickTransfer() {
	target := r.leaderState.transferTarget
	if target == 0 {
		return
	}
	if r.now >= r.leaderState.transferDeadline || r.member(target) == nil {
		r.leaderState.transferTarget = 0
		return
	}
	ready := r.commit == r.log.lastIndex() && r.durableIndex(target) == r.log.lastIndex()
	if !ready || r.leaderState.transferRound == r.leaderState.round {
		return
	}
	r.leaderState.transferRound = r.leaderState.round
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind: clusterpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW,
		To:   target,
		Term: r.term,
	})
}
