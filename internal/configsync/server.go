package configsync

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// server serves calls from other processes of the cluster.
type server struct {
	syncer *Syncer
}

// Renew relays the renewal of another entry VM to the leader.
func (s *server) Renew(ctx context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	leader := s.syncer.leaderAddress.Load()
	if leader == nil {
		return nil, fault.ToTwirp(fault.New(fault.NotLeader, "no leader is known"))
	}
	resp, err := s.syncer.client(*leader).Renew(ctx, req)
	if err != nil {
		return nil, fault.ToTwirp(fault.FromTwirp(err, fault.NotLeader))
	}
	return resp, nil
}

// Confirm returns the revision that this entry VM holds, with the configuration
// if it is newer than the requested revision. The time of the confirmation is
// recorded before the revision is read: if a concurrent renewal acknowledges a
// newer revision, then either that renewal reports this confirmation, or this
// answer carries the newer revision.
func (s *server) Confirm(_ context.Context, req *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	if s.syncer.revision() <= req.Revision {
		s.syncer.lastConfirmationGiven.Store(int64(s.syncer.now()))
	}
	snap := s.syncer.snapshot.Load()
	if snap.view == nil {
		return &clusterpb.ConfirmResponse{}, nil
	}
	resp := &clusterpb.ConfirmResponse{NewestRevision: snap.view.Revision(), Synced: snap.synced}
	if req.Revision < resp.NewestRevision {
		resp.Config = snap.view.Config
	}
	return resp, nil
}

// Push queues a configuration from another process for adoption and returns the
// revision held at that moment.
func (s *server) Push(_ context.Context, req *clusterpb.PushRequest) (*clusterpb.PushResponse, error) {
	s.syncer.post(&configReceived{config: req.Config, acceptedRevision: req.AcceptedRevision})
	return &clusterpb.PushResponse{Revision: s.syncer.revision()}, nil
}
