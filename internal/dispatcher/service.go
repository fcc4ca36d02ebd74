package dispatcher

import (
	"context"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

// service implements the Twirp service over a Server.
type service struct{ s *Server }

func cellKey(id *clusterpb.CellID) view.CellKey {
	return view.CellKey{Service: id.GetService(), Zone: id.GetZone(), Shard: id.GetShard()}
}

// Acquire waits for a slot and returns a grant, or refuses.
func (v *service) Acquire(ctx context.Context, r *clusterpb.AcquireRequest) (*clusterpb.AcquireResponse, error) {
	ev := dispatch.Acquire{
		Key:      dispatch.RequestKey{Entry: r.Entry, Incarnation: r.Incarnation, ID: r.RequestId},
		Deadline: v.s.Now() + millis(r.DeadlineMs),
		MaxWait:  millis(r.MaxWaitMs),
		Avoid:    r.Avoid,
		Queues:   int(r.Queues),
	}
	a := v.s.Acquire(ctx, cellKey(r.Cell), r.Epoch, ev)
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

// Release ends grants.
func (v *service) Release(_ context.Context, r *clusterpb.ReleaseRequest) (*clusterpb.ReleaseResponse, error) {
	for _, rel := range r.Releases {
		key := dispatch.RequestKey{Entry: r.Entry, Incarnation: r.Incarnation, ID: rel.Ticket}
		took := time.Duration(rel.ServiceTimeUs) * time.Microsecond
		ev := dispatch.Release{Key: key, Outcome: rel.Outcome, ServiceTime: took}
		if !v.s.Release(cellKey(rel.Cell), ev) {
			return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "the cell is not held here"))
		}
	}
	return &clusterpb.ReleaseResponse{}, nil
}

// Announce takes announcements that another entry VM relays.
func (v *service) Announce(_ context.Context, r *clusterpb.AnnounceRequest) (*clusterpb.AnnounceResponse, error) {
	v.s.receive(r.Announcements)
	if v.s.opts.OnCounts != nil && len(r.Counts) > 0 {
		v.s.opts.OnCounts(r.Entry, r.Counts)
	}
	return &clusterpb.AnnounceResponse{}, nil
}

// Reregister takes the tickets that an entry VM holds. It fails until this
// entry VM has learned that it dispatches the cell.
func (v *service) Reregister(ctx context.Context, r *clusterpb.ReregisterRequest) (*clusterpb.ReregisterResponse, error) {
	if !v.s.Reregister(ctx, r) {
		return nil, fault.ToTwirp(fault.New(fault.NoDispatcher, "not the dispatcher of this cell"))
	}
	return &clusterpb.ReregisterResponse{}, nil
}

// Reregister hands the tickets that an entry VM holds to a cell. It reports
// false when the cell is not held here at the epoch of r.
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
