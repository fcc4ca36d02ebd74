package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// fakeSource provides a fixed configuration that a test can make stale.
type fakeSource struct {
	view  *configview.View
	mu    sync.Mutex
	stale bool
}

func (s *fakeSource) View() *configview.View { return s.view }

func (s *fakeSource) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stale
}

func (s *fakeSource) setStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = true
}

// fakeSlots grants the addresses in rotation and records the outcomes with
// which slots are released.
type fakeSlots struct {
	mu        sync.Mutex
	addresses []string
	granted   int
	outcomes  []clusterpb.Outcome
	// released holds the releases by upstream.
	released map[string][]slot.Result
	// onAcquire, when set, is called for each slot request.
	onAcquire func()
}

func (s *fakeSlots) Acquire(_ context.Context, r slot.Request) (slot.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onAcquire != nil {
		s.onAcquire()
	}
	if len(s.addresses) == 0 {
		return slot.Grant{}, fault.New(fault.NoUpstream, "")
	}
	a := s.addresses[s.granted%len(s.addresses)]
	s.granted++
	return slot.Grant{Cell: configview.CellKey{Service: r.Service, Zone: "a"}, Upstream: a, Address: a}, nil
}

func (s *fakeSlots) Release(g slot.Grant, r slot.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, r.Outcome)
	if s.released == nil {
		s.released = make(map[string][]slot.Result)
	}
	s.released[g.Upstream] = append(s.released[g.Upstream], r)
}

// outcomesOf and noticesOf return the outcomes and the notices with which slots of
// the upstream were released.
func (s *fakeSlots) outcomesOf(upstream string) []clusterpb.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []clusterpb.Outcome
	for _, r := range s.released[upstream] {
		all = append(all, r.Outcome)
	}
	return all
}

func (s *fakeSlots) noticesOf(upstream string) []notice.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []notice.Notice
	for _, r := range s.released[upstream] {
		all = append(all, r.Notice)
	}
	return all
}

func (s *fakeSlots) releasedOutcomes() []clusterpb.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]clusterpb.Outcome(nil), s.outcomes...)
}

// fakeClaims keeps the claim state and the kept response of each key in
// memory.
type fakeClaims struct {
	mu      sync.Mutex
	kept    map[string]*clusterpb.KeptAnswer
	state   map[string]string
	digests map[string][32]byte
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{
		kept:    make(map[string]*clusterpb.KeptAnswer),
		state:   make(map[string]string),
		digests: make(map[string][32]byte),
	}
}

func (f *fakeClaims) Begin(_ context.Context, _, key string, digest [32]byte) (Claim, *clusterpb.KeptAnswer, *fault.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d, ok := f.digests[key]; ok && d != digest {
		return nil, nil, fault.New(fault.KeyConflict, "")
	}
	f.digests[key] = digest
	switch f.state[key] {
	case "finished":
		return nil, f.kept[key], nil
	case "unknown":
		return nil, nil, fault.New(fault.OutcomeUnknown, "")
	case "claimed":
		return nil, nil, fault.New(fault.StillRunning, "")
	}
	f.state[key] = "claimed"
	return &fakeClaim{f, key}, nil, nil
}

func (f *fakeClaims) stateOf(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state[key]
}

type fakeClaim struct {
	f   *fakeClaims
	key string
}

func (c *fakeClaim) Start(context.Context) error { return nil }

func (c *fakeClaim) set(state string) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.state[c.key] = state
}

func (c *fakeClaim) Finish(a *clusterpb.KeptAnswer) {
	c.f.mu.Lock()
	c.f.kept[c.key] = a
	c.f.mu.Unlock()
	c.set("finished")
}

func (c *fakeClaim) Release()     { c.set("") }
func (c *fakeClaim) MarkUnknown() { c.set("unknown") }

// fakeQuarantine admits every attempt and counts the reported crashes.
type fakeQuarantine struct {
	// completed counts the attempts that were reported as completed.
	completed int
	mu        sync.Mutex
	crashes   int
	// onCrash, when set, is called for each reported crash.
	onCrash func()
	blocked *fault.Error
}

func (q *fakeQuarantine) Blocked(quarantine.Signature) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.blocked
}

func (q *fakeQuarantine) Admit(context.Context, quarantine.Signature) (AttemptReporter, *fault.Error) {
	return fakeAttemptReporter{q}, nil
}

func (q *fakeQuarantine) crashCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.crashes
}

func (q *fakeQuarantine) completedCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.completed
}

type fakeAttemptReporter struct{ q *fakeQuarantine }

func (r fakeAttemptReporter) Crashed(string, uint64) {
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	r.q.crashes++
	if r.q.onCrash != nil {
		r.q.onCrash()
	}
}

func (r fakeAttemptReporter) Completed() {
	r.q.mu.Lock()
	defer r.q.mu.Unlock()
	r.q.completed++
}

func (fakeAttemptReporter) Abandoned() {}

// fixture is a forwarder behind an HTTP server, with fakes for its
// dependencies.
type fixture struct {
	source     *fakeSource
	slots      *fakeSlots
	claims     *fakeClaims
	quarantine *fakeQuarantine
	tracing    *telemetry.Tracing
	forwarder  *Forwarder
	front      *httptest.Server
}

// newFakes returns the fakes for a service below /s whose upstreams have the
// given addresses. The fixture has no forwarder and no server.
func newFakes(addresses ...string) *fixture {
	cfg := &catalogpb.Config{
		Revision: 1,
		Services: []*catalogpb.Service{{Name: "s", PathPrefix: "/s", TimeoutMs: 5000}},
		Zones:    []*catalogpb.Zone{{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_IN}},
		Rules: []*catalogpb.Rule{
			{Service: "s", Name: "search", Method: "POST", PathPattern: "/search", Repeatable: true},
			{Service: "s", Name: "pay", Method: "POST", PathPattern: "/pay/:id", KeyRequired: true},
		},
	}
	return &fixture{
		source:     &fakeSource{view: configview.New(cfg)},
		slots:      &fakeSlots{addresses: addresses},
		claims:     newFakeClaims(),
		quarantine: &fakeQuarantine{},
		tracing:    telemetry.Disabled(),
	}
}

// newForwarder returns a forwarder that uses the fakes.
func newForwarder(fx *fixture) *Forwarder {
	return New(Options{
		Source:          fx.source,
		Slots:           fx.slots,
		Claims:          fx.claims,
		Quarantine:      fx.quarantine,
		Limiter:         admission.NewLimiter(100),
		Transport:       NewTransport(nil),
		Tracing:         fx.tracing,
		Metrics:         telemetry.NewEntryMetrics(tally.NoopScope),
		Draining:        func() bool { return false },
		MaxBodyBytes:    256 << 20,
		BodyIdleTimeout: 5 * time.Second,
		MaxKeptBytes:    16 << 10,
		MaxAttempts:     3,
		Hedging:         true,
	})
}

// newFixture starts a forwarder that sends requests below /s to the
// addresses in rotation.
func newFixture(t *testing.T, addresses ...string) *fixture {
	t.Helper()
	fx := newFakes(addresses...)
	fx.forwarder = newForwarder(fx)
	fx.front = httptest.NewServer(fx.forwarder)
	t.Cleanup(fx.front.Close)
	return fx
}

// newUpstream starts an HTTP server with the handler and returns its
// address.
// newUpstream starts an upstream that repeats the request ID in its responses.
func newUpstream(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
