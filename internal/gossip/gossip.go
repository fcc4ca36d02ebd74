// Package gossip replicates crash reports, which say that a request crashed an
// upstream, between entry VMs.
//
// A new report is pushed to every other entry VM at once. In addition each
// entry VM that holds reports, or has just started, compares a hash of its
// reports with that of one other entry VM at a fixed interval, and exchanges
// the reports if the hashes differ. This makes up for lost pushes and brings
// entry VMs that have just started up to date.
package gossip

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

const (
	// compareInterval is the time between two comparisons with other entry VMs.
	compareInterval = time.Second
	// maxConcurrentPushes is the maximum number of pushes in flight.
	maxConcurrentPushes = 32
	// callTimeout is the timeout of one call.
	callTimeout = 500 * time.Millisecond
	// flushPollInterval is the interval at which Flush checks whether the
	// pushes are complete.
	flushPollInterval = 2 * time.Millisecond
	// queueSize is the capacity of the queue of reports to push. Reports that
	// do not fit reach other entry VMs only by comparison.
	queueSize = 1024
)

// Options configures a Service.
type Options struct {
	EntryID string
	// Incarnation distinguishes the reports of one start of the process from
	// those of another.
	Incarnation uint64
	// Client makes the calls to other entry VMs.
	Client *http.Client
	Limits quarantine.Limits
	Logger event.Logger
}

// queuedReport is a report that has not been pushed yet.
type queuedReport struct {
	report    *clusterpb.CrashReport
	createdAt time.Duration
}

// Service holds the crash reports that this entry VM knows of and replicates
// them. Its methods are safe for concurrent use.
type Service struct {
	opts Options
	// origin identifies this start of the process in its reports.
	origin    string
	startedAt time.Time
	sequence  atomic.Uint64
	// lastPushed is the sequence number of the last report in the newest
	// complete push.
	lastPushed atomic.Uint64
	queue      chan queuedReport
	peers      atomic.Pointer[[]string]
	// gotAnswer is set once another entry VM has answered since the start. Only
	// the goroutine of Run uses it.
	gotAnswer bool

	mu       sync.Mutex
	detector *quarantine.Detector
}

// New returns a Service that knows of no crashes.
func New(opts Options) *Service {
	s := &Service{
		opts:      opts,
		origin:    claim.ProcessName(opts.EntryID, opts.Incarnation),
		startedAt: time.Now(),
		queue:     make(chan queuedReport, queueSize),
		detector:  quarantine.New(opts.Limits),
	}
	s.peers.Store(&[]string{})
	return s
}

// Handler serves the exchange of reports with other entry VMs.
func (s *Service) Handler() http.Handler { return clusterpb.NewGossipServer(s) }

// OnConfig sets the addresses of the other entry VMs from a configuration.
func (s *Service) OnConfig(v *configview.View) {
	peers := make([]string, 0, len(v.Config.Entries))
	for _, e := range v.Config.Entries {
		if e.Id != s.opts.EntryID {
			peers = append(peers, "http://"+e.ClusterAddress)
		}
	}
	s.peers.Store(&peers)
}

// Blocked returns an error of kind Quarantined, with the remaining time, if the
// request is quarantined, and nil otherwise.
func (s *Service) Blocked(r quarantine.Request) *fault.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, ok := s.detector.Blocked(s.now(), r)
	if !ok {
		return nil
	}
	return fault.NewRetryable(fault.Quarantined, left, "request %s of service %s", r.Fingerprint, r.Service)
}

// Suspect reports whether the request may have crashed an upstream. At most one
// attempt at such a request should run at a time.
func (s *Service) Suspect(r quarantine.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Suspect(s.now(), r)
}

// Crashed records and replicates that the connection to an upstream broke with
// the request in flight.
func (s *Service) Crashed(r quarantine.Request, c quarantine.Crash) {
	s.mergeAndQueue(&clusterpb.CrashReport{Service: r.Service, Fingerprint: r.Fingerprint, Upstream: c.Upstream, Incarnation: c.Incarnation})
}

// Completed clears the suspicion against a request that an upstream has
// answered. It does nothing for requests that are not suspect.
func (s *Service) Completed(r quarantine.Request) {
	if s.Suspect(r) {
		s.Release(r)
	}
}

// Release cancels the crash reports about a request on all entry VMs.
func (s *Service) Release(r quarantine.Request) {
	s.mergeAndQueue(&clusterpb.CrashReport{Service: r.Service, Fingerprint: r.Fingerprint, Released: true})
}

// Quarantined returns the requests that are quarantined.
func (s *Service) Quarantined() []quarantine.QuarantinedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return s.detector.Snapshot(now).Quarantined(now)
}

func (s *Service) mergeAndQueue(r *clusterpb.CrashReport) {
	r.Entry = s.origin
	r.Sequence = s.sequence.Add(1)
	s.merge([]*clusterpb.CrashReport{r})
	select {
	case s.queue <- queuedReport{r, s.now()}:
	default:
	}
}

func (s *Service) merge(reports []*clusterpb.CrashReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, r := range s.detector.Merge(now, reports) {
		s.logDetection(now, r)
	}
}

// logDetection logs a new report if it was made here or its request is
// quarantined. The caller holds mu.
func (s *Service) logDetection(now time.Duration, r *clusterpb.CrashReport) {
	if r.Released {
		return
	}
	e := event.RequestSuspect
	if _, blocked := s.detector.Blocked(now, quarantine.Request{Service: r.Service, Fingerprint: r.Fingerprint}); blocked {
		e = event.RequestHeldOff
	} else if r.Entry != s.origin {
		return
	}
	evidence := s.detector.Evidence(now, quarantine.Request{Service: r.Service, Fingerprint: r.Fingerprint})
	s.opts.Logger.Log(e).Str("service", r.Service).Str("fingerprint", r.Fingerprint).Str("upstream", r.Upstream).
		Uint64("crashes", uint64(evidence.Crashes)).Uint64("coincident", uint64(evidence.Coincident)).
		Uint64("attributed", uint64(evidence.Attributed)).Send()
}

// now returns the time since New.
func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// Run pushes new reports and compares reports with other entry VMs until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-s.queue:
			batch := s.collectBatch(first)
			s.pushToAll(ctx, batch)
			s.lastPushed.Store(batch[len(batch)-1].Sequence)
		case <-ticker.C:
			s.compareWithRandomPeer(ctx)
		}
	}
}

// Flush waits until the push of all reports made so far is complete; entry VMs
// that do not answer are not waited for beyond the timeout of a call. It
// returns the error of ctx if ctx ends first. Run must be running.
func (s *Service) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for last := s.sequence.Load(); s.lastPushed.Load() < last; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
