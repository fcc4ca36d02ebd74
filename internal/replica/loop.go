package replica

import (
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// run is the event loop.
func (n *Node) run() {
	defer close(n.done)
	defer n.shutdown()
	crash.Go(&n.group, n.writer.run)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []consensus.Event
		select {
		case <-n.stop:
			return
		case item := <-n.inbox:
			batch = []consensus.Event{n.register(item)}
		case err := <-n.writer.results:
			if err != nil {
				n.handleDiskFailure(err)
				return
			}
			n.send(n.writer.takeSendAfterSync())
			batch = []consensus.Event{consensus.WriteSynced{}}
		case <-timer.C:
		}
		deadline, err := n.step(n.collectBatch(batch))
		if err != nil {
			n.handleRestoreFailure(err)
			return
		}
		n.publishStatus()
		timer.Reset(max(deadline-n.now(), 0))
	}
}

// collectBatch adds the events that have arrived to batch, up to maxBatchEvents.
// It does so before timers run as well: a replica that was busy must not start an
// election, or stop leading, while the messages that prevent it are waiting.
func (n *Node) collectBatch(batch []consensus.Event) []consensus.Event {
	for len(batch) < maxBatchEvents {
		select {
		case item := <-n.inbox:
			batch = append(batch, n.register(item))
		default:
			return batch
		}
	}
	return batch
}

// register adds the call of an item, if any, to the pending calls and returns
// the event.
func (n *Node) register(item inboxItem) consensus.Event {
	if item.call != nil {
		n.pending.add(item.call)
	}
	return item.event
}

// step passes a batch of events to the consensus replica and carries out its
// actions. It does so again with the Compact event if a snapshot is due. It
// returns the time at which the next step is due if no event arrives earlier.
func (n *Node) step(batch []consensus.Event) (time.Duration, error) {
	for {
		actions := n.consensus.Step(n.now(), batch...)
		if err := n.performActions(actions); err != nil {
			return 0, err
		}
		batch = n.compactIfDue()
		if len(batch) == 0 {
			return actions.Deadline, nil
		}
	}
}

// performActions carries out actions in the order of the persistence contract
// of package consensus.
func (n *Node) performActions(a consensus.Actions) error {
	n.send(a.Send)
	if a.Write.Record != nil {
		n.writer.start(a.Write, a.SendAfterSync)
	} else {
		n.send(a.SendAfterSync)
	}
	n.pending.handleProposalResults(a.ProposalResults)
	if err := n.apply(a.RestoreSnapshot, a.Committed); err != nil {
		return err
	}
	n.pending.handleReadResults(a.ReadResults)
	n.reportFirstRead(a.ReadResults)
	n.reportMemberChanges(a.MemberChanges)
	n.reportChanges()
	return nil
}

// send passes messages to the transport, grouped by receiver.
func (n *Node) send(msgs []*clusterpb.ConsensusMessage) {
	for len(msgs) > 0 {
		to := msgs[0].GetTo()
		var same, rest []*clusterpb.ConsensusMessage
		for _, m := range msgs {
			if m.GetTo() == to {
				same = append(same, m)
			} else {
				rest = append(rest, m)
			}
		}
		n.opts.Transport.Send(n.address(to), same)
		msgs = rest
	}
}

// address returns the replica with the given id from the membership, or else
// from the bootstrap membership. A learner that has no membership yet knows no
// addresses: its replies travel in responses.
func (n *Node) address(id uint64) *catalogpb.ControlMember {
	if m := n.consensus.Member(id); m != nil {
		return m
	}
	for _, m := range n.opts.Bootstrap {
		if m.GetReplicaId() == id {
			return m
		}
	}
	return &catalogpb.ControlMember{ReplicaId: id}
}

// apply restores a snapshot, if there is one, then applies committed entries
// and completes the calls that proposed them.
func (n *Node) apply(restore *clusterpb.ConsensusSnapshot, entries []*clusterpb.LogEntry) error {
	if restore != nil {
		if err := n.opts.StateMachine.Restore(restore.GetData()); err != nil {
			return errors.Annotate(err, "restore snapshot")
		}
		n.appliedIndex, n.snapshotIndex = restore.GetIndex(), restore.GetIndex()
	}
	for _, e := range entries {
		var result any
		if len(e.GetData()) > 0 {
			result = n.opts.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
		n.appliedIndex = e.GetIndex()
		n.pending.handleApplied(e, result)
	}
	return nil
}

// compactIfDue takes a snapshot if one is due and returns the Compact event for
// it.
func (n *Node) compactIfDue() []consensus.Event {
	every := n.opts.SnapshotEvery
	every += every / 2 * (n.opts.ID % snapshotStaggerSteps) / snapshotStaggerSteps
	if n.appliedIndex < n.snapshotIndex+every {
		return nil
	}
	n.snapshotIndex = n.appliedIndex
	data, err := n.opts.StateMachine.Snapshot()
	if err != nil {
		n.opts.Events.Log(event.SnapshotFailed).Err(err).Send()
		return nil
	}
	return []consensus.Event{consensus.Compact{Index: n.appliedIndex, Data: data}}
}

// handleDiskFailure logs a failure of the disk, after which the replica stops.
func (n *Node) handleDiskFailure(err error) {
	n.diskFailed.Store(true)
	n.opts.Events.Log(event.DiskFault).Str("folder", n.opts.DataDir).Err(err).Send()
}

// handleRestoreFailure logs that a snapshot could not be restored, after which
// the replica stops.
func (n *Node) handleRestoreFailure(err error) {
	n.opts.Events.Log(event.StateFailed).Err(err).Send()
}

// shutdown waits for the write in progress, fails all pending calls and
// publishes the status of a stopped replica.
func (n *Node) shutdown() {
	err := n.writer.close()
	n.pending.failAll(n.stoppedError())
	s := *n.status.Load()
	s.IsLeader, s.LeaderID, s.LeaderAddress = false, 0, ""
	s.Failed = n.diskFailed.Load()
	n.status.Store(&s)
	if err != nil && !n.diskFailed.Load() {
		n.opts.Events.Log(event.DiskFault).Err(err).Send()
	}
}

// stoppedError returns the error of calls to a stopped replica.
func (n *Node) stoppedError() *fault.Error {
	if n.diskFailed.Load() {
		return fault.New(fault.DiskFailed, "replica %d has stopped because its disk failed", n.opts.ID)
	}
	return fault.New(fault.NoQuorum, "replica %d has stopped", n.opts.ID)
}
