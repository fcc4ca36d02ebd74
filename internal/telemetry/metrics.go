// Package telemetry provides the metrics and traces of a process.
package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"balsamcourse.example/balsamcourse/internal/httpnet"
)

const (
	// reportInterval is the interval at which values are copied to the scrape
	// endpoint.
	reportInterval = time.Second
	// metricPrefix is the prefix of the names of this program's metrics.
	metricPrefix = "balsamcourse"
)

// Metrics is the root scope of the metrics of a process. Its Scope creates
// metrics, and Handler serves them.
type Metrics struct {
	tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics that carry the role and the id of the process as
// tags. The metrics of the Go runtime and of the process are included.
func NewMetrics(role, id string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   map[string]string{"role": role, "id": id},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizeOptions(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns a handler for GET /metrics.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", httpnet.Render(m.handler))
	return mux
}

// Close copies the last values to the scrape endpoint and stops the updates.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizeOptions allows '_', '-' and '.' in tag values, because ids and names of
// zones may contain them.
func sanitizeOptions() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &o
}
