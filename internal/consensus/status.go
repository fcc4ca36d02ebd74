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
	// Match is the last index known to be durable there.
	Match uint64
	// Live is set when the member answered within the election timeout.
	Live bool
}

// Status is a view of a replica.
type Status struct {
	Role    chart.State
	Term    uint64
	Leader  uint64
	Commit  uint64
	Applied uint64
	// Last and Snapshot are the last index of the log and of the snapshot.
	Last     uint64
	Snapshot uint64
	// Since is when this replica became leader.
	Since time.Duration
	// QuorumAt is when the newest round that a quorum answered was sent.
	QuorumAt time.Duration
	Members  []MemberStatus
	// Settled is set when the newest membership is committed.
	Settled bool
	// Refused is set when the group knows this replica id with another disk.
	Refused bool
}

// Status returns a view of the replica. The members are shared and must not
// be changed.
func (r *Replica) Status() Status {
	s := Status{
		Role:     r.role,
		Term:     r.term,
		Leader:   r.leader,
		Commit:   r.commit,
		Applied:  r.applied,
		Last:     r.log.last(),
		Snapshot: r.log.snapshot.GetIndex(),
		Since:    r.lead.since,
		QuorumAt: r.lead.quorumAt,
		Settled:  r.log.config().index <= r.commit,
		Refused:  r.formation.refused,
	}
	for _, m := range r.members() {
		id := m.GetReplicaId()
		ms := MemberStatus{Member: m}
		if r.role == Leader {
			ms.Match, ms.Live = r.durable(id), r.live(id)
		}
		s.Members = append(s.Members, ms)
	}
	return s
}
