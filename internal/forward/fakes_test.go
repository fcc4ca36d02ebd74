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
	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/view"
)

// fakeSource is a configuration that a test can make stale.
type fakeSource struct {
	view  *view.View
	mu    sync.Mutex
	stale bool
}

func (s *fakeSource) View() *view.View { return s.view }

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

// fakeSlots grants the addresses in turn and records outcomes.
type fakeSlots struct {
	mu        sync.Mutex
	addresses []string
	granted   int
	outcomes  []clusterpb.Outcome
	onGrant   func()
}

func (s *fakeSlots) Acquire(_ context.Context, r slot.Request) (slot.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onGrant != nil {
		s.onGrant()
	}
	if len(s.addresses) == 0 {
		return slot.Grant{}, fault.New(fault.NoUpstream, "")
	}
	a := s.addresses[s.granted%len(s.addresses)]
	s.granted++
	return slot.Grant{Cell: view.CellKey{Service: r.Service, Zone: "a"}, Upstream: a, Address: a}, nil
}

func (s *fakeSlots) Release(_ slot.Grant, r slot.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, r.Outcome)
}

func (s *fakeSlots) ended() []clusterpb.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]clusterpb.Outcome(nil), s.outcomes...)
}

// fakeClaims keeps one answer a key in memory.
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

// fakeQuarantine counts broken requests.
type fakeQuarantine struct {
	mu     sync.Mutex
	broken int
	// onBroken, when set, is called for each broken request.
	onBroken func()
	blocked  *fault.Error
}

func (q *fakeQuarantine) Blocked(string, string) *fault.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.blocked
}

func (q *fakeQuarantine) Admit(context.Context, string, string) (AttemptReporter, *fault.Error) {
	return fakeTry{q}, nil
}

// count returns the broken requests.
func (q *fakeQuarantine) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.broken
}

type fakeTry struct{ q *fakeQuarantine }

func (t fakeTry) Crashed(string, uint64) {
	t.q.mu.Lock()
	defer t.q.mu.Unlock()
	t.q.broken++
	if t.q.onBroken != nil {
		t.q.onBroken()
	}
}

func (fakeTry) Completed() {}
func (fakeTry) Abandoned() {}

// rig is a forwarder behind a server with fakes around it.
type rig struct {
	source     *fakeSource
	slots      *fakeSlots
	claims     *fakeClaims
	quarantine *fakeQuarantine
	tracing    *telemetry.Tracing
	forwarder  *Forwarder
	front      *httptest.Server
}

// newFakes returns the fakes for requests below /s that go to the addresses.
func newFakes(addresses ...string) *rig {
	cfg := &catalogpb.Config{
		Revision: 1,
		Services: []*catalogpb.Service{{Name: "s", PathPrefix: "/s", TimeoutMs: 5000}},
		Zones:    []*catalogpb.Zone{{Name: "a", State: catalogpb.ZoneState_ZONE_STATE_IN}},
		Rules: []*catalogpb.Rule{
			{Service: "s", Name: "search", Method: "POST", PathPattern: "/search", Repeatable: true},
			{Service: "s", Name: "pay", Method: "POST", PathPattern: "/pay/:id", KeyRequired: true},
		},
	}
	return &rig{
		source:     &fakeSource{view: view.New(cfg)},
		slots:      &fakeSlots{addresses: addresses},
		claims:     newFakeClaims(),
		quarantine: &fakeQuarantine{},
		tracing:    telemetry.Off(),
	}
}

// newForwarder returns a forwarder over the fakes.
func newForwarder(r *rig) *Forwarder {
	return New(Options{
		Source:          r.source,
		Slots:           r.slots,
		Claims:          r.claims,
		Quarantine:      r.quarantine,
		Limiter:         admit.NewLimiter(100),
		Transport:       NewTransport(nil),
		Tracing:         r.tracing,
		Metrics:         telemetry.NewEntryMetrics(tally.NoopScope),
		Draining:        func() bool { return false },
		MaxBodyBytes:    256 << 20,
		BodyIdleTimeout: 5 * time.Second,
		MaxKeptBytes:    16 << 10,
		MaxAttempts:     3,
		Hedging:         true,
	})
}

// newRig starts a forwarder that sends requests below /s to the addresses.
func newRig(t *testing.T, addresses ...string) *rig {
	t.Helper()
	r := newFakes(addresses...)
	r.forwarder = newForwarder(r)
	r.front = httptest.NewServer(r.forwarder)
	t.Cleanup(r.front.Close)
	return r
}

// newUpstream starts a server with the handler and returns its address.
func newUpstream(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
