package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// traceparent is a W3C traceparent header value of a sampled span.
const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestScrapeServesCountedValues(t *testing.T) {
	m := NewMetrics("entry", "jm-a.1")
	entry := NewEntryMetrics(m)
	entry.CountCall("")
	entry.CountCall(fault.QueueFull)
	entry.CountCall("no_such_kind")
	entry.Call.RecordDuration(3 * latencyStart)
	NewControlMetrics(m.SubScope("c")).Leader.Update(1)
	assert.NilError(t, m.Close())

	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, w.Code, http.StatusOK)
	for _, line := range []string{
		`balsamcourse_answers{id="jm-a.1",kind="ok",role="entry"} 1`,
		`balsamcourse_answers{id="jm-a.1",kind="queue_full",role="entry"} 1`,
		`balsamcourse_answers{id="jm-a.1",kind="internal",role="entry"} 1`,
		`balsamcourse_call_seconds_count{id="jm-a.1",role="entry"} 1`,
		`balsamcourse_c_control_leader{id="jm-a.1",role="entry"} 1`,
		`process_resident_memory_bytes`,
	} {
		assert.Assert(t, strings.Contains(w.Body.String(), line), "%s is not in the scrape", line)
	}
}

func TestDisabledTracingAllocatesNothing(t *testing.T) {
	disabled := Disabled()
	ctx := context.Background()
	header := http.Header{"Traceparent": {traceparent}}
	allocs := testing.AllocsPerRun(100, func() {
		ctx, span := disabled.StartServer(ctx, header, SpanCall)
		ctx, attempt := disabled.Start(ctx, SpanUpstream)
		SetAttribute(attempt, AttrService, "booking")
		disabled.Inject(ctx, header)
		EndSpan(attempt, nil)
		EndSpan(span, nil)
	})
	assert.Equal(t, allocs, 0.0)
	assert.Equal(t, header.Get("traceparent"), traceparent)
}

func TestSpansContinueCallersTrace(t *testing.T) {
	recorder := tracetest.NewInMemoryExporter()
	tr := newTracing(recorder, settings.Trace{SamplePermille: 1000}, "entry", "e1")
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Got", r.Header.Get("traceparent"))
	}))
	defer upstream.Close()
	handler := tr.Wrap(SpanCall, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := tr.Start(r.Context(), SpanUpstream)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, upstream.URL, nil)
		assert.NilError(t, err)
		resp, err := tr.Transport(http.DefaultTransport).RoundTrip(req)
		assert.NilError(t, err)
		w.Header().Set("Got", resp.Header.Get("Got"))
		EndSpan(span, fault.New(fault.Shed, "full"))
	}))
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	req.Header.Set("traceparent", traceparent)
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, req)
	assert.NilError(t, tr.provider.ForceFlush(context.Background()))

	spans := recorder.GetSpans()
	assert.Equal(t, len(spans), 2)
	attempt, call := spans[0], spans[1]
	assert.Equal(t, call.SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	assert.Equal(t, call.Parent.SpanID().String(), "b7ad6b7169203331")
	assert.Equal(t, attempt.Parent.SpanID(), call.SpanContext.SpanID())
	assert.Assert(t, strings.Contains(w.Header().Get("Got"), attempt.SpanContext.SpanID().String()))
	assert.NilError(t, tr.Shutdown(context.Background()))
}

func TestFileExporterWritesSpans(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	ctx := context.Background()
	tr, err := NewTracing(ctx, settings.Trace{Exporter: settings.TraceFile, File: path, SamplePermille: 1000}, "entry", "e1")
	assert.NilError(t, err)
	_, span := tr.Start(ctx, SpanGrant)
	EndSpan(span, nil)
	assert.NilError(t, tr.Shutdown(ctx))
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `"Name":"grant"`))

	_, err = NewTracing(ctx, settings.Trace{Exporter: settings.TraceFile, File: filepath.Join(path, "x")}, "entry", "e1")
	assert.Equal(t, fault.KindOf(err), fault.Settings)
	none, err := NewTracing(ctx, settings.Trace{Exporter: settings.TraceOff}, "entry", "e1")
	assert.NilError(t, err)
	assert.Assert(t, !none.Enabled())
	assert.NilError(t, none.Shutdown(ctx))
}

func TestOTLPExporterSendsSpansToCollector(t *testing.T) {
	got := make(chan string, 4)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case got <- r.URL.Path:
		default:
		}
	}))
	defer collector.Close()
	ctx := context.Background()
	s := settings.Trace{Exporter: settings.TraceOTLP, Endpoint: collector.Listener.Addr().String(), SamplePermille: 1000}
	tr, err := NewTracing(ctx, s, "entry", "e1")
	assert.NilError(t, err)
	_, span := tr.Start(ctx, SpanGrant)
	EndSpan(span, nil)
	assert.NilError(t, tr.Shutdown(ctx))
	assert.Equal(t, <-got, "/v1/traces")
}

func TestRPCsAreCountedByMethod(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	h := CountRPCs(scope, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "Nothing") {
			w.WriteHeader(http.StatusNotFound)
		}
		if r.Header.Get("Fail") != "" {
			w.WriteHeader(http.StatusConflict)
		}
		_, err := io.Copy(io.Discard, r.Body)
		assert.NilError(t, err)
		_, err = w.Write([]byte("answer"))
		assert.NilError(t, err)
	}))
	call := func(path, fail string) {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("question"))
		r.Header.Set("Fail", fail)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	call("/twirp/x.Admin/Apply", "")
	call("/twirp/x.Admin/Apply", "yes")
	call("/twirp/x.Admin/Nothing", "")
	call("/other", "")
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["rpc_calls+method=Apply"].Value(), int64(2))
	assert.Equal(t, counters["rpc_failed+method=Apply"].Value(), int64(1))
	assert.Equal(t, counters["rpc_received_bytes+method=Apply"].Value(), int64(2*len("question")))
	assert.Equal(t, counters["rpc_sent_bytes+method=Apply"].Value(), int64(2*len("answer")))
	assert.Equal(t, len(counters), 4)
	want := []MethodTotals{{Method: "Apply", Calls: 2, Failed: 1, ReceivedBytes: 16, SentBytes: 12}}
	assert.DeepEqual(t, h.TakeTotals(), want)
	assert.Equal(t, len(h.TakeTotals()), 0)
}
