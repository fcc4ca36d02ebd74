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

// shortAcceptanceWait limits how long the response to a committed change waits
// for acceptance by slow entry VMs. The change is sent to them at once; with
// the wait, a change is usually in force when the operator gets the response.
// It is short compared with the second within which operators expect one.
const shortAcceptanceWait = 250 * time.Millisecond

// Admin returns the Admin service for other interfaces in the same process.
func (s *Server) Admin() adminpb.Admin { return &admin{server: s} }

// ApplyState commits a complete desired state. A state whose version is not
// higher than the current one has no effect; the response contains the version
// in force.
func (a *admin) ApplyState(ctx context.Context, req *adminpb.ApplyStateRequest) (*adminpb.ApplyStateResponse, error) {
	// Validate before forwarding: an invalid state is invalid on every VM.
	if err := catalog.CheckState(req.State); err != nil {
		return nil, fault.ToTwirp(err)
	}
	if held := a.heldState(req.State.Version); held != nil && !req.DryRun {
		if err := a.awaitHeldState(ctx, held); err != nil {
			return nil, err
		}
		return &adminpb.ApplyStateResponse{Result: held}, nil
	}
	if err := a.checkOrganisations(req.State); err != nil {
		return nil, fault.ToTwirp(err)
	}
	state, err := catalog.CompressSource(req.State)
	if err != nil {
		return nil, fault.ToTwirp(fault.New(fault.Internal, "compress the desired state: %v", err))
	}
	req = &adminpb.ApplyStateRequest{State: state, DryRun: req.DryRun}
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.ApplyState)
	if forwarded {
		return resp, err
	}
	if req.DryRun {
		return a.dryRunState(ctx, req.State)
	}
	result, err := a.proposeState(ctx, req.State)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	a.logState(req.State.Version, result)
	a.server.awaitShortly(ctx, result.Revision)
	return &adminpb.ApplyStateResponse{Result: result}, nil
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

