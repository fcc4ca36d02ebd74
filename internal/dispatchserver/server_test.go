package dispatchserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// source is a configview.Source whose view and freshness are set by a test.
type source struct {
	v     atomic.Pointer[configview.View]
	stale atomic.Bool
}

func (s *source) View() *configview.View { return s.v.Load() }
func (s *source) Fresh() bool            { return !s.stale.Load() }

var testCell = configview.CellKey{Service: "s", Zone: "z"}

// testServer is a running server to which one cell can be assigned.
type testServer struct {
	*Server
	t          *testing.T
	viewSource *source
	accepted   atomic.Uint64
	lastID     uint64
}

func newTestServer(t *testing.T) *testServer {
	ts := &testServer{t: t, viewSource: &source{}}
	ts.accepted.Store(1)
	ts.Server = New(Options{Entry: "e", Incarnation: 1, View: ts.viewSource, AcceptedRevision: ts.accepted.Load})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { ts.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return ts
}

// configure puts a configuration in force that assigns the cell to the server,
// and waits until the server holds it.
func (ts *testServer) configure(revision uint64, zone catalogpb.ZoneState) {
	v := configview.New(&catalogpb.Config{
		Revision: revision,
		Services: []*catalogpb.Service{{Name: "s", ProbePath: "/healthz", ProbeBudgetPermille: 100, ProbeCostMs: 50}},
		Zones:    []*catalogpb.Zone{{Name: "z", State: zone}},
		Entries:  []*catalogpb.Entry{{Id: "e", Incarnation: 1}},
		Cells:    []*catalogpb.Cell{{Service: "s", Zone: "z", Entry: "e", Incarnation: 1, Epoch: 1}},
	})
	ts.viewSource.v.Store(v)
	ts.OnConfig(v)
	r := &clusterpb.ReregisterRequest{Entry: "e", Incarnation: 1, Epoch: 1, Cell: &clusterpb.CellID{Service: "s", Zone: "z"}}
	assert.Assert(ts.t, ts.Reregister(ts.t.Context(), r))
}

func (ts *testServer) announce(id, address string) {
	ts.Announce([]*clusterpb.Announcement{{Service: "s", Zone: "z", Id: id, Address: address, Slots: 4, Incarnation: 1, State: "warm"}})
}

func (ts *testServer) acquire(wait time.Duration) AcquireResult {
	ts.lastID++
	ev := dispatch.Acquire{Key: dispatch.RequestKey{Entry: "e", Incarnation: 1, ID: ts.lastID}, Deadline: ts.Now() + time.Minute, MaxWait: wait}
	return ts.Acquire(ts.t.Context(), testCell, 1, ev)
}

// TestServerGrantsOnlyAcceptedCellsWithFreshConfigurationInOpenZones also expects
// requests in the queue to be refused when the zone closes.
func TestServerGrantsOnlyAcceptedCellsWithFreshConfigurationInOpenZones(t *testing.T) {
	ts := newTestServer(t)
	assert.Equal(t, ts.acquire(0).Refuse.Kind, fault.NoDispatcher)
	ts.accepted.Store(0)
	ts.configure(1, catalogpb.ZoneState_ZONE_STATE_IN)
	ts.announce("u", "127.0.0.1:1")
	assert.Equal(t, ts.acquire(0).Refuse.Kind, fault.NoDispatcher)
	ts.accepted.Store(1)
	assert.Assert(t, ts.acquire(0).Granted)
	ts.viewSource.stale.Store(true)
	assert.Equal(t, ts.acquire(0).Refuse.Kind, fault.NoDispatcher)
	ts.viewSource.stale.Store(false)
	waiting := make(chan AcquireResult)
	go func() { waiting <- ts.acquire(time.Minute) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ts.Queued(t.Context())[testCell] == 1 {
			return poll.Success()
		}
		return poll.Continue("request is not in the queue yet")
	})
	ts.configure(2, catalogpb.ZoneState_ZONE_STATE_LEAVING)
	assert.Equal(t, (<-waiting).Refuse.Kind, fault.ZoneOut)
}

func TestServerProbesAnEjectedUpstreamAtItsProbePath(t *testing.T) {
	var probes atomic.Int64
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			probes.Add(1)
		}
	}))
	defer up.Close()
	ts := newTestServer(t)
	ts.configure(1, catalogpb.ZoneState_ZONE_STATE_IN)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, id := range []string{"bad", "good-1", "good-2"} {
			ts.announce(id, strings.TrimPrefix(up.URL, "http://"))
		}
		if a := ts.acquire(0); a.Granted {
			outcome := clusterpb.Outcome_OUTCOME_OK
			if a.Grant.Upstream == "bad" {
				outcome = clusterpb.Outcome_OUTCOME_FAILED
			}
			ts.Release(testCell, dispatch.Release{Key: a.Grant.Key, Outcome: outcome, ServiceTime: time.Millisecond})
		}
		if probes.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no probe has reached the upstream yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}

// TestProbeWithoutEndFails probes upstreams whose responses never end.
func TestProbeWithoutEndFails(t *testing.T) {
	const cap = 4 << 20
	block := []byte(strings.Repeat("x", 1<<10))
	cases := map[string]http.HandlerFunc{
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for sent, err := 0, error(nil); err == nil && sent < cap; sent += len(block) {
				_, err = w.Write(block)
			}
		},
		"interim responses": func(w http.ResponseWriter, _ *http.Request) {
			for sent := 0; sent < cap; sent += len(block) {
				w.Header().Set("Link", string(block))
				w.WriteHeader(http.StatusEarlyHints)
			}
		},
	}
	for name, h := range cases {
		up := httptest.NewServer(h)
		s := New(Options{Entry: "e", Incarnation: 1, View: &source{}, ProbeClient: httpnet.NewHTTP1Client(nil)})
		ok, _ := s.probe(up.URL, 10*time.Second)
		assert.Check(t, !ok, name)
		up.CloseClientConnections()
		up.Close()
	}
}
