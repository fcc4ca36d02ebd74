package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// maxCallSeries bounds the series of the metric "calls", one for each
	// combination of pool, route kind and outcome. It leaves room for 140 pools
	// with a few outcomes each.
	maxCallSeries = 2048
	// otherPool is the pool tag of combinations beyond maxCallSeries.
	otherPool = "other"
)

// GatewayMetrics holds the metrics of a gateway. It is safe for concurrent use.
type GatewayMetrics struct {
	scope tally.Scope
	// InFlight is the number of calls in flight.
	InFlight tally.Gauge
	// UpstreamWait is the time that calls spend on finding an upstream, Upstream
	// the duration of one attempt.
	UpstreamWait tally.Histogram
	Upstream     tally.Histogram
	// PermitWait is the time until another gateway has answered a request for a
	// permit.
	PermitWait tally.Histogram
	// AllotmentWait is the time that calls waited for a permit of an allotment.
	AllotmentWait tally.Histogram
	// Retries counts attempts after the first one of a call.
	Retries tally.Counter
	// DrawsWithoutRoom counts requests drawn for the target of a roll-out that went to
	// the old version.
	DrawsWithoutRoom tally.Counter
	// UpstreamsLost is 1 while all upstreams are lost, else 0.
	UpstreamsLost tally.Gauge
	// Revision and StateVersion belong to the configuration in force. ConfigAge
	// is the time in seconds since a control VM last answered, ConfigUnconfirmed
	// that for which the configuration has not been known to be the newest.
	Revision          tally.Gauge
	StateVersion      tally.Gauge
	ConfigAge         tally.Gauge
	ConfigUnconfirmed tally.Gauge
	// LogLinesDropped is the number of log lines dropped since the start.
	LogLinesDropped tally.Gauge

	mu    sync.Mutex
	calls map[callSeries]tally.Counter
	times map[string]tally.Histogram
	pools map[string]*PoolMetrics
	// organisations holds the organisations that have series of their own.
	organisations map[string]bool
}

// Outcomes of calls of organisations with an allotment, the values of the tag
// "outcome" of the metric "organisation_calls".
const (
	AllotmentSent     = "sent"
	AllotmentRefused  = "refused"
	AllotmentNoIssuer = "no_issuer"
)

const (
	// maxOrganisations bounds the organisations with series of their own.
	maxOrganisations = 256
	// otherOrganisation is the organisation tag of the others.
	otherOrganisation = "other"
)

// OrganisationCalls returns the counter of calls of an organisation with an allotment.
func (m *GatewayMetrics) OrganisationCalls(organisation, outcome string) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.organisations[organisation] {
		if len(m.organisations) >= maxOrganisations {
			organisation = otherOrganisation
		} else {
			m.organisations[organisation] = true
		}
	}
	return m.scope.Tagged(map[string]string{"organisation": organisation, "outcome": outcome}).Counter("organisation_calls")
}

// Outcomes of relayed calls, the values of the tag "outcome" of the metrics
// "relayed_out" and "relayed_in".
const (
	// RelayServed counts calls that were answered with the response of an upstream.
	RelayServed = "served"
	// RelayRefused counts calls that the other gateway answered with an error.
	RelayRefused = "refused"
	// RelayUnreachable counts calls for which no connection to the other gateway
	// could be opened.
	RelayUnreachable = "unreachable"
	// RelayBroken counts calls without a complete response of the other gateway.
	RelayBroken = "broken"
)

// RelayedOut returns the counter of calls that this gateway has relayed to others,
// by outcome.
func (m *GatewayMetrics) RelayedOut(outcome string) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("relayed_out")
}

// RelayedIn returns the counter of calls that others have relayed to this gateway,
// by outcome.
func (m *GatewayMetrics) RelayedIn(outcome string) tally.Counter {
	return m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("relayed_in")
}

// Reasons why an attempt ended without a complete response, the values of the tag
// "why" of the metric "broken_attempts".
const (
	// BrokenCrash counts connections that broke with the request in flight: they are
	// reported as crashes of the upstream.
	BrokenCrash = "crash"
	// BrokenNotSent counts connections that broke before the request was sent.
	BrokenNotSent = "not_sent"
	// BrokenCallerGone and BrokenDeadline count attempts that ended because the
	// caller had disconnected or the deadline had passed.
	BrokenCallerGone = "caller_gone"
	BrokenDeadline   = "deadline"
	// BrokenStream counts crashes that are reported after a part of the response had
	// been forwarded.
	BrokenStream = "stream"
)

// BrokenAttempts returns the counter of attempts without a complete response, by
// reason.
func (m *GatewayMetrics) BrokenAttempts(why string) tally.Counter {
	return m.scope.Tagged(map[string]string{"why": why}).Counter("broken_attempts")
}

// callSeries holds the tag values of one series of the metric "calls".
type callSeries struct{ pool, routeKind, outcome string }

