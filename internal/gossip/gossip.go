// Package gossip replicates crash reports, which say that a request crashed an
// upstream, between entry VMs.
//
// A new report is pushed to the other entry VMs at once: to all of them, or to a
// few that forward it (Options.Fanout). In addition each
// entry VM that holds reports, or has just started, compares a hash of its
// reports with that of one other entry VM at a fixed interval, and exchanges
// the reports if the hashes differ. This makes up for lost pushes and brings
// entry VMs that have just started up to date.
package gossip

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/wait"
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
	// maxPending limits the reports that wait for one other entry VM. Older ones
	// reach it only by comparison.
	maxPending = 1024
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
	// Fanout is the number of other entry VMs that reports are pushed to, which
	// forward them; 0 means all, without forwarding.
	Fanout int
	// Reachable reports whether an entry VM is known to respond; nil means that all
	// do. With a Fanout, reports are pushed to others instead of those that do not.
	Reachable func(id string) bool
}

// queuedReport is a report that has not been pushed yet.
type queuedReport struct {
	report    *clusterpb.CrashReport
	createdAt time.Duration
}

// member is another entry VM of the configuration.
type member struct{ id, address string }

// Service holds the crash reports that this entry VM knows of and replicates
// them. Its methods are safe for concurrent use.
type Service struct {
	opts Options
	// origin identifies this start of the process in its reports.
	origin    string
	startedAt time.Time
	sequence  atomic.Uint64
	// gotAnswer is set once another entry VM has answered since the start. Only
	// the goroutine of Run uses it.
	gotAnswer bool

	// slots bounds the pushes in flight.
	slots chan struct{}

	mu sync.Mutex
	// running ends with Run.
	running context.Context
	// members holds the other entry VMs in the order of their IDs, peers those that
	// the last reports were pushed to.
	members []member
	peers   []*peer
	// avoidUntil holds the VMs, by address, that did not answer.
	avoidUntil map[string]time.Duration
	// changed is closed and replaced when a report is added.
	changed     chan struct{}
	detector    *quarantine.Detector
	completions quarantine.Completions
	// convictions holds those of the configuration.
	convictions []*catalogpb.Conviction
	// heldOffUntil holds the requests whose quarantine has been logged.
	heldOffUntil map[quarantine.Request]time.Duration
}

// New returns a Service that knows of no crashes.
func New(opts Options) *Service {
	return &Service{
		opts:      opts,
		origin:    claim.ProcessName(opts.EntryID, opts.Incarnation),
		startedAt: time.Now(),
		slots:     make(chan struct{}, maxConcurrentPushes),
		running:   context.Background(),
		changed:   make(chan struct{}),
		detector:  quarantine.New(opts.Limits),

		avoidUntil:   make(map[string]time.Duration),
		heldOffUntil: make(map[quarantine.Request]time.Duration),
	}
}

// Handler serves the exchange of reports with other entry VMs.
func (s *Service) Handler() http.Handler { return clusterpb.NewGossipServer(s) }

// OnConfig sets the other entry VMs and the convictions from a configuration.
func (s *Service) OnConfig(v *configview.View) {
	members := make([]member, 0, len(v.Config.Entries))
	for _, e := range v.Config.Entries {
		if e.Id != s.opts.EntryID {
			members = append(members, member{e.Id, "http://" + e.ClusterAddress})
		}
	}
	slices.SortFunc(members, func(a, b member) int { return compareIDs(a.id, b.id) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = members
	s.setConvictions(v.Config.Convictions)
}

// Judge decides on a request.
func (s *Service) Judge(sig quarantine.Signature) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	v := s.detector.Judge(now, sig, &s.completions)
	if v.State == quarantine.Quarantined {
		s.logHeldOff(now, v)
	}
	return Decision{State: v.State, By: v.By, Left: v.Left, TrialIn: max(0, v.TrialAt-now), Changed: s.changed}
}

// Decision is the decision on a request.
type Decision struct {
	State quarantine.State
	// By is the fingerprint that makes the request suspect or quarantined.
	By quarantine.Request
	// Left is the time for which a quarantined request stays so.
	Left time.Duration
	// TrialIn is the time after which the next trial of a suspect request may be sent.
	TrialIn time.Duration
	// Changed is closed once a report has arrived that may change the decision.
	Changed <-chan struct{}
}

// Refusal returns an error of kind Quarantined, with the remaining time, if the
// request is quarantined, and nil otherwise.
func (d Decision) Refusal() *fault.Error {
	if d.State != quarantine.Quarantined {
		return nil
	}
	return fault.NewRetryable(fault.Quarantined, d.Left, "request %s of service %s", d.By.Fingerprint, d.By.Service)
}

// Crashed records and replicates that the connection to an upstream broke with
// the request in flight, and returns the report; trial says that the request was sent
// as a trial. General fingerprints of which other requests have recently completed
// here are left out.
func (s *Service) Crashed(sig quarantine.Signature, c quarantine.Crash, trial bool) *clusterpb.CrashReport {
	s.mu.Lock()
	general := s.completions.Uncompleted(s.now(), sig)
	s.completions.RecordCrash(sig)
	s.mu.Unlock()
	return s.mergeAndPush(&clusterpb.CrashReport{
		Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: general, Trial: trial,
		Upstream: c.Upstream, Incarnation: c.Incarnation,
	})
}

// UpstreamGone records and replicates that an upstream has ended, while no request was
// in flight there from here, if that can matter for a decision and is not known yet.
func (s *Service) UpstreamGone(service string, c quarantine.Crash) {
	s.mu.Lock()
	matters := s.detector.AtStake(s.now(), service) && !s.detector.Knows(service, c)
	s.mu.Unlock()
	if matters {
		s.mergeAndPush(&clusterpb.CrashReport{Service: service, Upstream: c.Upstream, Incarnation: c.Incarnation})
	}
}

// Completed clears the suspicion against a request that an upstream has
// answered, and against its variants. It returns the report of that, or nil if no
// crash counts against the request.
func (s *Service) Completed(sig quarantine.Signature) *clusterpb.CrashReport {
	s.mu.Lock()
	now := s.now()
	s.completions.Record(now, sig)
	involved := s.detector.Involved(now, sig)
	s.mu.Unlock()
	if !involved {
		return nil
	}
	return s.Release(sig)
}

// Release cancels the crash reports about a request, and about its variants if the
// signature has general fingerprints, on all entry VMs.
func (s *Service) Release(sig quarantine.Signature) *clusterpb.CrashReport {
	return s.mergeAndPush(&clusterpb.CrashReport{Service: sig.Service, Fingerprint: sig.Exact, GeneralFingerprints: sig.General, Released: true})
}

// Quarantined returns the requests that are quarantined.
func (s *Service) Quarantined() []quarantine.QuarantinedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return s.detector.Snapshot(now).Quarantined(now)
}

