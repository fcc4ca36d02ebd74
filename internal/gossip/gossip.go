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

	mu          sync.Mutex
	detector    *quarantine.Detector
	completions quarantine.Completions
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
func (s *Service) Blocked(sig quarantine.Signature) *fault.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	by, left, ok := s.detector.Blocked(s.now(), sig)
	if !ok {
		return nil
	}
	return fault.NewRetryable(fault.Quarantined, left, "request %s of service %s", by.Fingerprint, by.Service)
}

// Suspect reports whether the request may have crashed an upstream, and by which
// fingerprint. At most one attempt of the requests with that fingerprint should
// run at a time.
func (s *Service) Suspect(sig quarantine.Signature) (by quarantine.Request, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Suspect(s.now(), sig)
}

// Crashed records and replicates that the connection to an upstream broke with
// the request in flight. General fingerprints of which other requests have recently
// completed here are left out.
func (s *Service) Crashed(sig quarantine.Signature, c quarantine.Crash) {
	s.mu.Lock()
	now := s.now()
	general, completed := s.completions.Uncompleted(now, sig), s.completions.Completed(now, sig)
	s.mu.Unlock()
	s.mergeAndQueue(&clusterpb.CrashReport{
		Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: general, RecentlyCompleted: completed,
		Upstream: c.Upstream, Incarnation: c.Incarnation,
	})
}

// Completed clears the suspicion against a request that an upstream has
// answered, and against its variants. It sends nothing for requests without a
// crash that counts.
func (s *Service) Completed(sig quarantine.Signature) {
	s.mu.Lock()
	now := s.now()
	s.completions.Record(now, sig)
	involved := s.detector.Involved(now, sig)
	s.mu.Unlock()
	if involved {
		s.Release(sig)
	}
}

// Release cancels the crash reports about a request, and about its variants if the
// signature has general fingerprints, on all entry VMs.
func (s *Service) Release(sig quarantine.Signature) {
	s.mergeAndQueue(&clusterpb.CrashReport{Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: sig.General, Released: true})
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
	now := s.now()
	var cleared []quarantine.Signature
	for _, r := range s.detector.Merge(now, reports) {
		s.logDetection(now, r)
		if sig, ok := s.completedHere(now, r); ok {
			cleared = append(cleared, sig)
		}
	}
	s.mu.Unlock()
	for _, sig := range cleared {
		s.opts.Logger.Log(event.RequestCleared).Str("service", sig.Service).Str("fingerprint", sig.General[0]).Send()
		s.Release(sig)
	}
}

// completedHere returns the general fingerprints of a report that are quarantined
// although requests with them have recently completed here. The entry VM that made
// the report may not have had any of these. The caller holds mu.
func (s *Service) completedHere(now time.Duration, r *clusterpb.CrashReport) (quarantine.Signature, bool) {
	if r.Released || len(r.GeneralFingerprints) == 0 {
		return quarantine.Signature{}, false
	}
	sig := quarantine.Signature{Service: r.Service, General: r.GeneralFingerprints}
	sig.General = sig.General[len(s.completions.Uncompleted(now, sig)):]
	_, _, blocked := s.detector.Blocked(now, sig)
	return sig, blocked
}

// logDetection logs a new report if it was made here or its request is
// quarantined. The caller holds mu.
func (s *Service) logDetection(now time.Duration, r *clusterpb.CrashReport) {
	if r.Released {
		return
	}
	e := event.RequestHeldOff
	by, _, blocked := s.detector.Blocked(now, quarantine.SignatureOf(r))
	if !blocked && r.Entry != s.origin {
		return
	}
	if !blocked {
		e, by = event.RequestSuspect, quarantine.Request{Service: r.Service, Fingerprint: r.Fingerprint}
	}
	evidence := s.detector.Evidence(now, by)
	s.opts.Logger.Log(e).Str("service", r.Service).Str("fingerprint", r.Fingerprint).Str("by", by.Fingerprint).Str("upstream", r.Upstream).
		Uint64("crashes", uint64(evidence.Crashes)).Uint64("coincident", uint64(evidence.Coincident)).
		Uint64("attributed", uint64(evidence.Attributed)).Uint64("variants", uint64(evidence.Variants)).Send()
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
