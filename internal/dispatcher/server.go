// Package dispatcher runs the cells that this entry VM dispatches, and relays
// announcements of upstreams to the dispatchers of other cells.
package dispatcher

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	tickEvery = 10 * time.Millisecond
	// inboxSize bounds the messages that wait for the event loop.
	inboxSize = 4096
)

// Options configures a Server.
type Options struct {
	// Entry is the id of this entry VM.
	Entry string
	// Incarnation is that of this process.
	Incarnation uint64
	// View provides the configuration in force.
	View view.Source
	// AcceptedRevision returns the newest revision known to be accepted: no entry VM
	// admits work on an older one any more. Nil counts every revision as
	// accepted, which is right only for a single entry VM.
	AcceptedRevision func() uint64
	// Client calls other entry VMs.
	Client *http.Client
	// ProbeClient probes upstreams.
	ProbeClient *http.Client
	// BroadcastAnnouncements relays announcements to every entry VM instead of only to the
	// dispatcher of the cell.
	BroadcastAnnouncements bool
	// OnAnnounce, when set, receives every announcement that arrives here.
	OnAnnounce func([]*clusterpb.Announcement)
	// OnCounts, when set, receives the counts that other entry VMs share.
	OnCounts func(entry string, counts []*clusterpb.UpstreamCount)
	Log      event.Logger
	// Metrics may be nil.
	Metrics tally.Scope
	Seed    uint64
}

// Server owns the cells assigned to this entry VM. One goroutine runs them.
type Server struct {
	opts    Options
	start   time.Time
	inbox   chan message
	stopped chan struct{}
	cells   map[view.CellKey]*cell
	holders holders
	relay   *relay
	metrics metrics
	// holding is the set of cells held here, for reading by other goroutines.
	holding atomic.Pointer[map[view.CellKey]bool]
	wg      conc.WaitGroup
}

// message is an input of the event loop.
type message struct {
	key   view.CellKey
	epoch uint64
	event dispatch.Event
	// reply receives the answer to an Acquire, and an empty one to an event
	// that reached its cell. It has room for it.
	reply chan<- AcquireResult
	// view is set when the configuration has changed.
	view *view.View
	// inspect runs in the event loop.
	inspect func()
}

// AcquireResult is the answer to a request for a slot.
type AcquireResult struct {
	Granted bool
	Epoch   uint64
	Grant   dispatch.Grant
	Refuse  dispatch.Refuse
}

// cell is a cell together with those who wait for its answers.
type cell struct {
	key      view.CellKey
	epoch    uint64
	revision uint64
	accepted bool
	// checked is the last view in which the assignment was looked up.
	checked *view.View
	held    bool
	state   *dispatch.Cell
	// probing is the path that probes request.
	probing string
	waiting map[dispatch.RequestKey]chan<- AcquireResult
}

// New returns a server; Run starts it.
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
		opts:    opts,
		start:   time.Now(),
		inbox:   make(chan message, inboxSize),
		stopped: make(chan struct{}),
		cells:   make(map[view.CellKey]*cell),
		holders: newHolders(),
		metrics: newMetrics(opts.Metrics),
	}
	s.relay = newRelay(opts)
	return s
}

// Handler serves the Twirp service Dispatch.
func (s *Server) Handler() http.Handler {
	return clusterpb.NewDispatchServer(&service{s})
}

// Run runs the event loop until ctx ends. Waiting requests are then refused.
func (s *Server) Run(ctx context.Context) {
	defer s.wg.Wait()
	s.wg.Go(func() { s.relay.run(ctx) })
	tick := time.NewTicker(tickEvery)
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

// OnConfig takes over or gives up cells according to v.
func (s *Server) OnConfig(v *view.View) {
	s.post(message{view: v})
	s.relay.onConfig(v)
}

// Acquire asks a cell held here for a slot and waits for the answer. When ctx
// ends first, the request is withdrawn.
func (s *Server) Acquire(ctx context.Context, key view.CellKey, epoch uint64, ev dispatch.Acquire) AcquireResult {
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

// Release ends a ticket of a cell held here. It reports false when the cell is
// not held here.
func (s *Server) Release(key view.CellKey, ev dispatch.Release) bool {
	held := s.holding.Load()
	if held == nil || !(*held)[key] {
		return false
	}
	return s.post(message{key: key, event: ev})
}

// Now returns the time that deadlines of events refer to.
func (s *Server) Now() time.Duration { return time.Since(s.start) }

// SinceStart returns t on the scale of Now.
func (s *Server) SinceStart(t time.Time) time.Duration { return t.Sub(s.start) }

// Status describes the upstreams of the cells held here.
func (s *Server) Status(ctx context.Context) map[view.CellKey][]dispatch.UpstreamStatus {
	return inspect(ctx, s, (*dispatch.Cell).Upstreams)
}

// Queued returns the number of requests that wait at the cells held here.
func (s *Server) Queued(ctx context.Context) map[view.CellKey]int {
	return inspect(ctx, s, (*dispatch.Cell).Queued)
}

// inspect runs f on each cell in the event loop.
func inspect[T any](ctx context.Context, s *Server, f func(*dispatch.Cell) T) map[view.CellKey]T {
	done := make(chan map[view.CellKey]T, 1)
	s.post(message{inspect: func() {
		all := make(map[view.CellKey]T, len(s.cells))
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

// post hands m to the event loop; it reports false when the loop has ended.
func (s *Server) post(m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-s.stopped:
		return false
	}
}
