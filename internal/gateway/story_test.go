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
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/view"
)

// logFile holds what all processes of a test write.
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

// story returns the lines of a request's story, by name.
func (f *logFile) story(t *testing.T, request string) map[string]explain.Line {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	lines, err := explain.Read(strings.NewReader(f.buf.String()))
	assert.NilError(t, err)
	byName := make(map[string]explain.Line)
	for _, l := range explain.Story(lines, request) {
		byName[l.Name] = l
	}
	return byName
}

func contains(t *testing.T, line explain.Line, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(line.String(), part), "%q is not in %s", part, line)
	}
}

// TestStoryOfARefusalUnderLoad fills the only upstream: the story says that the
// request did not run, and how much room there was.
func TestStoryOfARefusalUnderLoad(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	s.setLoad("2 4 2 100")
	var logs logFile
	fx := startLogged(t, configOf(s), logs.logger("gateway", "g1"))
	status, _, h := fx.call(t, http.MethodGet, "/safe/x", "")
	assert.Equal(t, status, 503)
	assert.Assert(t, h.Get("Retry-After") != "")
	contains(t, logs.story(t, "r1")["call_ended"],
		"queue_full", "sends=0", "ran=0", "pool=p", "route=safe", "version=1", "upstreams_open=1", "upstreams_ready=1", "calls_waiting=0")
}

// TestStoryOfAnUnknownOutcome breaks the connection of a request that must not
// be sent again: the story names the upstream, what it had said just before, and
// what control then heard of it.
func TestStoryOfAnUnknownOutcome(t *testing.T) {
	s := startStandIn(t, "u1", func(io.Writer, *http.Request) bool { return false })
	var logs logFile
	fx := startLogged(t, configOf(s), logs.logger("gateway", "g1"))
	status, _, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
	assert.Equal(t, status, 502)
	logs.logger("control", "1").Log(event.UpstreamState).Str("upstream", "u1").Str("state", "gone").Send()
	logs.logger("control", "1").Log(event.UpstreamState).Str("upstream", "u7").Str("state", "gone").Send()
	story := logs.story(t, "r1")
	contains(t, story["attempt_failed"], "upstream_broken", "may_have_run=true", "u1")
	contains(t, story["call_ended"], "upstream_broken", "sends=1", "ran=1", "upstream=u1", "load_at_choice={0 0 2 100}", "load_age_us=")
	contains(t, story["upstream_state"], "upstream=u1", "state=gone")
}

// TestStoryOfANotFoundBeforeAChange asks for a route that the next desired state
// brings: the story holds the version that decided and the one that came.
func TestStoryOfANotFoundBeforeAChange(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	var logs logFile
	gw := logs.logger("gateway", "g1")
	fx := startLogged(t, configOf(s), gw)
	status, _, _ := fx.call(t, http.MethodGet, "/late/x", "")
	assert.Equal(t, status, 404)
	next := configOf(s)
	next.Revision, next.StateVersion = 2, 2
	next.Routes = append(next.Routes, routeOf("late", catalogpb.RouteKind_ROUTE_KIND_SAFE))
	logs.logger("control", "1").Log(event.StateApplied).Uint64("version", 2).Uint64("revision", 2).Send()
	fx.world.adopt(view.New(next))
	gw.Log(event.ConfigAdopted).Uint64("revision", 2).Send()
	story := logs.story(t, "r1")
	contains(t, story["call_ended"], "no_route", "/late/x", "version 1")
	contains(t, story["state_applied"], "version=2", "revision=2")
	contains(t, story["config_adopted"], "revision=2")
}

// BenchmarkFinish measures what the end of a call costs: its metrics, and the
// log line that one plain call in plainLogged and each other call writes.
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
			w := newWorld("g1", "a", 1, retry.Limits{Window: time.Second})
			w.adopt(view.New(configOf()))
			f := newForwarder(w, nil, ForwarderOptions{Metrics: telemetry.NewGatewayMetrics(metrics.Scope), Events: tc.log})
			c := &call{f: f, arrived: time.Now(), id: "79af8023fa0904f2", pool: "p", upstream: "i-07e9abfc7e", route: w.table.Load().Lookup("host.example", "/safe/x"),
				sends: 1, searches: 1, status: 200, waited: time.Millisecond}
			for b.Loop() {
				c.finish(tc.failed)
			}
		})
	}
}
