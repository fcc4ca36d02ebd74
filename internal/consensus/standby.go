package consensus

import (
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// A standby is a learner that has caught up. It holds everything and does not count
// in majorities. A group has an odd number of voters if it can: one more voter would
// raise the majority, but not the number of voters that may be lost. The other
// members are standbys, and take over the votes of members that leave or are silent.

const (
	// silentVoterTimeouts is the number of election timeouts without an answer after
	// which a standby takes over the vote of a member. Within one, a member may still
	// count as live.
	silentVoterTimeouts = 2
	// urgentHeartbeats is the number of heartbeat intervals that replaces it while
	// another voter leaves: a process that stops waits only briefly for its vote to be
	// taken over, and that needs a majority of the others.
	urgentHeartbeats = 3
)

// standbys returns the standbys, those first whose availability zones have the fewest
// voters.
func (r *Replica) standbys() []*catalogpb.ControlMember {
	var found []*catalogpb.ControlMember
	for _, m := range r.members() {
		if r.isStandby(m) {
			found = append(found, m)
		}
	}
	slices.SortStableFunc(found, func(a, b *catalogpb.ControlMember) int {
		return r.votersIn(a.GetZone()) - r.votersIn(b.GetZone())
	})
	return found
}

// votersIn returns the number of voters in an availability zone.
func (r *Replica) votersIn(zone string) int {
	n := 0
	for _, m := range r.members() {
		if !m.GetLearner() && m.GetZone() == zone {
			n++
		}
	}
	return n
}

// isStandby reports whether a member can take over a vote. One that has yet to take
// the place of another member cannot.
func (r *Replica) isStandby(m *catalogpb.ControlMember) bool {
	id := m.GetReplicaId()
	return m.GetLearner() && r.member(m.GetReplaces()) == nil && r.isCaughtUp(id) && !r.isLeaving(id)
}

// handOverVotes takes the next step to hand the vote of a member that leaves or is
// silent to a standby, or to withdraw it without one. The standby becomes a voter
// first: as long as the member votes, the group bears the loss of another disk if the
// member comes back. It reports whether a step was taken.
func (r *Replica) handOverVotes() bool {
	voters := r.voters()
	urgent := slices.ContainsFunc(voters, r.isLeaving)
	for _, id := range voters {
		p := r.leaderState.peers[id]
		if p == nil || !r.losesVote(id, urgent) {
			continue
		}
		if !r.canSpareVote(id) {
			if standbys := r.standbys(); len(standbys) > 0 && r.hasLiveMajorityWithOneMore() {
				r.promote(standbys[0].GetReplicaId())
				return true
			}
			continue
		}
		if r.hasLiveMajorityWithout(id) && r.othersAnswered(id, p.leavingRound) {
			r.withdrawVote(id)
			return true
		}
	}
	return false
}

// canSpareVote reports whether the group is large enough without the vote of a member
// that leaves or is silent. One that is silent may be back soon, and is worth a smaller
// group only if the number of voters is even.
func (r *Replica) canSpareVote(id uint64) bool {
	voters := len(r.voters())
	return voters > r.minVoters() && (r.isLeaving(id) || voters%2 == 0)
}

// hasLiveMajorityWithOneMore reports whether a majority of the voters is live once a
// standby, which is live, is one of them.
func (r *Replica) hasLiveMajorityWithOneMore() bool {
	voters := r.voters()
	live := 1
	for _, id := range voters {
		if r.isLive(id) {
			live++
		}
	}
	return live > (len(voters)+1)/2
}

// losesVote reports whether a voter leaves, has been silent for too long, or has lost
// entries, so that its answers do not count. It is urgent while any voter leaves.
func (r *Replica) losesVote(id uint64, urgent bool) bool {
	p := r.leaderState.peers[id]
	if p.leaving || p.lostEntries {
		return true
	}
	limit := silentVoterTimeouts * r.cfg.ElectionTimeout
	if urgent {
		limit = min(limit, urgentHeartbeats*r.cfg.HeartbeatInterval)
	}
	return r.cfg.RemoveSilentAfter > 0 && r.silentFor(id) >= min(limit, r.cfg.RemoveSilentAfter)
}

func (r *Replica) isLeaving(id uint64) bool {
	p := r.leaderState.peers[id]
	return p != nil && p.leaving
}

// othersAnswered reports whether a majority of the voters other than id has answered a
// heartbeat round after the given one. A voter that has just failed still counts as
// live, and without the vote of id it may be needed.
func (r *Replica) othersAnswered(id, round uint64) bool {
	total, answered := 0, 0
	for _, v := range r.voters() {
		if v == id {
			continue
		}
		total++
		if r.ackedRound(v) > round {
			answered++
		}
	}
	return answered > total/2
}

// noteLeaving records whether a member is about to stop.
func (r *Replica) noteLeaving(p *progress, leaving bool) {
	if leaving && !p.leaving {
		p.leavingRound, p.leavingSince = r.leaderState.round, r.now
		r.leaderState.heartbeatDue = true
	}
	p.leaving = leaving
}

// withdrawSpareVote withdraws the vote of one of an even number of voters that are all
// live: one from the availability zone with the most voters. It reports whether it did so.
func (r *Replica) withdrawSpareVote() bool {
	voters := r.voters()
	if len(voters) <= r.minVoters() || len(voters)%2 == 1 {
		return false
	}
	spare := uint64(0)
	for _, id := range voters {
		if !r.isLive(id) {
			return false
		}
		if id != r.cfg.ID && (spare == 0 || r.votersIn(r.member(id).GetZone()) > r.votersIn(r.member(spare).GetZone())) {
			spare = id
		}
	}
	r.withdrawVote(spare)
	return true
}

// promoteStandby makes a standby a voter if the number of voters is even or too
// small, or if there is a second standby to make it odd again. It reports whether it
// did so.
func (r *Replica) promoteStandby() bool {
	voters, standbys := len(r.voters()), r.standbys()
	wanted := voters < r.minVoters() || voters%2 == 0 || len(standbys) > 1
	if len(standbys) == 0 || !wanted || !r.canPromote() {
		return false
	}
	r.promote(standbys[0].GetReplicaId())
	return true
}

// withdrawVote makes a voter a learner. It is a standby again once it has caught up.
func (r *Replica) withdrawVote(id uint64) {
	members := r.cloneMembers()
	m := findMember(members, id)
	m.Learner = true
	index := r.appendEntry(nil, members)
	r.reportChange(MemberChange{Index: index, Kind: VoteWithdrawn, Why: r.causeOfWithdrawal(id), Member: m, Silence: r.silentFor(id)})
	if p := r.leaderState.peers[id]; p.lostEntries {
		// Its answers do not count any more, so that it may be sent the entries again.
		*p = progress{nextIndex: r.log.lastIndex() + 1, probing: true, heardAt: p.heardAt, diskID: p.diskID}
	}
}

func (r *Replica) causeOfWithdrawal(id uint64) MemberChangeCause {
	switch p := r.leaderState.peers[id]; {
	case p.leaving:
		return CauseLeaving
	case p.lostEntries:
		return CauseLostEntries
	case r.silentFor(id) < r.cfg.ElectionTimeout:
		return CauseSpare
	default:
		return CauseSilent
	}
}

// canTakeOverVote reports whether the vote of a member that leaves can be withdrawn, now or
// once a learner has caught up. One that a new leader has not heard yet may do so.
func (r *Replica) canTakeOverVote(id uint64) bool {
	return r.canSpareVote(id) || slices.ContainsFunc(r.members(), func(m *catalogpb.ControlMember) bool {
		other := m.GetReplicaId()
		return m.GetLearner() && r.silentFor(other) < r.cfg.ElectionTimeout && !r.isLeaving(other)
	})
}

// mayHearSuccessor reports whether a leader that leaves, and knows nobody to transfer
// its leadership to, should wait: it has just been elected and has not heard the others yet,
// or others leave as well and have not been told yet that they keep their votes.
func (r *Replica) mayHearSuccessor() bool {
	if r.majorityValue(r.ackedRound) == 0 && r.now < r.leaderState.since+r.cfg.ElectionTimeout {
		return true
	}
	return slices.ContainsFunc(r.voters(), func(id uint64) bool {
		p := r.leaderState.peers[id]
		return r.isLeaving(id) && p.ackedRound <= p.leavingRound && r.now < p.leavingSince+r.cfg.HeartbeatInterval
	})
}

// canHandOverVote reports whether this replica may still be relieved of its vote or its
// leadership when it leaves, or has been and does not know yet that this is committed.
func (r *Replica) canHandOverVote() bool {
	switch {
	case !r.isVoter():
		return r.log.latestMembership().index > r.commit
	case r.role == Leader:
		return r.transferCandidate() != 0 || r.mayHearSuccessor()
	case r.keepsVote:
		return false
	default:
		voters := len(r.voters())
		return voters > r.minVoters() || len(r.members()) > voters
	}
}
