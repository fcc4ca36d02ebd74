package replica

import (
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Member is a member of the group as this replica knows it. MatchIndex, Live and
// Standby are known to a leader only.
type Member struct {
	*catalogpb.ControlMember
	// MatchIndex is the last index known to be durable on the member.
	MatchIndex uint64
	// Live is set if the member has replied within the election timeout.
	Live bool
	// Standby is set if the member is a learner that can take over a vote.
	Standby bool
}

// Status describes a replica at one point in time. It is immutable.
type Status struct {
	ID uint64
	// LeaderID is the replica id of the leader; 0 if none is known.
	LeaderID      uint64
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	// AppliedIndex is the index of the last entry that the state machine has
	// applied.
	AppliedIndex uint64
	// CaughtUp is set once everything is applied that was committed when this
	// process started. Before, the state machine holds an older state, that of the
	// snapshot on the disk.
	CaughtUp bool
	IsLeader bool
	// Role is the name of the role in package consensus.
	Role    string
	Members []Member
	// MembershipCommitted is set if the latest membership is committed.
	MembershipCommitted bool
	// CanHandOverVote is set if the leader may take the vote of this replica when it
	// leaves.
	CanHandOverVote bool
	// LeaderSince is when this replica became leader. It is valid on a leader
	// only.
	LeaderSince time.Time
	// LastQuorum is when the leader sent the latest round of heartbeats that a
	// quorum answered. Until then, no newer leader had committed anything. It
	// is valid on a leader only.
	LastQuorum time.Time
	// LeaderlessSince is since when no leader is known; zero while one is. A learner
	// knows none while its leader is silent.
	LeaderlessSince time.Time
	// Failed is set if the disk failed.
	Failed bool
}

// Status returns the latest published status without waiting for the event
// loop.
func (n *Node) Status() Status { return *n.status.Load() }

// publishStatus makes the current status available to Status.
func (n *Node) publishStatus() {
	st := n.consensus.Status()
	s := &Status{
		ID:                  n.opts.ID,
		LeaderID:            st.Leader,
		Term:                st.Term,
		CommitIndex:         st.CommitIndex,
		AppliedIndex:        n.appliedIndex,
		CaughtUp:            st.CaughtUpIndex > 0 && n.appliedIndex >= st.CaughtUpIndex,
		IsLeader:            st.Role == consensus.Leader,
		Role:                string(st.Role),
		MembershipCommitted: st.MembershipCommitted,
		CanHandOverVote:     st.CanHandOverVote,
	}
	for _, m := range st.Members {
		s.Members = append(s.Members, Member{m.Member, m.MatchIndex, m.Live, m.Standby})
		if m.Member.GetReplicaId() == st.Leader {
			s.LeaderAddress = m.Member.GetAddress()
		}
	}
	if s.IsLeader {
		s.LeaderSince = n.started.Add(st.LeaderSince)
		s.LastQuorum = n.started.Add(st.LastQuorum)
	}
	if st.Leaderless {
		s.LeaderlessSince = n.started.Add(st.LeaderlessSince)
	}
	n.status.Store(s)
}

// reportedState is the state that was last reported, with which reportChanges
// compares the current one.
type reportedState struct {
	leading  bool
	term     uint64
	learners map[uint64]bool
	// members are the members at the last report, if this replica was leader
	// then.
	members []consensus.MemberStatus
	// membership is the latest one that was logged.
	membership          []consensus.MemberStatus
	membershipCommitted bool
	// committedTerm is the last term of which this leader's first commit was logged.
	committedTerm uint64
	// read is set once a confirmed read was logged.
	read bool
	// waits is what this replica waits for to become a voter, and waitsSince since when.
	waits      consensus.WaitReason
	waitsSince time.Duration
	// notVoter and noLeader decide when these are logged.
	notVoter, noLeader waitReports
}

// reportChanges logs changes of leadership and of the membership, long waits, and that
// the group knows the replica id with another disk. If leadership was lost, it
// fails the pending calls.
func (n *Node) reportChanges() {
	st := n.consensus.Status()
	leads := st.Role == consensus.Leader
	if n.reported.leading && (!leads || st.Term != n.reported.term) {
		n.pending.failAll(fault.New(fault.NoQuorum, "the replica has lost leadership; the outcome is unknown"))
		n.opts.Events.Log(event.LostLeadership).Uint64("term", n.reported.term).Str("why", string(st.LeadershipEnd.Why)).
			Uint64("unanswered_ms", uint64(st.LeadershipEnd.Unanswered.Milliseconds())).Send()
	}
	if leads && (!n.reported.leading || st.Term != n.reported.term) {
		n.opts.Events.Log(event.BecameLeader).Uint64("term", st.Term).Send()
	}
	n.reported.leading, n.reported.term = leads, st.Term
	n.reportFirstCommit(st)
	n.reportMembership(st)
	n.reportPromotions(st)
	n.reportRemovals(st)
	n.reportWait(st)
	if st.DiskMismatch && !n.diskMismatchReported {
		n.diskMismatchReported = true
		n.opts.Events.Log(event.ReplicaIDUsed).Uint64("replica", n.opts.ID).Send()
	}
}

// reportPromotions logs learners that have become voters in a committed
// membership.
func (n *Node) reportPromotions(st consensus.Status) {
	if st.Role != consensus.Leader {
		n.reported.learners = nil
		return
	}
	learners := map[uint64]bool{}
	for _, m := range st.Members {
		id := m.Member.GetReplicaId()
		switch {
		case m.Member.GetLearner() || n.reported.learners[id] && !st.MembershipCommitted:
			learners[id] = true
		case n.reported.learners[id]:
			n.opts.Events.Log(event.MemberCaughtUp).Uint64("replica", id).Send()
		}
	}
	n.reported.learners = learners
}

// reportRemovals logs members that were removed from the group while this
// replica was leader.
func (n *Node) reportRemovals(st consensus.Status) {
	if st.Role != consensus.Leader {
		n.reported.members = nil
		return
	}
	for _, old := range n.reported.members {
		stays := slices.ContainsFunc(st.Members, func(m consensus.MemberStatus) bool {
			return m.Member.GetReplicaId() == old.Member.GetReplicaId()
		})
		if !stays {
			n.opts.Events.Log(event.MemberRemoved).Uint64("replica", old.Member.GetReplicaId()).
				Str("address", old.Member.GetAddress()).Uint64("term", st.Term).Send()
		}
	}
	n.reported.members = st.Members
}
