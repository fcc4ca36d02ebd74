package control

import (
	"context"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/features"
)

// Replica is the local replica of the control log.
type Replica interface {
	// Propose appends data to the log and returns the result of applying it,
	// and its index. After an error the outcome is unknown, unless the error is
	// of kind fault.NotLeader.
	Propose(ctx context.Context, data []byte) (any, uint64, error)
	// ConfirmedRead confirms leadership with a heartbeat round started after
	// the call, and returns once the state machine has applied every command
	// that was committed before it. It returns an index of the log up to which
	// commands are applied.
	ConfirmedRead(ctx context.Context) (uint64, error)
	// Status returns a consistent snapshot of the state of the replica.
	Status() Status
}

// Membership is implemented by replicas that can change the members of the
// control group.
type Membership interface {
	// AddMember adds a learner and promotes it to voter once it has caught up.
	// It reports whether that happened before ctx ended. A non-zero replaces is
	// the id of the replica that the new one replaces. A change of the members
	// after the log index base rejects the order, unless it is carried out
	// already; 0 disables this check.
	AddMember(ctx context.Context, member *catalogpb.ControlMember, replaces, base uint64) (bool, error)
	// RemoveMember removes a replica from the group. For base see AddMember.
	RemoveMember(ctx context.Context, id, base uint64) error
}

// Status is the state of a replica.
type Status struct {
	ReplicaID     uint64
	LeaderID      uint64
	LeaderAddress string
	IsLeader      bool
	Term          uint64
	CommitIndex   uint64
	// AppliedIndex is the index of the last entry that the state machine has
	// applied.
	AppliedIndex uint64
	// CaughtUp is set once everything is applied that was committed when this
	// process started.
	CaughtUp bool
	Members  []Member
	// LeaderSince is the time at which this replica became leader.
	LeaderSince time.Time
	// LastQuorum is the time at which the last heartbeat round answered by a
	// quorum in this term was sent.
	LastQuorum time.Time
}

// Member is the state of one replica of the control group, as the leader knows
// it.
type Member struct {
	Member     *catalogpb.ControlMember
	MatchIndex uint64
	Live       bool
	// Features is what the replica supports according to its last message. StatedFeatures
	// is not set if this process does not know of one.
	Features       features.Set
	StatedFeatures bool
}

// StateMachine applies committed commands.
type StateMachine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
