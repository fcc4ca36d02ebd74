// Package claims runs the claim protocol between entry VMs.
//
// Each entry VM is a member that keeps claims, and a coordinator for the
// requests that callers send to it. The decisions are those of package claim.
package claims

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
)

const (
	// tick is the pace of syncs and of forgetting expired records.
	tick = 50 * time.Millisecond
	// maxRecords is the number of records in one batch above which syncs stay
	// unanswered; they are asked again.
	maxRecords = 10000
)

// Options configures a Service.
type Options struct {
	EntryID string
	// Incarnation is the one under which the process is registered.
	Incarnation uint64
	// Client makes the calls to other entry VMs.
	Client *http.Client
	Limits claim.Limits
	// MaxKeptBytes bounds the body of one kept answer.
	MaxKeptBytes int
	// Timeout bounds the decision on a claim.
	Timeout time.Duration
	// MaxStartDelay bounds the time from the claim to the first byte sent. Half
	// of Limits.Retention bounds it as well.
	MaxStartDelay time.Duration
	// ConfigFresh reports whether the configuration in force may be used to admit
	// work; nil means always.
	ConfigFresh func() bool
	// Metrics may be nil.
	Metrics tally.Scope
}

// Service keeps claims and obtains them.
type Service struct {
	opts    Options
	self    claim.Member
	started time.Time
	number  atomic.Uint64
	scope   tally.Scope

	timeline atomic.Pointer[claim.Timeline]
	epoch    atomic.Pointer[catalogpb.ClaimEpoch]
	entries  atomic.Pointer[entries]

	mu    sync.Mutex
	store *claim.Store

	peersMu sync.Mutex
	peers   map[string]*peer

	reports atomic.Int64
	stop    chan struct{}

	// spawnMu keeps goroutines from being added while Run waits for them.
	spawnMu sync.Mutex
	stopped bool
	calls   conc.WaitGroup
}

// New returns a Service that knows no members before the first OnConfig.
func New(opts Options) *Service {
	self := claim.Member{ID: opts.EntryID, Incarnation: opts.Incarnation}
	scope := opts.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	opts.MaxStartDelay = min(opts.MaxStartDelay, opts.Limits.Retention/2)
	s := &Service{
		opts:    opts,
		self:    self,
		started: time.Now(),
		scope:   scope.SubScope("claims"),
		store:   claim.NewStore(self, opts.Limits),
		peers:   make(map[string]*peer),
		stop:    make(chan struct{}),
	}
	s.entries.Store(&entries{})
	return s
}

// Handler serves the claim protocol to other entry VMs.
func (s *Service) Handler() http.Handler { return clusterpb.NewClaimsServer(s) }

// Run syncs partitions and forgets expired records until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.shutDown()
			return
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	s.store.Expire(s.now())
	pulls := s.store.Pulls(s.now())
	s.scope.Gauge("records").Update(float64(s.store.Claims()))
	s.scope.Gauge("kept_bytes").Update(float64(s.store.AnswerBytes()))
	s.scope.Gauge("unsynced_partitions").Update(float64(s.store.Pending(s.now())))
	s.mu.Unlock()
	told := make(map[string]bool)
	for _, m := range pulls {
		if !told[m.To] {
			told[m.To] = true
			m.ClaimEpoch = s.epoch.Load()
		}
		s.send(m, s.onPulled)
	}
}

func (s *Service) onPulled(reply *clusterpb.ClaimMessage, err error) {
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Handle(s.now(), reply)
}

// Step implements clusterpb.Claims. It answers each message in its place.
func (s *Service) Step(_ context.Context, in *clusterpb.ClaimBatch) (*clusterpb.ClaimBatch, error) {
	out := &clusterpb.ClaimBatch{Messages: make([]*clusterpb.ClaimMessage, len(in.Messages))}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := 0
	for i, m := range in.Messages {
		if records >= maxRecords && m.Kind == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC {
			out.Messages[i] = &clusterpb.ClaimMessage{}
			continue
		}
		out.Messages[i] = s.handle(m)
		records += len(out.Messages[i].Records)
	}
	return out, nil
}

func (s *Service) handle(m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if isReply(m.Kind) {
		return &clusterpb.ClaimMessage{}
	}
	if m.ClaimEpoch != nil {
		s.adopt(m.ClaimEpoch)
	}
	r := s.store.Handle(s.now(), m)
	if r == nil {
		return &clusterpb.ClaimMessage{}
	}
	if isClaim(m.Kind) && m.Epoch < s.store.Epoch() && !r.Granted && r.Record == nil {
		r.ClaimEpoch = s.epoch.Load()
	}
	return r
}

func isClaim(k clusterpb.ClaimMessageKind) bool {
	return k == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM
}

// isReply keeps a caller of Step from passing off an answer.
func isReply(k clusterpb.ClaimMessageKind) bool {
	return k == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY
}

// now returns the time on the monotonic clock of the process.
func (s *Service) now() time.Duration { return time.Since(s.started) }

// Drain waits until the outcomes of all ended claims have been reported, or
// ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for s.reports.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Synced reports whether this member votes on all its keys. A rolling restart
// waits for it before it stops the next entry VM.
func (s *Service) Synced() bool {
	t := s.timeline.Load()
	if t == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := t.Member(s.self.ID); !ok || m.Incarnation != s.self.Incarnation {
		return false
	}
	return s.store.Pending(s.now()) == 0
}
