package telemetry

import (
	"net/http"
	"path"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// twirpPrefix begins the path of every call between processes.
const twirpPrefix = "/twirp/"

// rpcMetrics counts the calls of one method.
type rpcMetrics struct {
	calls   tally.Counter
	failed  tally.Counter
	seconds tally.Histogram
}

// rpcHandler counts calls by method.
type rpcHandler struct {
	scope   tally.Scope
	next    http.Handler
	mu      sync.Mutex
	methods map[string]*rpcMetrics
}

// CountRPCs returns a handler that counts the Twirp calls to next by method,
// with their failures and times.
func CountRPCs(s tally.Scope, next http.Handler) http.Handler {
	return &rpcHandler{scope: s, next: next, methods: make(map[string]*rpcMetrics)}
}

// ServeHTTP implements http.Handler.
func (h *rpcHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	answer := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	h.next.ServeHTTP(answer, r)
	// A path that no service has must not make a metric.
	if answer.status == http.StatusNotFound || !strings.HasPrefix(r.URL.Path, twirpPrefix) {
		return
	}
	m := h.method(path.Base(r.URL.Path))
	m.calls.Inc(1)
	if answer.status >= http.StatusBadRequest {
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
		m = &rpcMetrics{calls: s.Counter("rpc_calls"), failed: s.Counter("rpc_failed"), seconds: latency(s, "rpc_seconds")}
		h.methods[name] = m
	}
	return m
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
