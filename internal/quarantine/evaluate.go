package quarantine

import (
	"math"
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
	// total is the number of crashes before that rule, span the time between the
	// first and the last of them.
	total int
	span  time.Duration
	// completes is set if the request had completed shortly before one of them.
	completes bool
}

// includes reports whether the crash is one of x.
func (x suspect) includes(crash Crash) bool {
	_, ok := x.crashes[crash]
	return ok
}

// Blocked reports whether a request is quarantined by one of its fingerprints,
// by which one, and for how much longer.
func (d *Detector) Blocked(now time.Duration, sig Signature) (by Request, left time.Duration, ok bool) {
	e := d.evaluate(now)
	for _, r := range sig.requests() {
		if left, ok := e.status(r).blocked(now); ok {
			return r, left, true
		}
	}
	return Request{}, 0, false
}

// Suspect reports whether crashes make a request suspect, and by which fingerprint,
// the most general one if there are several. At most one attempt of the requests
// with that fingerprint should be in flight at a time.
func (d *Detector) Suspect(now time.Duration, sig Signature) (by Request, ok bool) {
	e := d.evaluate(now)
	for _, r := range slices.Backward(sig.requests()) {
		if e.status(r).suspect(now) {
			return r, true
		}
	}
	return Request{}, false
}

// Involved reports whether a crash counts against one of the fingerprints of the
// request.
func (d *Detector) Involved(now time.Duration, sig Signature) bool {
	e := d.evaluate(now)
	return slices.ContainsFunc(sig.requests(), func(r Request) bool { return e.status(r).crashes > 0 })
}

// Snapshot returns the result of the detection for all suspect requests.
func (d *Detector) Snapshot(now time.Duration) Snapshot {
	e := d.evaluate(now)
	s := make(Snapshot)
	for r := range d.index.requests {
		if st := e.status(r); st.crashes > 0 {
			s[r] = st
		}
	}
	return s
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
	e := d.evaluate(now)
	x := e.suspect(r)
	return Evidence{
		Crashes:    x.total,
		Coincident: x.total - len(x.crashes),
		Attributed: len(x.crashes) - e.status(r).crashes,
		Variants:   d.index.countVariants(r),
	}
}

// evaluation decides on requests from the reports of one moment. Each decision may
// depend on those on other requests, so that it remembers them.
type evaluation struct {
	*Detector
	now      time.Duration
	suspects map[Request]suspect
	statuses map[Request]status
	// likelyCauses holds the results of hasLikelyCause.
	likelyCauses map[Crash]bool
}

func (d *Detector) evaluate(now time.Duration) *evaluation {
	return &evaluation{Detector: d, now: now}
}

// status decides on one request. It applies the attribution rule to the crashes
// that are left by the coincidence rule.
func (e *evaluation) status(r Request) status {
	if e.index.requests[r] == nil {
		return status{}
	}
	if st, ok := e.statuses[r]; ok {
		return st
	}
	st := e.decide(e.suspect(r))
	if e.statuses == nil {
		e.statuses = make(map[Request]status)
	}
	e.statuses[r] = st
	return st
}

// exempt reports whether the crashes of x count without the rules that protect
// requests.
func (d *Detector) exempt(x suspect) bool {
	return x.total >= 2*d.limits.Threshold && x.isSpread() && !x.completes
}

// isSpread reports whether the crashes of x are not all of about the same time.
// Those that are may have another cause, however many there are.
func (x suspect) isSpread() bool { return x.span > 2*coincidenceWindow }

// isEnough reports whether x is quarantined if n of its crashes count.
func (d *Detector) isEnough(x suspect, n int) bool {
	if x.completes {
		return n >= 2*d.limits.Threshold && x.isSpread()
	}
	return n >= d.limits.Threshold
}

func (e *evaluation) decide(x suspect) status {
	st := status{}
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if !e.exempt(x) && !e.disabled.attribution && e.isAttributedToOther(crash, x) {
			continue
		}
		counted[crash] = at
		st.until = max(st.until, at+e.limits.Hold)
	}
	st.crashes = len(counted)
	st.quarantined = e.isEnough(x, st.crashes)
	st.suspected = st.crashes > 0
	if h := e.index.requests[x.request]; h.isGeneral() && !e.disabled.worstVariant {
		others := st.crashes - h.mostOfOneVariant(counted)
		st.quarantined = st.quarantined && others >= max(1, e.limits.Threshold-1)
		st.suspected = others > 0
	}
	return st
}

