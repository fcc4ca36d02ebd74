package consensus

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Event is an input of Step.
type Event interface{ event() }

// Message is a message from another replica.
type Message struct{ *clusterpb.ConsensusMessage }

// Propose asks a leader to append data, which must not be empty. ID is echoed
// in Proposal.
type Propose struct {
	ID   uint64
	Data []byte
}

// Read asks a leader for a confirmed read. ID is echoed in ReadResult.
type Read struct{ ID uint64 }

// AddMember asks a leader to add Member as a learner. It is promoted once it
// has caught up, and Member.Replaces is then removed.
type AddMember struct {
	ID     uint64
	Member *catalogpb.ControlMember
}

// RemoveMember asks a leader to remove a replica other than itself.
type RemoveMember struct {
	ID        uint64
	ReplicaID uint64
}

// Transfer asks a leader to hand over to the replica that is most caught up.
type Transfer struct{ ID uint64 }

// Compact replaces the log up to Index by Data, the state machine at Index.
// Index must not exceed what was returned in Committed.
type Compact struct {
	Index uint64
	Data  []byte
}

// WriteSynced reports that the Write under way is durable.
type WriteSynced struct{}

func (Message) event()      {}
func (Propose) event()      {}
func (Read) event()         {}
func (AddMember) event()    {}
func (RemoveMember) event() {}
func (Transfer) event()     {}
func (Compact) event()      {}
func (WriteSynced) event()  {}

// ProposalResult answers Propose, AddMember, RemoveMember and Transfer. With an
// empty Fault the entry stands in the log at Index and Term, not yet
// committed. A member change that is already in force has Index 0.
type ProposalResult struct {
	ID    uint64
	Index uint64
	Term  uint64
	Fault fault.Kind
}

// ReadResult answers Read. With an empty Fault the read may be served once
// the state machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Fault fault.Kind
}

// Write is what must be made durable. There is at most one at a time.
type Write struct {
	// Record is written and synced; nil when there is nothing to write.
	Record *clusterpb.LogRecord
	// Replace asks for Record to replace the whole file atomically.
	Replace bool
}

// Actions is what a step asks its owner to do. See the package comment for the
// order.
type Actions struct {
	Send          []*clusterpb.ConsensusMessage
	Write         Write
	SendAfterSync []*clusterpb.ConsensusMessage
	// RestoreSnapshot replaces the state machine before Committed is applied.
	RestoreSnapshot *clusterpb.ConsensusSnapshot
	Committed       []*clusterpb.LogEntry
	ProposalResults []ProposalResult
	ReadResults     []ReadResult
	// Deadline is the time by which Step must be called again.
	Deadline time.Duration
}
