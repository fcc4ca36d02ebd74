package telemetry

import (
	"fmt"
	"strings"
)

// Metric describes a metric of the program for the documentation.
type Metric struct {
	// Name is the name at the scrape endpoint without the prefix "balsamcourse_".
	Name string
	// Type is the type in the Prometheus text format.
	Type string
	// Roles lists the values of the tag "role" of the processes that serve it.
	Roles string
	// Tags lists the tags in addition to role and id.
	Tags string
	// Text describes the value.
	Text string
}

const (
	counter   = "counter"
	gauge     = "gauge"
	histogram = "histogram"
	summary   = "summary"
)

// Catalogue returns all metrics of the program in the order of the documentation.
func Catalogue() []Metric {
	return []Metric{
		{"calls", counter, "gateway", "pool, route_kind, outcome", "calls by outcome: `ok`, or the kind of the error (docs/ERRORS.md)"},
		{"call_seconds", histogram, "gateway, entry", "route_kind (gateway)", "duration of calls"},
		{"wait_seconds", histogram, "gateway", "", "time that calls spent on finding an upstream with a free slot, including the time in the queue"},
		{"upstream_seconds", histogram, "gateway, entry", "", "duration of one attempt at an upstream"},
		{"calls_in_flight", gauge, "gateway, entry", "", "calls in flight"},
		{"client_bytes", gauge, "gateway, entry, control", "", "bytes that the process holds for its clients: connections, heads, bodies and answers"},
		{"client_connections", gauge, "gateway, entry, control", "", "connections of clients"},
		{"clients_dropped", counter, "gateway, entry, control", "", "connections and bodies of clients that were dropped since there was no room left"},
		{"clients_refused", counter, "gateway, entry, control", "", "requests and connections that were refused since there was no room for their bodies, heads, answers or streams"},
		{"calls_waiting", gauge, "gateway", "pool", "calls queued for an upstream"},
		{"upstreams_open", gauge, "gateway", "pool", "upstreams that accept requests"},
		{"upstreams_ready", gauge, "gateway", "pool", "upstreams that accept requests and are neither cold nor held back after failures"},
		{"upstreams_limited", gauge, "gateway", "pool", "upstreams that accept requests and name the request rate that they take from all gateways together"},
		{"upstreams_lost", gauge, "gateway", "", "1 while this gateway has no way to any upstream, else 0"},
		{"relayed_out", counter, "gateway", "outcome", "calls that this gateway has relayed to others because it had no way to any upstream: `served`, `refused`, `unreachable` or `broken`"},
		{"relayed_in", counter, "gateway", "outcome", "calls that other gateways have relayed to this one: `served` or `refused`"},
		{"broken_attempts", counter, "gateway", "why", "attempts without a complete response: `crash` (reported as a crash of the upstream), `not_sent`, `caller_gone`, `deadline` or `stream` (a crash after a part of the response had been forwarded)"},
		{"limited_requests", counter, "gateway", "pool", "requests that this gateway has sent to upstreams while they named a request rate"},
		{"limited_probes", counter, "gateway", "pool", "load probes that this gateway has sent to upstreams while they named a request rate"},
		{"upstreams_leaving", gauge, "gateway", "pool", "upstreams that have said in an answer that they are leaving, while the configuration lets them get requests"},
		{"upstreams_paused", gauge, "gateway", "pool", "upstreams that want no requests from this gateway until the time in their Retry-After has passed"},
		{"calls_withheld_leaving", counter, "gateway", "pool", "calls refused, or moved to another upstream right before they were sent, as upstreams are leaving"},
		{"calls_withheld_paused", counter, "gateway", "pool", "calls refused, or moved to another upstream right before they were sent, as upstreams have asked for a pause"},
		{"calls_withheld_version", counter, "gateway", "pool", "requests that were not sent to the upstream reserved for them, as its software version gets no more requests"},
		{"version_requests", counter, "gateway", "pool, version, outcome", "requests that upstreams of the `old` or `new` version have run while a roll-out is under way: `ok`, `failure`, `malformed` or `slow`"},
		{"rollout_draws_without_room", counter, "gateway", "", "requests drawn for the new version that went to the old one, as no upstream of the new one had room"},
		{"rollout_withdrawn", gauge, "gateway", "pool", "1 while this gateway sends the new version nothing because of its own evidence, else 0"},
		{"upstream_requests_in_flight", gauge, "gateway", "pool", "requests of this gateway in flight at upstreams"},
		{"permit_seconds", histogram, "gateway", "", "time until another gateway answered a request for a permit, which an upstream needs that names a request rate or is cold"},
		{"allotment_seconds", histogram, "gateway", "", "time that calls waited for a permit of their organisation's allotment right before they were sent; calls that did not wait are not counted"},
		{"organisation_calls", counter, "gateway", "organisation, outcome", "calls of organisations with an allotment: `sent` (attempts that an upstream may have run), `refused` (the allotment is used up) or `no_issuer` (nobody issued permits); organisations beyond the first 256 count as `other`"},
		{"retries", counter, "gateway, entry", "", "attempts after the first one of a call"},
		{"retries_left", gauge, "gateway", "pool", "retries that the retry budget of this gateway allows now"},
		{"config_revision", gauge, "gateway, entry", "", "revision of the configuration in force"},
		{"config_state_version", gauge, "gateway", "", "version of the desired state in force"},
		{"config_unheard_seconds", gauge, "gateway", "", "age of the configuration: time since a control VM last answered"},
		{"config_unconfirmed_seconds", gauge, "gateway", "", "time for which the configuration has not been known to be the newest one; it grows while control does not answer and while the VM is suspended, and is huge before the first lease"},
		{"config_fresh", gauge, "entry", "", "1 while the configuration lease is valid, else 0"},
		{"log_lines_dropped", gauge, "gateway, control", "", "log lines dropped since the start because the log queue was full"},
		{"answers", counter, "entry", "kind", "calls by the kind of the error, or `ok`"},
		{"grant_seconds", histogram, "entry", "", "time until a dispatcher granted a slot"},
		{"claim_seconds", histogram, "entry", "", "time until a claim on an idempotency key was decided"},
		{"upstream_connections_opened", counter, "entry", "", "connections opened to upstreams"},
		{"hedges", counter, "entry", "", "hedged attempts, made in parallel to another attempt"},
		{"dispatch_grants", counter, "entry", "", "slots that this entry VM granted as dispatcher"},
		{"dispatch_refusals", counter, "entry", "", "slot requests that this entry VM refused as dispatcher"},
		{"dispatch_probes", counter, "entry", "", "upstreams that this entry VM probed as dispatcher"},
		{"dispatch_misses", counter, "entry", "", "messages for cells that another entry VM dispatches"},
		{"dispatch_cells", gauge, "entry", "", "cells that this entry VM dispatches"},
		{"claims_decide", summary, "entry", "", "time in seconds until the entry VMs that store a claim had decided it"},
		{"claims_refused", counter, "entry", "kind", "claims refused"},
		{"claims_records", gauge, "entry", "", "claims stored on this entry VM"},
		{"claims_kept_bytes", gauge, "entry", "", "bytes of responses stored for repeated idempotency keys"},
		{"claims_unsynced_partitions", gauge, "entry", "", "claim partitions that are not yet synchronised from their other members"},
		{"control_leader", gauge, "control", "", "1 while this replica is the leader, else 0"},
		{"control_term", gauge, "control", "", "term of the control log"},
		{"control_commit_index", gauge, "control", "", "index of the last committed entry"},
		{"control_members", gauge, "control", "", "replicas of the control group"},
		{"control_members_live", gauge, "control", "", "replicas that the leader has recently heard from; 0 on followers"},
		{"control_voters", gauge, "control", "", "voters of the control group in the newest membership known to this replica"},
		{"control_learners", gauge, "control", "", "standbys, and replicas of the control group that have not caught up"},
		{"control_voters_silent", gauge, "control", "", "voters that the leader has not recently heard from; 0 on followers"},
		{"control_leader_unknown", gauge, "control", "", "1 while this replica knows no leader, else 0"},
		{"control_leader_unknown_seconds", gauge, "control", "", "time for which this replica has known no leader; 0 while it knows one"},
		{"control_config_revision", gauge, "control", "", "newest committed configuration revision known to this replica"},
		{"control_state_version", gauge, "control", "", "version of the desired state in the newest committed revision"},
		{"control_entries", gauge, "control", "", "registered gateways and entry VMs"},
		{"control_upstreams", gauge, "control", "state", "upstreams that have announced themselves"},
		{"control_loop_wait_seconds", histogram, "control", "", "time that events waited for the event loop of the control server"},
		{"control_rollout_requests", gauge, "control", "pool, version", "requests that gateways have reported to the leader for the last roll-out of the pool, to the `old` and the `new` version"},
		{"control_rollout_bad", gauge, "control", "pool, version", "bad answers among `control_rollout_requests`: failures, malformed and slow ones"},
		{"control_config_ack_seconds", histogram, "control", "", "age of a configuration when a gateway or an entry VM acknowledged it to the leader"},
		{"rpc_calls", counter, "gateway, control", "method", "RPCs received from other processes and operators"},
		{"rpc_failed", counter, "gateway, control", "method", "RPCs that failed"},
		{"rpc_received_bytes", counter, "gateway, control", "method", "bytes of the request bodies of RPCs"},
		{"rpc_sent_bytes", counter, "gateway, control", "method", "bytes of the response bodies of RPCs"},
		{"rpc_seconds", histogram, "gateway, control", "method", "duration of RPCs"},
	}
}

const pageHeader = `# Metrics

Generated by ` + "`balsamcourse docs metrics`" + `; tests compare this page with the code, and the code with the metrics that processes serve.

Each process serves ` + "`GET /metrics`" + ` in the text format of Prometheus at the metrics address of its settings. Names begin with
` + "`balsamcourse_`" + `; each metric has the tags ` + "`role`" + ` and ` + "`id`" + `. Values are updated once a second. Times are in seconds; the
buckets of histograms double from 0.1 ms. ` + "`go_*`" + ` and ` + "`process_*`" + ` describe the Go runtime and the process.

| Name | Type | Roles | Additional tags | Description |
|---|---|---|---|---|
`

// Page returns the documentation of all metrics as Markdown (docs/METRICS.md).
func Page() string {
	var b strings.Builder
	b.WriteString(pageHeader)
	for _, m := range Catalogue() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Type, m.Roles, m.Tags, m.Text)
	}
	return b.String()
}
