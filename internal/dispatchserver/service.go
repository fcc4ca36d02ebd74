package dispatchserver

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// service implements the Twirp service Dispatch on top of a Server.
type service struct{ s *Server }

func cellKey(id *clusterpb.CellID) configview.CellKey {
	return configview.CellKey{Service: id.GetService(), Zone: id.GetZone(), Shard: id.GetShard()}
}

// Acquire waits for a slot. A refusal is part of the response, not an error.
func (svc *service) Acquire(ctx context.Context, r *clusterpb.AcquireRequest) (*clusterpb.AcquireResponse, error) {
	ev := dispatch.Acquire{
		Key:      dispatch.RequestKey{Entry: r.Entry, Incarnation: r.Incarnation, ID: r.RequestId},
		Deadline: svc.s.Now() + millis(r.DeadlineMs),
		MaxWait:  millis(r.MaxWaitMs),
		Avoid:    r.Avoid,
		Queues:   int(r.Queues),
	}
	a := svc.s.Acquire(ctx, cellKey(r.Cell), r.Epoch, ev)
	if !a.Granted {
		return &clusterpb.AcquireResponse{
			Epoch:        a.Epoch,
			Refusal:      string(a.Refuse.Kind),
			RetryAfterMs: uint32(a.Refuse.RetryAfter.Milliseconds()),
			WaitUs:       uint32(a.Refuse.ExpectedWait.Microseconds()),
		}, nil
	}
	return &clusterpb.AcquireResponse{
		Granted: true, Upstream: a.Grant.Upstream, Address: a.Grant.Address,
		Ticket: r.RequestId, Epoch: a.Epoch, Free: uint32(a.Grant.FreeSlots),
		Limit: uint32(a.Grant.Limit), Version: a.Grant.Version, UpstreamIncarnation: a.Grant.Incarnation,
	}, nil
}

// Release ends tickets. It returns fault.NoDispatcher at the first cell that is
// not held here.
func (svc *service) Release(_ context.Context, r *clusterpb.ReleaseRequest) (*clusterpb.ReleaseResponse, error) {
	for _, rel := range r.Releases {
		key := dispatch.RequestKey{Entry: r.Entry, Incarnation: r.Incarnation, ID: rel.Ticket}
		serviceTime := time.Duration(rel.ServiceTimeUs) * time.Microsecond
		ev := dispatch.Release{
			Key: key, Outcome: rel.Outcome, ServiceTime: serviceTime,
			Notice: notice.Notice{Leaving: rel.Leaving, Pause: millis(rel.PauseMs)},
		}
		if !svc.s.Release(cellKey(rel.Cell), ev) {
			return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "this entry VM does not dispatch the cell"))
		}
	}
	return &clusterpb.ReleaseResponse{}, nil
}

// Announce receives announcements and counts from another entry VM.
func (svc *service) Announce(_ context.Context, r *clusterpb.AnnounceRequest) (*clusterpb.AnnounceResponse, error) {
	svc.s.receiveRelayed(r.Announcements)
	if svc.s.opts.OnCounts != nil && len(r.Counts) > 0 {
		svc.s.opts.OnCounts(r.Entry, r.Counts)
	}
	return &clusterpb.AnnounceResponse{}, nil
}

// Reregister receives the tickets that an entry VM holds. It returns
// fault.NoDispatcher until this entry VM has learned that it dispatches the cell.
func (svc *service) Reregister(ctx context.Context, r *clusterpb.ReregisterRequest) (*clusterpb.ReregisterResponse, error) {
	if !svc.s.Reregister(ctx, r) {
		return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "this entry VM does not dispatch the cell at the given epoch"))
	}
	return &clusterpb.ReregisterResponse{}, nil
}

// Reregister passes the tickets and upstream limits that an entry VM holds to a
// cell. It reports false when the cell is not held here at the epoch of r or a
// newer one, or when ctx or the server ends first.
func (s *Server) Reregister(ctx context.Context, r *clusterpb.ReregisterRequest) bool {
	ev := dispatch.Reregister{Entry: r.Entry, Incarnation: r.Incarnation}
	for _, h := range r.Tickets {
		ev.Tickets = append(ev.Tickets, dispatch.HeldTicket{ID: h.Ticket, Upstream: h.Upstream, Deadline: s.Now() + millis(h.DeadlineMs)})
	}
	for _, l := range r.Limits {
		ev.Limits = append(ev.Limits, dispatch.UpstreamLimit{
			Upstream: l.Upstream, Incarnation: l.Incarnation, Limit: int(l.Limit), Epoch: l.Epoch, Version: l.Version,
		})
	}
	reply := make(chan AcquireResult, 1)
	if !s.post(message{key: cellKey(r.Cell), epoch: r.Epoch, event: ev, reply: reply}) {
		return false
	}
	select {
	case _, ok := <-reply:
		return ok
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}
