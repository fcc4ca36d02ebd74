package slot

import (
	"context"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
)

const (
	// retryInterval is the wait before a failed call is repeated.
	retryInterval      = 50 * time.Millisecond
	rpcTimeout         = time.Second
	maxReleasesPerCall = 256
)

// release tells the dispatcher of a cell that a ticket has ended.
type release struct {
	cell   configview.CellKey
	epoch  uint64
	ticket uint64
	result Result
	// deadline is the deadline of the ticket. The dispatcher expires the ticket
	// then, so a failed delivery is not repeated after it.
	deadline time.Time
}

// outbox delivers releases to other entry VMs. Each has a queue of its own, so
// that one that does not respond does not delay the others.
type outbox struct {
	mu     sync.Mutex
	ctx    context.Context
	queues map[string]*releaseQueue
}

// releaseQueue holds the releases to be sent to one entry VM.
type releaseQueue struct {
	entry    string
	mu       sync.Mutex
	items    []release
	notEmpty chan struct{}
}

func (o *outbox) init() { o.queues = make(map[string]*releaseQueue) }

// start starts a sender for each present and future queue. The senders run until
// ctx ends.
func (o *outbox) start(ctx context.Context, c *Client) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctx = ctx
	for _, q := range o.queues {
		c.wg.Go(func() { q.run(ctx, c) })
	}
}

// deliver passes r to the dispatcher of its cell: directly if that is in this
// process, and through a queue otherwise. It drops r if the cell has no dispatcher.
func (o *outbox) deliver(c *Client, r release) {
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
	o.queueTo(c, cell.Entry).add(r)
}

func (r release) event(c *Client) dispatch.Release {
	return dispatch.Release{
		Key:         dispatch.RequestKey{Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, ID: r.ticket},
		Outcome:     r.result.Outcome,
		ServiceTime: r.result.ServiceTime,
		Notice:      r.result.Notice,
	}
}

// queueTo returns the queue of an entry VM. It creates the queue if necessary, and
// starts its sender if start has been called.
func (o *outbox) queueTo(c *Client, entry string) *releaseQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.queues[entry]
	if q == nil {
		q = &releaseQueue{entry: entry, notEmpty: make(chan struct{}, 1)}
		o.queues[entry] = q
		if ctx := o.ctx; ctx != nil {
			c.wg.Go(func() { q.run(ctx, c) })
		}
	}
	return q
}

func (q *releaseQueue) add(r release) {
	q.mu.Lock()
	q.items = append(q.items, r)
	q.mu.Unlock()
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// nextBatch removes and returns up to maxReleasesPerCall releases.
func (q *releaseQueue) nextBatch() []release {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := min(len(q.items), maxReleasesPerCall)
	batch := q.items[:n:n]
	q.items = q.items[n:]
	return batch
}

// run sends releases in batches until ctx ends. The releases of a failed call are
// delivered again after retryInterval, to the current dispatchers of their cells.
func (q *releaseQueue) run(ctx context.Context, c *Client) {
	for {
		batch := q.nextBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-q.notEmpty:
			}
			continue
		}
		if c.sendReleases(ctx, q.entry, batch) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryInterval):
		}
		for _, r := range batch {
			if time.Now().Before(r.deadline) {
				c.outbox.deliver(c, r)
			}
		}
	}
}

// milliseconds returns d in milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 { return uint32((d + time.Millisecond - 1).Milliseconds()) }

// sendReleases reports whether the entry VM has received all releases of batch.
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
			Cell: cellID(r.cell), Epoch: r.epoch, Ticket: r.ticket, Outcome: r.result.Outcome,
			ServiceTimeUs: uint32(r.result.ServiceTime.Microseconds()), NewConnection: r.result.NewConnection,
			Leaving: r.result.Notice.Leaving, PauseMs: milliseconds(r.result.Notice.Pause),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	_, err := peer.Release(ctx, req)
	return err == nil
}
