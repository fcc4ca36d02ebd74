package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"

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
	// Connections counts new connections to upstreams.
	Connections tally.Counter
	// Probes counts probes, ProbeMs the slot time they were charged.
	Probes  tally.Counter
	ProbeMs tally.Counter
	// Retries counts further attempts, Hedges those made in parallel.
	Retries tally.Counter
	Hedges  tally.Counter
	// Revision is the configuration in force; Fresh is 1 while it is confirmed.
	Revision tally.Gauge
	Fresh    tally.Gauge
	// Cells is the number of cells that this VM dispatches.
	Cells tally.Gauge
	// Claims is the number of claims that this VM keeps.
	Claims tally.Gauge
}

// NewEntryMetrics makes the metrics of an entry VM.
func NewEntryMetrics(s tally.Scope) *EntryMetrics {
	m := &EntryMetrics{
		answers:     make(map[fault.Kind]tally.Counter),
		InFlight:    s.Gauge("calls_in_flight"),
		Call:        latency(s, "call_seconds"),
		Grant:       latency(s, "grant_seconds"),
		Claim:       latency(s, "claim_seconds"),
		Upstream:    latency(s, "upstream_seconds"),
		Connections: s.Counter("upstream_connections_opened"),
		Probes:      s.Counter("probes"),
		ProbeMs:     s.Counter("probe_slot_ms"),
		Retries:     s.Counter("retries"),
		Hedges:      s.Counter("hedges"),
		Revision:    s.Gauge("config_revision"),
		Fresh:       s.Gauge("config_fresh"),
		Cells:       s.Gauge("cells_dispatched"),
		Claims:      s.Gauge("claims_kept"),
	}
	m.answers[""] = answerCounter(s, answerOK)
	for _, kind := range fault.Kinds() {
		m.answers[kind] = answerCounter(s, string(kind))
	}
	return m
}

// Answer counts one call by the kind of its refusal, "" for none.
func (m *EntryMetrics) Answer(kind fault.Kind) {
	c, ok := m.answers[kind]
	if !ok {
		c = m.answers[fault.Internal]
	}
	c.Inc(1)
}

// ControlMetrics are the metrics of a control VM.
type ControlMetrics struct {
	// Leader is 1 while this replica leads.
	Leader           tally.Gauge
	Term             tally.Gauge
	Commit           tally.Gauge
	Revision         tally.Gauge
	AcceptedRevision tally.Gauge
	// LiveEntries is the number of entry VMs heard within the lease.
	LiveEntries tally.Gauge
	// Changes counts operators' changes, Renewals lease renewals.
	Changes  tally.Counter
	Renewals tally.Counter
	// Sync is the time of one sync of the log.
	Sync tally.Histogram
	// Accept is the time from an operator's call until its change is accepted.
	Accept tally.Histogram
}

// NewControlMetrics makes the metrics of a control VM.
func NewControlMetrics(s tally.Scope) *ControlMetrics {
	return &ControlMetrics{
		Leader:           s.Gauge("control_leader"),
		Term:             s.Gauge("control_term"),
		Commit:           s.Gauge("control_commit_index"),
		Revision:         s.Gauge("config_revision"),
		AcceptedRevision: s.Gauge("config_accepted_revision"),
		LiveEntries:      s.Gauge("entries_live"),
		Changes:          s.Counter("operator_changes"),
		Renewals:         s.Counter("lease_renewals"),
		Sync:             latency(s, "log_sync_seconds"),
		Accept:           latency(s, "change_accept_seconds"),
	}
}

func answerCounter(s tally.Scope, kind string) tally.Counter {
	return s.Tagged(map[string]string{"kind": kind}).Counter("answers")
}

func latency(s tally.Scope, name string) tally.Histogram {
	return s.Histogram(name, tally.MustMakeExponentialDurationBuckets(latencyStart, latencyFactor, latencyBuckets))
}
