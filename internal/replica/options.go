package replica

import (
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/storage"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultElectionTimeout   = time.Second
	DefaultSnapshotEvery     = 1000
)

// StateMachine is what the replicas agree on. All methods are called from one
// goroutine.
type StateMachine interface {
	// Apply applies a committed entry. It is called in log order; data is never
	// empty. The result goes to the caller of Propose at this replica.
	Apply(index uint64, data []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send queues messages in order. It never blocks and may drop them. The
	// address is empty when the replica does not know it.
	Send(to *catalogpb.ControlMember, msgs []*clusterpb.ConsensusMessage)
}

// Options sets up a Node.
type Options struct {
	// ID is the replica id; an id is never reused after its disk was lost.
	ID uint64
	// DataDir is the folder for the log.
	DataDir string
	// Bootstrap is the first membership of a new group. Each of its replicas
	// gets the same list. It is ignored once the replica has its group.
	Bootstrap []*catalogpb.ControlMember
	// Join starts an empty replica as a learner of an existing group.
	Join         bool
	Transport    Transport
	StateMachine StateMachine
	Events       event.Logger
	// HeartbeatInterval is the leader's interval; Election the shortest time without a
	// leader before an election.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// RemoveSilentAfter is the silence after which the leader removes a member; 0 means never.
	RemoveSilentAfter time.Duration
	// SnapshotEvery is the least number of entries between snapshots. Replicas
	// wait up to half as many more, so that they do not all write at once.
	SnapshotEvery uint64
	// Seed feeds the election timeouts.
	Seed uint64
	// FS is the file system; the zero value is that of the operating system.
	FS storage.FS
}

// withDefaults checks the options and fills in defaults.
func (o Options) withDefaults() (Options, error) {
	if o.ID == 0 {
		return o, errors.NotValidf("replica id 0")
	}
	if o.Transport == nil || o.StateMachine == nil {
		return o, errors.NotValidf("options without transport or state machine")
	}
	if o.Join == (len(o.Bootstrap) > 0) {
		return o, errors.NotValidf("options without exactly one of join and bootstrap")
	}
	if !o.Join && !o.listed() {
		return o, errors.NotValidf("bootstrap list without replica %d", o.ID)
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

func (o Options) listed() bool {
	for _, m := range o.Bootstrap {
		if m.GetReplicaId() == o.ID {
			return true
		}
	}
	return false
}
