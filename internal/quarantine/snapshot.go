package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what the evidence says of each request. It is immutable and safe
// for concurrent use.
type Snapshot map[Request]verdict

// verdict is what the evidence says of one request.
type verdict struct {
	crashes     int
	quarantined bool
	// until is when the newest crash ceases to count.
	until time.Duration
}

// Blocked reports whether the request is quarantined, and for how long.
func (v Snapshot) Blocked(now time.Duration, r Request) (time.Duration, bool) {
	of := v[r]
	if !of.quarantined || now >= of.until {
		return 0, false
	}
	return of.until - now, true
}

// Suspect reports whether the request was in flight at a crash that counts
// against it. At most one attempt at a suspect request should run at a time.
func (v Snapshot) Suspect(now time.Duration, r Request) bool {
	of := v[r]
	return of.crashes > 0 && now < of.until
}

// QuarantinedRequest is a quarantined request.
type QuarantinedRequest struct {
	Request Request
	// Crashes is the number of crashes that count against it.
	Crashes int
	// Remaining is the time until the quarantine ends by itself.
	Remaining time.Duration
}

// Quarantined returns the requests that are quarantined.
func (v Snapshot) Quarantined(now time.Duration) []QuarantinedRequest {
	var out []QuarantinedRequest
	for r, of := range v {
		if left, ok := v.Blocked(now, r); ok {
			out = append(out, QuarantinedRequest{r, of.crashes, left})
		}
	}
	slices.SortFunc(out, func(a, b QuarantinedRequest) int {
		return cmp.Or(cmp.Compare(a.Request.Service, b.Request.Service), cmp.Compare(a.Request.Fingerprint, b.Request.Fingerprint))
	})
	return out
}
