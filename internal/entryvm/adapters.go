package entryvm

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claimservice"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
)

// claimAdapter adapts the claims service to forward.Claims.
type claimAdapter struct {
	service *claimservice.Service
}

// Begin implements forward.Claims.
func (c claimAdapter) Begin(ctx context.Context, service, key string, digest [32]byte) (forward.Claim, *clusterpb.KeptAnswer, *fault.Error) {
	d := c.service.Begin(ctx, service, key, digest)
	switch d.Kind {
	case claimservice.Proceed:
		return d.Claim, nil, nil
	case claimservice.Replay:
		return nil, d.Response, nil
	}
	return nil, nil, d.Refusal
}

// announcementSink passes announcements of upstreams to the dispatcher.
type announcementSink struct {
	server *dispatchserver.Server
}

// Announce implements announce.Sink.
func (s announcementSink) Announce(a *clusterpb.Announcement) {
	s.server.Announce([]*clusterpb.Announcement{a})
}
