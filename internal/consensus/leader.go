package consensus

import (
	"math"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// leaderState is the state that a replica holds only while it leads.
type leaderState struct {
	// termStartIndex is the index of the empty entry appended at the start of
	// the term.
	termStartIndex uint64
	since          time.Duration
	// peers holds the replication progress of every other member by replica id.
	peers map[uint64]*progress

	// round numbers the heartbeat rounds; pendingRounds are those that no
	// quorum has answered yet, oldest first.
	round         uint64
	pendingRounds []heartbeatRound
	// lastQuorum is when the latest round that a quorum answered was sent, or
	// when the votes were requested if there is none yet.
	lastQuorum time.Duration
	// unansweredSince is when the first round after lastQuorum was sent, or
	// noDeadline if there is none.
	unansweredSince time.Duration
	heartbeatDue    bool
	// silences is what the current round tells the others of silent members.
	silences      []*clusterpb.MemberSilence
	nextHeartbeat time.Duration
	// earlierCommit was the commit index one to two heartbeat intervals ago,
	// laterCommit at laterCommitAt, up to one interval ago.
	earlierCommit, laterCommit uint64
	laterCommitAt              time.Duration
	pendingReads               []pendingRead

	// transferTarget is the replica that leadership is being transferred to; 0
	// if there is no transfer. transferRound is the round in which the target
	// was last told to start an election.
	transferTarget   uint64
	transferDeadline time.Duration
	transferRound    uint64
}

// becomeLeader starts the leader's work by appending an empty entry of the new
// term. Entries of earlier terms are committed together with it.
func (r *Replica) becomeLeader() {
	r.leader = r.cfg.ID
	r.leaderState = leaderState{since: r.now, lastQuorum: r.votesRequestedAt, unansweredSince: noDeadline, peers: map[uint64]*progress{}}
	r.updatePeers()
	r.leaderState.termStartIndex = r.appendEntry(nil, nil)
	r.leaderState.heartbeatDue = true
	// Members must hold at least everything from earlier terms to count as caught up.
	r.leaderState.earlierCommit, r.leaderState.laterCommit = r.leaderState.termStartIndex, r.leaderState.termStartIndex
	r.leaderState.laterCommitAt = r.now
}

// stepDown stops leading. Pending reads fail. The next leader decides whether
// uncommitted entries are kept.
func (r *Replica) stepDown() {
	for _, p := range r.leaderState.pendingReads {
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: p.id, Fault: fault.NoQuorum})
	}
	r.answeredAt = silenceTable{}
	for id, p := range r.leaderState.peers {
		r.answeredAt[id] = p.heardAt
	}
	r.leaderState = leaderState{}
	r.leader = 0
}

// tickLeader steps down if the quorum has been lost for too long, and otherwise
// runs the leader's timers.
func (r *Replica) tickLeader() {
	if r.now >= r.quorumDeadline() {
		r.fire("quorum_lost")
		return
	}
	if r.now >= r.leaderState.nextHeartbeat {
		r.leaderState.heartbeatDue = true
	}
	r.noteCommit()
	if r.leaving && r.leaderState.transferTarget == 0 {
		r.transferLeadership(Transfer{})
	}
	r.tickTransfer()
	r.advanceMemberChanges()
}

// noteCommit records the commit index once in a heartbeat interval.
func (r *Replica) noteCommit() {
	ls := &r.leaderState
	if r.now < ls.laterCommitAt+r.cfg.HeartbeatInterval {
		return
	}
	ls.earlierCommit, ls.laterCommit, ls.laterCommitAt = ls.laterCommit, max(r.commit, ls.laterCommit), r.now
}

func (r *Replica) leaderDeadline() time.Duration {
	return min(r.leaderState.nextHeartbeat, r.quorumDeadline())
}

// noDeadline is a time that is never reached.
const noDeadline = time.Duration(math.MaxInt64)

// quorumDeadline returns when the leader steps down unless a quorum answers
// before. It counts from the first unanswered round and not from the last answered
// one: a leader that has sent no round for a while, because its process stood
// still, cannot know yet whether it has lost the quorum.
func (r *Replica) quorumDeadline() time.Duration {
	if r.leaderState.unansweredSince == noDeadline {
		return noDeadline
	}
	return r.leaderState.unansweredSince + r.cfg.ElectionTimeout
}

// propose appends an entry unless proposalFault refuses it.
func (r *Replica) propose(e Propose) {
	result := ProposalResult{ID: e.ID, Fault: r.proposalFault()}
	if result.Fault == "" {
		result.Index, result.Term = r.appendEntry(e.Data, nil), r.term
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// proposalFault returns why no entry can be proposed now: this replica does not
// lead, is transferring leadership, or has too many uncommitted entries. It
// returns "" if a proposal is possible.
func (r *Replica) proposalFault() fault.Kind {
	switch {
	case r.role != Leader || r.leaderState.transferTarget != 0:
		return fault.NotLeader
	case r.log.lastIndex()-r.commit >= maxInflightEntries:
		return fault.Overloaded
	default:
		return ""
	}
}

// appendEntry appends an entry with data or a new membership and returns its
// index.
func (r *Replica) appendEntry(data []byte, members []*catalogpb.ControlMember) uint64 {
	e := &clusterpb.LogEntry{Term: r.term, Index: r.log.lastIndex() + 1, Data: data}
	if members != nil {
		e.Members = &clusterpb.Membership{Members: members}
	}
	r.log.append(e)
	if members != nil {
		r.updatePeers()
	}
	return e.GetIndex()
}

// updatePeers makes the tracked progress match the latest membership.
func (r *Replica) updatePeers() {
	for id := range r.leaderState.peers {
		if r.member(id) == nil {
			delete(r.leaderState.peers, id)
		}
	}
	for _, m := range r.members() {
		id := m.GetReplicaId()
		if id == r.cfg.ID || r.leaderState.peers[id] != nil {
			continue
		}
		r.leaderState.peers[id] = &progress{nextIndex: r.log.lastIndex() + 1, probing: true, heardAt: r.lastAnswer(id), trackedSince: r.now}
	}
}

// advanceCommit commits the entries that a majority of voters holds durably.
// Entries of earlier terms are committed only together with an entry of the
// current term, since a later leader could otherwise still overwrite them.
func (r *Replica) advanceCommit() {
	n := r.majorityValue(r.durableIndex)
	term, _ := r.log.term(n)
	if n <= r.commit || term != r.term && r.cfg.disabledRules&ruleCommitCurrentTerm == 0 {
		return
	}
	r.commit = n
	r.noteCaughtUp(n)
	r.completeReads()
	r.tickTransfer()
}

// durableIndex returns the last index that a member is known to hold durably.
func (r *Replica) durableIndex(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.disk.durableIndex
	}
	p := r.leaderState.peers[id]
	if p == nil || p.lostEntries {
		return 0
	}
	return p.matchIndex
}
