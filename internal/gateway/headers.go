package gateway

import (
	"math"
	"strconv"
	"strings"

	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// Headers holds the names of the HTTP headers that gateways exchange with
// callers and upstreams.
type Headers struct {
	// RequestID identifies one attempt of a caller; upstreams return it in their
	// response.
	RequestID string
	// Deadline carries the milliseconds left to the deadline.
	Deadline string
	// ExpectUpstream carries the ID of the only upstream that may run the request.
	ExpectUpstream string
	// UpstreamID carries the ID of the upstream in responses to health requests.
	UpstreamID string
	// Load carries the load of the upstream in its responses.
	Load string
	// ColdMs carries how long the upstream stays cold, in milliseconds.
	ColdMs string
	// NotRun is present in responses to requests that the upstream did not run.
	NotRun string
	// ServedBy is present in every response of an upstream that ran the request.
	ServedBy string
	// Limit carries the number of requests per second that the upstream takes from
	// all gateways together. Responses without it name no limit.
	Limit string
	// Leaving carries the value 1 in all answers of an upstream that is leaving.
	Leaving string
	// APIKey carries the API key of the caller. It is never sent to upstreams.
	APIKey string
	// Organisation carries the name of the caller's organisation to upstreams. What
	// callers send in it is removed.
	Organisation string
	// ParseLoad parses the value of Load; it reports false if the value is invalid.
	ParseLoad func(value string) (balance.Load, bool)
}

// DefaultHeaders returns the header names of this system's own protocol.
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
		Limit:          "Balsam-Limit",
		Leaving:        notice.HeaderLeaving,
		APIKey:         "Balsam-Api-Key",
		Organisation:   "Balsam-Organisation",
		ParseLoad:      parseLoad,
	}
}

// parseLimit parses a rate limit: a finite decimal number of at least 0. It
// reports false if the value is invalid.
func parseLimit(value string) (perSecond float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || !isRate(n) || strings.ContainsAny(value, "xXpP_") {
		return 0, false
	}
	return n, true
}

// isRate reports whether n is a finite number of at least 0.
func isRate(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }

// parseLoad parses four non-negative integers in the form "running waiting slots
// slow_percent".
func parseLoad(value string) (balance.Load, bool) {
	var l balance.Load
	fields := strings.Fields(value)
	targets := []*int{&l.Running, &l.Waiting, &l.Slots, &l.SlowPercent}
	if len(fields) != len(targets) {
		return balance.Load{}, false
	}
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 {
			return balance.Load{}, false
		}
		*targets[i] = n
	}
	return l, true
}
