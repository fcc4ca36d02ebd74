package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// changeRetryInterval is the pause before a membership change is proposed
// again, and between checks whether a change or a transfer of leadership is
// complete.
const changeRetryInterval = 20 * time.Millisecond

// lastCallID is the id of the latest call of this process.
var lastCallID atomic.Uint64

// Propose appends data to the log and waits until the entry is committed and
// applied on this replica. It returns the result of Apply and the index of the
// entry. After fault.NotLeader, data is not in the log and will not be
// committed; after fault.NoQuorum or fault.DiskFailed, or if ctx ends, the
// outcome is unknown.
func (n *Node) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	if len(data) == 0 {
		return nil, 0, fault.New(fault.BadRequest, "proposal without data")
	}
	id := lastCallID.Add(1)
	res := n.submit(ctx, id, consensus.Propose{ID: id, Data: data})
	return res.value, res.index, res.asError()
}

// ConfirmedRead waits until a quorum has confirmed, after the call began, that
// this replica is the leader, and until everything committed before the call is
// applied. It returns the index up to which the state is confirmed.
func (n *Node) ConfirmedRead(ctx context.Context) (uint64, error) {
	id := lastCallID.Add(1)
	res := n.submit(ctx, id, consensus.Read{ID: id})
	return res.index, res.asError()
}

// AddMember adds m as a learner. Once it has caught up, it takes the place of the
// replica whose id is replaces; if that is 0, it is a standby or, if the group needs
// one, a voter. AddMember waits until all this is committed. If ctx ends first, complete is false and
// the change continues. Calling it again for the same member is harmless. If the
// members have changed after the log index base otherwise than requested, it fails
// with fault.OutdatedOrder; a base of 0 disables this check.
func (n *Node) AddMember(ctx context.Context, m *catalogpb.ControlMember, replaces, base uint64) (complete bool, err error) {
	member := &catalogpb.ControlMember{
		ReplicaId: m.GetReplicaId(),
		Address:   m.GetAddress(),
		Zone:      m.GetZone(),
		Replaces:  replaces,
	}
	err = n.changeMembership(ctx, func(id uint64) consensus.Event {
		return consensus.AddMember{ID: id, Member: member, Base: base}
	})
	if err != nil {
		return false, err
	}
	for !n.memberChangeComplete(m.GetReplicaId(), replaces) {
		if !n.Status().IsLeader {
			return false, n.notLeaderError()
		}
		if !sleepBeforeRetry(ctx, n.done) {
			return false, nil
		}
	}
	return true, nil
}

// RemoveMember removes a replica and waits until the change is committed. A
// leader does not remove itself: it transfers leadership and returns
// fault.NotLeader. For base see AddMember.
func (n *Node) RemoveMember(ctx context.Context, id, base uint64) error {
	if id == n.opts.ID && n.Status().IsLeader {
		if err := n.TransferLeadership(ctx); err != nil {
			return err
		}
		return n.notLeaderError()
	}
	return n.changeMembership(ctx, func(call uint64) consensus.Event {
		return consensus.RemoveMember{ID: call, ReplicaID: id, Base: base}
	})
}

// TransferLeadership transfers leadership to the most up-to-date replica and
// waits until this one is no longer the leader. It returns fault.NoQuorum if
// that takes longer than the election timeout.
func (n *Node) TransferLeadership(ctx context.Context) error {
	id := lastCallID.Add(1)
	res := n.submit(ctx, id, consensus.Transfer{ID: id})
	if res.err != nil {
		return res.err
	}
	transferCtx, cancel := context.WithTimeout(ctx, n.opts.ElectionTimeout)
	defer cancel()
	for n.Status().IsLeader {
		if !sleepBeforeRetry(transferCtx, n.done) {
			return fault.New(fault.NoQuorum, "no other replica has become leader in time")
		}
	}
	return nil
}

// HandOverVote asks the leader to give the vote of this replica, which is about to
// stop, to another one. It returns once this replica is not a voter, at once if there
// is nobody to take the vote, and with an error if ctx ends first. Without it, a group
// of which a VM leaves for good would bear no other loss until the leader has removed
// the VM.
func (n *Node) HandOverVote(ctx context.Context) error {
	select {
	case n.inbox <- inboxItem{event: consensus.Leave{}}:
	case <-n.done:
		return n.stoppedError()
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	for n.Status().CanHandOverVote {
		if sleepBeforeRetry(ctx, n.done) {
			continue
		}
		select {
		case <-n.done:
			return n.stoppedError()
		default:
			return fault.New(fault.NoQuorum, "no other replica has taken over the vote in time")
		}
	}
	return nil
}

// changeMembership proposes a membership change. It retries while the change is
// rejected with fault.Overloaded because another one is in progress.
func (n *Node) changeMembership(ctx context.Context, newEvent func(id uint64) consensus.Event) error {
	for {
		id := lastCallID.Add(1)
		res := n.submit(ctx, id, newEvent(id))
		if res.err == nil || res.err.Kind != fault.Overloaded {
			return res.asError()
		}
		if !sleepBeforeRetry(ctx, n.done) {
			return res.err
		}
	}
}

// memberChangeComplete reports whether, in a committed membership, id is a voter or
// a standby and replaced is not a member.
func (n *Node) memberChangeComplete(id, replaced uint64) bool {
	s := n.Status()
	added := false
	for _, m := range s.Members {
		if m.GetReplicaId() == replaced {
			return false
		}
		added = added || m.GetReplicaId() == id && (!m.GetLearner() || m.Standby)
	}
	return added && s.MembershipCommitted
}

// submit passes an event to the event loop and waits for the result.
func (n *Node) submit(ctx context.Context, id uint64, e consensus.Event) callResult {
	call := &pendingCall{id: id, result: make(chan callResult, 1)}
	select {
	case n.inbox <- inboxItem{event: e, call: call}:
	case <-n.done:
		return callResult{err: n.stoppedError()}
	case <-ctx.Done():
		return callResult{err: fault.New(fault.Overloaded, "the event loop did not accept the call in time")}
	}
	select {
	case res := <-call.result:
		return n.addLeaderDetail(res)
	case <-ctx.Done():
		return callResult{err: fault.New(fault.NoQuorum, "no result in time; the outcome is unknown")}
	case <-n.done:
		return n.finalResult(call)
	}
}

// finalResult returns the result that was sent just before the event loop
// ended, or else the error of a stopped replica.
func (n *Node) finalResult(call *pendingCall) callResult {
	select {
	case res := <-call.result:
		return res
	default:
		return callResult{err: n.stoppedError()}
	}
}

// addLeaderDetail adds the known leader to a NotLeader error without details.
func (n *Node) addLeaderDetail(res callResult) callResult {
	if res.err != nil && res.err.Kind == fault.NotLeader && res.err.Detail == "" {
		res.err = n.notLeaderError()
	}
	return res
}

func (n *Node) notLeaderError() *fault.Error {
	s := n.Status()
	if s.LeaderAddress == "" {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	return fault.New(fault.NotLeader, "the leader is replica %d at %s", s.LeaderID, s.LeaderAddress)
}

// asError returns the error as a nil interface if there is none, not as an
// interface that holds a nil pointer.
func (res callResult) asError() error {
	if res.err == nil {
		return nil
	}
	return res.err
}

// sleepBeforeRetry waits for changeRetryInterval. It returns false if ctx or
// done ends first.
func sleepBeforeRetry(ctx context.Context, done <-chan struct{}) bool {
	t := time.NewTimer(changeRetryInterval)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-done:
		return false
	}
}
