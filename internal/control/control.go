// Package control implements the control server. It serves operators and entry
// VMs; the leader also grants leases, tracks which revisions are accepted, and
// assigns cells to entry VMs.
//
// A revision is accepted once no entry VM can admit work under an older
// configuration.
//
// A single goroutine, the event loop, owns all mutable state. Requests reach it
// as events.
package control

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/boottime"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// Options configures a Server.
type Options struct {
	// Replica is the local replica. It may be set later with SetReplica,
	// because a replica can only be created once the state machine exists.
	Replica Replica
	// Client is used for calls to the leader and to entry VMs; nil means
	// http.DefaultClient.
	Client *http.Client
	// Operator returns the authenticated operator of a call, or "" if
	// authentication is disabled; nil means that it is disabled.
	Operator func(ctx context.Context) string
	// Rollout configures roll-outs.
	Rollout settings.Rollout
	// MaxUpstreams is the number of recorded upstreams from which announcements of new ones
	// are refused; 0 means that it is not bounded.
	MaxUpstreams int
	Log          event.Logger
	// Metrics are those of the event loop; nil means that none are recorded.
	Metrics *telemetry.ControlLoopMetrics
}

// Server is the control server, without its listeners and its replica.
type Server struct {
	opts         Options
	catalog      *catalog.Catalog
	history      *history
	stateMachine *stateMachine
	start        time.Time
	// bootTime reads a clock that also runs while the VM is suspended.
	bootTime  func() time.Duration
	events    chan queuedEvent
	done      chan struct{}
	states    stateProposals
	arrivals  arrivals
	answers   answers
	encodings encodings
}

// queuedEvent is an event for the loop.
type queuedEvent struct {
	event    any
	postedAt time.Duration
}

// eventQueueSize is the capacity of the queue of the event loop.
const eventQueueSize = 256

// New returns a server, which answers calls only while Run executes.
func New(opts Options) *Server {
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.Operator == nil {
		opts.Operator = func(context.Context) string { return "" }
	}
	if opts.Metrics == nil {
		opts.Metrics = telemetry.NewControlLoopMetrics(tally.NoopScope)
	}
	cat := catalog.New()
	s := &Server{
		opts:     opts,
		catalog:  cat,
		history:  &history{},
		start:    time.Now(),
		bootTime: boottime.Now,
		events:   make(chan queuedEvent, eventQueueSize),
		done:     make(chan struct{}),
	}
	s.stateMachine = &stateMachine{catalog: cat, history: s.history, now: s.now, changed: make(chan struct{}, 1)}
	return s
}

// SetReplica sets the replica. It must be called before Run and before the
// handlers are served.
func (s *Server) SetReplica(r Replica) { s.opts.Replica = r }

// Config returns the newest committed configuration that this VM has applied.
func (s *Server) Config() *catalogpb.Config { return s.catalog.Config() }

// StateMachine returns the state machine to which the replica applies committed
// commands.
func (s *Server) StateMachine() StateMachine { return s.stateMachine }

// AdminHandler returns the handler of the Admin service for operators.
func (s *Server) AdminHandler() http.Handler {
	return adminpb.NewAdminServer(&admin{server: s})
}

// PeerAdminHandler returns the handler of Admin calls that another control VM
// forwards. It trusts the operator named in the headers, so it must be
// reachable by control VMs only.
func (s *Server) PeerAdminHandler() http.Handler {
	return withForwardedCall(adminpb.NewAdminServer(&admin{server: s}))
}

// DistributionHandler returns the handler of the Distribution service for entry
// VMs.
func (s *Server) DistributionHandler() http.Handler {
	return withoutDate(s.answers.wrap(clusterpb.NewDistributionServer(&distribution{server: s})))
}

// withoutDate omits the Date header from responses. Entry VMs do not use it,
// and it would make up a third of a typical response.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Run executes the event loop until ctx ends. It must be called only once.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	var workers conc.WaitGroup
	defer s.states.workers.Wait()
	defer workers.Wait()
	crash.Go(&workers, func() { s.sampleArrivals(ctx) })
	l := newLoop(ctx, s, &workers)
	l.run(ctx)
}

// now returns the time since the server was created, by the monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// monotonic converts t, which must carry a monotonic reading, to the clock of
// now.
func (s *Server) monotonic(t time.Time) time.Duration { return t.Sub(s.start) }

// post sends an event to the loop. It reports false if the loop has stopped or
// ctx ends first.
func (s *Server) post(ctx context.Context, ev any) bool {
	select {
	case s.events <- queuedEvent{ev, s.now()}:
		return true
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}
