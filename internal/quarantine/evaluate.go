package quarantine

import (
	"slices"
	"time"
)

// suspect is a request that was in flight during at least one crash since its
// last release.
type suspect struct {
	request Request
	// crashes holds the crashes that count against the request after the
	// coincidence rule, each with the time of its newest report.
	crashes map[Crash]time.Duration
	// total is the number of crashes before that rule.
	total int
}

// Blocked reports whether a request is quarantined by one of its fingerprints,
// by which one, and for how much longer.
func (d *Detector) Blocked(now time.Duration, sig Signature) (by Request, left time.Duration, ok bool) {
	for _, r := range sig.requests() {
		if left, ok := d.status(now, r).blocked(now); ok {
			return r, left, true
		}
	}
	return Request{}, 0, false
}

// Suspect reports whether crashes make a request suspect, and by which fingerprint,
// the most general one if there are several. At most one attempt of the requests
// with that fingerprint should be in flight at a time.
func (d *Detector) Suspect(now time.Duration, sig Signature) (by Request, ok bool) {
	for _, r := range slices.Backward(sig.requests()) {
		if d.status(now, r).suspect(now) {
			return r, true
		}
	}
	return Request{}, false
}

// Involved reports whether a crash counts against one of the fingerprints of the
// request.
func (d *Detector) Involved(now time.Duration, sig Signature) bool {
	return slices.ContainsFunc(sig.requests(), func(r Request) bool { return d.status(now, r).crashes > 0 })
}

// Snapshot returns the result of the detection for all suspect requests.
func (d *Detector) Snapshot(now time.Duration) Snapshot {
	s := make(Snapshot)
	for r := range d.index.requests {
		if st := d.status(now, r); st.crashes > 0 {
			s[r] = st
		}
	}
	return s
}

// status decides on one request. It applies the attribution rule to the crashes
// that are left by the coincidence rule.
func (d *Detector) status(now time.Duration, r Request) status {
	x, ok := d.suspect(now, r)
	if !ok {
		return status{}
	}
	return d.decide(now, x)
}

func (d *Detector) decide(now time.Duration, x suspect) status {
	st := status{}
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if x.total < 2*d.limits.Threshold && !d.disabled.attribution && d.isAttributedToOther(now, crash, x) {
			continue
		}
		counted[crash] = at
		st.until = max(st.until, at+d.limits.Hold)
	}
	st.crashes = len(counted)
	st.quarantined = st.crashes >= d.limits.Threshold
	st.suspected = st.crashes > 0
	h := d.index.requests[x.request]
	if h == nil || !h.isGeneral() || d.disabled.worstVariant {
		return st
	}
	others := st.crashes - h.mostOfOneVariant(counted)
	st.quarantined = st.quarantined && others >= max(1, d.limits.Threshold-1)
	st.suspected = others > 0
	return st
}

// Evidence says how the crashes during which a request was in flight are counted.
type Evidence struct {
	// Crashes is the number of crashes since the last release of the request.
	Crashes int
	// Coincident and Attributed are the numbers of those that the coincidence rule
	// and the attribution rule leave out.
	Coincident, Attributed int
	// Variants is the number of variants that were in flight during crashes, 0 for
	// the fingerprint of exactly one request.
	Variants int
}

// Evidence returns how the crashes of the request are counted.
func (d *Detector) Evidence(now time.Duration, r Request) Evidence {
	x, _ := d.suspect(now, r)
	return Evidence{
		Crashes:    x.total,
		Coincident: x.total - len(x.crashes),
		Attributed: len(x.crashes) - d.decide(now, x).crashes,
		Variants:   d.index.countVariants(r),
	}
}

// isAttributedToOther reports whether a quarantined request with more crashes
// than x was involved in the crash. The recursion ends because the number of
// crashes increases.
func (d *Detector) isAttributedToOther(now time.Duration, crash Crash, x suspect) bool {
	for r := range d.index.involved[crash] {
		if r == x.request || len(d.index.requests[r].crashes) < d.limits.Threshold {
			continue
		}
		other, ok := d.suspect(now, r)
		if !ok || len(other.crashes) <= len(x.crashes) {
			continue
		}
		if _, ok := other.crashes[crash]; ok && d.decide(now, other).quarantined {
			return true
		}
	}
	return false
}

// suspect returns the crashes of a request since its last release, after the
// coincidence rule. It returns false if there are none.
func (d *Detector) suspect(now time.Duration, r Request) (suspect, bool) {
	h := d.index.requests[r]
	if h == nil {
		return suspect{}, false
	}
	released, isReleased := h.releases.newest()
	if d.disabled.release {
		isReleased = false
	}
	crashes := make(map[Crash]time.Duration, len(h.crashes))
	for crash, t := range h.crashes {
		if at, _ := t.newest(); now-at < d.limits.Hold && !(isReleased && at <= released) {
			crashes[crash] = at
		}
	}
	x := suspect{request: r, crashes: crashes, total: len(crashes)}
	d.discountCoincidences(&x)
	return x, len(x.crashes) > 0
}

// discountCoincidences applies the coincidence rule. For each crash of x it
// considers all crashes of the service within coincidenceWindow. If x was
// involved in at most half of them, they must have another cause, and the crash
// no longer counts against x.
func (d *Detector) discountCoincidences(x *suspect) {
	if d.disabled.coincidence || x.total >= 2*d.limits.Threshold {
		return
	}
	all := d.index.services[x.request.Service]
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if isMajority(all, x.crashes, at) {
			counted[crash] = at
		}
	}
	x.crashes = counted
}

// isMajority reports whether more than half of all crashes within
// coincidenceWindow of a time are among own.
func isMajority(all *serviceHistory, own map[Crash]time.Duration, at time.Duration) bool {
	ownCount := 0
	for crash := range own {
		if (all.newestOf(crash) - at).Abs() <= coincidenceWindow {
			ownCount++
		}
	}
	return 2*ownCount > all.countNear(at)
}
