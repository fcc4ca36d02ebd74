package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// changeRefusal returns why the membership cannot change now. One change at a
// time, and only after an entry of this term is committed.
func (r *Replica) changeRefusal() fault.Kind {
	if kind := r.refusal(); kind != "" {
		return kind
	}
	pending := r.log.config().index > r.commit || r.commit < r.lead.opened
	if pending && r.cfg.off&ruleOneChange == 0 {
		return fault.Overloaded
	}
	return ""
}

func (r *Replica) addMember(e AddMember) {
	result := ProposalResult{ID: e.ID, Fault: r.changeRefusal()}
	present := r.member(e.Member.GetReplicaId())
	switch {
	case result.Fault != "":
	case present != nil && present.GetAddress() == e.Member.GetAddress():
	case present != nil || !r.addable(e.Member):
		result.Fault = fault.InvalidChange
	default:
		m := proto.CloneOf(e.Member)
		m.Learner = true
		m.DiskId = 0
		result.Index = r.appendEntry(nil, append(r.cloneMembers(), m))
		result.Term = r.term
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

func (r *Replica) addable(m *catalogpb.ControlMember) bool {
	known := m.GetReplaces() == 0 || r.member(m.GetReplaces()) != nil
	return m.GetReplicaId() != 0 && m.GetAddress() != "" && known
}

func (r *Replica) removeMember(e RemoveMember) {
	result := ProposalResult{ID: e.ID, Fault: r.changeRefusal()}
	switch {
	case result.Fault != "":
	case r.member(e.ReplicaID) == nil:
	case e.ReplicaID == r.cfg.ID:
		result.Fault = fault.InvalidChange
	case !r.quorumWithout(e.ReplicaID):
		result.Fault = fault.NoQuorum
	default:
		result.Index, result.Term = r.dropMember(e.ReplicaID), r.term
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// dropMember appends a membership without id.
func (r *Replica) dropMember(id uint64) uint64 {
	rest := []*catalogpb.ControlMember{}
	for _, m := range r.cloneMembers() {
		if m.GetReplicaId() != id {
			rest = append(rest, m)
		}
	}
	return r.appendEntry(nil, rest)
}

// quorumWithout reports whether the voters other than id hold a live majority
// among themselves.
func (r *Replica) quorumWithout(id uint64) bool {
	total, live := 0, 0
	for _, v := range r.voters() {
		if v == id {
			continue
		}
		total++
		if r.live(v) {
			live++
		}
	}
	return live > total/2
}

// live reports whether a member answered within the election timeout.
func (r *Replica) live(id uint64) bool {
	if id == r.cfg.ID {
		return true
	}
	p := r.lead.peers[id]
	return p != nil && p.acked > 0 && !p.regressed && r.now-p.heard < r.cfg.ElectionTimeout
}

// settleMembers takes the next step of pending replacements: it promotes a
// learner that has caught up and removes the replica that it replaces. A dead
// replica is removed first, so that it does not raise the quorum meanwhile. No
// replica is removed before its successor holds everything committed, or when
// the rest would be left without a live majority.
func (r *Replica) settleMembers() {
	if r.changeRefusal() != "" {
		return
	}
	for _, m := range r.members() {
		old := r.member(m.GetReplaces())
		if !r.caughtUp(m.GetReplicaId()) {
			continue
		}
		switch {
		case m.GetLearner() && (old == nil || r.live(old.GetReplicaId())):
			if r.canPromote() {
				r.promote(m.GetReplicaId())
				return
			}
		case old == nil:
		case old.GetReplicaId() == r.cfg.ID:
			r.transfer(Transfer{})
			return
		case r.quorumWithout(old.GetReplicaId()):
			r.dropMember(old.GetReplicaId())
			return
		}
	}
	r.dropLost()
}

// dropLost removes the member that has been silent for longest, once that is
// cfg.Lost. A voter goes only if a live majority of the rest remains, so that
// everything committed stays on a majority, and only if enough voters or
// successors that have caught up remain.
func (r *Replica) dropLost() {
	if r.cfg.RemoveSilentAfter == 0 {
		return
	}
	var lost *catalogpb.ControlMember
	longest, ready := r.cfg.RemoveSilentAfter, 0
	for _, m := range r.members() {
		silent := r.silence(m.GetReplicaId())
		switch {
		case silent >= longest:
			lost, longest = m, silent
		case m.GetLearner() && r.caughtUp(m.GetReplicaId()):
			ready++
		}
	}
	if lost == nil {
		return
	}
	id := lost.GetReplicaId()
	if lost.GetLearner() || len(r.voters())+ready > leastVoters && r.quorumWithout(id) {
		r.dropMember(id)
	}
}

// silence returns how long a member has not answered this leader.
func (r *Replica) silence(id uint64) time.Duration {
	p := r.lead.peers[id]
	if p == nil {
		return 0
	}
	return r.now - p.heard
}

// canPromote reports whether the voters that are live now would be a majority
// with one voter more, so that losing the new one at once stops nothing. A
// group of one has to take the risk to grow.
func (r *Replica) canPromote() bool {
	voters := r.voters()
	live := 0
	for _, id := range voters {
		if r.live(id) {
			live++
		}
	}
	return len(voters) == 1 || live > (len(voters)+1)/2
}

// caughtUp reports whether a member holds everything committed.
func (r *Replica) caughtUp(id uint64) bool {
	if id == r.cfg.ID {
		return true
	}
	p := r.lead.peers[id]
	return r.live(id) && p.disk != 0 && p.match >= r.commit
}

// promote makes a learner a voter and records its disk.
func (r *Replica) promote(id uint64) {
	members := r.cloneMembers()
	m := find(members, id)
	m.Learner = false
	m.DiskId = r.lead.peers[id].disk
	r.appendEntry(nil, members)
}

func (r *Replica) cloneMembers() []*catalogpb.ControlMember { return cloneAll(r.members()) }
