package slot

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// responseMargin is the time allowed for a response in addition to the maximum
	// wait of the request.
	responseMargin = 250 * time.Millisecond
	// maxQueuesPerRequest is the maximum number of queues that one request joins.
	maxQueuesPerRequest = 4
	// maxConfigAttempts limits the attempts to acquire a slot. A failed attempt is
	// repeated only if the configuration changed during it.
	maxConfigAttempts = 3
	// defaultServiceTimeout is the timeout of services that set none.
	defaultServiceTimeout = 30 * time.Second
)

// Options configures a Client.
type Options struct {
	// Entry is the id of this entry VM, and Zone is its availability zone.
	Entry string
	Zone  string
	// Incarnation is the incarnation number of this process.
	Incarnation uint64
	// View provides the current configuration.
	View configview.Source
	// Local runs the cells that this entry VM dispatches; nil means none.
	Local *dispatchserver.Server
	// HTTP is used for short calls to other entry VMs.
	HTTP *http.Client
	// LongPollHTTP is used for calls that wait in a queue of another entry VM. It
	// should share one connection between many calls. Nil means HTTP.
	LongPollHTTP *http.Client
}

// Client acquires slots from the dispatchers of cells. It implements Allocator.
type Client struct {
	opts          Options
	nextID        atomic.Uint64
	waitEstimates waitEstimates
	grants        grantRegistry
	outbox        outbox
	// peers caches the clusterpb.Dispatch client of each peerKey.
	peers sync.Map
	wg    conc.WaitGroup
}

// NewClient returns a client. Releases to other entry VMs are sent while Run runs.
func NewClient(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	if opts.LongPollHTTP == nil {
		opts.LongPollHTTP = opts.HTTP
	}
	c := &Client{opts: opts}
	c.waitEstimates.cells = make(map[configview.CellKey]waitEstimate)
	c.grants.init()
	c.outbox.init()
	return c
}

// Run sends releases to other entry VMs until ctx ends, and then waits for the
// client's goroutines.
func (c *Client) Run(ctx context.Context) {
	defer c.wg.Wait()
	c.outbox.start(ctx, c)
	<-ctx.Done()
}

// Acquire returns a slot of the service, in this availability zone if one is
// free. Other zones are asked when this one has no free slot or its dispatcher
// does not respond. An attempt that fails is repeated when the configuration has
// changed in the meantime. The error is a *fault.Error.
func (c *Client) Acquire(ctx context.Context, r Request) (Grant, error) {
	for attempt := 1; ; attempt++ {
		v := c.opts.View.View()
		g, err := c.acquire(ctx, v, r)
		configChanged := c.opts.View.View() != v
		if err == nil || !configChanged || attempt == maxConfigAttempts || ctx.Err() != nil {
			return g, err
		}
	}
}

// acquire asks for a slot according to the configuration v.
func (c *Client) acquire(ctx context.Context, v *configview.View, r Request) (Grant, error) {
	if v == nil || !c.opts.View.Fresh() {
		return Grant{}, fault.New(fault.NotFresh, "no confirmed configuration")
	}
	svc := v.Service(r.Service)
	if svc == nil {
		return Grant{}, fault.New(fault.UnknownService, "%s", r.Service)
	}
	cells, err := c.candidates(v, svc, r.ShardHash)
	if err != nil {
		return Grant{}, err
	}
	r.Deadline = capDeadline(svc, r.Deadline)
	return c.acquireFromCells(ctx, v, cells, r)
}

// capDeadline returns the deadline, at most the timeout of the service from now.
func capDeadline(svc *catalogpb.Service, deadline time.Time) time.Time {
	timeout := time.Duration(svc.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultServiceTimeout
	}
	latest := time.Now().Add(timeout)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return deadline
}

