package control

import (
	"context"
	"time"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// spreadWait is how long the answer to a committed change waits for the entry
// VMs that are slow to acknowledge it. They are sent it at once; the wait only
// lets most operators see a change in force when they hear of it, and is short
// against the second that an operator waits for an answer.
const spreadWait = 250 * time.Millisecond

// Admin returns the operators' service for adapters in the same process.
func (s *Server) Admin() adminpb.Admin { return &admin{server: s} }

// ApplyState brings a whole desired state into force. The answer says which
// version is held; a version that is not above it changes nothing.
func (a *admin) ApplyState(ctx context.Context, req *adminpb.ApplyStateRequest) (*adminpb.ApplyStateResponse, error) {
	// Refused before it is passed on: what is invalid is so on every VM.
	if err := catalog.CheckState(req.State); err != nil {
		return nil, fault.ToTwirp(err)
	}
	state, err := catalog.CompressSource(req.State)
	if err != nil {
		return nil, fault.ToTwirp(fault.New(fault.Internal, "compress the desired state: %v", err))
	}
	req = &adminpb.ApplyStateRequest{State: state, DryRun: req.DryRun}
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.ApplyState)
	if passed {
		return resp, err
	}
	if req.DryRun {
		return a.dryRunState(ctx, req.State)
	}
	result, err := a.propose(ctx, &catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: req.State}})
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	switch r := result.(type) {
	case *catalogpb.DesiredStateResult:
		a.server.opts.Log.Log(event.StateApplied).Uint64("version", req.State.Version).
			Uint64("held", r.HeldVersion).Uint64("revision", r.Revision).Bool("applied", r.Applied).Send()
		a.server.await(ctx, r.Revision, spreadWait)
		return &adminpb.ApplyStateResponse{Result: r}, nil
	case catalog.CommandResult:
		return nil, fault.ToTwirp(r.Err)
	}
	return nil, fault.ToTwirp(fault.New(fault.Internal, "unexpected result %T", result))
}

func (a *admin) dryRunState(ctx context.Context, state *catalogpb.DesiredState) (*adminpb.ApplyStateResponse, error) {
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	result, refusal := a.server.catalog.StateDryRun(state)
	if refusal != nil {
		return nil, fault.ToTwirp(refusal)
	}
	return &adminpb.ApplyStateResponse{Result: result}, nil
}

// ReadState returns the desired state in force after a confirmed read. A VM
// that does not lead asks the leader only for the version: the text of a
// committed version is the same everywhere.
func (a *admin) ReadState(ctx context.Context, req *adminpb.ReadStateRequest) (*adminpb.ReadStateResponse, error) {
	version, source := a.server.catalog.StateSource()
	resp, passed, err := toLeader(ctx, a.server, &adminpb.ReadStateRequest{KnownVersion: version}, adminpb.Admin.ReadState)
	if passed {
		if err == nil && resp.Version == version {
			return readAnswer(version, source)
		}
		return resp, err
	}
	if err := a.confirmedRead(ctx); err != nil {
		return nil, fault.ToTwirp(err)
	}
	version, source = a.server.catalog.StateSource()
	if req.KnownVersion != 0 && req.KnownVersion == version {
		return &adminpb.ReadStateResponse{Version: version}, nil
	}
	return readAnswer(version, source)
}

func readAnswer(version uint64, source catalog.Source) (*adminpb.ReadStateResponse, error) {
	text, err := source.Text()
	if err != nil {
		return nil, fault.ToTwirp(fault.New(fault.Internal, "%v", err))
	}
	return &adminpb.ReadStateResponse{Version: version, Source: text}, nil
}

// SetZoneOut stops new work to an availability zone, or ends that.
func (a *admin) SetZoneOut(ctx context.Context, req *adminpb.SetZoneOutRequest) (*adminpb.SetZoneOutResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.SetZoneOut)
	if passed {
		return resp, err
	}
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_SetZoneOut{SetZoneOut: req.Change}}
	revision, err := a.proposeApplied(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	a.server.opts.Log.Log(event.ZoneSet).Str("zone", req.Change.GetZone()).Bool("out", req.Change.GetOut()).
		Uint64("revision", revision).Send()
	a.server.await(ctx, revision, spreadWait)
	return &adminpb.SetZoneOutResponse{}, nil
}

// AnnounceUpstream records what an upstream says of itself. What this VM knows
// to be committed already is acknowledged at once, whoever leads.
func (a *admin) AnnounceUpstream(ctx context.Context, req *adminpb.AnnounceUpstreamRequest) (*adminpb.AnnounceUpstreamResponse, error) {
	if !catalog.NeedsCommit(a.server.catalog.Config(), req.Upstream) {
		return &adminpb.AnnounceUpstreamResponse{}, nil
	}
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.AnnounceUpstream)
	if passed {
		return resp, err
	}
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: req.Upstream}}
	revision, err := a.proposeApplied(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	u := req.Upstream
	a.server.opts.Log.Log(event.UpstreamState).Str("upstream", u.Id).Str("pool", u.Pool).Str("address", u.Address).
		Str("state", u.State.String()).Uint64("sequence", u.Sequence).Uint64("cold_ms", uint64(u.ColdMs)).
		Uint64("revision", revision).Send()
	return &adminpb.AnnounceUpstreamResponse{}, nil
}

// DropUpstream records that an upstream has left.
func (a *admin) DropUpstream(ctx context.Context, req *adminpb.DropUpstreamRequest) (*adminpb.DropUpstreamResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.DropUpstream)
	if passed {
		return resp, err
	}
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_DropUpstream{DropUpstream: req.Drop}}
	revision, err := a.proposeApplied(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	a.server.opts.Log.Log(event.UpstreamState).Str("upstream", req.Drop.GetId()).Str("state", "gone").
		Uint64("revision", revision).Send()
	return &adminpb.DropUpstreamResponse{}, nil
}

// proposeApplied runs a command that is not an operator's change and returns
// the revision that holds it.
func (a *admin) proposeApplied(ctx context.Context, cmd *catalogpb.Command) (uint64, error) {
	result, err := a.propose(ctx, cmd)
	if err != nil {
		return 0, err
	}
	applied, ok := result.(catalog.CommandResult)
	if !ok {
		return 0, fault.New(fault.Internal, "unexpected result %T", result)
	}
	if applied.Err != nil {
		return 0, applied.Err
	}
	return applied.Revision, nil
}
