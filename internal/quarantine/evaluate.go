package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is a request that was in flight during at least one crash.
type suspect struct {
	request Request
	// crashes holds the crashes that count against the request, each with the
	// time of its newest report.
	crashes map[Crash]time.Duration
	// total is the number of crashes before discountCoincidences.
	total int
}

// evaluate computes the snapshot from the reports.
func (d *Detector) evaluate(now time.Duration) {
	d.snapshot = make(Snapshot)
	suspects := d.suspects(now)
	byService := d.crashesByService()
	for i := range suspects {
		d.discountCoincidences(byService[suspects[i].request.Service], &suspects[i])
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	attributed := make(map[Crash]int)
	for _, x := range suspects {
		d.decide(x, attributed)
	}
}

// suspects returns each request with the crashes since its last release.
func (d *Detector) suspects(now time.Duration) []suspect {
	released := make(map[Request]time.Duration)
	for _, r := range d.reports {
		if d.disabled.release {
			break
		}
		if at, ok := released[r.request]; r.released && (!ok || r.at > at) {
			released[r.request] = r.at
		}
	}
	byRequest := make(map[Request]map[Crash]time.Duration)
	for id, r := range d.reports {
		at, ok := released[r.request]
		if r.released || (ok && r.at <= at) || now-r.at >= d.limits.Hold {
			continue
		}
		if byRequest[r.request] == nil {
			byRequest[r.request] = make(map[Crash]time.Duration)
		}
		crash := d.crashOf(id, r)
		byRequest[r.request][crash] = max(byRequest[r.request][crash], r.at)
	}
	out := make([]suspect, 0, len(byRequest))
	for request, crashes := range byRequest {
		out = append(out, suspect{request, crashes, len(crashes)})
	}
	return out
}

// crashOf returns the crash that a report is about. Several entry VMs may
// report the same crash.
func (d *Detector) crashOf(id reportID, r report) Crash {
	if d.disabled.deduplication {
		return Crash{id.entry + r.crash.Upstream, r.crash.Incarnation}
	}
	return r.crash
}

// serviceCrashes holds the crashes of one service.
type serviceCrashes struct {
	// newest holds the time of the newest report of each crash.
	newest map[Crash]time.Duration
	// times holds the values of newest in ascending order.
	times []time.Duration
}

// crashesByService returns the crashes of each service.
func (d *Detector) crashesByService() map[string]*serviceCrashes {
	out := make(map[string]*serviceCrashes)
	for id, r := range d.reports {
		if r.released {
			continue
		}
		crashes := out[r.request.Service]
		if crashes == nil {
			crashes = &serviceCrashes{newest: make(map[Crash]time.Duration)}
			out[r.request.Service] = crashes
		}
		crash := d.crashOf(id, r)
		crashes.newest[crash] = max(crashes.newest[crash], r.at)
	}
	for _, crashes := range out {
		crashes.times = slices.Sorted(maps.Values(crashes.newest))
	}
	return out
}

// countNear returns the number of crashes within coincidenceWindow of a time.
func (c *serviceCrashes) countNear(at time.Duration) int {
	first, _ := slices.BinarySearch(c.times, at-coincidenceWindow)
	end, _ := slices.BinarySearch(c.times, at+coincidenceWindow+1)
	return end - first
}

// discountCoincidences applies the coincidence rule. For each crash of x it
// considers all crashes of the service within coincidenceWindow. If x was
// involved in at most half of them, they must have another cause, and the crash
// no longer counts against x.
func (d *Detector) discountCoincidences(all *serviceCrashes, x *suspect) {
	if d.disabled.coincidence || x.total >= 2*d.limits.Threshold {
		return
	}
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
func isMajority(all *serviceCrashes, own map[Crash]time.Duration, at time.Duration) bool {
	ownCount := 0
	for crash := range own {
		if (all.newest[crash] - at).Abs() <= coincidenceWindow {
			ownCount++
		}
	}
	return 2*ownCount > all.countNear(at)
}

// decide adds the status of x to the snapshot, applying the attribution rule.
// attributed holds, for each crash, the number of crashes of the quarantined
// request that it is attributed to. Suspects must be decided in descending order
// of their numbers of crashes.
func (d *Detector) decide(x suspect, attributed map[Crash]int) {
	st := status{}
	for crash, at := range x.crashes {
		if attributed[crash] > len(x.crashes) && x.total < 2*d.limits.Threshold && !d.disabled.attribution {
			continue
		}
		st.crashes++
		st.until = max(st.until, at+d.limits.Hold)
	}
	if st.crashes == 0 {
		return
	}
	st.quarantined = st.crashes >= d.limits.Threshold
	d.snapshot[x.request] = st
	if !st.quarantined {
		return
	}
	for crash := range x.crashes {
		attributed[crash] = max(attributed[crash], len(x.crashes))
	}
}
