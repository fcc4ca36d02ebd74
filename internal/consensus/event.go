package consensus

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Event is an input of Replica.Step.
type Event interface{ event() }

// Message delivers a message from another replica.
type Message struct{ *clusterpb.ConsensusMessage }

// Propose asks the leader to append Data, which must not be empty, to the log.
// ProposalResult repeats ID.
type Propose struct {
	ID   uint64
	Data []byte
}

// Read asks the leader for a linearizable read. ReadResult repeats ID.
type Read struct{ ID uint64 }

// AddMember asks the leader to add Member to the group as a learner. Once the
// learner has caught up, it takes the place of the member named in
// Member.Replaces. Without one it is a standby, and becomes a voter when the group
// needs one.
type AddMember struct {
	ID     uint64
	Member *catalogpb.ControlMember
	// Base is the index of the log up to which entries were applied where the order
	// arrived. If the members have changed later, and not as requested, the order is
	// rejected; 0 disables this check.
	Base uint64
}

// RemoveMember asks the leader to remove a replica other than itself from the
// group.
type RemoveMember struct {
	ID        uint64
	ReplicaID uint64
	// Base: see AddMember.
	Base uint64
}

// Transfer asks the leader to hand over leadership to the live voter whose log
// is most complete.
type Transfer struct{ ID uint64 }

// Leave announces that this replica is about to stop. From then on it does not keep
// the leadership, and its answers ask the leader to hand its vote to a standby.
type Leave struct{}

// Compact replaces the log up to Index with a snapshot. Data is the encoded
// state machine at Index, which must already have been returned in
// Actions.Committed.
type Compact struct {
	Index uint64
	Data  []byte
}

// WriteSynced reports that the outstanding Write is durable.
type WriteSynced struct{}

func (Message) event()      {}
func (Propose) event()      {}
func (Read) event()         {}
func (AddMember) event()    {}
func (RemoveMember) event() {}
func (Transfer) event()     {}
func (Leave) event()        {}
func (Compact) event()      {}
func (WriteSynced) event()  {}

// ProposalResult is the result of Propose, AddMember, RemoveMember or Transfer.
// If Fault is empty, the entry has been appended to the leader's log at Index
// and Term but is not committed yet. Index is 0 if no entry was needed: for a
// transfer, or for a membership change that is already in effect.
type ProposalResult struct {
	ID    uint64
	Index uint64
	Term  uint64
	Fault fault.Kind
}

// ReadResult is the result of Read. If Fault is empty, the read may be served
// once the state machine has applied Index.
type ReadResult struct {
	ID    uint64
	Index uint64
	Fault fault.Kind
}

// MemberChange describes a membership change that a leader has appended.
type MemberChange struct {
	// Index is that of the log entry.
	Index uint64
	// Kind is what changes, and Why its cause.
	Kind   MemberChangeKind
	Why    MemberChangeCause
	Member *catalogpb.ControlMember
	// Successor is the replica that takes the place of a removed member; 0 if none.
	Successor uint64
	// Silence is for how long a member that is removed, or loses its vote, has not
	// answered this leader.
	Silence time.Duration
}

// MemberChangeKind is the kind of a membership change.
type MemberChangeKind string

// Kinds of membership changes. MembersConfirmed appends the members as they are, for an
// order that is in effect already.
const (
	MemberAdded      MemberChangeKind = "added"
	MemberPromoted   MemberChangeKind = "promoted"
	MemberRemoved    MemberChangeKind = "removed"
	VoteWithdrawn    MemberChangeKind = "vote_withdrawn"
	MembersConfirmed MemberChangeKind = "confirmed"
)

// MemberChangeCause is the cause of a membership change.
type MemberChangeCause string

// Causes of membership changes.
const (
	CauseRequested MemberChangeCause = "requested"
	CauseCaughtUp  MemberChangeCause = "caught_up"
	CauseReplaced  MemberChangeCause = "replaced"
	CauseSilent    MemberChangeCause = "silent"
	CauseLeaving   MemberChangeCause = "leaving"
	CauseSpare     MemberChangeCause = "spare"
	// CauseLostEntries: the answers of the member do not count.
	CauseLostEntries MemberChangeCause = "lost_entries"
)

// Write is a record to make durable. At most one write is outstanding at a
// time.
type Write struct {
	// Record is to be written and synced; nil means that there is nothing to
	// write.
	Record *clusterpb.LogRecord
	// Replace means that Record replaces the whole file atomically instead of
	// being appended to it.
	Replace bool
}

// Actions lists what the caller of Step has to do. The package comment gives
// the order.
type Actions struct {
	Send          []*clusterpb.ConsensusMessage
	Write         Write
	SendAfterSync []*clusterpb.ConsensusMessage
	// RestoreSnapshot, if not nil, replaces the state machine before Committed
	// is applied.
	RestoreSnapshot *clusterpb.ConsensusSnapshot
	Committed       []*clusterpb.LogEntry
	ProposalResults []ProposalResult
	ReadResults     []ReadResult
	// MemberChanges are the membership changes that this leader has appended.
	MemberChanges []MemberChange
	// Deadline is the time by which Step must be called again.
	Deadline time.Duration
}
