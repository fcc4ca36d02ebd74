package replica

import (
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// Default values of Options.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultSnapshotEvery     = 1000
)

// StateMachine is the state that is replicated. Its methods are never called
// concurrently.
type StateMachine interface {
	// Apply applies a committed entry. Entries are applied in log order and
	// data is never empty. On the replica that proposed the entry, Propose
	// returns the result.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot has encoded.
	Restore(data []byte) error
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send queues messages in order. It never blocks and may drop messages. The
	// address of the receiver is empty if it is not known.
	Send(to *catalogpb.ControlMember, msgs []*clusterpb.ConsensusMessage)
}

// Options configures a Node.
type Options struct {
	// ID is the replica id. It must not be reused after the disk of its replica
	// was lost.
	ID uint64
	// DataDir is the directory that holds the log.
	DataDir string
	// Bootstrap is the initial membership of a new group, the same for each of
	// its replicas. It is ignored if the replica already has a membership.
	Bootstrap []*catalogpb.ControlMember
	// Join, as the alternative to Bootstrap, starts an empty replica that is to
	// become a learner of an existing group.
	Join         bool
	Transport    Transport
	StateMachine StateMachine
	Events       event.Logger
	// HeartbeatInterval is the time between the heartbeats of a leader.
	// ElectionTimeout is the minimum time without a leader before a replica
	// starts an election. For both, 0 means the default.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// RemoveSilentAfter is how long a member may be silent before the leader
	// removes it; 0 means never.
	RemoveSilentAfter time.Duration
	// ToleratedLosses is the number of disks that may be lost at the same time; 0 means
	// one.
	ToleratedLosses int
	// SnapshotEvery is the minimum number of entries between snapshots; 0 means
	// the default. Depending on its id, a replica waits for up to half as many
	// more, so that the replicas do not all write at the same time.
	SnapshotEvery uint64
	// Seed seeds the random part of the election timeouts.
	Seed uint64
	// FS is the file system of the log; nil means that of the operating system.
	FS storage.FS
}

// withDefaults validates the options and sets default values.
func (o Options) withDefaults() (Options, error) {
	if o.ID == 0 {
		return o, errors.NotValidf("replica id 0")
	}
	if o.Transport == nil || o.StateMachine == nil {
		return o, errors.NotValidf("replica options without transport or state machine")
	}
	if o.Join == (len(o.Bootstrap) > 0) {
		return o, errors.NotValidf("replica options with both or neither of join and bootstrap")
	}
	if !o.Join && !o.inBootstrap() {
		return o, errors.NotValidf("bootstrap membership without replica %d", o.ID)
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.FS == nil {
		o.FS = storage.OSFS{}
	}
	return o, nil
}

func (o Options) inBootstrap() bool {
	for _, m := range o.Bootstrap {
		if m.GetReplicaId() == o.ID {
			return true
		}
	}
	return false
}
