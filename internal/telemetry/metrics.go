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
)

const (
	// reportEvery is the interval at which counted values reach the scrape
	// endpoint.
	reportEvery = time.Second
	// metricPrefix precedes the name of every metric of this program.
	metricPrefix = "balsamcourse"
)

// Metrics is the root of the metrics of a process. Metrics.Scope makes them,
// Metrics.Handler serves them.
type Metrics struct {
	tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics tagged with the role and the id of the process.
func NewMetrics(role, id string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   map[string]string{"role": role, "id": id},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves GET /metrics.
func (m *Metrics) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.handler)
	return mux
}

// Close reports what has been counted and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// sanitizer keeps the characters that ids and names of zones may have.
func sanitizer() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters.Characters = tally.UnderscoreDashDotCharacters
	return &o
}
