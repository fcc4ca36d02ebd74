package consensus

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// transfer begins to hand over to the live voter that is most caught up. No
// entry is accepted until it is done or the election timeout has passed.
func (r *Replica) transfer(e Transfer) {
	result := ProposalResult{ID: e.ID, Fault: r.refusal()}
	target := uint64(0)
	for _, id := range r.voters() {
		better := target == 0 || r.durable(id) > r.durable(target)
		if id != r.cfg.ID && r.live(id) && better {
			target = id
		}
	}
	switch {
	case result.Fault != "":
	case target == 0:
		result.Fault = fault.NoQuorum
	default:
		r.lead.transferee = target
		r.lead.transferUntil = r.now + r.cfg.ElectionTimeout
		r.tickTransfer()
	}
	if e.ID != 0 {
		r.out.ProposalResults = append(r.out.ProposalResults, result)
	}
}

// tickTransfer tells the target to open an election once everything is
// committed and the target holds it, and again in each later round.
func (r *Replica) tickTransfer() {
	target := r.lead.transferee
	if target == 0 {
		return
	}
	if r.now >= r.lead.transferUntil || r.member(target) == nil {
		r.lead.transferee = 0
		return
	}
	ready := r.commit == r.log.last() && r.durable(target) == r.log.last()
	if !ready || r.lead.transferRound == r.lead.round {
		return
	}
	r.lead.transferRound = r.lead.round
	r.sendNow(&clusterpb.ConsensusMessage{
		Kind: clusterpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW,
		To:   target,
		Term: r.term,
	})
}
