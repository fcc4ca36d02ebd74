package gateway

import (
	"strconv"
	"strings"

	"balsamcourse.example/balsamcourse/internal/place"
)

// Headers holds the names of the headers that callers, gateways and upstreams
// use.
type Headers struct {
	// RequestID identifies one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline carries the milliseconds left to the deadline.
	Deadline string
	// ExpectUpstream names the upstream that may run the request.
	ExpectUpstream string
	// UpstreamID is the id of the upstream in answers to health requests.
	UpstreamID string
	// Load is the load of the upstream in its answers.
	Load string
	// ColdMs is how long the upstream stays cold, in milliseconds.
	ColdMs string
	// NotRun is present in answers to requests that did not run.
	NotRun string
	// ServedBy is present in every answer of an upstream that ran the request.
	ServedBy string
	// ParseLoad reads the value of Load; it reports false when it cannot.
	ParseLoad func(value string) (place.Load, bool)
}

// DefaultHeaders returns the names that upstreams use which were made for this
// system.
func DefaultHeaders() Headers {
	return Headers{
		RequestID:      "Balsam-Request-Id",
		Deadline:       "Balsam-Timeout-Ms",
		ExpectUpstream: "Balsam-Expect-Upstream",
		UpstreamID:     "Balsam-Upstream",
		Load:           "Balsam-Load",
		ColdMs:         "Balsam-Cold-Ms",
		NotRun:         "Balsam-Not-Run",
		ServedBy:       "Balsam-Upstream",
		ParseLoad:      parseOwnLoad,
	}
}

// parseOwnLoad reads "running waiting slots slow_percent".
func parseOwnLoad(value string) (place.Load, bool) {
	var l place.Load
	fields := strings.Fields(value)
	targets := []*int{&l.Running, &l.Waiting, &l.Slots, &l.SlowPercent}
	if len(fields) != len(targets) {
		return place.Load{}, false
	}
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 {
			return place.Load{}, false
		}
		*targets[i] = n
	}
	return l, true
}
