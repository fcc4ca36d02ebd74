package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// defaultWait is the wait for acceptance when the operator gives none.
	defaultWait = 8 * time.Second
	// maxWait bounds the wait that an operator may ask for.
	maxWait = time.Minute
	// commitTimeout bounds the wait for the control quorum.
	commitTimeout = 5 * time.Second
)

// admin serves operators.
type admin struct {
	server *Server
}

func waitFor(ms uint32) time.Duration {
	if ms == 0 {
		return defaultWait
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

// Apply makes one change and waits for its acceptance.
func (a *admin) Apply(ctx context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	if err := a.checkOperator(ctx, req.Change); err != nil {
		return nil, fault.ToTwirp(err)
	}
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.Apply)
	if passed {
		return resp, err
	}
	if req.DryRun {
		return a.dryRun(ctx, req.Change)
	}
	result, err := a.change(ctx, req.Change)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	if result.Outcome != catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED {
		return &adminpb.ApplyResponse{Result: result}, nil
	}
	o := a.server.await(ctx, result.Revision, waitFor(req.WaitMs))
	return &adminpb.ApplyResponse{Result: result, Accepted: o.accepted, Missing: o.missing}, nil
}

// checkOperator compares the operator of the change with the authenticated one.
func (a *admin) checkOperator(ctx context.Context, change *catalogpb.OperatorChange) error {
	if change == nil {
		return fault.New(fault.BadRequest, "the change is missing")
	}
	name := a.server.operator(ctx)
	if name != "" && change.Id.GetOperator() != name {
		return fault.New(fault.Unauthorized, "the key belongs to operator %q", name)
	}
	return nil
}

func (a *admin) dryRun(ctx context.Context, change *catalogpb.OperatorChange) (*adminpb.ApplyResponse, error) {
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &adminpb.ApplyResponse{Result: a.server.catalog.DryRun(change)}, nil
}

func (a *admin) change(ctx context.Context, change *catalogpb.OperatorChange) (*catalogpb.ChangeResult, error) {
	result, err := a.propose(ctx, &catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: change}})
	if err != nil {
		return nil, err
	}
	changed, ok := result.(*catalogpb.ChangeResult)
	if !ok {
		return nil, fault.New(fault.Internal, "unexpected result %T", result)
	}
	a.server.opts.Log.Log(event.ChangeApplied).
		Str("operator", change.Id.GetOperator()).Uint64("number", change.Id.GetNumber()).
		Str("outcome", changed.Outcome.String()).Uint64("revision", changed.Revision).Send()
	return changed, nil
}

func (a *admin) propose(ctx context.Context, cmd *catalogpb.Command) (any, error) {
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
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := a.server.opts.Replica.ConfirmedRead(ctx)
	return quorumError(ctx, err)
}

// quorumError turns the end of a wait into an error of kind NoQuorum.
func quorumError(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return fault.New(fault.NoQuorum, "no quorum answered in time; send the same change again")
	}
	return err
}

// GetConfig returns the configuration after a confirmed read.
func (a *admin) GetConfig(ctx context.Context, req *adminpb.GetConfigRequest) (*adminpb.GetConfigResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.GetConfig)
	if passed {
		return resp, err
	}
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return &adminpb.GetConfigResponse{Config: a.server.catalog.Config()}, nil
}

// GetStatus returns the status of the leader, or of this control VM when the
// leader cannot be reached.
func (a *admin) GetStatus(ctx context.Context, req *adminpb.GetStatusRequest) (*adminpb.GetStatusResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.GetStatus)
	if passed && err == nil {
		return resp, nil
	}
	local, _ := a.server.status(ctx)
	return local, nil
}

// RemoveEntry removes an entry VM that will not come back.
func (a *admin) RemoveEntry(ctx context.Context, req *adminpb.RemoveEntryRequest) (*adminpb.RemoveEntryResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.RemoveEntry)
	if passed {
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
	q := &setQuery{reply: make(chan setState, 1)}
	set, ok := query(ctx, a.server, q, q.reply)
	if !ok || !set.leading {
		return fault.New(fault.NotLeader, "the leader has not confirmed its term yet")
	}
	if !set.accepted && !req.Ended {
		return fault.New(fault.NotLeader, "the last change of the set of entry VMs is not accepted yet; try again")
	}
	remove := &catalogpb.RemoveEntry{
		Id:          req.Id,
		SetRevision: set.revision,
		Ended:       req.Ended,
		Pending:     !set.accepted,
	}
	_, err := a.proposeApplied(ctx, &catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: remove}})
	return err
}
