package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Verdicts is what the evidence says of each request. It is immutable and safe
// for concurrent use.
type Verdicts map[Request]verdict

// verdict is what the evidence says of one request.
type verdict struct {
	crashes     int
	quarantined bool
	// until is when the newest crash ceases to count.
	until time.Duration
}

// Blocked reports whether the request is quarantined, and for how long.
func (v Verdicts) Blocked(now time.Duration, r Request) (time.Duration, bool) {
	of := v[r]
	if !of.quarantined || now >= of.until {
		return 0, false
	}
	return of.until - now, true
}

// Suspect reports whether the request was in flight at a crash that counts
// against it. At most one attempt at a suspect request should run at a time.
func (v Verdicts) Suspect(now time.Duration, r Request) bool {
	of := v[r]
	return of.crashes > 0 && now < of.until
}

// Held is a quarantined request.
type Held struct {
	Request Request
	// Crashes is the number of crashes that count against it.
	Crashes int
	// Left is the time until the quarantine ends by itself.
	Left time.Duration
}

// Quarantined returns the requests that are quarantined.
func (v Verdicts) Quarantined(now time.Duration) []Held {
	var out []Held
	for r, of := range v {
		if left, ok := v.Blocked(now, r); ok {
			out = append(out, Held{r, of.crashes, left})
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		return cmp.Or(cmp.Compare(a.Request.Service, b.Request.Service), cmp.Compare(a.Request.Fingerprint, b.Request.Fingerprint))
	})
	return out
}
