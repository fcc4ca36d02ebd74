package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot holds the result of the detection for each suspect request. It is
// immutable and safe for concurrent use.
type Snapshot map[Request]status

// status is the result of the detection for one request.
type status struct {
	// crashes is the number of crashes that count against the request.
	crashes     int
	quarantined bool
	// until is when the newest crash no longer counts.
	until time.Duration
}

// Blocked reports whether the request is quarantined, and for how much longer.
func (s Snapshot) Blocked(now time.Duration, r Request) (time.Duration, bool) {
	st := s[r]
	if !st.quarantined || now >= st.until {
		return 0, false
	}
	return st.until - now, true
}

// Suspect reports whether the request was in flight during a crash that counts
// against it.
func (s Snapshot) Suspect(now time.Duration, r Request) bool { return now < s[r].until }

// QuarantinedRequest describes a quarantined request.
type QuarantinedRequest struct {
	Request Request
	// Crashes is the number of crashes that count against the request.
	Crashes int
	// Remaining is the time until the quarantine expires.
	Remaining time.Duration
}

// Quarantined returns the quarantined requests, sorted by service and
// fingerprint.
func (s Snapshot) Quarantined(now time.Duration) []QuarantinedRequest {
	var out []QuarantinedRequest
	for r, st := range s {
		if remaining, ok := s.Blocked(now, r); ok {
			out = append(out, QuarantinedRequest{r, st.crashes, remaining})
		}
	}
	slices.SortFunc(out, func(a, b QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(a.Request.Service, b.Request.Service), cmp.Compare(a.Request.Fingerprint, b.Request.Fingerprint))
	})
	return out
}
