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

// Confirm returns the revision that this entry VM holds. The time is noted
// before the revision is read: a renewal that acknowledges a newer revision
// then either reports this confirmation, or this answer carries that revision.
func (s *server) Confirm(_ context.Context, req *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	if s.syncer.revision() <= req.Revision {
		s.syncer.given.Store(int64(s.syncer.now()))
	}
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
	return &clusterpb.PushResponse{Revision: s.syncer.revision()}, nil
}
