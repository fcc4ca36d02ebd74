package control

import (
	"context"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Replica is the local replica of the control log.
type Replica interface {
	// Propose appends data to the log and returns the result of its
	// application and its index. After an error the outcome is unknown unless
	// the error is of kind fault.NotLeader.
	Propose(ctx context.Context, data []byte) (any, uint64, error)
	// ConfirmedRead confirms leadership by a heartbeat round begun after the
	// call, and returns once the state machine has applied every command that
	// was committed before it.
	ConfirmedRead(ctx context.Context) (uint64, error)
	// Status returns a consistent picture of the replica.
	Status() Status
}

// Membership is implemented by replicas that can change the control group.
type Membership interface {
	// AddMember adds a learner and promotes it when it has caught up; it
	// reports whether that happened before ctx ended.
	AddMember(ctx context.Context, member *catalogpb.ControlMember, replaces uint64) (bool, error)
	// RemoveMember removes a replica.
	RemoveMember(ctx context.Context, id uint64) error
}

// Status describes a replica.
type Status struct {
	ReplicaID     uint64
	LeaderID      uint64
	LeaderAddress string
	IsLeader      bool
	Term          uint64
	Commit        uint64
	Members       []Member
	// LeaderSince is the time at which this replica began to lead.
	LeaderSince time.Time
	// LastQuorum is the time at which the last heartbeat round that a quorum
	// answered in this term was sent.
	LastQuorum time.Time
}

// Member describes one replica of the control group.
type Member struct {
	Member *catalogpb.ControlMember
	Match  uint64
	Live   bool
}

// StateMachine executes committed commands.
type StateMachine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
