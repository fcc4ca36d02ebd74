package entryd

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claims"
	"balsamcourse.example/balsamcourse/internal/dispatcher"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
)

// claimSource shows the claims service as forward.Claims.
type claimSource struct {
	service *claims.Service
}

// Begin implements forward.Claims.
func (c claimSource) Begin(ctx context.Context, service, key string, digest [32]byte) (forward.Claim, *clusterpb.KeptAnswer, *fault.Error) {
	d := c.service.Begin(ctx, service, key, digest)
	switch d.Kind {
	case claims.Proceed:
		return d.Claim, nil, nil
	case claims.Replay:
		return nil, d.Response, nil
	}
	return nil, nil, d.Refusal
}

// announceSink hands announcements to the dispatcher.
type announceSink struct {
	server *dispatcher.Server
}

// Announce implements announce.Sink.
func (s announceSink) Announce(a *clusterpb.Announcement) {
	s.server.Announce([]*clusterpb.Announcement{a})
}
