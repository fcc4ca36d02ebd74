package quarantine

import (
	"cmp"
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

// referenceSnapshot evaluates the rules from all reports of d, in the order of
// their definition: suspects, coincidence, attribution.
func referenceSnapshot(d *Detector, now time.Duration) Snapshot {
	var suspects []suspect
	for r, crashes := range referenceCrashes(d, now) {
		x := suspect{request: r, crashes: crashes, total: len(crashes)}
		x.completes = referenceCompletes(d, r, crashes)
		if times := slices.Sorted(maps.Values(crashes)); len(times) > 0 {
			x.span = times[len(times)-1] - times[0]
		}
		suspects = append(suspects, referenceCoincidence(d, now, x))
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	s := make(Snapshot)
	attributed := make(map[Crash]int)
	for _, x := range suspects {
		st := status{}
		counted := make(map[Crash]bool)
		for crash, at := range x.crashes {
			if attributed[crash] > len(x.crashes) && !referenceExempt(d, x) {
				continue
			}
			counted[crash] = true
			st.crashes++
			st.until = max(st.until, at+d.limits.Hold)
		}
		if st.crashes == 0 {
			continue
		}
		st.suspected = true
		st.quarantined = st.crashes >= d.limits.Threshold && (!x.completes || st.crashes >= 2*d.limits.Threshold && x.span > 4*time.Second)
		if worst, general := referenceWorstVariant(d, x.request, counted); general {
			st.suspected = st.crashes-worst >= 1
			st.quarantined = st.quarantined && st.crashes-worst >= d.limits.Threshold-1
		}
		s[x.request] = st
		for crash := range x.crashes {
			if st.quarantined {
				attributed[crash] = max(attributed[crash], len(x.crashes))
			}
		}
	}
	return s
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

// referenceWorstVariant returns the number of counted crashes in which the variant
// with most of them was involved. It returns false for an exact fingerprint.
func referenceWorstVariant(d *Detector, request Request, counted map[Crash]bool) (worst int, general bool) {
	variants := make(map[Request]map[Crash]bool)
	for _, r := range d.reports {
		requests := r.signature.requests()
		i := slices.Index(requests, request)
		if r.released || i < 1 {
			continue
		}
		general = true
		variant := requests[i-1]
		if variants[variant] == nil {
			variants[variant] = make(map[Crash]bool)
		}
		if counted[r.crash] {
			variants[variant][r.crash] = true
		}
		worst = max(worst, len(variants[variant]))
	}
	return worst, general
}

// referenceCompletes reports whether the request had completed before one of its
// crashes.
func referenceCompletes(d *Detector, request Request, crashes map[Crash]time.Duration) bool {
	for _, r := range d.reports {
		if _, ok := crashes[r.crash]; ok && !r.released && r.recentlyCompleted && slices.Contains(r.signature.requests(), request) {
			return true
		}
	}
	return false
}

// referenceCauses returns the crashes of requests that have reached the threshold and
// had not completed before any crash.
func referenceCauses(d *Detector, now time.Duration) map[Crash]bool {
	all := make(map[Crash]time.Duration)
	for _, r := range d.reports {
		all[r.crash] = r.at
	}
	causes := make(map[Crash]bool)
	for r, crashes := range referenceCrashes(d, now) {
		if len(crashes) < d.limits.Threshold || referenceCompletes(d, r, all) {
			continue
		}
		for crash := range crashes {
			causes[crash] = true
		}
	}
	return causes
}

// referenceExempt reports whether the rules that protect requests do not apply.
func referenceExempt(d *Detector, x suspect) bool {
	return !x.completes && x.total >= 2*d.limits.Threshold && x.span > 4*time.Second
}

func referenceCoincidence(d *Detector, now time.Duration, x suspect) suspect {
	if referenceExempt(d, x) {
		return x
	}
	causes := referenceCauses(d, now)
	all := make(map[Crash]time.Duration)
	for _, r := range d.reports {
		if !r.released && r.signature.Service == x.request.Service {
			all[r.crash] = max(all[r.crash], r.at)
		}
	}
	counted := make(map[Crash]time.Duration)
	for crash, at := range x.crashes {
		near, own := 0, 0
		for other, otherAt := range all {
			if (otherAt - at).Abs() > coincidenceWindow {
				continue
			}
			_, isOwn := x.crashes[other]
			if isOwn {
				own++
			}
			if isOwn || !causes[other] || x.total < d.limits.Threshold || x.completes {
				near++
			}
		}
		if 2*own > near {
			counted[crash] = at
		}
	}
	x.crashes = counted
	return x
}

// TestProofDetectorAgreesWithReference compares the detector with the reference
// after each step of random histories in which reports expire, are evicted,
// arrive late and more than once.
func TestProofDetectorAgreesWithReference(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		d := New(Limits{Threshold: 2, Hold: 20 * time.Second, MaxReports: rapid.IntRange(3, 30).Draw(rt, "max reports")})
		now, sequence := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond
			sequence++
			// Some requests have a variant, and all a path, in common.
			request := rapid.IntRange(0, 4).Draw(rt, "request")
			general := []string{fmt.Sprint("query ", request/2), "path"}[:rapid.IntRange(0, 2).Draw(rt, "general")]
			r := &clusterpb.CrashReport{
				Service:     rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "service"),
				Fingerprint: fmt.Sprint(request), GeneralFingerprints: general,
				Upstream:          fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "upstream")),
				Incarnation:       uint64(rapid.IntRange(0, 2).Draw(rt, "incarnation")),
				Entry:             fmt.Sprint(rapid.IntRange(0, 1).Draw(rt, "entry")),
				Sequence:          sequence,
				AgeMs:             uint32(min(rapid.IntRange(0, 2500).Draw(rt, "age"), int(now/time.Millisecond))),
				RecentlyCompleted: rapid.IntRange(0, 9).Draw(rt, "completed") == 0,
				Released:          rapid.IntRange(0, 6).Draw(rt, "released") == 0,
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
		assert.Equal(rt, len(d.index.requests)+len(d.index.involved)+len(d.byAge), 0)
	})
}
