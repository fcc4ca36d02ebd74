package consensus

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// VoteAnswer is how a voter has answered a pre-vote or a vote.
type VoteAnswer struct {
	Granted bool
	// Refusal is the reason if the answer is a refusal. It is unspecified if the
	// voter runs a build that gives none.
	Refusal clusterpb.VoteRefusal
}

// ballot records the answers to requests for votes while no leader is known. It
// decides nothing.
type ballot struct {
	// rounds counts the rounds of requests since a leader was last known.
	rounds uint64
	// current holds the answers to the latest round, and previous those to the one
	// before, because the voters may not have answered the latest one yet.
	current, previous map[uint64]VoteAnswer
	// ignored holds the members whose requests for votes this replica ignored because
	// of a disk id.
	ignored map[uint64]bool
}

func (b *ballot) startRound() {
	b.rounds++
	b.previous, b.current = b.current, map[uint64]VoteAnswer{}
}

// answer returns the latest answer of a voter, and whether there is one.
func (b *ballot) answer(id uint64) (VoteAnswer, bool) {
	if a, ok := b.current[id]; ok {
		return a, true
	}
	a, ok := b.previous[id]
	return a, ok
}

// recordAnswer records m if it answers a pre-vote or a vote. It must be called before
// replies of lower terms are dropped: a voter that refuses may be in one.
func (r *Replica) recordAnswer(m *clusterpb.ConsensusMessage) {
	asked := r.term
	switch m.GetKind() {
	case clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		asked++
	case clusterpb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
	default:
		return
	}
	if r.ballot.rounds == 0 || !m.GetReject() && m.GetTerm() != asked {
		return
	}
	r.ballot.current[m.GetFrom()] = VoteAnswer{Granted: !m.GetReject(), Refusal: m.GetVoteRefusal()}
}

// recordIgnored records the sender of m if it is a member's request for a vote of this replica.
func (r *Replica) recordIgnored(m *clusterpb.ConsensusMessage) {
	isRequest := m.GetKind() == clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE || m.GetKind() == clusterpb.MessageKind_MESSAGE_KIND_VOTE
	if !isRequest || m.GetTo() != r.cfg.ID || r.member(m.GetFrom()) == nil {
		return
	}
	if r.ballot.ignored == nil {
		r.ballot.ignored = map[uint64]bool{}
	}
	r.ballot.ignored[m.GetFrom()] = true
}

// trackLeader notes since when no leader is known, and discards the ballot once one is.
func (r *Replica) trackLeader() {
	switch {
	case r.knowsLeader():
		r.leaderlessSince = noDeadline
		r.ballot = ballot{}
	case r.leaderlessSince == noDeadline:
		r.leaderlessSince = r.now
	}
}

// knowsLeader reports whether a leader is known. A learner keeps the last leader until
// it hears another one, because it starts no elections; a silent one does not count.
func (r *Replica) knowsLeader() bool {
	if r.role == Learner && r.now-r.leaderHeardAt >= r.cfg.ElectionTimeout {
		return false
	}
	return r.leader != 0
}

// VoterAnswer is the latest answer of one voter.
type VoterAnswer struct {
	Member *catalogpb.ControlMember
	// Answered is set if Answer is valid.
	Answered bool
	Answer   VoteAnswer
}

// ElectionStatus describes the attempts of a replica that knows no leader to become
// leader itself.
type ElectionStatus struct {
	// Vote is the replica that this one has voted for in its term; 0 if none.
	Vote uint64
	// LastTerm is the term of the last log entry.
	LastTerm uint64
	// Rounds counts the rounds of pre-votes and votes since a leader was last known.
	Rounds uint64
	// Needed is the number of voters that an election needs.
	Needed int
	// Voters holds the answers of all voters in the latest membership, this replica
	// included, to the latest two rounds.
	Voters []VoterAnswer
	// Ignored holds the members whose requests for votes were ignored because they
	// have, or expect here, another disk than the membership lists.
	Ignored map[uint64]bool
}

// ElectionStatus returns the state of the elections of this replica. The members
// and the map in it are shared and must not be modified.
func (r *Replica) ElectionStatus() ElectionStatus {
	s := ElectionStatus{Vote: r.vote, LastTerm: r.log.lastTerm(), Rounds: r.ballot.rounds, Ignored: r.ballot.ignored}
	for _, m := range r.members() {
		if m.GetLearner() {
			continue
		}
		v := VoterAnswer{Member: m}
		if id := m.GetReplicaId(); id == r.cfg.ID {
			v.Answered = r.ballot.rounds > 0 && r.isVoter()
			v.Answer.Granted = v.Answered
		} else {
			v.Answer, v.Answered = r.ballot.answer(id)
		}
		s.Voters = append(s.Voters, v)
	}
	s.Needed = len(s.Voters)/2 + 1
	return s
}

// WaitReason is what a replica waits for that is not a voter.
type WaitReason string

// What a replica waits for. A standby waits for nothing. WaitOtherDisk means that its id is listed with another
// disk, so that it can take part under another id only.
const (
	WaitNone      WaitReason = ""
	WaitFormation WaitReason = "formation"
	WaitAddition  WaitReason = "addition"
	WaitLeader    WaitReason = "leader"
	WaitCatchUp   WaitReason = "catch_up"
	WaitOtherDisk WaitReason = "other_disk"
)

// waitReason returns what this replica waits for to be a voter or a standby, or
// WaitNone.
func (r *Replica) waitReason() WaitReason {
	switch {
	case r.role == Forming && r.formation.diskMismatch:
		return WaitOtherDisk
	case r.role == Forming:
		return WaitFormation
	case r.role != Learner:
		return WaitNone
	}
	self := r.member(r.cfg.ID)
	switch {
	case self == nil:
		return WaitAddition
	case !self.GetLearner():
		return WaitOtherDisk
	case !r.knowsLeader():
		return WaitLeader
	case r.caughtUpIndex == 0:
		return WaitCatchUp
	default:
		return WaitNone
	}
}

// FounderStatus is what a forming replica knows of another founder.
type FounderStatus struct {
	Member *catalogpb.ControlMember
	// Heard is set once the founder's disk id is recorded, and Agrees once the founder
	// has recorded the same disk ids.
	Heard, Agrees bool
}

// FormationStatus returns what is known of the other founders while the group forms.
func (r *Replica) FormationStatus() []FounderStatus {
	var out []FounderStatus
	for _, m := range r.formation.members {
		if r.role != Forming || m.GetReplicaId() == r.cfg.ID {
			continue
		}
		out = append(out, FounderStatus{Member: m, Heard: m.GetDiskId() != 0, Agrees: r.formation.agrees(m.GetReplicaId())})
	}
	return out
}
