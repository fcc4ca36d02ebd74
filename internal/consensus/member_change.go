package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// memberChangeFault returns why the membership cannot change now; "" if it can.
// Changes are made one at a time, and only after an entry of the current term
// is committed.
func (r *Replica) memberChangeFault() fault.Kind {
	if kind := r.proposalFault(); kind != "" {
		return kind
	}
	pending := r.log.latestMembership().index > r.commit || r.commit < r.leaderState.termStartIndex
	if pending && r.cfg.disabledRules&ruleOneMemberChange == 0 {
		return fault.Overloaded
	}
	return ""
}

// membersChangedAfter reports whether the members have changed after the index base
// of the log, unless base is 0. Membership changes are appended by the leader alone
// and one at a time, so that the order in its log is the order in which they take
// effect.
func (r *Replica) membersChangedAfter(base uint64) bool {
	return base != 0 && r.log.latestMembership().index > base
}

// confirmMembers appends the members as they are for an order that is in effect already.
// The order is acknowledged, so that the opposite one from before it, which another
// replica may hold, must not take effect any more.
func (r *Replica) confirmMembers(result *ProposalResult, member *catalogpb.ControlMember, base uint64) {
	if base != 0 {
		result.Index, result.Term = r.appendEntry(nil, r.cloneMembers()), r.term
		r.reportChange(MemberChange{Index: result.Index, Kind: MembersConfirmed, Why: CauseRequested, Member: member})
	}
}

// reportChange adds a membership change to the actions.
func (r *Replica) reportChange(c MemberChange) {
	r.out.MemberChanges = append(r.out.MemberChanges, c)
}

