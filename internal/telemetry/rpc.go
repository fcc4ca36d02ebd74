package telemetry

import (
	"cmp"
	"io"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// twirpPrefix is the path prefix of all RPCs.
const twirpPrefix = "/twirp/"

// MethodTotals counts the RPCs of one method. Bytes are those of bodies, without
// headers.
type MethodTotals struct {
	Method        string
	Calls         uint64
	Failed        uint64
	ReceivedBytes uint64
	SentBytes     uint64
}

// rpcMetrics holds the metrics of one RPC method.
type rpcMetrics struct {
	calls    tally.Counter
	failed   tally.Counter
	received tally.Counter
	sent     tally.Counter
	seconds  tally.Histogram
	// totals are those since the last call of RPCs.TakeTotals.
	totals MethodTotals
}

// RPCs is a handler that records metrics of the RPCs to another handler, by
// method.
type RPCs struct {
	scope   tally.Scope
	next    http.Handler
	mu      sync.Mutex
	methods map[string]*rpcMetrics
}

// CountRPCs returns a handler that counts the Twirp RPCs to next, their failures
// and bytes, and records their durations, by method.
func CountRPCs(s tally.Scope, next http.Handler) *RPCs {
	return &RPCs{scope: s, next: next, methods: make(map[string]*rpcMetrics)}
}

// ServeHTTP implements http.Handler.
func (h *RPCs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	body := &countingReader{ReadCloser: r.Body}
	r.Body = body
	recorder := &responseRecorder{ResponseWriter: w, status: http.StatusOK}
	h.next.ServeHTTP(recorder, r)
	// Requests for unknown paths must not create metrics: clients could create
	// any number of them.
	if recorder.status == http.StatusNotFound || !strings.HasPrefix(r.URL.Path, twirpPrefix) {
		return
	}
	h.record(MethodTotals{
		Method:        path.Base(r.URL.Path),
		Calls:         1,
		Failed:        boolToUint(recorder.status >= http.StatusBadRequest),
		ReceivedBytes: body.bytes,
		SentBytes:     recorder.bytes,
	}, time.Since(start))
}

func boolToUint(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (h *RPCs) record(call MethodTotals, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.method(call.Method)
	m.calls.Inc(1)
	m.failed.Inc(int64(call.Failed))
	m.received.Inc(int64(call.ReceivedBytes))
	m.sent.Inc(int64(call.SentBytes))
	m.seconds.RecordDuration(took)
	m.totals.Calls++
	m.totals.Failed += call.Failed
	m.totals.ReceivedBytes += call.ReceivedBytes
	m.totals.SentBytes += call.SentBytes
}

// method returns the metrics of a method. h.mu must be held.
func (h *RPCs) method(name string) *rpcMetrics {
	m := h.methods[name]
	if m == nil {
		s := h.scope.Tagged(map[string]string{"method": name})
		m = &rpcMetrics{
			calls:    s.Counter("rpc_calls"),
			failed:   s.Counter("rpc_failed"),
			received: s.Counter("rpc_received_bytes"),
			sent:     s.Counter("rpc_sent_bytes"),
			seconds:  latencyHistogram(s, "rpc_seconds"),
			totals:   MethodTotals{Method: name},
		}
		h.methods[name] = m
	}
	return m
}

// TakeTotals returns the totals since the last call, of the methods that were
// called, ordered by name.
func (h *RPCs) TakeTotals() []MethodTotals {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []MethodTotals
	for name, m := range h.methods {
		if m.totals.Calls == 0 {
			continue
		}
		list = append(list, m.totals)
		m.totals = MethodTotals{Method: name}
	}
	slices.SortFunc(list, func(a, b MethodTotals) int { return cmp.Compare(a.Method, b.Method) })
	return list
}

// countingReader counts the bytes read from a request body.
type countingReader struct {
	io.ReadCloser
	bytes uint64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.bytes += uint64(n)
	return n, err
}

// responseRecorder records the status code and the body size of a response.
type responseRecorder struct {
	http.ResponseWriter
	status int
	bytes  uint64
}

// WriteHeader implements http.ResponseWriter.
func (w *responseRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseRecorder) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.bytes += uint64(n)
	return n, err
}
