// Package claimservice runs the quorum protocol of package claim between entry VMs.
//
// Each entry VM is a member, which stores claims, and the coordinator for the
// requests that callers send to it.
package claimservice

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
	// tickInterval is the interval at which sync requests are sent and expired
	// records are deleted.
	tickInterval = 50 * time.Millisecond
	// maxSyncRecords limits the records in the replies to one batch. Once it is
	// reached, the remaining sync requests of the batch get empty replies, and
	// their senders retry.
	maxSyncRecords = 10000
)

// Options configures a Service.
type Options struct {
	// EntryID is the ID of this entry VM.
	EntryID string
	// Incarnation is the incarnation under which this process is registered.
	Incarnation uint64
	// Client makes the calls to other entry VMs.
	Client *http.Client
	// Limits bounds the records that this entry VM stores.
	Limits claim.Limits
	// MaxKeptBytes is the largest body of a stored response, in bytes.
	MaxKeptBytes int
	// Timeout is the longest time that Begin waits for a decision.
	Timeout time.Duration
	// MaxStartDelay is the longest time from Begin to the first byte of the
	// request. Values above half of Limits.Retention are reduced to it.
	MaxStartDelay time.Duration
	// ConfigFresh reports whether the current configuration is fresh enough to
	// send requests; nil means always.
	ConfigFresh func() bool
	// Metrics receives the metrics of the service; nil discards them.
	Metrics tally.Scope
}

// Service stores claims as a member, and obtains claims as a coordinator. It is
// safe for concurrent use.
type Service struct {
	opts        Options
	self        claim.Member
	started     time.Time
	lastAttempt atomic.Uint64
	metrics     tally.Scope

	history  atomic.Pointer[claim.PlacementHistory]
	epoch    atomic.Pointer[catalogpb.ClaimEpoch]
	entryVMs atomic.Pointer[entryVMs]

	mu    sync.Mutex
	store *claim.Store

	peersMu sync.Mutex
	peers   map[string]*peer

	pendingReports atomic.Int64
	stop           chan struct{}

	// spawnMu prevents new goroutines while shutDown waits for them.
	spawnMu    sync.Mutex
	stopped    bool
	goroutines conc.WaitGroup
}

// New returns a Service, which refuses all claims until the first OnConfig.
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
		metrics: scope.SubScope("claims"),
		store:   claim.NewStore(self, opts.Limits),
		peers:   make(map[string]*peer),
		stop:    make(chan struct{}),
	}
	s.entryVMs.Store(&entryVMs{})
	return s
}

// Handler returns the HTTP handler of the claim protocol for other entry VMs.
func (s *Service) Handler() http.Handler { return clusterpb.NewClaimsServer(s) }

// Run syncs partitions and deletes expired records until ctx ends, then waits for
// the goroutines of the service.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
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

// tick deletes expired records, updates the metrics and sends the sync requests
// that are due. The first request to each member carries the current epoch.
func (s *Service) tick() {
	s.mu.Lock()
	s.store.Expire(s.now())
	requests := s.store.SyncRequests(s.now())
	s.metrics.Gauge("records").Update(float64(s.store.RecordCount()))
	s.metrics.Gauge("kept_bytes").Update(float64(s.store.ResponseBytes()))
	s.metrics.Gauge("unsynced_partitions").Update(float64(s.store.UnsyncedPartitions(s.now())))
	s.mu.Unlock()
	epochSent := make(map[string]bool)
	for _, m := range requests {
		if !epochSent[m.To] {
			epochSent[m.To] = true
			m.ClaimEpoch = s.epoch.Load()
		}
		s.send(m, s.handleSyncReply)
	}
}

func (s *Service) handleSyncReply(reply *clusterpb.ClaimMessage, err error) {
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Handle(s.now(), reply)
}

// Step implements clusterpb.Claims. The reply to each message has the index of the
// message.
func (s *Service) Step(_ context.Context, in *clusterpb.ClaimBatch) (*clusterpb.ClaimBatch, error) {
	out := &clusterpb.ClaimBatch{Messages: make([]*clusterpb.ClaimMessage, len(in.Messages))}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := 0
	for i, m := range in.Messages {
		if records >= maxSyncRecords && m.Kind == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC {
			out.Messages[i] = &clusterpb.ClaimMessage{}
			continue
		}
		out.Messages[i] = s.handle(m)
		records += len(out.Messages[i].Records)
	}
	return out, nil
}

// handle processes a message from another entry VM and returns the reply. The
// reply carries the current epoch if a claim was refused to a coordinator with an
// older one. The caller holds s.mu.
func (s *Service) handle(m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if isSyncReply(m.Kind) {
		return &clusterpb.ClaimMessage{}
	}
	if m.ClaimEpoch != nil {
		s.applyEpochLocked(m.ClaimEpoch)
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

// isSyncReply detects sync replies, which are accepted only in response to a sync
// request of this process and not from callers of Step.
func isSyncReply(k clusterpb.ClaimMessageKind) bool {
	return k == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY
}

// now returns the time since the service was created, on the monotonic clock.
func (s *Service) now() time.Duration { return time.Since(s.started) }

// Drain waits until the outcomes of all ended claims have been reported. It
// returns the error of ctx if that ends first.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.pendingReports.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Synced reports whether this process is a member and has synced all partitions
// that it replicates. A rolling restart must wait for this before it stops the
// next entry VM.
func (s *Service) Synced() bool {
	history := s.history.Load()
	if history == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := history.Member(s.self.ID); !ok || m.Incarnation != s.self.Incarnation {
		return false
	}
	return s.store.UnsyncedPartitions(s.now()) == 0
}
