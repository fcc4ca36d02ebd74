package slot

import (
	"context"
	"net/http"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// peerKey identifies a Twirp client.
type peerKey struct {
	address string
	client  *http.Client
}

// peer returns the Twirp client of another entry VM, or nil if v has no such entry
// VM.
func (c *Client) peer(v *configview.View, entry string, hc *http.Client) clusterpb.Dispatch {
	e := v.Entry(entry)
	if e == nil {
		return nil
	}
	key := peerKey{e.ClusterAddress, hc}
	if p, ok := c.peers.Load(key); ok {
		return p.(clusterpb.Dispatch)
	}
	p, _ := c.peers.LoadOrStore(key, clusterpb.NewDispatchProtobufClient("http://"+e.ClusterAddress, hc))
	return p.(clusterpb.Dispatch)
}

// acquireRemote asks a dispatcher in another process. When the call fails, the
// ticket is released, since the slot may have been granted.
func (c *Client) acquireRemote(ctx context.Context, v *configview.View, cell *catalogpb.Cell, ev dispatch.Acquire, deadline time.Time) dispatchserver.AcquireResult {
	hc := c.opts.HTTP
	if ev.MaxWait > 0 {
		hc = c.opts.LongPollHTTP
	}
	peer := c.peer(v, cell.Entry, hc)
	if peer == nil {
		return dispatchserver.AcquireResult{Refuse: dispatch.Refuse{Kind: fault.NoDispatcher}}
	}
	resp, err := peer.Acquire(ctx, &clusterpb.AcquireRequest{
		Cell: cellID(cellKey(cell)), Epoch: cell.Epoch, Entry: ev.Key.Entry, Incarnation: ev.Key.Incarnation,
		RequestId: ev.Key.ID, DeadlineMs: uint32(time.Until(deadline).Milliseconds()),
		MaxWaitMs: uint32(ev.MaxWait.Milliseconds()), Avoid: ev.Avoid, Queues: uint32(ev.Queues),
	})
	if err != nil {
		c.outbox.deliver(c, release{
			cell: cellKey(cell), epoch: cell.Epoch, ticket: ev.Key.ID, deadline: deadline,
			result: Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED},
		})
		return dispatchserver.AcquireResult{Refuse: dispatch.Refuse{Kind: fault.NoDispatcher}}
	}
	if !resp.Granted {
		return dispatchserver.AcquireResult{Epoch: resp.Epoch, Refuse: dispatch.Refuse{
			Kind:         fault.Kind(resp.Refusal),
			RetryAfter:   time.Duration(resp.RetryAfterMs) * time.Millisecond,
			ExpectedWait: time.Duration(resp.WaitUs) * time.Microsecond,
		}}
	}
	return dispatchserver.AcquireResult{Granted: true, Epoch: resp.Epoch, Grant: dispatch.Grant{
		Upstream: resp.Upstream, Address: resp.Address, Incarnation: resp.UpstreamIncarnation,
		Limit: int(resp.Limit), Version: resp.Version, FreeSlots: int(resp.Free),
	}}
}
