package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// defaultAcceptanceWait applies when a request sets no wait_ms.
	defaultAcceptanceWait = 8 * time.Second
	// maxOperatorWait is the upper limit of wait_ms.
	maxOperatorWait = time.Minute
	// commitTimeout limits how long a call waits for a quorum of the control
	// group.
	commitTimeout = 5 * time.Second
	// statusReadTimeout limits the confirmation of a forwarded GetStatus. The control
	// VM that forwarded it reports its own state then, which must not take long.
	statusReadTimeout = time.Second
)

// admin implements the Admin service for operators.
type admin struct {
	server *Server
}

// operatorWait returns the wait that applies to a request with the given wait_ms.
func operatorWait(ms uint32) time.Duration {
	if ms == 0 {
		return defaultAcceptanceWait
	}
	return min(time.Duration(ms)*time.Millisecond, maxOperatorWait)
}

// Apply commits one change and waits until it is accepted, at most for the
// requested time. The response says whether it was.
func (a *admin) Apply(ctx context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	if err := a.checkOperator(ctx, req.Change); err != nil {
		return nil, fault.ToTwirp(err)
	}
	ctx = a.server.withOrder(ctx)
	if err := a.awaitAbandon(ctx); err != nil {
		return nil, err
	}
	// A base revision is set by the control VMs alone.
	req = proto.CloneOf(req)
	req.Change.BaseRevision = 0
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.Apply)
	if forwarded {
		return resp, err
	}
	if req.DryRun {
		return a.dryRun(ctx, req.Change)
	}
	req.Change.BaseRevision = a.bound(ctx).base
	result, err := a.applyChange(ctx, req.Change)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if result.Outcome != catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED {
		return &adminpb.ApplyResponse{Result: result}, nil
	}
	acceptance := a.server.awaitAcceptance(ctx, result.Revision, operatorWait(req.WaitMs))
	return &adminpb.ApplyResponse{Result: result, Accepted: acceptance.accepted, Missing: acceptance.missing}, nil
}

// checkOperator returns an error of kind Unauthorized if the change names
// another operator than the authenticated one, and one of kind BadRequest if
// there is no change.
func (a *admin) checkOperator(ctx context.Context, change *catalogpb.OperatorChange) error {
	if change == nil {
		return fault.New(fault.BadRequest, "the request contains no change")
	}
	name := a.server.operator(ctx)
	if name != "" && change.Id.GetOperator() != name {
		return fault.New(fault.Unauthorized, "the key belongs to operator %q, but the change names operator %q", name, change.Id.GetOperator())
	}
	return nil
}

func (a *admin) dryRun(ctx context.Context, change *catalogpb.OperatorChange) (*adminpb.ApplyResponse, error) {
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &adminpb.ApplyResponse{Result: a.server.catalog.DryRun(change)}, nil
}

func (a *admin) applyChange(ctx context.Context, change *catalogpb.OperatorChange) (*catalogpb.ChangeResult, error) {
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: change}}
	if err := a.checkOrder(cmd); err != nil {
		return nil, err
	}
	result, err := a.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if rejected, ok := result.(catalog.CommandResult); ok && rejected.Err != nil {
		return nil, a.outdated(rejected.Err)
	}
	changed, ok := result.(*catalogpb.ChangeResult)
	if !ok {
		return nil, fault.New(fault.Internal, "unexpected result of type %T from the state machine", result)
	}
	a.server.opts.Log.Log(event.ChangeApplied).
		Str("operator", change.Id.GetOperator()).Uint64("number", change.Id.GetNumber()).
		Str("outcome", changed.Outcome.String()).Uint64("revision", changed.Revision).Send()
	return changed, nil
}

func (a *admin) propose(ctx context.Context, cmd *catalogpb.Command) (any, error) {
	cmd.Features = uint64(a.server.commonFeatures())
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Annotate(err, "encode command")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, _, err := a.server.opts.Replica.Propose(ctx, data)
	return result, quorumError(ctx, err)
}

func (a *admin) confirmedRead(ctx context.Context) error {
	return a.confirmedReadWithin(ctx, commitTimeout)
}

func (a *admin) confirmedReadWithin(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := a.server.opts.Replica.ConfirmedRead(ctx)
	return quorumError(ctx, err)
}

// quorumError replaces err by an error of kind NoQuorum if ctx has ended.
func quorumError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return fault.New(fault.NoQuorum, "no quorum of the control group answered in time; retry the same request unchanged")
	}
	return err
}

// GetConfig returns the current configuration after a linearizable read.
func (a *admin) GetConfig(ctx context.Context, req *adminpb.GetConfigRequest) (*adminpb.GetConfigResponse, error) {
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.GetConfig)
	if forwarded {
		return resp, err
	}
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &adminpb.GetConfigResponse{Config: a.server.catalog.Config()}, nil
}

// GetStatus returns the status reported by the leader, or that of this control
// VM if the leader cannot be reached.
func (a *admin) GetStatus(ctx context.Context, req *adminpb.GetStatusRequest) (*adminpb.GetStatusResponse, error) {
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.GetStatus)
	if forwarded && err == nil {
		return resp, nil
	}
	if _, forwardedHere := ctx.Value(forwardedCallKey{}).(forwardedCall); forwardedHere {
		// A leader that has been replaced must not answer for the group.
		if err := a.confirmedReadWithin(ctx, statusReadTimeout); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	local, _ := a.server.status(ctx)
	return local, nil
}

// RemoveEntry removes an entry VM permanently. It fails with an error of kind
// NotLeader while the previous change to the set of entry VMs is not accepted,
// unless the request states that the process has ended. An entry VM that was removed
// already is no error.
func (a *admin) RemoveEntry(ctx context.Context, req *adminpb.RemoveEntryRequest) (*adminpb.RemoveEntryResponse, error) {
	ctx = a.server.withOrder(ctx)
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.RemoveEntry)
	if forwarded {
		return resp, err
	}
	if err := a.removeEntry(ctx, req); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &adminpb.RemoveEntryResponse{}, nil
}

func (a *admin) removeEntry(ctx context.Context, req *adminpb.RemoveEntryRequest) error {
	if err := a.confirmedRead(ctx); err != nil {
		return err
	}
	q := &entrySetQuery{reply: make(chan entrySetState, 1)}
	set, ok := query(ctx, a.server, q, q.reply)
	if !ok || !set.isLeader {
		return fault.New(fault.NotLeader, "the leader has not confirmed its leadership yet; try again")
	}
	if !set.accepted && !req.Ended {
		return fault.New(fault.NotLeader, "the last change to the set of entry VMs is not accepted yet; try again")
	}
	if a.server.history.removedEntry(req.Id, a.server.catalog.Config()) {
		return nil
	}
	// The state machine rejects the command if the set has changed since.
	if base := orderOf(ctx).base; base != 0 && set.revision > base {
		return a.outdated(fault.New(fault.OutdatedOrder, "the set of entry VMs was changed at revision %d, after revision %d on which the order is based", set.revision, base))
	}
	remove := &catalogpb.RemoveEntry{
		Id:          req.Id,
		SetRevision: set.revision,
		Ended:       req.Ended,
		Pending:     !set.accepted,
	}
	_, err := a.proposeForRevision(ctx, &catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: remove}})
	if fault.KindOf(err) == fault.StaleRevision {
		return a.outdated(fault.New(fault.OutdatedOrder, "the set of entry VMs changes at the same time: %v", err))
	}
	return err
}
