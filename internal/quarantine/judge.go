package quarantine

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// isolationBefore and isolationAfter are the times before and after the crash of a
	// trial within which other crashes show that upstreams may end for another reason.
	// The verdict waits for isolationAfter, which is longer than reports take to arrive.
	isolationBefore = 1500 * time.Millisecond
	isolationAfter  = 400 * time.Millisecond
	// maxTrials is the number of trials in a row with a crash after which a request
	// is quarantined even if none of these crashes is isolated.
	maxTrials = 4
	// firstTrialSpread is the longest time between a crash and the first trial.
	firstTrialSpread = 100 * time.Millisecond
	// firstTrialPause is the shortest pause before the second trial, longer than
	// isolationAfter, so that what was in flight before the suspicion has ended. It
	// doubles with each further one, up to maxTrials, and is up to half as long again.
	firstTrialPause = 500 * time.Millisecond
)

// State is what the reports say of a request.
type State int

// States of a request.
const (
	// Clear requests may be sent.
	Clear State = iota
	// Suspect requests may be sent one at a time, as trials.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Verdict is the decision on a request.
type Verdict struct {
	State State
	// By is the fingerprint that makes the request suspect or quarantined: the most
	// general one if several make it suspect. It is the one to which the limit of one
	// trial at a time applies.
	By Request
	// Left is the time for which a quarantined request stays so, as far as is known.
	Left time.Duration
	// TrialAt is the time from which the next trial of a suspect request may be sent.
	TrialAt time.Duration
}

// Judge decides on a request with the given fingerprints. Crashes before the last
// completion at this entry VM do not count. A general fingerprint that has completed
// here, with no crash here since, makes requests suspect only after a trial elsewhere
// has crashed an upstream.
func (d *Detector) Judge(now time.Duration, sig Signature, completions *Completions) Verdict {
	v := Verdict{}
	for i, r := range sig.requests() {
		if left, ok := d.convicted(now, r); ok {
			return Verdict{State: Quarantined, By: r, Left: left}
		}
		if d.index.requests[r] == nil {
			continue
		}
		done, completed := completions.find(now, r)
		f := d.examine(now, r, done.at)
		if f.quarantined {
			return Verdict{State: Quarantined, By: r, Left: f.until - now}
		}
		isGeneral := i > 0 || sig.Exact == ""
		if len(f.crashes) == 0 || isGeneral && f.trials == 0 && completed && !done.crashed {
			continue
		}
		v = Verdict{State: Suspect, By: r, TrialAt: max(v.TrialAt, f.trialAt(r))}
	}
	return v
}

// Involved reports whether a crash counts against one of the fingerprints of the
// request.
func (d *Detector) Involved(now time.Duration, sig Signature) bool {
	return slices.ContainsFunc(sig.requests(), func(r Request) bool {
		_, convicted := d.convicted(now, r)
		return convicted || len(d.examine(now, r, 0).crashes) > 0
	})
}

// AtStake reports whether crashes of upstreams of the service matter now: whether a
// trial has just crashed one, and others are to show whether it is the cause.
func (d *Detector) AtStake(now time.Duration, service string) bool {
	s := d.index.services[service]
	return s != nil && len(s.trials) > 0 && now-s.lastTrial <= isolationAfter
}

// Knows reports whether a crash has been reported.
func (d *Detector) Knows(service string, crash Crash) bool {
	s := d.index.services[service]
	return s != nil && s.crashes[crash] != nil
}

// Snapshot returns the result of the detection for all suspect requests.
func (d *Detector) Snapshot(now time.Duration) Snapshot {
	s := make(Snapshot)
	for r := range d.index.requests {
		if f := d.examine(now, r, 0); len(f.crashes) > 0 {
			s[r] = status{crashes: len(f.crashes), quarantined: f.quarantined, until: f.until}
		}
	}
	for r := range d.convictions {
		if left, ok := d.convicted(now, r); ok && !s[r].quarantined {
			s[r] = status{crashes: s[r].crashes, quarantined: true, until: now + left}
		}
	}
	return s
}

// Evidence says which crashes count against a request.
type Evidence struct {
	// Crashes is the number of crashes since the last release of the request, Trials
	// that of those in trials.
	Crashes, Trials int
	// Isolated is set if no other upstream has crashed at about the time of the last
	// of these but in trials.
	Isolated bool
	// Variants is the number of variants that were in flight during crashes, 0 for
	// the fingerprint of exactly one request.
	Variants int
	// Recorded is set if the configuration convicts the request.
	Recorded bool
}

// Evidence returns which crashes count against the request.
func (d *Detector) Evidence(now time.Duration, r Request) Evidence {
	f := d.examine(now, r, 0)
	e := Evidence{Crashes: len(f.crashes), Trials: f.trials, Isolated: f.isolated}
	if h := d.index.requests[r]; h != nil {
		e.Variants = len(h.variants)
	}
	_, e.Recorded = d.convicted(now, r)
	return e
}

// finding is what the reports say about one request.
type finding struct {
	// crashes holds the crashes since the last release, each with the time of its
	// newest report, lastCrash the time of the last, and until the time from which none
	// of them counts.
	crashes          map[Crash]time.Duration
	lastCrash, until time.Duration
	// trials is the number of those in trials, single that of those in which no other
	// trial was in flight, but of requests that are clear by now. lastTrial is the time of the last
	// trial, and isolated is set if its crash is isolated.
	trials, single int
	lastTrial      time.Duration
	isolated       bool
	quarantined    bool
}

// examine evaluates the reports about one request, but for crashes before since.
func (d *Detector) examine(now time.Duration, r Request, since time.Duration) finding {
	f := finding{}
	h := d.index.requests[r]
	if h == nil {
		return f
	}
	s := d.index.services[r.Service]
	f.crashes = make(map[Crash]time.Duration, len(h.crashes))
	for crash, t := range h.crashes {
		at, _ := t.newest()
		if at < since || !d.counts(now, h, at) {
			continue
		}
		f.crashes[crash] = at
		f.until = max(f.until, at+d.limits.Hold)
		f.lastCrash = max(f.lastCrash, at)
		if h.trials[crash] > 0 || d.disabled.trials {
			f.trials++
			f.lastTrial = max(f.lastTrial, at)
			if d.disabled.single || d.isOnlyTrial(now, s, r, crash) {
				f.single++
			}
		}
	}
	if f.trials == 0 {
		return f
	}
	// Until the window has passed, other crashes may become known.
	if now < f.lastTrial+isolationAfter {
		return f
	}
	f.isolated = d.isIsolated(now, s, f.lastTrial, f.crashes)
	f.quarantined = d.isEnough(f) && (d.disabled.variants || !h.isOfOneVariant(f.crashes))
	return f
}

// isOnlyTrial reports whether no trial of another request than r was in flight during
// the crash, but of requests that have been released since.
func (d *Detector) isOnlyTrial(now time.Duration, s *serviceHistory, r Request, crash Crash) bool {
	for other, reports := range s.trials[crash] {
		h := d.index.requests[other]
		if at, _ := h.crashes[crash].newest(); reports.requests[r] == 0 && d.counts(now, h, at) {
			return false
		}
	}
	return true
}

// counts reports whether a crash at the given time has neither expired nor been
// released.
func (d *Detector) counts(now time.Duration, h *requestHistory, at time.Duration) bool {
	if now-at >= d.limits.Hold {
		return false
	}
	released, ok := h.releases.newest()
	return !ok || at > released || d.disabled.release
}

// isIsolated reports whether no other upstream of the service has crashed at about the
// given time without a likely cause. The crashes in own, during which the request was
// in flight as well, are left out.
func (d *Detector) isIsolated(now time.Duration, s *serviceHistory, at time.Duration, own map[Crash]time.Duration) bool {
	return d.disabled.isolation || !slices.ContainsFunc(s.near(at), func(c timedCrash) bool {
		_, isOwn := own[c.crash]
		return !isOwn && !d.hasLikelyCause(now, s, c.crash)
	})
}

// hasLikelyCause reports whether a request was in flight during the crash that has
// crashed upstreams in more than one trial.
func (d *Detector) hasLikelyCause(now time.Duration, s *serviceHistory, crash Crash) bool {
	for r := range s.involved[crash] {
		if d.countTrials(now, d.index.requests[r]) > 1 {
			return true
		}
	}
	return false
}

// countTrials returns the number of crashes in trials that count.
func (d *Detector) countTrials(now time.Duration, h *requestHistory) int {
	n := 0
	for crash := range h.trials {
		if at, _ := h.crashes[crash].newest(); d.counts(now, h, at) {
			n++
		}
	}
	return n
}

// isEnough reports whether the crashes show that the request is their cause.
func (d *Detector) isEnough(f finding) bool {
	return f.single >= max(1, d.limits.Threshold-1) && f.isolated || f.trials >= maxTrials
}

// trialAt returns the time from which the next trial of the request may be sent. It is
// spread, so that the trials of requests that became suspect together do not coincide
// at an upstream.
func (f finding) trialAt(r Request) time.Duration {
	// All entry VMs compute the same share.
	share := float64(xxhash.Sum64String(r.Fingerprint+strconv.Itoa(f.trials))) / math.MaxUint64
	if f.trials == 0 {
		return f.lastCrash + time.Duration(share*float64(firstTrialSpread))
	}
	pause := firstTrialPause << (min(f.trials, maxTrials) - 1)
	return f.lastTrial + pause + time.Duration(share*float64(pause)/2)
}
