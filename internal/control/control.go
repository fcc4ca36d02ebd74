// Package control is the daemon on control VMs: it serves operators and entry
// VMs, and, on the leader, grants leases, follows acceptance and assigns cells.
//
// One goroutine, the loop, owns all state; requests reach it as events.
package control

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
)

// Options configures a Server.
type Options struct {
	// Replica is the local replica. It may be set later by SetReplica, since a
	// replica needs the state machine first.
	Replica Replica
	// Client carries calls to the leader; nil means http.DefaultClient.
	Client *http.Client
	// Operator returns the authenticated operator of a call, or "" when keys
	// are off; nil means that they are off.
	Operator func(ctx context.Context) string
	Log      event.Logger
}

// Server is the control daemon apart from its listeners and its replica.
type Server struct {
	opts    Options
	catalog *catalog.Catalog
	machine *machine
	start   time.Time
	events  chan any
	done    chan struct{}
}

// eventBacklog bounds the events that wait for the loop.
const eventBacklog = 256

// New returns a server. Run must be called for it to answer.
func New(opts Options) *Server {
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.Operator == nil {
		opts.Operator = func(context.Context) string { return "" }
	}
	cat := catalog.New()
	return &Server{
		opts:    opts,
		catalog: cat,
		machine: &machine{catalog: cat, changed: make(chan struct{}, 1)},
		start:   time.Now(),
		events:  make(chan any, eventBacklog),
		done:    make(chan struct{}),
	}
}

// SetReplica sets the replica. It must be called before Run and before the
// handlers serve.
func (s *Server) SetReplica(r Replica) { s.opts.Replica = r }

// Config returns the newest committed configuration that this VM knows of.
func (s *Server) Config() *catalogpb.Config { return s.catalog.Config() }

// StateMachine returns the state machine that the replica drives.
func (s *Server) StateMachine() StateMachine { return s.machine }

// AdminHandler serves operators.
func (s *Server) AdminHandler() http.Handler {
	return adminpb.NewAdminServer(&admin{server: s})
}

// PeerAdminHandler serves operators' calls that another control VM passes on,
// with the operator that it authenticated. It must be reachable for control
// VMs only.
func (s *Server) PeerAdminHandler() http.Handler {
	return withForwarded(adminpb.NewAdminServer(&admin{server: s}))
}

// DistributionHandler serves entry VMs.
func (s *Server) DistributionHandler() http.Handler {
	return withoutDate(clusterpb.NewDistributionServer(&distribution{server: s}))
}

// withoutDate leaves the Date header out of answers: entry VMs do not use the
// time of day, and it would be a third of a usual answer.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}

// Run executes the loop until ctx ends. It is called once.
func (s *Server) Run(ctx context.Context) {
	defer close(s.done)
	var workers conc.WaitGroup
	defer workers.Wait()
	l := newLoop(ctx, s, &workers)
	l.run(ctx)
}

// now returns the reading of the server's monotonic clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// at converts a time that carries a monotonic reading.
func (s *Server) at(t time.Time) time.Duration { return t.Sub(s.start) }

// post hands an event to the loop. It reports false when the loop has ended or
// ctx ends first.
func (s *Server) post(ctx context.Context, ev any) bool {
	select {
	case s.events <- ev:
		return true
	case <-ctx.Done():
	case <-s.done:
	}
	return false
}
