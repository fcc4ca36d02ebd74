package quarantine

import (
	"slices"
	"time"
)

// Conviction is the verdict that a request crashes upstreams, as the configuration of the
// system holds it for entry VMs that have not seen the crashes.
type Conviction struct {
	Request Request
	// CrashedAt is the time of the last crash that counts, Until that from which the
	// conviction is not expected to hold.
	CrashedAt, Until time.Duration
}

// SetConvictions replaces the convictions of the configuration. One of them holds until it
// is removed or the request is released, at most for Limits.Hold from the time at which it
// was first set.
func (d *Detector) SetConvictions(now time.Duration, convictions []Conviction) {
	next := make(map[Request]recorded, len(convictions))
	for _, c := range convictions {
		r, known := d.convictions[c.Request]
		if !known || c.CrashedAt > r.crashedAt+clockTolerance {
			r = recorded{crashedAt: min(c.CrashedAt, now), until: c.Until, lapsesAt: now + d.limits.Hold}
		}
		next[c.Request] = r
	}
	d.convictions = next
}

// clockTolerance bounds the differences between readings of the time of one crash on
// several VMs.
const clockTolerance = 10 * time.Second

// recorded is a conviction of the configuration.
type recorded struct{ crashedAt, until, lapsesAt time.Duration }

// convicted returns the time for which the configuration convicts the request, and whether
// it does.
func (d *Detector) convicted(now time.Duration, r Request) (left time.Duration, ok bool) {
	c, ok := d.convictions[r]
	if !ok || now >= c.lapsesAt || d.releasedSince(r, c.crashedAt) {
		return 0, false
	}
	return max(minConvictionLeft, min(c.until, c.lapsesAt)-now), true
}

// minConvictionLeft is the shortest time that is stated for a conviction that holds.
const minConvictionLeft = time.Second

// releasedSince reports whether the request has been released at the given time or later.
func (d *Detector) releasedSince(r Request, at time.Duration) bool {
	h := d.index.requests[r]
	if h == nil {
		return false
	}
	released, ok := h.releases.newest()
	return ok && released >= at
}

// Unrecorded returns the convictions of the reports that the configuration lacks.
func (d *Detector) Unrecorded(now time.Duration) []Conviction {
	var out []Conviction
	for r := range d.index.onTrial {
		c, known := d.convictions[r]
		f := d.examine(now, r, 0)
		if f.quarantined && (!known || f.lastCrash > c.crashedAt+clockTolerance) {
			out = append(out, Conviction{Request: r, CrashedAt: f.lastCrash, Until: f.until})
		}
	}
	return out
}

// Released returns the requests that the configuration convicts and that have been
// released since.
func (d *Detector) Released() []Request {
	var out []Request
	for r, c := range d.convictions {
		if d.releasedSince(r, c.crashedAt) {
			out = append(out, r)
		}
	}
	return out
}

// HasReportBy reports whether one of the reports about the request is by the given entry
// VM.
func (d *Detector) HasReportBy(r Request, entry string) bool {
	if d.index.requests[r] == nil {
		return false
	}
	for id, report := range d.reports {
		if id.entry == entry && slices.Contains(report.signature.requests(), r) {
			return true
		}
	}
	return false
}
