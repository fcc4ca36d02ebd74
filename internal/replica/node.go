package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/storage"
)

const (
	// inboxCapacity is the number of events that may wait for the event loop.
	inboxCapacity = 4096
	// maxBatchEvents limits the events of one consensus step.
	maxBatchEvents = 1024
	// firstElectionDivisor divides the election timeout to give the timeout of
	// the first election after a start: 600 ms become 50 ms. On the target
	// platform, a round trip between zones takes 1 ms and a synced write 1 ms.
	firstElectionDivisor = 12
	// snapshotStaggerSteps is the maximum number of different snapshot intervals
	// among the replicas of a group.
	snapshotStaggerSteps = 8
)

// Node is a running replica. Its methods are safe for concurrent use.
type Node struct {
	opts       Options
	started    time.Time
	inbox      chan inboxItem
	status     atomic.Pointer[Status]
	done       chan struct{}
	stop       chan struct{}
	stopOnce   sync.Once
	group      conc.WaitGroup
	diskFailed atomic.Bool

	// The fields below belong to the event loop.
	consensus            *consensus.Replica
	writer               *logWriter
	pending              pendingCalls
	appliedIndex         uint64
	snapshotIndex        uint64
	reported             reportedState
	diskMismatchReported bool
}

// inboxItem is an event for the event loop, with the call that waits for its
// result, if any.
type inboxItem struct {
	event consensus.Event
	call  *pendingCall
}

// Start opens the log in the data directory, restores the state machine and starts
// the replica. The error is storage.ErrCorrupt if the log is corrupt. Start
// also fails if the options are invalid, the snapshot cannot be restored or the
// data directory cannot be used.
func Start(o Options) (*Node, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:    o,
		started: time.Now(),
		inbox:   make(chan inboxItem, inboxCapacity),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		pending: newPendingCalls(),
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.publishStatus()
	crash.Go(&n.group, n.run)
	return n, nil
}

// open reads the log, restores the state machine from the snapshot in it and
// creates the consensus replica.
func (n *Node) open() error {
	opened := n.now()
	log, found, err := storage.Open(n.opts.FS, n.opts.DataDir, newDiskID())
	if err != nil {
		n.logOpenError(err)
		return err
	}
	if found.TruncatedBytes > 0 {
		n.opts.Events.Log(event.TornTailCut).Uint64("bytes", uint64(found.TruncatedBytes)).Send()
	}
	if data := found.Record.GetSnapshot().GetData(); len(data) > 0 {
		if err := n.opts.StateMachine.Restore(data); err != nil {
			return errors.Annotate(err, "restore snapshot")
		}
	}
	n.writer = newLogWriter(log)
	n.snapshotIndex = found.Record.GetSnapshot().GetIndex()
	n.appliedIndex = n.snapshotIndex
	n.consensus = consensus.New(consensus.Config{
		ID:                   n.opts.ID,
		DiskID:               found.Record.GetDiskId(),
		HeartbeatInterval:    n.opts.HeartbeatInterval,
		ElectionTimeout:      n.opts.ElectionTimeout,
		FirstElectionTimeout: n.opts.ElectionTimeout / firstElectionDivisor,
		RemoveSilentAfter:    n.opts.RemoveSilentAfter,
		ToleratedLosses:      n.opts.ToleratedLosses,
		Seed:                 n.opts.Seed,
		Bootstrap:            n.opts.Bootstrap,
	}, found.Record, n.now())
	n.reportReplay(found, n.now()-opened)
	return nil
}

func (n *Node) logOpenError(err error) {
	e := event.DiskFault
	if errors.Is(err, storage.ErrCorrupt) {
		e = event.LogCorrupt
	}
	n.opts.Events.Log(e).Str("folder", n.opts.DataDir).Err(err).Send()
}

// newDiskID returns a random non-zero id for a new data directory.
func newDiskID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// now returns the monotonic time since the start of the replica.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// Deliver queues messages from the replica with id from for the event loop and
// ignores messages that name another sender. If the inbox is full, the remaining
// messages are dropped.
func (n *Node) Deliver(from uint64, msgs []*clusterpb.ConsensusMessage) {
	for _, m := range msgs {
		if m.GetFrom() != from {
			continue
		}
		select {
		case n.inbox <- inboxItem{event: consensus.Message{ConsensusMessage: m}}:
		default:
			return
		}
	}
}

// Done returns a channel that is closed when the replica has stopped: after
// Stop, after a failure of the disk, or because a snapshot could not be
// restored.
func (n *Node) Done() <-chan struct{} { return n.done }

// Stop stops the replica and waits until it has stopped. If ctx ends first,
// Stop returns its error and the replica goes on stopping. Everything that was
// acknowledged is durable. A leader should call TransferLeadership first.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() { close(n.stop) })
	select {
	case <-n.done:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
