package telemetry

import (
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// twirpPrefix is the path prefix of all RPCs.
const twirpPrefix = "/twirp/"

// rpcMetrics holds the metrics of one RPC method.
type rpcMetrics struct {
	calls   tally.Counter
	failed  tally.Counter
	seconds tally.Histogram
}

// rpcHandler records metrics of the RPCs to next, by method.
type rpcHandler struct {
	scope   tally.Scope
	next    http.Handler
	mu      sync.Mutex
	methods map[string]*rpcMetrics
}

// CountRPCs returns a handler that counts the Twirp RPCs to next and their
// failures, and records their durations, by method.
func CountRPCs(s tally.Scope, next http.Handler) http.Handler {
	return &rpcHandler{scope: s, next: next, methods: make(map[string]*rpcMetrics)}
}

// ServeHTTP implements http.Handler.
func (h *rpcHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	h.next.ServeHTTP(recorder, r)
	// Requests for unknown paths must not create metrics: clients could create
	// any number of them.
	if recorder.status == http.StatusNotFound || !strings.HasPrefix(r.URL.Path, twirpPrefix) {
		return
	}
	m := h.method(path.Base(r.URL.Path))
	m.calls.Inc(1)
	if recorder.status >= http.StatusBadRequest {
		m.failed.Inc(1)
	}
	m.seconds.RecordDuration(time.Since(start))
}

func (h *rpcHandler) method(name string) *rpcMetrics {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.methods[name]
	if m == nil {
		s := h.scope.Tagged(map[string]string{"method": name})
		m = &rpcMetrics{calls: s.Counter("rpc_calls"), failed: s.Counter("rpc_failed"), seconds: latencyHistogram(s, "rpc_seconds")}
		h.methods[name] = m
	}
	return m
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
