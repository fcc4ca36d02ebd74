package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// answerOK is the tag of calls that got their upstream's answer.
	answerOK = "ok"
	// Latency buckets grow by latencyFactor from latencyStart.
	latencyStart   = 100 * time.Microsecond
	latencyFactor  = 2
	latencyBuckets = 18
)

// EntryMetrics are the metrics of an entry VM.
type EntryMetrics struct {
	answers map[fault.Kind]tally.Counter
	// InFlight is the number of calls in flight.
	InFlight tally.Gauge
	// Call is the time of whole calls; Grant, Claim and Upstream are that of
	// their hops.
	Call     tally.Histogram
	Grant    tally.Histogram
	Claim    tally.Histogram
	Upstream tally.Histogram
	// ConnectionsOpened counts new connections to upstreams.
	ConnectionsOpened tally.Counter
	// Retries counts further attempts, Hedges those made in parallel.
	Retries tally.Counter
	Hedges  tally.Counter
	// Revision is the configuration in force; Fresh is 1 while it is confirmed.
	Revision tally.Gauge
	Fresh    tally.Gauge
}

// NewEntryMetrics makes the metrics of an entry VM.
func NewEntryMetrics(s tally.Scope) *EntryMetrics {
	m := &EntryMetrics{
		answers:           make(map[fault.Kind]tally.Counter),
		InFlight:          s.Gauge("calls_in_flight"),
		Call:              latency(s, "call_seconds"),
		Grant:             latency(s, "grant_seconds"),
		Claim:             latency(s, "claim_seconds"),
		Upstream:          latency(s, "upstream_seconds"),
		ConnectionsOpened: s.Counter("upstream_connections_opened"),
		Retries:           s.Counter("retries"),
		Hedges:            s.Counter("hedges"),
		Revision:          s.Gauge("config_revision"),
		Fresh:             s.Gauge("config_fresh"),
	}
	m.answers[""] = answerCounter(s, answerOK)
	for _, kind := range fault.Kinds() {
		m.answers[kind] = answerCounter(s, string(kind))
	}
	return m
}

// CountCall counts one call by the kind of its refusal, "" for none.
func (m *EntryMetrics) CountCall(kind fault.Kind) {
	c, ok := m.answers[kind]
	if !ok {
		c = m.answers[fault.Internal]
	}
	c.Inc(1)
}

// ControlMetrics are the metrics of a control VM.
type ControlMetrics struct {
	// Leader is 1 while this replica leads.
	Leader tally.Gauge
	Term   tally.Gauge
	// CommitIndex is the index of the last committed log entry.
	CommitIndex tally.Gauge
	// Members is the number of replicas, LiveMembers that of those heard by
	// the leader.
	Members     tally.Gauge
	LiveMembers tally.Gauge
	// Revision is the newest committed revision known here, StateVersion that of
	// its desired state, Entries the number of its gateways and entry VMs.
	Revision     tally.Gauge
	StateVersion tally.Gauge
	Entries      tally.Gauge
	// Upstreams counts the upstreams of that revision, by state.
	Upstreams map[string]tally.Gauge
	// LogLinesDropped is the number of log lines that found no room.
	LogLinesDropped tally.Gauge
}

// NewControlMetrics makes the metrics of a control VM.
func NewControlMetrics(s tally.Scope) *ControlMetrics {
	m := &ControlMetrics{
		Leader:          s.Gauge("control_leader"),
		Term:            s.Gauge("control_term"),
		CommitIndex:     s.Gauge("control_commit_index"),
		Members:         s.Gauge("control_members"),
		LiveMembers:     s.Gauge("control_members_live"),
		Revision:        s.Gauge("control_config_revision"),
		StateVersion:    s.Gauge("control_state_version"),
		Entries:         s.Gauge("control_entries"),
		Upstreams:       make(map[string]tally.Gauge),
		LogLinesDropped: s.Gauge("log_lines_dropped"),
	}
	for _, state := range catalogpb.UpstreamState_name {
		m.Upstreams[state] = s.Tagged(map[string]string{"state": state}).Gauge("control_upstreams")
	}
	return m
}

func answerCounter(s tally.Scope, kind string) tally.Counter {
	return s.Tagged(map[string]string{"kind": kind}).Counter("answers")
}

func latency(s tally.Scope, name string) tally.Histogram {
	return s.Histogram(name, tally.MustMakeExponentialDurationBuckets(latencyStart, latencyFactor, latencyBuckets))
}
