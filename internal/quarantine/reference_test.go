package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

// referenceSnapshot evaluates the rules from all reports of d, as they are defined.
func referenceSnapshot(d *Detector, now time.Duration) Snapshot {
	s := make(Snapshot)
	all := referenceCrashes(d, now)
	for r, crashes := range all {
		st := status{crashes: len(crashes)}
		trials, single, last := 0, 0, time.Duration(0)
		for crash, at := range crashes {
			st.until = max(st.until, at+d.limits.Hold)
			if referenceTrials(d, crash, r.Service, func(other Signature) bool { return slices.Contains(other.requests(), r) }) > 0 {
				trials++
				last = max(last, at)
				if referenceTrials(d, crash, r.Service, func(other Signature) bool {
					_, counts := all[other.requests()[0]][crash]
					return counts && !referenceCovers(d, crash, other, r)
				}) == 0 {
					single++
				}
			}
		}
		needed := max(1, d.limits.Threshold-1)
		enough := trials >= maxTrials || single >= needed && referenceIsIsolated(d, all, r.Service, last, crashes)
		enough = enough && trials > 0 && now >= last+isolationAfter
		st.quarantined = enough && !referenceIsOfOneVariant(d, r, crashes)
		s[r] = st
	}
	return s
}

// referenceTrials returns the number of reports of the crash that are about a trial of
// one of the requests that match.
func referenceTrials(d *Detector, crash Crash, service string, matches func(Signature) bool) int {
	n := 0
	for _, r := range d.reports {
		if r.crash == crash && r.signature.Service == service && !r.released && r.trial && matches(r.signature) {
			n++
		}
	}
	return n
}

// referenceCovers reports whether the request is one of those of a trial during the
// crash, by any of the reports about it.
func referenceCovers(d *Detector, crash Crash, trial Signature, request Request) bool {
	return referenceTrials(d, crash, request.Service, func(s Signature) bool {
		return s.requests()[0] == trial.requests()[0] && slices.Contains(s.requests(), request)
	}) > 0
}

// referenceIsIsolated reports whether the service had no crash near the given time, but
// for own, and for those with requests in flight that have crashes in several trials.
func referenceIsIsolated(d *Detector, all map[Request]map[Crash]time.Duration, service string, at time.Duration, own map[Crash]time.Duration) bool {
	newest := make(map[Crash]time.Duration)
	for _, r := range d.reports {
		if !r.released && r.signature.Service == service {
			newest[r.crash] = max(newest[r.crash], r.at)
		}
	}
	hasSeveralTrials := func(r Request) bool {
		n := 0
		for crash := range all[r] {
			if referenceTrials(d, crash, service, func(s Signature) bool { return slices.Contains(s.requests(), r) }) > 0 {
				n++
			}
		}
		return n > 1
	}
	for crash, crashAt := range newest {
		_, isOwn := own[crash]
		explained := false
		for _, r := range d.reports {
			explained = explained || r.crash == crash && r.signature.Service == service && !r.released && slices.ContainsFunc(r.signature.requests(), hasSeveralTrials)
		}
		if !isOwn && !explained && crashAt >= at-isolationBefore && crashAt <= at+isolationAfter {
			return false
		}
	}
	return true
}

// referenceCrashes returns the crashes of each request since its last release.
func referenceCrashes(d *Detector, now time.Duration) map[Request]map[Crash]time.Duration {
	released := make(map[Request]time.Duration)
	for _, r := range d.reports {
		for _, request := range r.signature.requests() {
			if at, ok := released[request]; r.released && (!ok || r.at > at) {
				released[request] = r.at
			}
		}
	}
	crashes := make(map[Request]map[Crash]time.Duration)
	for _, r := range d.reports {
		for _, request := range r.signature.requests() {
			at, ok := released[request]
			if r.released || (ok && r.at <= at) || now-r.at >= d.limits.Hold {
				continue
			}
			if crashes[request] == nil {
				crashes[request] = make(map[Crash]time.Duration)
			}
			crashes[request][r.crash] = max(crashes[request][r.crash], r.at)
		}
	}
	return crashes
}

// referenceIsOfOneVariant reports whether one variant of a general fingerprint was
// involved in all of the crashes.
func referenceIsOfOneVariant(d *Detector, request Request, crashes map[Crash]time.Duration) bool {
	variants := make(map[Request]map[Crash]bool)
	for _, r := range d.reports {
		requests := r.signature.requests()
		i := slices.Index(requests, request)
		if _, counted := crashes[r.crash]; r.released || i < 1 || !counted {
			continue
		}
		if variants[requests[i-1]] == nil {
			variants[requests[i-1]] = make(map[Crash]bool)
		}
		variants[requests[i-1]][r.crash] = true
	}
	for _, own := range variants {
		if len(own) == len(crashes) {
			return true
		}
	}
	return false
}

// TestProofDetectorAgreesWithReference compares the detector with the reference
// after each step of random histories in which reports expire, are evicted,
// arrive late and more than once.
func TestProofDetectorAgreesWithReference(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		d := New(Limits{Threshold: 2, Hold: 20 * time.Second, MaxReports: rapid.IntRange(3, 30).Draw(rt, "max reports")})
		now, sequence := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond
			sequence++
			// Some requests have a variant, and all a path, in common.
			request := rapid.IntRange(0, 4).Draw(rt, "request")
			general := []string{fmt.Sprint("query ", request/2), "path"}[:rapid.IntRange(0, 2).Draw(rt, "general")]
			r := &clusterpb.CrashReport{
				Service:     rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "service"),
				Fingerprint: fmt.Sprint(request), GeneralFingerprints: general,
				Upstream:    fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "upstream")),
				Incarnation: uint64(rapid.IntRange(0, 2).Draw(rt, "incarnation")),
				Entry:       fmt.Sprint(rapid.IntRange(0, 1).Draw(rt, "entry")),
				Sequence:    sequence,
				AgeMs:       uint32(min(rapid.IntRange(0, 2500).Draw(rt, "age"), int(now/time.Millisecond))),
				Trial:       rapid.IntRange(0, 2).Draw(rt, "trial") > 0,
				Released:    rapid.IntRange(0, 6).Draw(rt, "released") == 0,
			}
			if r.Released && rapid.Bool().Draw(rt, "variants only") {
				r.Fingerprint = ""
			}
			d.Merge(now, []*clusterpb.CrashReport{r, r})
			if rapid.Bool().Draw(rt, "expire") {
				d.Expire(now)
			}
			assert.Assert(rt, len(d.reports) <= d.limits.MaxReports)
			assert.Assert(rt, maps.Equal(d.Snapshot(now), referenceSnapshot(d, now)), "%v, want %v", d.Snapshot(now), referenceSnapshot(d, now))
		}
		d.Expire(now + d.limits.Hold)
		assert.Equal(rt, len(d.index.requests)+len(d.byAge), 0)
	})
}
