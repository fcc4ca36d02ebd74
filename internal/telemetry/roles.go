package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// outcomeOK is the tag value of calls that returned the upstream's response.
	outcomeOK = "ok"
	// The upper bounds of latency buckets grow from latencyStart by
	// latencyFactor: from 0.1 ms to 13 s.
	latencyStart   = 100 * time.Microsecond
	latencyFactor  = 2
	latencyBuckets = 18
)

// EntryMetrics holds the metrics of an entry VM.
type EntryMetrics struct {
	calls map[fault.Kind]tally.Counter
	// InFlight is the number of calls in flight.
	InFlight tally.Gauge
	// Call is the duration of calls. Grant, Claim and Upstream are the durations
	// of their steps: the wait for a slot, the claim on an idempotency key and one
	// attempt at an upstream.
	Call     tally.Histogram
	Grant    tally.Histogram
	Claim    tally.Histogram
	Upstream tally.Histogram
	// ConnectionsOpened counts the connections opened to upstreams.
	ConnectionsOpened tally.Counter
	// Retries counts attempts after the first one of a call, Hedges attempts made
	// in parallel to another.
	Retries tally.Counter
	Hedges  tally.Counter
	// Revision is that of the configuration in force. Fresh is 1 while the
	// configuration lease is valid, else 0.
	Revision tally.Gauge
	Fresh    tally.Gauge
}

// NewEntryMetrics creates the metrics of an entry VM in scope s.
func NewEntryMetrics(s tally.Scope) *EntryMetrics {
	m := &EntryMetrics{
		calls:             make(map[fault.Kind]tally.Counter),
		InFlight:          s.Gauge("calls_in_flight"),
		Call:              latencyHistogram(s, "call_seconds"),
		Grant:             latencyHistogram(s, "grant_seconds"),
		Claim:             latencyHistogram(s, "claim_seconds"),
		Upstream:          latencyHistogram(s, "upstream_seconds"),
		ConnectionsOpened: s.Counter("upstream_connections_opened"),
		Retries:           s.Counter("retries"),
		Hedges:            s.Counter("hedges"),
		Revision:          s.Gauge("config_revision"),
		Fresh:             s.Gauge("config_fresh"),
	}
	m.calls[""] = callCounter(s, outcomeOK)
	for _, kind := range fault.Kinds() {
		m.calls[kind] = callCounter(s, string(kind))
	}
	return m
}

// CountCall counts one call by its error kind, "" for a successful one. Unknown
// kinds count as fault.Internal.
func (m *EntryMetrics) CountCall(kind fault.Kind) {
	c, ok := m.calls[kind]
	if !ok {
		c = m.calls[fault.Internal]
	}
	c.Inc(1)
}

// ControlMetrics holds the metrics of a control VM.
type ControlMetrics struct {
	// Leader is 1 while this replica is the leader, else 0.
	Leader tally.Gauge
	Term   tally.Gauge
	// CommitIndex is the index of the last committed log entry.
	CommitIndex tally.Gauge
	// Members is the number of replicas, LiveMembers the number of those that the
	// leader has recently heard from (0 on followers).
	Members     tally.Gauge
	LiveMembers tally.Gauge
	// Voters and Learners are the members by kind, SilentVoters the voters that the
	// leader has not recently heard from (0 on followers).
	Voters       tally.Gauge
	Learners     tally.Gauge
	SilentVoters tally.Gauge
	// LeaderUnknown is 1 while this replica knows no leader, else 0, and
	// LeaderUnknownSeconds the time since it last knew one, 0 while it does.
	LeaderUnknown        tally.Gauge
	LeaderUnknownSeconds tally.Gauge
	// Revision is the newest committed configuration revision known to this
	// replica, StateVersion the version of the desired state in it, and Entries
	// the number of gateways and entry VMs registered in it.
	Revision     tally.Gauge
	StateVersion tally.Gauge
	Entries      tally.Gauge
	// Upstreams holds the number of upstreams in that revision, by state.
	Upstreams map[string]tally.Gauge
	// LogLinesDropped is the number of log lines dropped since the start.
	LogLinesDropped tally.Gauge
}

// NewControlMetrics creates the metrics of a control VM in scope s.
func NewControlMetrics(s tally.Scope) *ControlMetrics {
	m := &ControlMetrics{
		Leader:               s.Gauge("control_leader"),
		Term:                 s.Gauge("control_term"),
		CommitIndex:          s.Gauge("control_commit_index"),
		Members:              s.Gauge("control_members"),
		LiveMembers:          s.Gauge("control_members_live"),
		Voters:               s.Gauge("control_voters"),
		Learners:             s.Gauge("control_learners"),
		SilentVoters:         s.Gauge("control_voters_silent"),
		LeaderUnknown:        s.Gauge("control_leader_unknown"),
		LeaderUnknownSeconds: s.Gauge("control_leader_unknown_seconds"),
		Revision:             s.Gauge("control_config_revision"),
		StateVersion:         s.Gauge("control_state_version"),
		Entries:              s.Gauge("control_entries"),
		Upstreams:            make(map[string]tally.Gauge),
		LogLinesDropped:      s.Gauge("log_lines_dropped"),
	}
	for _, state := range catalogpb.UpstreamState_name {
		m.Upstreams[state] = s.Tagged(map[string]string{"state": state}).Gauge("control_upstreams")
	}
	return m
}

// ControlLoopMetrics holds the metrics of the event loop of a control server.
type ControlLoopMetrics struct {
	// Wait is the time that events waited for the loop.
	Wait tally.Histogram
	// ConfigAck is the age of a configuration when it was acknowledged to the
	// leader.
	ConfigAck tally.Histogram

	scope tally.Scope
}

// NewControlLoopMetrics creates the metrics of an event loop in scope s.
func NewControlLoopMetrics(s tally.Scope) *ControlLoopMetrics {
	return &ControlLoopMetrics{
		Wait:      latencyHistogram(s, "control_loop_wait_seconds"),
		ConfigAck: latencyHistogram(s, "control_config_ack_seconds"),
		scope:     s,
	}
}

// UpdateRollout sets the numbers of requests and of bad answers that gateways have
// reported for the roll-out of a pool under way. The version is "old" or "new".
func (m *ControlLoopMetrics) UpdateRollout(pool, version string, requests, bad uint64) {
	s := m.scope.Tagged(map[string]string{"pool": pool, "version": version})
	s.Gauge("control_rollout_requests").Update(float64(requests))
	s.Gauge("control_rollout_bad").Update(float64(bad))
}

func callCounter(s tally.Scope, kind string) tally.Counter {
	return s.Tagged(map[string]string{"kind": kind}).Counter("answers")
}

func latencyHistogram(s tally.Scope, name string) tally.Histogram {
	return s.Histogram(name, tally.MustMakeExponentialDurationBuckets(latencyStart, latencyFactor, latencyBuckets))
}