// PoolMetrics holds the gauges of one pool, which are updated once a second.
type PoolMetrics struct {
	// OpenUpstreams is the number of upstreams that accept requests,
	// ReadyUpstreams the number of those that are neither cold nor held back
	// after failures.
	OpenUpstreams, ReadyUpstreams tally.Gauge
	// RequestsInFlight is the number of this gateway's requests in flight at
	// upstreams, CallsWaiting the number of calls queued for an upstream.
	RequestsInFlight, CallsWaiting tally.Gauge
	// RetriesLeft is the number of retries that the retry budget allows now.
	RetriesLeft tally.Gauge
	// LimitedUpstreams is the number of upstreams that accept requests and name a
	// rate limit. LimitedRequests and LimitedProbes count what this gateway has
	// sent to them.
	LimitedUpstreams               tally.Gauge
	LimitedRequests, LimitedProbes tally.Counter
	// LeavingUpstreams and PausedUpstreams are the numbers of upstreams that have
	// said in an answer that they are leaving, or have asked for a pause that has not
	// ended.
	LeavingUpstreams, PausedUpstreams tally.Gauge
	// WithheldLeaving and WithheldPaused count calls that were refused, or moved to
	// another upstream right before they were sent, for one of these reasons.
	WithheldLeaving, WithheldPaused tally.Counter
	// WithheldVersion counts requests whose upstream's software version got no more
	// requests right before they were sent. RolloutWithdrawn is 1 while this gateway
	// sends the target of a roll-out nothing because of its own evidence.
	WithheldVersion  tally.Counter
	RolloutWithdrawn tally.Gauge
}

// Outcomes of requests during a roll-out, the values of the tag "outcome" of the metric
// "version_requests".
const (
	VersionOK        = "ok"
	VersionFailure   = "failure"
	VersionMalformed = "malformed"
	VersionSlow      = "slow"
)

// VersionRequests returns the counter of requests to one version of the pool during a
// roll-out, by outcome.
func (m *GatewayMetrics) VersionRequests(pool string, isNew bool, outcome string) tally.Counter {
	version := "old"
	if isNew {
		version = "new"
	}
	return m.scope.Tagged(map[string]string{"pool": pool, "version": version, "outcome": outcome}).Counter("version_requests")
}

// NewGatewayMetrics creates the metrics of a gateway in scope s.
func NewGatewayMetrics(s tally.Scope) *GatewayMetrics {
	return &GatewayMetrics{
		scope:             s,
		InFlight:          s.Gauge("calls_in_flight"),
		UpstreamWait:      latencyHistogram(s, "wait_seconds"),
		Upstream:          latencyHistogram(s, "upstream_seconds"),
		PermitWait:        latencyHistogram(s, "permit_seconds"),
		AllotmentWait:     latencyHistogram(s, "allotment_seconds"),
		Retries:           s.Counter("retries"),
		DrawsWithoutRoom:  s.Counter("rollout_draws_without_room"),
		UpstreamsLost:     s.Gauge("upstreams_lost"),
		Revision:          s.Gauge("config_revision"),
		StateVersion:      s.Gauge("config_state_version"),
		ConfigAge:         s.Gauge("config_unheard_seconds"),
		ConfigUnconfirmed: s.Gauge("config_unconfirmed_seconds"),
		LogLinesDropped:   s.Gauge("log_lines_dropped"),
		calls:             make(map[callSeries]tally.Counter),
		times:             make(map[string]tally.Histogram),
		pools:             make(map[string]*PoolMetrics),
		organisations:     make(map[string]bool),
	}
}

// CallCounter returns the counter of calls with the given pool, route kind and
// outcome. Pool and routeKind are empty while they are unknown; kind is the error
// kind of a failed call, "" for a successful one.
func (m *GatewayMetrics) CallCounter(pool, routeKind string, kind fault.Kind) tally.Counter {
	outcome := string(kind)
	if kind == "" {
		outcome = outcomeOK
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

// CallDuration returns the histogram of the durations of calls of a route kind.
func (m *GatewayMetrics) CallDuration(routeKind string) tally.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[routeKind]
	if h == nil {
		h = latencyHistogram(m.scope.Tagged(map[string]string{"route_kind": routeKind}), "call_seconds")
		m.times[routeKind] = h
	}
	return h
}

// Pool returns the gauges of the named pool.
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
			LimitedUpstreams: s.Gauge("upstreams_limited"),
			LimitedRequests:  s.Counter("limited_requests"),
			LimitedProbes:    s.Counter("limited_probes"),
			LeavingUpstreams: s.Gauge("upstreams_leaving"),
			PausedUpstreams:  s.Gauge("upstreams_paused"),
			WithheldLeaving:  s.Counter("calls_withheld_leaving"),
			WithheldPaused:   s.Counter("calls_withheld_paused"),
			WithheldVersion:  s.Counter("calls_withheld_version"),
			RolloutWithdrawn: s.Gauge("rollout_withdrawn"),
		}
		m.pools[name] = p
	}
	return p
}
