package replica

import (
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Member is a member of the group as this replica sees it. Match and Live are
// known to a leader only.
type Member struct {
	*catalogpb.ControlMember
	// MatchIndex is the last index known to be durable there.
	MatchIndex uint64
	// Live is set when the member answered within the election timeout.
	Live bool
}

// Status is a view of a replica. It is immutable.
type Status struct {
	ID uint64
	// LeaderID is the replica id of the leader; 0 when none is known.
	LeaderID      uint64
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	// AppliedIndex is the last index that the state machine has applied.
	AppliedIndex uint64
	IsLeader     bool
	Role         string
	Members      []Member
	// MembershipCommitted is set when the newest membership is committed.
	MembershipCommitted bool
	// LeaderSince is when this replica became leader.
	LeaderSince time.Time
	// LastQuorum is the time at which the newest round of heartbeats that a
	// quorum answered was sent. Until then no newer leader had committed
	// anything.
	LastQuorum time.Time
	// Failed is set when the disk failed.
	Failed bool
}

// Status returns the newest view without waiting for the event loop.
func (n *Node) Status() Status { return *n.status.Load() }

// publish stores a new view.
func (n *Node) publish() {
	core := n.core.Status()
	s := &Status{
		ID:                  n.opts.ID,
		LeaderID:            core.Leader,
		Term:                core.Term,
		CommitIndex:         core.CommitIndex,
		AppliedIndex:        n.applied,
		IsLeader:            core.Role == consensus.Leader,
		Role:                string(core.Role),
		MembershipCommitted: core.MembershipCommitted,
	}
	for _, m := range core.Members {
		s.Members = append(s.Members, Member{m.Member, m.MatchIndex, m.Live})
		if m.Member.GetReplicaId() == core.Leader {
			s.LeaderAddress = m.Member.GetAddress()
		}
	}
	if s.IsLeader {
		s.LeaderSince = n.started.Add(core.LeaderSince)
		s.LastQuorum = n.started.Add(core.LastQuorum)
	}
	n.status.Store(s)
}

// roleSeen is the role that was last reported.
type roleSeen struct {
	leader  bool
	term    uint64
	learner map[uint64]bool
	// members are those of the membership that was last seen while leading.
	members []consensus.MemberStatus
}

// noteRole reports changes of leadership and fails what waited for it.
func (n *Node) noteRole() {
	core := n.core.Status()
	leads := core.Role == consensus.Leader
	if n.role.leader && (!leads || core.Term != n.role.term) {
		n.waiting.failAll(fault.New(fault.NoQuorum, "leadership was lost; the outcome is unknown"))
		n.opts.Events.Log(event.LostLeadership).Uint64("term", n.role.term).Send()
	}
	if leads && (!n.role.leader || core.Term != n.role.term) {
		n.opts.Events.Log(event.BecameLeader).Uint64("term", core.Term).Send()
	}
	n.role.leader, n.role.term = leads, core.Term
	n.noteLearners(core)
	n.noteRemoved(core)
	if core.DiskMismatch && !n.refusedID {
		n.refusedID = true
		n.opts.Events.Log(event.ReplicaIDUsed).Uint64("replica", n.opts.ID).Send()
	}
}

// noteLearners reports learners that became voters.
func (n *Node) noteLearners(core consensus.Status) {
	if core.Role != consensus.Leader {
		n.role.learner = nil
		return
	}
	learners := map[uint64]bool{}
	for _, m := range core.Members {
		id := m.Member.GetReplicaId()
		switch {
		case m.Member.GetLearner() || n.role.learner[id] && !core.MembershipCommitted:
			learners[id] = true
		case n.role.learner[id]:
			n.opts.Events.Log(event.MemberCaughtUp).Uint64("replica", id).Send()
		}
	}
	n.role.learner = learners
}

// noteRemoved reports members that have left the group under this leader.
func (n *Node) noteRemoved(core consensus.Status) {
	if core.Role != consensus.Leader {
		n.role.members = nil
		return
	}
	for _, old := range n.role.members {
		stays := slices.ContainsFunc(core.Members, func(m consensus.MemberStatus) bool {
			return m.Member.GetReplicaId() == old.Member.GetReplicaId()
		})
		if !stays {
			n.opts.Events.Log(event.MemberRemoved).Uint64("replica", old.Member.GetReplicaId()).
				Str("address", old.Member.GetAddress()).Uint64("term", core.Term).Send()
		}
	}
	n.role.members = core.Members
}
