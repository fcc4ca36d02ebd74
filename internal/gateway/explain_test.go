package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// logFile collects the log lines of all processes of a test.
type logFile struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (f *logFile) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buf.Write(b)
}

func (f *logFile) logger(role, id string) event.Logger {
	return event.NewLogger(f, zerolog.InfoLevel, role, id)
}

// eventsOf returns the log lines that explain finds for the request, by the name
// of their event.
func (f *logFile) eventsOf(t *testing.T, request string) map[string]explain.Line {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines, err := explain.Read(strings.NewReader(f.buf.String()))
	assert.NilError(t, err)
	byName := make(map[string]explain.Line)
	for _, l := range explain.Timeline(lines, request) {
		byName[l.Name] = l
	}
	return byName
}

// assertContains checks that each part occurs in the line.
func assertContains(t *testing.T, line explain.Line, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(line.String(), part), "%q is not in %s", part, line)
	}
}

// TestLogExplainsQueueFullRefusal fills the only upstream. The log must show that
// the request did not run and how many upstreams the pool had.
func TestLogExplainsQueueFullRefusal(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.setLoad("2 4 2 100")
	var logs logFile
	fx := startForwarderWithLog(t, newConfig(s), logs.logger("gateway", "g1"))
	status, _, h := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 503)
	assert.Assert(t, h.Get("Retry-After") != "")
	assertContains(t, logs.eventsOf(t, "r1")["call_ended"],
		"queue_full", "sends=0", "ran=0", "pool=p", "route=safe", "version=1", "upstreams_open=1", "upstreams_ready=1", "calls_waiting=0")
}

// TestLogExplainsUnknownOutcome breaks the connection of a request that must not
// be retried. The log must show the upstream, the load that it had reported just
// before, and the state that control later recorded for it, but no line about
// other upstreams.
func TestLogExplainsUnknownOutcome(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool { return false })
	var logs logFile
	fx := startForwarderWithLog(t, newConfig(s), logs.logger("gateway", "g1"))
	status, _, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
	assert.Equal(t, status, 502)
	logs.logger("control", "1").Log(event.UpstreamState).Str("upstream", "u1").Str("state", "gone").Send()
	logs.logger("control", "1").Log(event.UpstreamState).Str("upstream", "u7").Str("state", "gone").Send()
	events := logs.eventsOf(t, "r1")
	assertContains(t, events["attempt_failed"], "upstream_broken", "may_have_run=true", "u1")
	assertContains(t, events["call_ended"], "upstream_broken", "sends=1", "ran=1", "upstream=u1", "load_at_choice={0 0 2 100}", "load_age_us=")
	assertContains(t, events["upstream_state"], "upstream=u1", "state=gone")
}

// TestLogShowsRouteAddedAfterNotFound requests a route that only the next desired
// state contains. The log must show the version that led to the 404 and the
// version that was applied later.
func TestLogShowsRouteAddedAfterNotFound(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	var logs logFile
	gw := logs.logger("gateway", "g1")
	fx := startForwarderWithLog(t, newConfig(s), gw)
	status, _, _ := fx.call(t, http.MethodGet, "/late/x", "")
	assert.Equal(t, status, 404)
	next := newConfig(s)
	next.Revision, next.StateVersion = 2, 2
	next.Routes = append(next.Routes, newRoute("late", catalogpb.RouteKind_ROUTE_KIND_SAFE))
	logs.logger("control", "1").Log(event.StateApplied).Uint64("version", 2).Uint64("revision", 2).Send()
	fx.state.applyConfig(configview.New(next))
	gw.Log(event.ConfigAdopted).Uint64("revision", 2).Send()
	events := logs.eventsOf(t, "r1")
	assertContains(t, events["call_ended"], "no_route", "/late/x", "version 1")
	assertContains(t, events["state_applied"], "version=2", "revision=2")
	assertContains(t, events["config_adopted"], "revision=2")
}

// BenchmarkFinish measures the cost of recording a finished call: its metrics,
// and its log line, which is written for one routine call in
// routineCallsPerLogLine and for each other call.
func BenchmarkFinish(b *testing.B) {
	for _, tc := range []struct {
		name   string
		failed error
		log    event.Logger
	}{
		{"plain", nil, event.NewLogger(io.Discard, zerolog.InfoLevel, "gateway", "g1")},
		{"refused", fault.New(fault.QueueFull, "pool"), event.NewLogger(io.Discard, zerolog.InfoLevel, "gateway", "g1")},
		{"refused, no log", fault.New(fault.QueueFull, "pool"), event.Logger{}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			metrics := telemetry.NewMetrics("gateway", "g1")
			defer metrics.Close()
			st := newState("g1", "a", 1, retry.Limits{Window: time.Second})
			st.applyConfig(configview.New(newConfig()))
			f := newForwarder(st, nil, ForwarderOptions{Metrics: telemetry.NewGatewayMetrics(metrics.Scope), Events: tc.log})
			c := &call{f: f, arrived: time.Now(), id: "79af8023fa0904f2", pool: "p", upstream: "i-07e9abfc7e", route: st.routes.Load().Lookup("host.example", "/safe/x"),
				sends: 1, searches: 1, status: 200, waited: time.Millisecond}
			for b.Loop() {
				c.finish(tc.failed)
			}
		})
	}
}

// TestLogNamesRequestThatBrokeUpstream compares requests that broke connections:
// the log must show the parts that make up the fingerprint.
func TestLogNamesRequestThatBrokeUpstream(t *testing.T) {
	s := startFakeUpstream(t, "u1", func(io.Writer, *http.Request) bool { return false })
	var logs logFile
	fx := startForwarderWithLog(t, newConfig(s), logs.logger("gateway", "g1"))
	status, _, _ := fx.call(t, http.MethodPost, "/unsafe/x?page=2", "")
	assert.Equal(t, status, 502)
	assertContains(t, logs.eventsOf(t, "r1")["upstream_broke"],
		"upstream=u1", "pool=p", "route=unsafe", "caller=127.0.0.1", "method=POST", "host=host.example", "target=/unsafe/x?page=2", "body_length=0")
}
