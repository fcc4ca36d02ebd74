package consensus

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// MemberStatus describes one member as seen by this replica. All but Member is set
// only on the leader.
type MemberStatus struct {
	Member *catalogpb.ControlMember
	// MatchIndex is the last index known to be durable on the member.
	MatchIndex uint64
	// Live means that the member has answered within the election timeout.
	Live bool
	// Standby means that the member is a learner that can take over a vote.
	Standby bool
}

// Status is a snapshot of a replica's state.
type Status struct {
	Role statechart.State
	Term uint64
	// Leader is the replica id of the known leader; 0 if none is known.
	Leader       uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// CaughtUpIndex is an index by which everything is included that was committed
	// when this process started; 0 while none is known.
	CaughtUpIndex uint64
	// LastIndex is the index of the last log entry.
	LastIndex uint64
	// SnapshotIndex is the last index covered by the snapshot.
	SnapshotIndex uint64
	// LeaderSince is when this replica became leader, on the clock passed to
	// Step; 0 if it does not lead.
	LeaderSince time.Duration
	// LastQuorum is when the latest heartbeat round that a quorum answered was
	// sent; after an election and until the first such round, it is when the
	// votes were requested.
	LastQuorum time.Duration
	// TermStartIndex is the index of the first entry of a leader's term; 0 if it
	// does not lead.
	TermStartIndex uint64
	// Leaderless is set while no leader is known, and LeaderlessSince is since when,
	// on the clock passed to Step. For a learner it is also set while its leader is
	// silent.
	Leaderless      bool
	LeaderlessSince time.Duration
	// Waits is what a replica waits for that is not a voter.
	Waits   WaitReason
	Members []MemberStatus
	// MembershipIndex is the index of the log entry, or of the snapshot, with the
	// latest membership.
	MembershipIndex uint64
	// MembershipCommitted means that the latest membership is committed.
	MembershipCommitted bool
	// LeadershipEnd is how this replica last lost its leadership.
	LeadershipEnd LeadershipEnd
	// CanHandOverVote means that the leader may take the vote of this replica when it
	// leaves.
	CanHandOverVote bool
	// DiskMismatch means that the group has recorded a different disk id for
	// this replica id.
	DiskMismatch bool
}

// LeadershipEnd describes how a replica lost its leadership.
type LeadershipEnd struct {
	// Why is the event of the state chart: "quorum_lost" or "higher_term", for instance.
	Why statechart.Event
	// Unanswered is the time for which no quorum had answered a heartbeat round.
	Unanswered time.Duration
}

// Status returns the current state. The members are shared and must not be
// modified.
func (r *Replica) Status() Status {
	s := Status{
		Role:                r.role,
		Term:                r.term,
		Leader:              r.leader,
		CommitIndex:         r.commit,
		AppliedIndex:        r.applied,
		CaughtUpIndex:       r.caughtUpIndex,
		LastIndex:           r.log.lastIndex(),
		SnapshotIndex:       r.log.snapshot.GetIndex(),
		LeaderSince:         r.leaderState.since,
		LastQuorum:          r.leaderState.lastQuorum,
		TermStartIndex:      r.leaderState.termStartIndex,
		Waits:               r.waitReason(),
		MembershipIndex:     r.log.latestMembership().index,
		MembershipCommitted: r.log.latestMembership().index <= r.commit,
		DiskMismatch:        r.formation.diskMismatch,
		LeadershipEnd:       r.leadershipEnd,
		CanHandOverVote:     r.canHandOverVote(),
	}
	if r.leaderlessSince != noDeadline {
		s.Leaderless, s.LeaderlessSince = true, r.leaderlessSince
	}
	for _, m := range r.members() {
		id := m.GetReplicaId()
		ms := MemberStatus{Member: m}
		if r.role == Leader {
			ms.MatchIndex, ms.Live, ms.Standby = r.durableIndex(id), r.isLive(id), r.isStandby(m)
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