// ReadState returns the desired state in force after a linearizable read. The
// leader sends the source to another control VM only if that VM has a different
// version, because the source of a committed version is the same on every VM.
func (a *admin) ReadState(ctx context.Context, req *adminpb.ReadStateRequest) (*adminpb.ReadStateResponse, error) {
	version, source := a.server.catalog.StateSource()
	resp, forwarded, err := forwardToLeader(ctx, a.server, &adminpb.ReadStateRequest{KnownVersion: version}, adminpb.Admin.ReadState)
	if forwarded {
		if err == nil && resp.Version == version {
			return readStateResponse(version, source)
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
	return readStateResponse(version, source)
}

func readStateResponse(version uint64, source catalog.Source) (*adminpb.ReadStateResponse, error) {
	text, err := source.Text()
	if err != nil {
		return nil, fault.ToTwirp(fault.New(fault.Internal, "%v", err))
	}
	return &adminpb.ReadStateResponse{Version: version, Source: text}, nil
}

// SetZoneOut stops or resumes sending new work to an availability zone. It fails with
// an error of kind OutdatedOrder if the zone was changed otherwise after the order had
// arrived at the first control VM.
func (a *admin) SetZoneOut(ctx context.Context, req *adminpb.SetZoneOutRequest) (*adminpb.SetZoneOutResponse, error) {
	ctx = a.server.withOrder(ctx)
	if err := a.awaitAbandon(ctx); err != nil {
		return nil, err
	}
	change := &catalogpb.SetZoneOut{Zone: req.Change.GetZone(), Out: req.Change.GetOut()}
	resp, forwarded, err := forwardToLeader(ctx, a.server, &adminpb.SetZoneOutRequest{Change: change}, adminpb.Admin.SetZoneOut)
	if forwarded {
		return resp, err
	}
	change.BaseRevision = a.bound(ctx).base
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_SetZoneOut{SetZoneOut: change}}
	revision, err := a.proposeForRevision(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	a.server.opts.Log.Log(event.ZoneSet).Str("zone", req.Change.GetZone()).Bool("out", req.Change.GetOut()).
		Uint64("base", change.BaseRevision).Uint64("revision", revision).Send()
	a.server.awaitShortly(ctx, revision)
	return &adminpb.SetZoneOutResponse{}, nil
}

// AnnounceUpstream commits the announcement of an upstream. An announcement
// that this VM knows to be committed already is acknowledged immediately, even
// if the VM does not lead.
func (a *admin) AnnounceUpstream(ctx context.Context, req *adminpb.AnnounceUpstreamRequest) (*adminpb.AnnounceUpstreamResponse, error) {
	if err := catalog.CheckUpstreamTexts(req.Upstream); err != nil {
		return nil, fault.ToTwirp(err)
	}
	if !catalog.NeedsCommit(a.server.catalog.Config(), req.Upstream) {
		return &adminpb.AnnounceUpstreamResponse{}, nil
	}
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.AnnounceUpstream)
	if forwarded {
		return resp, err
	}
	if err := catalog.CheckUpstreamRoom(a.server.catalog.Config(), req.Upstream.GetId(), a.server.opts.MaxUpstreams); err != nil {
		return nil, fault.ToTwirp(err)
	}
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_PutUpstream{PutUpstream: req.Upstream}}
	revision, err := a.proposeForRevision(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	u := req.Upstream
	a.server.opts.Log.Log(event.UpstreamState).Str("upstream", u.Id).Str("pool", u.Pool).Str("address", u.Address).
		Str("state", u.State.String()).Uint64("sequence", u.Sequence).Uint64("cold_ms", uint64(u.ColdMs)).
		Uint64("revision", revision).Send()
	return &adminpb.AnnounceUpstreamResponse{}, nil
}

// DropUpstream records that an upstream has left. Without a start time it concerns the
// start that is known where the order arrives. If the upstream is started again before
// the order is carried out, it fails with an error of kind OutdatedOrder.
func (a *admin) DropUpstream(ctx context.Context, req *adminpb.DropUpstreamRequest) (*adminpb.DropUpstreamResponse, error) {
	drop := &catalogpb.DropUpstream{Id: req.Drop.GetId(), StartedMs: req.Drop.GetStartedMs()}
	if err := catalog.CheckUpstreamTexts(&catalogpb.Upstream{Id: drop.Id}); err != nil {
		return nil, fault.ToTwirp(err)
	}
	ctx = a.server.withUpstreamStart(ctx, drop.Id)
	if drop.StartedMs == 0 {
		if err := a.awaitAbandon(ctx); err != nil {
			return nil, err
		}
	}
	resp, forwarded, err := forwardToLeader(ctx, a.server, &adminpb.DropUpstreamRequest{Drop: drop}, adminpb.Admin.DropUpstream)
	if forwarded {
		return resp, err
	}
	if drop.StartedMs == 0 {
		o := a.bound(ctx)
		drop.StartedMs, drop.BaseRevision = o.start, o.base
	}
	cmd := &catalogpb.Command{Kind: &catalogpb.Command_DropUpstream{DropUpstream: drop}}
	revision, err := a.proposeForRevision(ctx, cmd)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	a.server.opts.Log.Log(event.UpstreamState).Str("upstream", req.Drop.GetId()).Str("state", "gone").
		Uint64("revision", revision).Send()
	return &adminpb.DropUpstreamResponse{}, nil
}

// proposeForRevision commits a command that is not an operator change, and
// returns the revision of the resulting configuration.
func (a *admin) proposeForRevision(ctx context.Context, cmd *catalogpb.Command) (uint64, error) {
	if err := a.checkOrder(cmd); err != nil {
		return 0, err
	}
	result, err := a.propose(ctx, cmd)
	if err != nil {
		return 0, err
	}
	applied, ok := result.(catalog.CommandResult)
	if !ok {
		return 0, fault.New(fault.Internal, "unexpected result of type %T from the state machine", result)
	}
	if applied.Err != nil {
		return 0, a.outdated(applied.Err)
	}
	return applied.Revision, nil
}
