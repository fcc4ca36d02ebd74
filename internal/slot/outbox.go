package slot

import (
	"context"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	// resendAfter paces what could not be delivered.
	resendAfter = 50 * time.Millisecond
	sendTimeout = time.Second
	maxBatch    = 256
)

// release is a release to be delivered to the dispatcher of its cell.
type release struct {
	cell   view.CellKey
	epoch  uint64
	ticket uint64
	result Result
	// until is the deadline of the ticket; the dispatcher gives it up then.
	until time.Time
}

// outbox delivers releases to other entry VMs. Each has a lane of its own, so
// that one that does not answer holds up no other.
type outbox struct {
	mu    sync.Mutex
	ctx   context.Context
	lanes map[string]*lane
}

// lane holds what waits for one entry VM.
type lane struct {
	entry string
	mu    sync.Mutex
	items []release
	wake  chan struct{}
}

func (o *outbox) init() { o.lanes = make(map[string]*lane) }

// start lets lanes run until ctx ends.
func (o *outbox) start(ctx context.Context, c *Client) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for _, l := range o.lanes {
		c.wg.Go(func() { l.run(ctx, c) })
	}
}

// put delivers r to the dispatcher of its cell, or queues it.
func (o *outbox) put(c *Client, r release) {
	v := c.opts.View.View()
	if v == nil {
		return
	}
	cell := v.Cell(r.cell)
	if cell == nil || cell.Entry == "" {
		return
	}
	if c.isLocal(cell) && c.opts.Local.Release(r.cell, r.event(c)) {
		return
	}
	o.lane(c, cell.Entry).add(r)
}

func (r release) event(c *Client) dispatch.Release {
	return dispatch.Release{
		Key:         dispatch.RequestKey{Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, ID: r.ticket},
		Outcome:     r.result.Outcome,
		ServiceTime: r.result.ServiceTime,
	}
}

// lane returns the lane to an entry VM and starts it if it is new.
func (o *outbox) lane(c *Client, entry string) *lane {
	o.mu.Lock()
	defer o.mu.Unlock()
	l := o.lanes[entry]
	if l == nil {
		l = &lane{entry: entry, wake: make(chan struct{}, 1)}
		o.lanes[entry] = l
		if ctx := o.ctx; ctx != nil {
			c.wg.Go(func() { l.run(ctx, c) })
		}
	}
	return l
}

func (l *lane) add(r release) {
	l.mu.Lock()
	l.items = append(l.items, r)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// take returns the next releases to send.
func (l *lane) take() []release {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.items), maxBatch)
	batch := l.items[:n:n]
	l.items = l.items[n:]
	return batch
}

// run sends releases one batch after the other. What fails is sent again, to
// the dispatcher that the cell has by then.
func (l *lane) run(ctx context.Context, c *Client) {
	for {
		batch := l.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.wake:
			}
			continue
		}
		if c.sendReleases(ctx, l.entry, batch) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(resendAfter):
		}
		for _, r := range batch {
			if time.Now().Before(r.until) {
				c.outbox.put(c, r)
			}
		}
	}
}

func (c *Client) sendReleases(ctx context.Context, entry string, batch []release) bool {
	v := c.opts.View.View()
	if v == nil {
		return false
	}
	peer := c.peer(v, entry, c.opts.HTTP)
	if peer == nil {
		return false
	}
	req := &clusterpb.ReleaseRequest{Entry: c.opts.Entry, Incarnation: c.opts.Incarnation}
	for _, r := range batch {
		req.Releases = append(req.Releases, &clusterpb.Release{
			Cell: idOf(r.cell), Epoch: r.epoch, Ticket: r.ticket, Outcome: r.result.Outcome,
			ServiceTimeUs: uint32(r.result.ServiceTime.Microseconds()), NewConnection: r.result.NewConnection,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := peer.Release(ctx, req)
	return err == nil
}
