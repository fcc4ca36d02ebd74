package control

import (
	"github.com/twitchtv/twirp"

	"context"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// membership returns the replica's means to change the control group.
func (a *admin) membership() (Membership, error) {
	m, ok := a.server.opts.Replica.(Membership)
	if !ok {
		return nil, twirp.NewError(twirp.Unimplemented, "this replica has a fixed control group")
	}
	return m, nil
}

// AddMember adds a control replica.
func (a *admin) AddMember(ctx context.Context, req *adminpb.AddMemberRequest) (*adminpb.MemberResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.AddMember)
	if passed {
		return resp, err
	}
	m, err := a.membership()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitFor(req.WaitMs))
	defer cancel()
	replaces := req.Replaces
	if replaces == 0 {
		replaces = a.holderOf(req.Member)
	}
	complete, err := m.AddMember(ctx, req.Member, replaces)
	if err != nil {
		return nil, fault.ToTwirp(err)
	}
	return a.members(complete), nil
}

// holderOf returns the id of another replica at the address of member, or 0.
// Two replicas cannot share an address: the other one has lost its disk.
func (a *admin) holderOf(member *catalogpb.ControlMember) uint64 {
	for _, m := range a.server.opts.Replica.Status().Members {
		if m.Member.GetAddress() == member.GetAddress() && m.Member.GetReplicaId() != member.GetReplicaId() {
			return m.Member.GetReplicaId()
		}
	}
	return 0
}

// RemoveMember removes a control replica.
func (a *admin) RemoveMember(ctx context.Context, req *adminpb.RemoveMemberRequest) (*adminpb.MemberResponse, error) {
	resp, passed, err := toLeader(ctx, a.server, req, adminpb.Admin.RemoveMember)
	if passed {
		return resp, err
	}
	m, err := a.membership()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, waitFor(req.WaitMs))
	defer cancel()
	if err := m.RemoveMember(ctx, req.ReplicaId); err != nil {
		return nil, fault.ToTwirp(err)
	}
	return a.members(true), nil
}

func (a *admin) members(complete bool) *adminpb.MemberResponse {
	resp := &adminpb.MemberResponse{Complete: complete}
	for _, m := range a.server.opts.Replica.Status().Members {
		resp.Members = append(resp.Members, m.Member)
	}
	return resp
}