func (r *Replica) addMember(e AddMember) {
	result := ProposalResult{ID: e.ID, Fault: r.memberChangeFault()}
	present := r.member(e.Member.GetReplicaId())
	switch {
	case result.Fault != "":
	case present != nil && present.GetAddress() == e.Member.GetAddress():
		r.confirmMembers(&result, present, e.Base)
	case r.membersChangedAfter(e.Base):
		result.Fault = fault.OutdatedOrder
	case present != nil || !r.canAdd(e.Member):
		result.Fault = fault.InvalidChange
	default:
		m := proto.CloneOf(e.Member)
		m.Learner = true
		m.DiskId = 0
		result.Index = r.appendEntry(nil, append(r.cloneMembers(), m))
		result.Term = r.term
		r.reportChange(MemberChange{Index: result.Index, Kind: MemberAdded, Why: CauseRequested, Member: m})
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// canAdd reports whether m has an id and an address, and replaces either nobody
// or a current member.
func (r *Replica) canAdd(m *catalogpb.ControlMember) bool {
	replacesValid := m.GetReplaces() == 0 || r.member(m.GetReplaces()) != nil
	return m.GetReplicaId() != 0 && m.GetAddress() != "" && replacesValid
}

func (r *Replica) removeMember(e RemoveMember) {
	result := ProposalResult{ID: e.ID, Fault: r.memberChangeFault()}
	switch {
	case result.Fault != "":
	case r.member(e.ReplicaID) == nil:
		r.confirmMembers(&result, &catalogpb.ControlMember{ReplicaId: e.ReplicaID}, e.Base)
	case r.membersChangedAfter(e.Base):
		result.Fault = fault.OutdatedOrder
	case e.ReplicaID == r.cfg.ID:
		result.Fault = fault.InvalidChange
	case !r.hasLiveMajorityWithout(e.ReplicaID):
		result.Fault = fault.NoQuorum
	default:
		result.Index, result.Term = r.appendRemoval(e.ReplicaID, MemberChange{Why: CauseRequested}), r.term
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// appendRemoval appends a membership without the given member and reports the change,
// of which the caller gives the cause.
func (r *Replica) appendRemoval(id uint64, change MemberChange) uint64 {
	change.Kind, change.Member, change.Silence = MemberRemoved, r.member(id), r.silentFor(id)
	remaining := []*catalogpb.ControlMember{}
	for _, m := range r.cloneMembers() {
		if m.GetReplicaId() != id {
			remaining = append(remaining, m)
		}
	}
	change.Index = r.appendEntry(nil, remaining)
	r.reportChange(change)
	return change.Index
}

// hasLiveMajorityWithout reports whether a majority of the voters other than id
// is live.
func (r *Replica) hasLiveMajorityWithout(id uint64) bool {
	total, live := 0, 0
	for _, v := range r.voters() {
		if v == id {
			continue
		}
		total++
		if r.isLive(v) {
			live++
		}
	}
	return live > total/2
}

// isLive reports whether a member has answered within the election timeout and
// still holds the entries that it acknowledged.
func (r *Replica) isLive(id uint64) bool {
	if id == r.cfg.ID {
		return true
	}
	p := r.leaderState.peers[id]
	return p != nil && p.ackedRound > 0 && !p.lostEntries && r.now-p.heardAt < r.cfg.ElectionTimeout
}

// advanceMemberChanges takes the next step of the changes that the leader makes by
// itself, one at a time.
func (r *Replica) advanceMemberChanges() {
	if r.memberChangeFault() != "" {
		return
	}
	if !r.advanceReplacements() && !r.handOverVotes() && !r.promoteStandby() && !r.withdrawSpareVote() {
		r.removeSilentMember()
	}
}

// advanceReplacements takes the next step of the replacements that were ordered: it
// promotes a learner that has caught up and removes the member that it replaces. A
// leader that is to be replaced transfers its leadership first. A dead member
// is removed before its successor is promoted, so that the promotion does not
// raise the quorum. No member is removed before its successor has caught up, or if
// the remaining voters would have no live majority. It reports whether a step was
// taken.
func (r *Replica) advanceReplacements() bool {
	for _, m := range r.members() {
		replaced := r.member(m.GetReplaces())
		if replaced == nil || !r.isCaughtUp(m.GetReplicaId()) {
			continue
		}
		id := replaced.GetReplicaId()
		switch {
		case m.GetLearner() && !replaced.GetLearner() && r.isLive(id):
			if r.canPromote() {
				r.promote(m.GetReplicaId())
				return true
			}
		case id == r.cfg.ID:
			r.transferLeadership(Transfer{})
			return true
		case r.hasLiveMajorityWithout(id):
			r.appendRemoval(id, MemberChange{Why: CauseReplaced, Successor: m.GetReplicaId()})
			return true
		}
	}
	return false
}

// removeSilentMember removes the member that has been silent for longest, if
// that is at least Config.RemoveSilentAfter. A voter is removed only if a
// majority of the other voters is live, so that committed entries stay on a
// majority, and only if minVoters voters or learners that have caught up remain.
func (r *Replica) removeSilentMember() {
	if r.cfg.RemoveSilentAfter == 0 {
		return
	}
	silent, longest := uint64(0), r.cfg.RemoveSilentAfter
	for _, m := range r.members() {
		id := m.GetReplicaId()
		if silence := r.silentFor(id); silence >= longest && r.canRemoveSilent(m) {
			silent, longest = id, silence
		}
	}
	if silent != 0 {
		r.appendRemoval(silent, MemberChange{Why: CauseSilent})
	}
}

// canRemoveSilent reports whether a silent member can be spared.
func (r *Replica) canRemoveSilent(silent *catalogpb.ControlMember) bool {
	if !r.hasLiveMajorityWithout(silent.GetReplicaId()) {
		// The silence may be that of this leader.
		return false
	}
	if silent.GetLearner() {
		return true
	}
	remaining := len(r.voters()) - 1
	for _, m := range r.members() {
		if m.GetLearner() && r.isCaughtUp(m.GetReplicaId()) {
			remaining++
		}
	}
	return remaining >= r.minVoters()
}

// silentFor returns how long ago a member last answered. Until it has had an election
// timeout to answer this leader, the time before does not count: it may have
// returned while there was none.
func (r *Replica) silentFor(id uint64) time.Duration {
	p := r.leaderState.peers[id]
	if p == nil {
		return 0
	}
	if tracked := r.now - p.trackedSince; tracked < r.cfg.ElectionTimeout {
		return min(tracked, r.now-p.heardAt)
	}
	return r.now - p.heardAt
}

// canPromote reports whether the voters that are live now would still be a
// majority after adding one more voter, so that the group keeps working if the
// new voter fails at once. A group with one voter could not grow without taking
// this risk.
func (r *Replica) canPromote() bool {
	voters := r.voters()
	live := 0
	for _, id := range voters {
		if r.isLive(id) {
			live++
		}
	}
	return len(voters) == 1 || live > (len(voters)+1)/2
}

// isCaughtUp reports whether a member is live and holds what was committed a heartbeat
// interval ago. Under constant proposals, a member on a slow disk never holds all
// entries that are committed at the moment.
func (r *Replica) isCaughtUp(id uint64) bool {
	if id == r.cfg.ID {
		return true
	}
	p := r.leaderState.peers[id]
	return r.isLive(id) && p.diskID != 0 && p.matchIndex >= min(r.commit, r.leaderState.earlierCommit)
}

// promote makes a learner a voter and records its disk id.
func (r *Replica) promote(id uint64) {
	members := r.cloneMembers()
	m := findMember(members, id)
	m.Learner = false
	m.DiskId = r.leaderState.peers[id].diskID
	index := r.appendEntry(nil, members)
	r.reportChange(MemberChange{Index: index, Kind: MemberPromoted, Why: CauseCaughtUp, Member: m})
}

func (r *Replica) cloneMembers() []*catalogpb.ControlMember { return cloneMemberList(r.members()) }
