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
	crash.Go(&n.group, n.disk.run)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []consensus.Event
		select {
		case <-n.stop:
			return
		case r := <-n.inbox:
			batch = n.collect(r)
		case err := <-n.disk.results:
			if err != nil {
				n.diskFailed(err)
				return
			}
			n.send(n.disk.finished())
			batch = []consensus.Event{consensus.WriteSynced{}}
		case <-timer.C:
		}
		deadline, err := n.step(batch)
		if err != nil {
			n.stateFailed(err)
			return
		}
		n.publish()
		timer.Reset(max(deadline-n.now(), 0))
	}
}

// collect takes first and what else has arrived, up to the batch limit.
func (n *Node) collect(first request) []consensus.Event {
	batch := []consensus.Event{n.register(first)}
	for len(batch) < maxBatchEvents {
		select {
		case r := <-n.inbox:
			batch = append(batch, n.register(r))
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) register(r request) consensus.Event {
	if r.waiter != nil {
		n.waiting.add(r.waiter)
	}
	return r.event
}

// step steps the decisions, and again when a snapshot is due.
func (n *Node) step(batch []consensus.Event) (time.Duration, error) {
	for {
		actions := n.core.Step(n.now(), batch...)
		if err := n.perform(actions); err != nil {
			return 0, err
		}
		batch = n.compaction()
		if len(batch) == 0 {
			return actions.Deadline, nil
		}
	}
}

// perform follows the persistence contract of package consensus.
func (n *Node) perform(a consensus.Actions) error {
	n.send(a.Send)
	if a.Write.Record != nil {
		n.disk.begin(a.Write, a.SendAfterSync)
	} else {
		n.send(a.SendAfterSync)
	}
	n.waiting.proposed(a.ProposalResults)
	if err := n.apply(a.RestoreSnapshot, a.Committed); err != nil {
		return err
	}
	n.waiting.readsDone(a.ReadResults)
	n.noteRole()
	return nil
}

// send groups messages by receiver.
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

// address finds a replica in the membership, or in the list of a new group. A
// learner that has no membership yet knows no addresses; its answers travel in
// responses.
func (n *Node) address(id uint64) *catalogpb.ControlMember {
	if m := n.core.Member(id); m != nil {
		return m
	}
	for _, m := range n.opts.Bootstrap {
		if m.GetReplicaId() == id {
			return m
		}
	}
	return &catalogpb.ControlMember{ReplicaId: id}
}

// apply brings the state machine up to date.
func (n *Node) apply(restore *clusterpb.ConsensusSnapshot, entries []*clusterpb.LogEntry) error {
	if restore != nil {
		if err := n.opts.StateMachine.Restore(restore.GetData()); err != nil {
			return errors.Annotate(err, "restore snapshot")
		}
		n.applied, n.snapshot = restore.GetIndex(), restore.GetIndex()
	}
	for _, e := range entries {
		var result any
		if len(e.GetData()) > 0 {
			result = n.opts.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
		n.applied = e.GetIndex()
		n.waiting.applied(e, result)
	}
	return nil
}

// compaction returns a Compact event when a snapshot is due.
func (n *Node) compaction() []consensus.Event {
	every := n.opts.SnapshotEvery
	every += every / 2 * (n.opts.ID % snapshotPhases) / snapshotPhases
	if n.applied < n.snapshot+every {
		return nil
	}
	n.snapshot = n.applied
	data, err := n.opts.StateMachine.Snapshot()
	if err != nil {
		n.opts.Events.Log(event.SnapshotFailed).Err(err).Send()
		return nil
	}
	return []consensus.Event{consensus.Compact{Index: n.applied, Data: data}}
}

// diskFailed makes the replica stop taking part.
func (n *Node) diskFailed(err error) {
	n.failed.Store(true)
	n.opts.Events.Log(event.DiskFault).Str("folder", n.opts.DataDir).Err(err).Send()
}

// stateFailed makes the replica stop because its state machine cannot go on.
func (n *Node) stateFailed(err error) {
	n.opts.Events.Log(event.StateFailed).Err(err).Send()
}

// shutdown waits for the disk, fails all waiters and publishes that the replica has stopped.
func (n *Node) shutdown() {
	err := n.disk.close()
	n.waiting.failAll(n.stoppedFault())
	s := *n.status.Load()
	s.IsLeader, s.LeaderID, s.LeaderAddress = false, 0, ""
	s.Failed = n.failed.Load()
	n.status.Store(&s)
	if err != nil && !n.failed.Load() {
		n.opts.Events.Log(event.DiskFault).Err(err).Send()
	}
}

// stoppedFault tells why a stopped replica answers nothing.
func (n *Node) stoppedFault() *fault.Error {
	if n.failed.Load() {
		return fault.New(fault.DiskFailed, "replica %d", n.opts.ID)
	}
	return fault.New(fault.NoQuorum, "replica %d has stopped", n.opts.ID)
}
