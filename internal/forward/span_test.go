package forward

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// recordedSpan is a span as the file exporter writes it.
type recordedSpan struct {
	Name       string
	Attributes []struct {
		Key   string
		Value struct{ Value any }
	}
}

// attribute returns the value of the attribute with the key, or nil.
func (s recordedSpan) attribute(key string) any {
	for _, a := range s.Attributes {
		if a.Key == key {
			return a.Value.Value
		}
	}
	return nil
}

func readSpans(t *testing.T, path string) []recordedSpan {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var spans []recordedSpan
	dec := json.NewDecoder(file)
	for {
		var s recordedSpan
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return spans
		}
		assert.NilError(t, err)
		spans = append(spans, s)
	}
}

// The spans of a request with an Idempotency-Key whose first upstream is
// unreachable name both upstreams and the error of the first attempt.
func TestSpansRecordUpstreamsAndFaults(t *testing.T) {
	up := newUpstream(t, func(http.ResponseWriter, *http.Request) {})
	closed := httptest.NewServer(nil)
	unreachable := closed.Listener.Addr().String()
	closed.Close()
	path := filepath.Join(t.TempDir(), "spans.json")
	tracing, err := telemetry.NewTracing(t.Context(), settings.Trace{Exporter: settings.TraceFile, File: path, SamplePermille: 1000}, "entry", "e1")
	assert.NilError(t, err)
	fx := newFakes(unreachable, up)
	fx.tracing = tracing
	r := httptest.NewRequest("POST", "/s/pay/1", nil)
	r.Header.Set(headerIdempotencyKey, "k")
	newForwarder(fx).ServeHTTP(httptest.NewRecorder(), r)
	assert.NilError(t, tracing.Shutdown(t.Context()))

	want := map[string][]struct{ upstream, keyed, fault any }{
		telemetry.SpanCall:     {{nil, "true", nil}},
		telemetry.SpanClaim:    {{nil, nil, nil}},
		telemetry.SpanGrant:    {{unreachable, nil, nil}, {up, nil, nil}},
		telemetry.SpanUpstream: {{unreachable, nil, "no_upstream"}, {up, nil, nil}},
	}
	for _, s := range readSpans(t, path) {
		assert.Assert(t, len(want[s.Name]) > 0, "span %s", s.Name)
		next := want[s.Name][0]
		want[s.Name] = want[s.Name][1:]
		assert.Equal(t, s.attribute(telemetry.AttrService), "s")
		assert.Equal(t, s.attribute(telemetry.AttrUpstream), next.upstream)
		assert.Equal(t, s.attribute(telemetry.AttrHasIdempotencyKey), next.keyed)
		assert.Equal(t, s.attribute(telemetry.AttrFault), next.fault)
	}
	for name, rest := range want {
		assert.Equal(t, len(rest), 0, "span %s", name)
	}
}
