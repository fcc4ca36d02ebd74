package configsync

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// server answers other entry VMs.
type server struct {
	syncer *Syncer
}

// Renew passes the renewal of another entry VM on to the leader.
func (s *server) Renew(ctx context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	leader := s.syncer.leader.Load()
	if leader == nil {
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "no leader is known"))
	}
	resp, err := s.syncer.client(*leader).Renew(ctx, req)
	if err != nil {
		return nil, fault.ToTwirp(fault.FromTwirp(err, fault.NotLeader))
	}
	return resp, nil
}

// Confirm returns the revision that this entry VM holds.
func (s *server) Confirm(_ context.Context, req *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	h := s.syncer.held.Load()
	if h.view == nil {
		return &clusterpb.ConfirmResponse{}, nil
	}
	resp := &clusterpb.ConfirmResponse{NewestRevision: h.view.Revision(), Synced: h.synced}
	if req.Revision < resp.NewestRevision {
		resp.Config = h.view.Config
	}
	return resp, nil
}

// Push takes a configuration from another process.
func (s *server) Push(_ context.Context, req *clusterpb.PushRequest) (*clusterpb.PushResponse, error) {
	s.syncer.post(&adopted{config: req.Config, accepted: req.AcceptedRevision})
	h := s.syncer.held.Load()
	if h.view == nil {
		return &clusterpb.PushResponse{}, nil
	}
	return &clusterpb.PushResponse{Revision: h.view.Revision()}, nil
}