// isAttributedToOther reports whether a quarantined request with more crashes
// than x was involved in the crash. The recursion ends because the number of
// crashes increases.
func (e *evaluation) isAttributedToOther(crash Crash, x suspect) bool {
	for r := range e.index.involved[crash] {
		if r == x.request || len(e.index.requests[r].crashes) < e.limits.Threshold {
			continue
		}
		other := e.suspect(r)
		if len(other.crashes) > len(x.crashes) && other.includes(crash) && e.status(r).quarantined {
			return true
		}
	}
	return false
}

// suspect returns the crashes of a request since its last release, after the
// coincidence rule.
func (e *evaluation) suspect(r Request) suspect {
	if x, ok := e.suspects[r]; ok {
		return x
	}
	x := e.sinceRelease(r)
	e.discountCoincidences(&x)
	if e.suspects == nil {
		e.suspects = make(map[Request]suspect)
	}
	e.suspects[r] = x
	return x
}

// sinceRelease returns the crashes of a request since its last release.
func (e *evaluation) sinceRelease(r Request) suspect {
	x := suspect{request: r}
	h := e.index.requests[r]
	if h == nil {
		return x
	}
	x.crashes = make(map[Crash]time.Duration, len(h.crashes))
	first, last := e.now, time.Duration(math.MinInt64)
	for crash, t := range h.crashes {
		at, _ := t.newest()
		if !e.counts(h, at) {
			continue
		}
		x.crashes[crash] = at
		x.completes = x.completes || h.completedBefore[crash] > 0
		first, last = min(first, at), max(last, at)
	}
	x.total = len(x.crashes)
	if x.total > 0 {
		x.span = last - first
	}
	return x
}

// counts reports whether a crash at the given time has neither expired nor been
// released.
func (e *evaluation) counts(h *requestHistory, at time.Duration) bool {
	if e.now-at >= e.limits.Hold {
		return false
	}
	released, ok := h.releases.newest()
	return !ok || at > released || e.disabled.release
}

// discountCoincidences applies the coincidence rule. For each crash of x it
// considers all crashes of the service within coincidenceWindow. If x was
// involved in at most half of them, they must have another cause, and the crash
// no longer counts against x.
func (e *evaluation) discountCoincidences(x *suspect) {
	if e.disabled.coincidence || e.exempt(*x) {
		return
	}
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if e.isMajority(*x, at) {
			counted[crash] = at
		}
	}
	x.crashes = counted
}

// isMajority reports whether x was involved in more than half of all crashes within
// coincidenceWindow of a time. If x has reached the threshold, the crashes that
// other such requests may have caused are left out, so that several crashing requests
// do not clear each other.
func (e *evaluation) isMajority(x suspect, at time.Duration) bool {
	near := e.index.services[x.request.Service].near(at)
	own := 0
	for _, c := range near {
		if x.includes(c.crash) {
			own++
		}
	}
	others := len(near) - own
	if own > others {
		return true
	}
	if x.total < e.limits.Threshold || x.completes || len(near) > maxExaminedCrashes {
		return false
	}
	for _, c := range near {
		if !x.includes(c.crash) && e.hasLikelyCause(c.crash) {
			others--
		}
	}
	return own > others
}

// maxExaminedCrashes bounds the crashes of about the same time for which other causes
// are looked for. So many hardly come from a few requests.
const maxExaminedCrashes = 64

// hasLikelyCause reports whether a request that has reached the threshold, and has
// not completed shortly before any crash, was involved in the crash.
func (e *evaluation) hasLikelyCause(crash Crash) bool {
	if likely, ok := e.likelyCauses[crash]; ok {
		return likely
	}
	likely := false
	for r := range e.index.involved[crash] {
		if likely = e.isLikelyCause(e.index.requests[r], crash); likely {
			break
		}
	}
	if e.likelyCauses == nil {
		e.likelyCauses = make(map[Crash]bool)
	}
	e.likelyCauses[crash] = likely
	return likely
}

func (e *evaluation) isLikelyCause(h *requestHistory, crash Crash) bool {
	if len(h.crashes) < e.limits.Threshold || len(h.completedBefore) > 0 {
		return false
	}
	if at, _ := h.crashes[crash].newest(); !e.counts(h, at) {
		return false
	}
	n := 0
	for _, t := range h.crashes {
		if at, _ := t.newest(); e.counts(h, at) {
			n++
		}
		if n >= e.limits.Threshold {
			return true
		}
	}
	return false
}