// mergeAndPush adds a report of this entry VM and pushes it.
func (s *Service) mergeAndPush(r *clusterpb.CrashReport) *clusterpb.CrashReport {
	r.Entry = s.origin
	r.Sequence = s.sequence.Add(1)
	s.merge([]*clusterpb.CrashReport{r})
	s.push([]queuedReport{{r, s.now()}})
	return r
}

// Merge adds reports of other entry VMs. With a Fanout it forwards those that are new.
func (s *Service) Merge(reports []*clusterpb.CrashReport) {
	added := s.merge(reports)
	if s.opts.Fanout == 0 || len(added) == 0 {
		return
	}
	now := s.now()
	forwarded := make([]queuedReport, 0, len(added))
	for _, r := range added {
		forwarded = append(forwarded, queuedReport{r, now - time.Duration(r.AgeMs)*time.Millisecond})
	}
	s.push(forwarded)
}

// merge adds reports and returns those that were new.
func (s *Service) merge(reports []*clusterpb.CrashReport) []*clusterpb.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	added := s.detector.Merge(now, reports)
	for _, r := range added {
		s.logDetection(now, r)
	}
	if len(added) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return added
}

// ReportsAbout returns the newest known reports about a request.
func (s *Service) ReportsAbout(r quarantine.Request) []*clusterpb.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.ReportsAbout(s.now(), r, maxReportsAbout)
}

// maxReportsAbout limits the reports about one request in a message, to about 6 kB.
const maxReportsAbout = 32

// logDetection logs a new report that was made here. The caller holds mu.
func (s *Service) logDetection(now time.Duration, r *clusterpb.CrashReport) {
	if r.Released || r.Fingerprint == "" || r.Entry != s.origin {
		return
	}
	by := quarantine.Request{Service: r.Service, Fingerprint: r.Fingerprint}
	s.logEvidence(event.RequestSuspect, now, by).Str("upstream", r.Upstream).Bool("trial", r.Trial).Send()
}

// logHeldOff logs that requests are quarantined, once for each fingerprint while that
// lasts. The caller holds mu.
func (s *Service) logHeldOff(now time.Duration, v quarantine.Verdict) {
	if now < s.heldOffUntil[v.By] {
		return
	}
	maps.DeleteFunc(s.heldOffUntil, func(_ quarantine.Request, until time.Duration) bool { return now >= until })
	s.heldOffUntil[v.By] = now + v.Left
	s.logEvidence(event.RequestHeldOff, now, v.By).Uint64("left_ms", uint64(v.Left.Milliseconds())).Send()
}

// logEvidence begins a log line with the evidence against a request.
func (s *Service) logEvidence(e event.Event, now time.Duration, r quarantine.Request) *event.Line {
	evidence := s.detector.Evidence(now, r)
	return s.opts.Logger.Log(e).Str("service", r.Service).Str("fingerprint", r.Fingerprint).
		Uint64("crashes", uint64(evidence.Crashes)).Uint64("trials", uint64(evidence.Trials)).
		Bool("isolated", evidence.Isolated).Uint64("variants", uint64(evidence.Variants)).Bool("recorded", evidence.Recorded)
}

// now returns the time since New.
func (s *Service) now() time.Duration { return time.Since(s.startedAt) }

// Run compares reports with other entry VMs, and lets reports be pushed, until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.running = ctx
	s.mu.Unlock()
	wait.Every(ctx, compareInterval, func() { s.compareWithRandomPeer(ctx) })
}

// compareIDs orders entry VMs in the same way everywhere.
func compareIDs(a, b string) int { return cmp.Compare(a, b) }