// acquireFromCells asks the best cells for a slot that is free at once, and then
// waits in the queues of several.
func (c *Client) acquireFromCells(ctx context.Context, v *configview.View, cells []*catalogpb.Cell, r Request) (Grant, error) {
	var seen refusals
	if len(cells) > 1 || r.NoWait {
		for _, cell := range c.immediateCandidates(cells) {
			g, refused := c.acquireFromCell(ctx, v, cell, c.immediateRequest(r))
			if refused == nil {
				return g, nil
			}
			seen.add(refused)
		}
	}
	if r.NoWait {
		return Grant{}, seen.err()
	}
	g, ok := c.wait(ctx, v, cells, r, &seen)
	if ok {
		return g, nil
	}
	return Grant{}, seen.err()
}

// cellRequest is a request for a slot of one cell. A wait of zero asks for a slot
// that is free at once; queues is the number of queues that the request joins.
type cellRequest struct {
	id       uint64
	deadline time.Time
	wait     time.Duration
	avoid    []string
	queues   int
}

// immediateRequest returns a request for a slot that is free at once.
func (c *Client) immediateRequest(r Request) cellRequest {
	return cellRequest{id: c.nextID.Add(1), deadline: r.Deadline, avoid: r.Avoid}
}

// acquireFromCell asks the dispatcher of one cell for a slot and records the
// grant.
func (c *Client) acquireFromCell(ctx context.Context, v *configview.View, cell *catalogpb.Cell, req cellRequest) (Grant, *fault.Error) {
	key := cellKey(cell)
	ev := dispatch.Acquire{
		Key:     dispatch.RequestKey{Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, ID: req.id},
		MaxWait: max(0, req.wait), Avoid: req.avoid, Queues: req.queues,
	}
	acquireCtx, cancel := context.WithTimeout(ctx, ev.MaxWait+responseMargin)
	defer cancel()
	var a dispatchserver.AcquireResult
	if c.isLocal(cell) {
		ev.Deadline = c.opts.Local.SinceStart(req.deadline)
		a = c.opts.Local.Acquire(acquireCtx, key, cell.Epoch, ev)
	} else {
		a = c.acquireRemote(acquireCtx, v, cell, ev, req.deadline)
	}
	c.waitEstimates.update(key, a)
	if !a.Granted {
		return Grant{}, &fault.Error{Kind: a.Refuse.Kind, Detail: key.Zone, RetryAfter: a.Refuse.RetryAfter}
	}
	g := Grant{
		Cell: key, Epoch: a.Epoch, Ticket: req.id, Upstream: a.Grant.Upstream,
		Address: a.Grant.Address, Incarnation: a.Grant.Incarnation, Dispatcher: cell.Entry,
	}
	return c.recordGrant(g, a.Grant, req.deadline)
}

// recordGrant records a grant. When the grant belongs to an earlier epoch of the
// cell, or the configuration is no longer fresh, the slot is released unused and
// the error is fault.NotFresh.
func (c *Client) recordGrant(g Grant, from dispatch.Grant, deadline time.Time) (Grant, *fault.Error) {
	current := c.grants.add(g, from, deadline)
	if current && c.opts.View.Fresh() {
		return g, nil
	}
	c.Release(g, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
	return Grant{}, fault.New(fault.NotFresh, "the grant is of an earlier epoch or the configuration is no longer fresh")
}

// Release ends a grant and tells the dispatcher of its cell. It does not block on
// other entry VMs.
func (c *Client) Release(g Grant, r Result) {
	deadline := c.grants.remove(g.Ticket)
	c.outbox.deliver(c, release{cell: g.Cell, epoch: g.Epoch, ticket: g.Ticket, result: r, deadline: deadline})
}

func (c *Client) isLocal(cell *catalogpb.Cell) bool {
	return cell.Entry == c.opts.Entry && cell.Incarnation == c.opts.Incarnation && c.opts.Local != nil
}

func cellKey(cell *catalogpb.Cell) configview.CellKey {
	return configview.CellKey{Service: cell.Service, Zone: cell.Zone, Shard: cell.Shard}
}

func cellID(key configview.CellKey) *clusterpb.CellID {
	return &clusterpb.CellID{Service: key.Service, Zone: key.Zone, Shard: key.Shard}
}
