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

// Limits of the event loop.
const (
	inboxEvents    = 4096
	maxBatchEvents = 1024
	// firstElection divides the election timeout for the first election after a
	// start: 50 ms of 600 on the users' platform, where a round trip between zones
	// takes 1 ms and a synced write 1 ms.
	firstElection = 12
	// snapshotPhases spreads the snapshots of replicas with adjacent ids.
	snapshotPhases = 8
)

// Node is a running replica. Its methods are safe for concurrent use.
type Node struct {
	opts    Options
	started time.Time
	inbox   chan request
	status  atomic.Pointer[Status]
	done    chan struct{}
	stop    chan struct{}
	halt    sync.Once
	group   conc.WaitGroup
	failed  atomic.Bool

	// The rest belongs to the event loop.
	core      *consensus.Replica
	disk      *disk
	waiting   waiters
	applied   uint64
	snapshot  uint64
	role      roleSeen
	refusedID bool
}

// request is an event for the loop, with the waiter for its answer if any.
type request struct {
	event  consensus.Event
	waiter *waiter
}

// Start opens the data folder, restores the state machine and runs the
// replica. It fails when the log is corrupt or the folder cannot be used.
func Start(o Options) (*Node, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		opts:    o,
		started: time.Now(),
		inbox:   make(chan request, inboxEvents),
		done:    make(chan struct{}),
		stop:    make(chan struct{}),
		waiting: newWaiters(),
	}
	if err := n.open(); err != nil {
		return nil, err
	}
	n.publish()
	crash.Go(&n.group, n.run)
	return n, nil
}

// open reads the log and sets up the state machine and the decisions.
func (n *Node) open() error {
	log, found, err := storage.Open(n.opts.FS, n.opts.DataDir, newDiskID())
	if err != nil {
		n.reportOpen(err)
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
	n.disk = newDisk(log)
	n.snapshot = found.Record.GetSnapshot().GetIndex()
	n.applied = n.snapshot
	n.core = consensus.New(consensus.Config{
		ID:                   n.opts.ID,
		DiskID:               found.Record.GetDiskId(),
		HeartbeatInterval:    n.opts.HeartbeatInterval,
		ElectionTimeout:      n.opts.ElectionTimeout,
		FirstElectionTimeout: n.opts.ElectionTimeout / firstElection,
		RemoveSilentAfter:    n.opts.RemoveSilentAfter,
		Seed:                 n.opts.Seed,
		Bootstrap:            n.opts.Bootstrap,
	}, found.Record, n.now())
	return nil
}

func (n *Node) reportOpen(err error) {
	e := event.DiskFault
	if errors.Is(err, storage.ErrCorrupt) {
		e = event.LogCorrupt
	}
	n.opts.Events.Log(e).Str("folder", n.opts.DataDir).Err(err).Send()
}

// newDiskID draws the identity of a new data folder.
func newDiskID() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// now returns the monotonic time since the start.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// Deliver hands in messages from another replica. Messages are dropped when
// the replica cannot keep up.
func (n *Node) Deliver(from uint64, msgs []*clusterpb.ConsensusMessage) {
	for _, m := range msgs {
		if m.GetFrom() != from {
			continue
		}
		select {
		case n.inbox <- request{event: consensus.Message{ConsensusMessage: m}}:
		default:
			return
		}
	}
}

// Done is closed when the replica has stopped, by Stop or because its disk
// failed.
func (n *Node) Done() <-chan struct{} { return n.done }

// Stop ends the replica. Everything that was acknowledged is durable. A leader
// should call TransferLeadership first.
func (n *Node) Stop(ctx context.Context) error {
	n.halt.Do(func() { close(n.stop) })
	select {
	case <-n.done:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
