// Package dispatchserver runs the cells assigned to this entry VM, and relays
// announcements of upstreams to the dispatchers of other cells. A cell grants slots
// of the upstreams of one service in one availability zone, or of one shard of
// these upstreams.
package dispatchserver

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	tickInterval = 10 * time.Millisecond
	// inboxSize is the number of messages that can wait for the event loop.
	inboxSize = 4096
)

// Options configures a Server.
type Options struct {
	// Entry is the id of this entry VM.
	Entry string
	// Incarnation is the incarnation number of this process.
	Incarnation uint64
	// View provides the current configuration.
	View configview.Source
	// AcceptedRevision returns the newest configuration revision known to be
	// accepted, which means that no entry VM admits work on an older one. Nil
	// treats every revision as accepted, which is correct only with a single
	// entry VM.
	AcceptedRevision func() uint64
	// Client is used for calls to other entry VMs.
	Client *http.Client
	// ProbeClient is used for probes of upstreams.
	ProbeClient *http.Client
	// BroadcastAnnouncements relays announcements to every entry VM instead of
	// only to the dispatcher of the cell.
	BroadcastAnnouncements bool
	// OnAnnounce, if set, is called with all announcements, direct or relayed.
	OnAnnounce func([]*clusterpb.Announcement)
	// OnCounts, if set, is called with the request counts per upstream received
	// from another entry VM.
	OnCounts func(entry string, counts []*clusterpb.UpstreamCount)
	Log      event.Logger
	// Metrics may be nil.
	Metrics tally.Scope
	// Seed seeds the random numbers of the cells.
	Seed uint64
}

// Server runs the cells assigned to this entry VM in a single event loop.
type Server struct {
	opts          Options
	startTime     time.Time
	inbox         chan message
	stopped       chan struct{}
	cells         map[configview.CellKey]*cell
	ticketHolders ticketHolders
	relay         *relay
	metrics       metrics
	// heldCells is the set of cells held here, for other goroutines to read.
	heldCells atomic.Pointer[map[configview.CellKey]bool]
	wg        conc.WaitGroup
}

// message is an input of the event loop.
type message struct {
	key   configview.CellKey
	epoch uint64
	event dispatch.Event
	// reply receives the result of an Acquire; for other events it receives an
	// empty result if the event reached its cell and is closed otherwise. It is
	// buffered, so that sending does not block.
	reply chan<- AcquireResult
	// view is the new configuration, if it has changed.
	view *configview.View
	// inspect, if set, is called in the event loop.
	inspect func()
}

// AcquireResult is the result of a request for a slot: Grant is set if Granted is
// true, and Refuse otherwise. Epoch is that of the cell.
type AcquireResult struct {
	Granted bool
	Epoch   uint64
	Grant   dispatch.Grant
	Refuse  dispatch.Refuse
}

// cell is a cell held here, together with the requests that wait for a result.
type cell struct {
	key   configview.CellKey
	epoch uint64
	// revision is the configuration revision that assigned the cell, and accepted
	// is set once that revision is known to be accepted.
	revision uint64
	accepted bool
	// assigned caches whether checkedView assigns the cell to this process.
	checkedView *configview.View
	assigned    bool
	state       *dispatch.Cell
	// probePath is the URL path of probes.
	probePath      string
	pendingReplies map[dispatch.RequestKey]chan<- AcquireResult
}

// New returns a server that does nothing before Run is called.
func New(opts Options) *Server {
	if opts.AcceptedRevision == nil {
		opts.AcceptedRevision = func() uint64 { return math.MaxUint64 }
	}
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.ProbeClient == nil {
		opts.ProbeClient = http.DefaultClient
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	s := &Server{
		opts:          opts,
		startTime:     time.Now(),
		inbox:         make(chan message, inboxSize),
		stopped:       make(chan struct{}),
		cells:         make(map[configview.CellKey]*cell),
		ticketHolders: newTicketHolders(),
		metrics:       newMetrics(opts.Metrics),
	}
	s.relay = newRelay(opts)
	return s
}

// Handler returns the HTTP handler of the Twirp service Dispatch.
func (s *Server) Handler() http.Handler {
	return clusterpb.NewDispatchServer(&service{s})
}

// Run runs the event loop until ctx ends. Requests still in the queues of cells
// are then refused.
func (s *Server) Run(ctx context.Context) {
	defer s.wg.Wait()
	s.wg.Go(func() { s.relay.run(ctx) })
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer s.closeAll()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.inbox:
			s.handle(m)
		case <-tick.C:
			s.tick()
		}
	}
}

// OnConfig starts and stops cells as assigned by the new configuration v.
func (s *Server) OnConfig(v *configview.View) {
	s.post(message{view: v})
	s.relay.onConfig(v)
}

// Acquire asks a cell held here for a slot and waits for the result. When ctx
// ends first, the request is cancelled and refused with fault.DeadlineTooShort.
// It is refused with fault.NoDispatcher when the cell is not held here at epoch
// or a newer one.
func (s *Server) Acquire(ctx context.Context, key configview.CellKey, epoch uint64, ev dispatch.Acquire) AcquireResult {
	reply := make(chan AcquireResult, 1)
	if !s.post(message{key: key, epoch: epoch, event: ev, reply: reply}) {
		return refusal(ev.Key, fault.NoDispatcher)
	}
	select {
	case a := <-reply:
		return a
	case <-s.stopped:
		return refusal(ev.Key, fault.NoDispatcher)
	case <-ctx.Done():
		s.post(message{key: key, event: dispatch.Cancel{Key: ev.Key}})
		return refusal(ev.Key, fault.DeadlineTooShort)
	}
}

// Release ends a ticket of a cell. It reports false when the cell is not held
// here.
func (s *Server) Release(key configview.CellKey, ev dispatch.Release) bool {
	held := s.heldCells.Load()
	if held == nil || !(*held)[key] {
		return false
	}
	return s.post(message{key: key, event: ev})
}

// Now returns the time since the server was created. Deadlines of events are
// given on this clock.
func (s *Server) Now() time.Duration { return time.Since(s.startTime) }

// SinceStart converts t to the clock of Now.
func (s *Server) SinceStart(t time.Time) time.Duration { return t.Sub(s.startTime) }

// Status returns the state of the upstreams of each cell held here. It returns
// nil when ctx or the server ends first.
func (s *Server) Status(ctx context.Context) map[configview.CellKey][]dispatch.UpstreamStatus {
	return inspectCells(ctx, s, (*dispatch.Cell).Upstreams)
}

// Queued returns the number of requests in the queue of each cell held here. It
// returns nil when ctx or the server ends first.
func (s *Server) Queued(ctx context.Context) map[configview.CellKey]int {
	return inspectCells(ctx, s, (*dispatch.Cell).Queued)
}

// inspectCells calls f for each cell in the event loop and returns the results.
func inspectCells[T any](ctx context.Context, s *Server, f func(*dispatch.Cell) T) map[configview.CellKey]T {
	done := make(chan map[configview.CellKey]T, 1)
	s.post(message{inspect: func() {
		all := make(map[configview.CellKey]T, len(s.cells))
		for key, c := range s.cells {
			all[key] = f(c.state)
		}
		done <- all
	}})
	select {
	case all := <-done:
		return all
	case <-ctx.Done():
	case <-s.stopped:
	}
	return nil
}

func refusal(k dispatch.RequestKey, kind fault.Kind) AcquireResult {
	return AcquireResult{Refuse: dispatch.Refuse{Key: k, Kind: kind}}
}

// post sends m to the event loop. It reports false when the loop has ended.
func (s *Server) post(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	}
}
