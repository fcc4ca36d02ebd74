package control

import (
	"context"

	"github.com/twitchtv/twirp"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// membership returns the interface to change the control group, or an
// Unimplemented error if the replica does not support it.
func (a *admin) membership() (Membership, error) {
	m, ok := a.server.opts.Replica.(Membership)
	if !ok {
		return nil, twirp.NewError(twirp.Unimplemented, "this replica does not support changing the control group")
	}
	return m, nil
}

// AddMember adds a control replica. The response says whether it became a voter or a
// standby before the wait ended.
func (a *admin) AddMember(ctx context.Context, req *adminpb.AddMemberRequest) (*adminpb.MemberResponse, error) {
	// A control VM that joins repeats its call until it is a member, beside others that
	// join at the same time. This is no order of an operator, and its age is not bounded.
	if ctx.Value(ownCallKey{}) == nil {
		ctx = a.server.withOrder(ctx)
		if err := a.awaitAbandon(ctx); err != nil {
			return nil, err
		}
	}
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.AddMember)
	if forwarded {
		return resp, err
	}
	m, err := a.membership()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait(req.WaitMs))
	defer cancel()
	replaces := req.Replaces
	if replaces == 0 {
		replaces = a.replicaAtAddress(req.Member)
	}
	complete, err := m.AddMember(ctx, req.Member, replaces, orderOf(ctx).base)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return a.memberResponse(complete), nil
}

// replicaAtAddress returns the id of another replica registered at the address
// of member, or 0. Two replicas cannot share an address, so the other one must
// have lost its disk.
func (a *admin) replicaAtAddress(member *catalogpb.ControlMember) uint64 {
	for _, m := range a.server.opts.Replica.Status().Members {
		if m.Member.GetAddress() == member.GetAddress() && m.Member.GetReplicaId() != member.GetReplicaId() {
			return m.Member.GetReplicaId()
		}
	}
	return 0
}

// RemoveMember removes a control replica.
func (a *admin) RemoveMember(ctx context.Context, req *adminpb.RemoveMemberRequest) (*adminpb.MemberResponse, error) {
	ctx = a.server.withOrder(ctx)
	if err := a.awaitAbandon(ctx); err != nil {
		return nil, err
	}
	resp, forwarded, err := forwardToLeader(ctx, a.server, req, adminpb.Admin.RemoveMember)
	if forwarded {
		return resp, err
	}
	m, err := a.membership()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorWait(req.WaitMs))
	defer cancel()
	if err := m.RemoveMember(ctx, req.ReplicaId, orderOf(ctx).base); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return a.memberResponse(true), nil
}

func (a *admin) memberResponse(complete bool) *adminpb.MemberResponse {
	resp := &adminpb.MemberResponse{Complete: complete}
	for _, m := range a.server.opts.Replica.Status().Members {
		resp.Members = append(resp.Members, m.Member)
	}
	return resp
}
