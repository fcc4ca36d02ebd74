package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// maxCallSeries bounds the combinations of pool, kind of route and outcome
	// that are counted apart: 140 pools with a few outcomes each stay below it.
	maxCallSeries = 2048
	// otherPool stands for the pools of further combinations.
	otherPool = "other"
)

// GatewayMetrics are the metrics of a gateway. It is safe for concurrent use.
type GatewayMetrics struct {
	scope tally.Scope
	// InFlight is the number of calls in flight.
	InFlight tally.Gauge
	// UpstreamWait is the time from a search for an upstream to its end, Upstream that
	// of one attempt.
	UpstreamWait tally.Histogram
	Upstream     tally.Histogram
	// Retries counts further attempts.
	Retries tally.Counter
	// Revision and StateVersion are those of the configuration in force, Unheard
	// is the time in seconds since control last answered.
	Revision     tally.Gauge
	StateVersion tally.Gauge
	ConfigAge    tally.Gauge
	// LogLinesDropped is the number of log lines that found no room.
	LogLinesDropped tally.Gauge

	mu    sync.Mutex
	calls map[callSeries]tally.Counter
	times map[string]tally.Histogram
	pools map[string]*PoolMetrics
}

// callSeries identifies a counter of calls.
type callSeries struct{ pool, routeKind, outcome string }

// PoolMetrics are gauges of one pool, sampled once a second.
type PoolMetrics struct {
	// OpenUpstreams is the number of upstreams that may get work, ReadyUpstreams that of those
	// which are neither cold nor held.
	OpenUpstreams, ReadyUpstreams tally.Gauge
	// RequestsInFlight is the number of requests of this gateway in flight, CallsWaiting that of
	// the calls which wait for an upstream.
	RequestsInFlight, CallsWaiting tally.Gauge
	// RetriesLeft is the number of further attempts that the budget allows now.
	RetriesLeft tally.Gauge
}

// NewGatewayMetrics makes the metrics of a gateway.
func NewGatewayMetrics(s tally.Scope) *GatewayMetrics {
	return &GatewayMetrics{
		scope:           s,
		InFlight:        s.Gauge("calls_in_flight"),
		UpstreamWait:    latency(s, "wait_seconds"),
		Upstream:        latency(s, "upstream_seconds"),
		Retries:         s.Counter("retries"),
		Revision:        s.Gauge("config_revision"),
		StateVersion:    s.Gauge("config_state_version"),
		ConfigAge:       s.Gauge("config_unheard_seconds"),
		LogLinesDropped: s.Gauge("log_lines_dropped"),
		calls:           make(map[callSeries]tally.Counter),
		times:           make(map[string]tally.Histogram),
		pools:           make(map[string]*PoolMetrics),
	}
}

// CallCounter counts one call of a route kind to a pool, both empty when they are not
// known, by the kind of its refusal, "" for none.
func (m *GatewayMetrics) CallCounter(pool, routeKind string, kind fault.Kind) tally.Counter {
	outcome := string(kind)
	if kind == "" {
		outcome = answerOK
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	key := callSeries{pool, routeKind, outcome}
	c := m.calls[key]
	if c == nil && len(m.calls) >= maxCallSeries {
		key.pool = otherPool
		c = m.calls[key]
	}
	if c == nil {
		c = m.scope.Tagged(map[string]string{"pool": key.pool, "route_kind": routeKind, "outcome": outcome}).Counter("calls")
		m.calls[key] = c
	}
	return c
}

// CallDuration returns the histogram of the times of whole calls of a route kind.
func (m *GatewayMetrics) CallDuration(routeKind string) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[routeKind]
	if h == nil {
		h = latency(m.scope.Tagged(map[string]string{"route_kind": routeKind}), "call_seconds")
		m.times[routeKind] = h
	}
	return h
}

// Pool returns the gauges of a pool.
func (m *GatewayMetrics) Pool(name string) *PoolMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.pools[name]
	if p == nil {
		s := m.scope.Tagged(map[string]string{"pool": name})
		p = &PoolMetrics{
			OpenUpstreams:    s.Gauge("upstreams_open"),
			ReadyUpstreams:   s.Gauge("upstreams_ready"),
			RequestsInFlight: s.Gauge("upstream_requests_in_flight"),
			CallsWaiting:     s.Gauge("calls_waiting"),
			RetriesLeft:      s.Gauge("retries_left"),
		}
		m.pools[name] = p
	}
	return p
}
