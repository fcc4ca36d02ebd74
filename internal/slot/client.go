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
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/dispatcher"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	// answerSlack is added to the longest wait before an answer is given up.
	answerSlack = 250 * time.Millisecond
	// maxQueues bounds the queues that one request tries to join.
	maxQueues = 4
	// maxViews bounds the views under which one request asks.
	maxViews = 3
	// defaultTimeout bounds a request of a service that sets no timeout.
	defaultTimeout = 30 * time.Second
)

// Options configures a Client.
type Options struct {
	// Entry is the id of this entry VM and Zone its availability zone.
	Entry string
	Zone  string
	// Incarnation is that of this process.
	Incarnation uint64
	// View provides the configuration in force.
	View view.Source
	// Local is the server of this process.
	Local *dispatcher.Server
	// HTTP calls other entry VMs.
	HTTP *http.Client
	// LongPollHTTP calls other entry VMs for what may wait long, many calls on one
	// connection; nil means HTTP.
	LongPollHTTP *http.Client
}

// Client asks the dispatchers of cells for slots. It implements Source.
type Client struct {
	opts   Options
	nextID atomic.Uint64
	hints  hints
	held   held
	outbox outbox
	// peers holds Twirp clients by peerKey.
	peers sync.Map
	wg    conc.WaitGroup
}

// NewClient returns a client; Run starts it.
func NewClient(opts Options) *Client {
	if opts.HTTP == nil {
		opts.HTTP = http.DefaultClient
	}
	if opts.LongPollHTTP == nil {
		opts.LongPollHTTP = opts.HTTP
	}
	c := &Client{opts: opts}
	c.hints.cells = make(map[view.CellKey]hint)
	c.held.init()
	c.outbox.init()
	return c
}

// Run sends releases and re-registrations until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.wg.Wait()
	c.outbox.start(ctx, c)
	<-ctx.Done()
}

// Acquire returns a slot of the service, in this availability zone if one is
// free. It asks other zones when the own one has no room or does not answer.
func (c *Client) Acquire(ctx context.Context, r Request) (Grant, error) {
	for attempt := 1; ; attempt++ {
		v := c.opts.View.View()
		g, err := c.acquire(ctx, v, r)
		moved := c.opts.View.View() != v
		if err == nil || !moved || attempt == maxViews || ctx.Err() != nil {
			return g, err
		}
	}
}

// acquire asks for a slot under one view.
func (c *Client) acquire(ctx context.Context, v *view.View, r Request) (Grant, error) {
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
	r.Deadline = boundDeadline(svc, r.Deadline)
	return c.ask(ctx, v, cells, r)
}

// boundDeadline keeps the deadline within the timeout of the service.
func boundDeadline(svc *catalogpb.Service, deadline time.Time) time.Time {
	timeout := time.Duration(svc.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	latest := time.Now().Add(timeout)
	if deadline.IsZero() || deadline.After(latest) {
		return latest
	}
	return deadline
}

// ask tries cells without waiting, best first, and then waits in the queues of
// several.
func (c *Client) ask(ctx context.Context, v *view.View, cells []*catalogpb.Cell, r Request) (Grant, error) {
	var last refusals
	if len(cells) > 1 || r.NoWait {
		for _, cell := range c.quick(cells) {
			g, refused := c.askCell(ctx, v, cell, c.quickOffer(r))
			if refused == nil {
				return g, nil
			}
			last.add(refused)
		}
	}
	if r.NoWait {
		return Grant{}, last.err()
	}
	g, ok := c.wait(ctx, v, cells, r, &last)
	if ok {
		return g, nil
	}
	return Grant{}, last.err()
}

// offer is one request to one cell.
type offer struct {
	id       uint64
	deadline time.Time
	wait     time.Duration
	avoid    []string
	queues   int
}

// quickOffer returns an offer that does not wait.
func (c *Client) quickOffer(r Request) offer {
	return offer{id: c.nextID.Add(1), deadline: r.Deadline, avoid: r.Avoid}
}

// askCell asks the dispatcher of one cell and keeps the grant it returns.
func (c *Client) askCell(ctx context.Context, v *view.View, cell *catalogpb.Cell, o offer) (Grant, *fault.Error) {
	key := keyOf(cell)
	ev := dispatch.Acquire{
		Key:     dispatch.RequestKey{Entry: c.opts.Entry, Incarnation: c.opts.Incarnation, ID: o.id},
		MaxWait: max(0, o.wait), Avoid: o.avoid, Queues: o.queues,
	}
	askCtx, cancel := context.WithTimeout(ctx, ev.MaxWait+answerSlack)
	defer cancel()
	var a dispatcher.AcquireResult
	if c.isLocal(cell) {
		ev.Deadline = c.opts.Local.SinceStart(o.deadline)
		a = c.opts.Local.Acquire(askCtx, key, cell.Epoch, ev)
	} else {
		a = c.remote(askCtx, v, cell, ev, o.deadline)
	}
	c.hints.update(key, a)
	if !a.Granted {
		return Grant{}, &fault.Error{Kind: a.Refuse.Kind, Detail: key.Zone, RetryAfter: a.Refuse.RetryAfter}
	}
	g := Grant{
		Cell: key, Epoch: a.Epoch, Ticket: o.id, Upstream: a.Grant.Upstream,
		Address: a.Grant.Address, Incarnation: a.Grant.Incarnation, Dispatcher: cell.Entry,
	}
	return c.keep(g, a.Grant, o.deadline)
}

// keep records a grant, unless its epoch has passed or the configuration can
// no longer be confirmed; it is then given back unused.
func (c *Client) keep(g Grant, from dispatch.Grant, deadline time.Time) (Grant, *fault.Error) {
	current := c.held.add(g, from, deadline)
	if current && c.opts.View.Fresh() {
		return g, nil
	}
	c.Release(g, Result{Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
	return Grant{}, fault.New(fault.NotFresh, "the grant came too late")
}

// Release ends a grant.
func (c *Client) Release(g Grant, r Result) {
	deadline := c.held.remove(g.Ticket)
	c.outbox.put(c, release{cell: g.Cell, epoch: g.Epoch, ticket: g.Ticket, result: r, until: deadline})
}

func (c *Client) isLocal(cell *catalogpb.Cell) bool {
	return cell.Entry == c.opts.Entry && cell.Incarnation == c.opts.Incarnation && c.opts.Local != nil
}

func keyOf(cell *catalogpb.Cell) view.CellKey {
	return view.CellKey{Service: cell.Service, Zone: cell.Zone, Shard: cell.Shard}
}

func idOf(key view.CellKey) *clusterpb.CellID {
	return &clusterpb.CellID{Service: key.Service, Zone: key.Zone, Shard: key.Shard}
}
