package consensus

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/chart"
)

// MemberStatus is a member as this replica sees it. Match and Live are known
// to a leader only.
type MemberStatus struct {
	Member *catalogpb.ControlMember
	// MatchIndex is the last index known to be durable there.
	MatchIndex uint64
	// Live is set when the member answered within the election timeout.
	Live bool
}

// Status is a view of a replica.
type Status struct {
	Role         chart.State
	Term         uint64
	Leader       uint64
	CommitIndex  uint64
	AppliedIndex uint64
	// LastIndex and Snapshot are the last index of the log and of the snapshot.
	LastIndex     uint64
	SnapshotIndex uint64
	// LeaderSince is when this replica became leader.
	LeaderSince time.Duration
	// LastQuorum is when the newest round that a quorum answered was sent.
	LastQuorum time.Duration
	Members    []MemberStatus
	// MembershipCommitted is set when the newest membership is committed.
	MembershipCommitted bool
	// DiskMismatch is set when the group knows this replica id with another disk.
	DiskMismatch bool
}

// Status returns a view of the replica. The members are shared and must not
// be changed.
func (r *Replica) Status() Status {
	s := Status{
		Role:                r.role,
		Term:                r.term,
		Leader:              r.leader,
		CommitIndex:         r.commit,
		AppliedIndex:        r.applied,
		LastIndex:           r.log.last(),
		SnapshotIndex:       r.log.snapshot.GetIndex(),
		LeaderSince:         r.lead.since,
		LastQuorum:          r.lead.quorumAt,
		MembershipCommitted: r.log.config().index <= r.commit,
		DiskMismatch:        r.formation.refused,
	}
	for _, m := range r.members() {
		id := m.GetReplicaId()
		ms := MemberStatus{Member: m}
		if r.role == Leader {
			ms.MatchIndex, ms.Live = r.durable(id), r.live(id)
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
