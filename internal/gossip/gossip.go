// Package gossip shares what entry VMs learn of crashing requests.
//
// A new report is pushed to every entry VM at once. In addition each entry VM
// that holds reports, or has just started, compares their hash with one other
// entry VM at a steady pace, and exchanges them when the hashes differ, which
// mends lost pushes and brings in entry VMs that have just started.
package gossip

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	// pace is the time between two comparisons with other entry VMs.
	pace = time.Second
	// maxPushes bounds the pushes in flight.
	maxPushes = 32
	// callTimeout bounds one call.
	callTimeout = 500 * time.Millisecond
	// flushPoll is the pace at which Flush looks for the end of a push.
	flushPoll = 2 * time.Millisecond
	// queueSize bounds the reports that wait to be pushed; the comparison
	// spreads those above it.
	queueSize = 1024
)

// Options configures a Service.
type Options struct {
	EntryID string
	// Incarnation tells the reports of one start of the process from those of
	// another.
	Incarnation uint64
	// Client makes the calls to other entry VMs.
	Client *http.Client
	Limits quarantine.Limits
	Logger event.Logger
}

// fresh is a report that has not been pushed yet.
type fresh struct {
	report *clusterpb.CrashReport
	at     time.Duration
}

// Service holds the evidence of this entry VM and shares it.
type Service struct {
	opts Options
	// origin names this start of the process in its reports.
	origin   string
	started  time.Time
	sequence atomic.Uint64
	// pushed is the newest sequence whose push has ended.
	pushed   atomic.Uint64
	queue    chan fresh
	peers    atomic.Pointer[[]string]
	verdicts atomic.Pointer[quarantine.Snapshot]
	// asked is set once another entry VM has answered since the start; only Run
	// uses it.
	asked bool

	mu    sync.Mutex
	state *quarantine.Detector
}

// New returns a Service without evidence.
func New(opts Options) *Service {
	s := &Service{
		opts:    opts,
		origin:  claim.ProcessName(opts.EntryID, opts.Incarnation),
		started: time.Now(),
		queue:   make(chan fresh, queueSize),
		state:   quarantine.New(opts.Limits),
	}
	s.peers.Store(&[]string{})
	s.show()
	return s
}

// Handler serves the exchange to other entry VMs.
func (s *Service) Handler() http.Handler { return clusterpb.NewGossipServer(s) }

// OnConfig learns the addresses of the other entry VMs.
func (s *Service) OnConfig(v *view.View) {
	peers := make([]string, 0, len(v.Config.Entries))
	for _, e := range v.Config.Entries {
		if e.Id != s.opts.EntryID {
			peers = append(peers, "http://"+e.ClusterAddress)
		}
	}
	s.peers.Store(&peers)
}

// Blocked returns the refusal for a quarantined request, or nil.
func (s *Service) Blocked(r quarantine.Request) *fault.Error {
	left, ok := s.verdicts.Load().Blocked(s.now(), r)
	if !ok {
		return nil
	}
	return fault.NewRetryable(fault.Quarantined, left, "request %s of service %s", r.Fingerprint, r.Service)
}

// Suspect reports whether at most one attempt at the request should run at a
// time.
func (s *Service) Suspect(r quarantine.Request) bool {
	return s.verdicts.Load().Suspect(s.now(), r)
}

// Crashed reports that the connection to an upstream broke with the request in
// flight.
func (s *Service) Crashed(r quarantine.Request, c quarantine.Crash) {
	s.publish(&clusterpb.CrashReport{Service: r.Service, Fingerprint: r.Fingerprint, Upstream: c.Upstream, Incarnation: c.Incarnation})
}

// Completed clears a suspect request that an upstream has answered. It is
// cheap for requests that are not suspect.
func (s *Service) Completed(r quarantine.Request) {
	if s.Suspect(r) {
		s.Release(r)
	}
}

// Release cancels the evidence against a request on all entry VMs.
func (s *Service) Release(r quarantine.Request) {
	s.publish(&clusterpb.CrashReport{Service: r.Service, Fingerprint: r.Fingerprint, Released: true})
}

// Quarantined returns the requests that are held off.
func (s *Service) Quarantined() []quarantine.QuarantinedRequest {
	return s.verdicts.Load().Quarantined(s.now())
}

func (s *Service) publish(r *clusterpb.CrashReport) {
	r.Entry = s.origin
	r.Sequence = s.sequence.Add(1)
	s.merge([]*clusterpb.CrashReport{r})
	select {
	case s.queue <- fresh{r, s.now()}:
	default:
	}
}

func (s *Service) merge(reports []*clusterpb.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, r := range s.state.Merge(now, reports) {
		s.log(now, r)
	}
	s.show()
}

// show lets calls see the verdicts. The caller holds the lock.
func (s *Service) show() {
	v := s.state.Snapshot()
	s.verdicts.Store(&v)
}

func (s *Service) log(now time.Duration, r *clusterpb.CrashReport) {
	if r.Released {
		return
	}
	e := event.RequestSuspect
	if _, held := s.state.Snapshot().Blocked(now, quarantine.Request{Service: r.Service, Fingerprint: r.Fingerprint}); held {
		e = event.RequestHeldOff
	}
	s.opts.Logger.Log(e).Str("service", r.Service).Str("fingerprint", r.Fingerprint).Str("upstream", r.Upstream).Send()
}

// now returns the time on the monotonic clock of the process.
func (s *Service) now() time.Duration { return time.Since(s.started) }

// Run pushes new reports and compares evidence until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			batch := s.gather(first)
			s.push(ctx, batch)
			s.pushed.Store(batch[len(batch)-1].Sequence)
		case <-ticker.C:
			s.compare(ctx)
		}
	}
}

// Flush waits until the reports made so far have been pushed to all entry VMs
// that answer, or ctx ends.
func (s *Service) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for last := s.sequence.Load(); s.pushed.Load() < last; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
