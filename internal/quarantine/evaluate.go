package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspect is the evidence against one request.
type suspect struct {
	request Request
	// crashes holds the time of each crash that counts.
	crashes map[Crash]time.Duration
	// total is the number of crashes before any was discounted.
	total int
}

// judge derives the verdicts from the reports.
func (s *Detector) judge(now time.Duration) {
	s.verdicts = make(Snapshot)
	suspects := s.suspects(now)
	lost := s.losses()
	for i := range suspects {
		s.discount(lost[suspects[i].request.Service], &suspects[i])
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	explained := make(map[Crash]int)
	for _, x := range suspects {
		s.sentence(x, explained)
	}
}

// suspects gathers the crashes of each request since its last release.
func (s *Detector) suspects(now time.Duration) []suspect {
	released := make(map[Request]time.Duration)
	for _, r := range s.reports {
		if s.rules.ignoreReleases {
			break
		}
		if at, ok := released[r.request]; r.released && (!ok || r.at > at) {
			released[r.request] = r.at
		}
	}
	byRequest := make(map[Request]map[Crash]time.Duration)
	for id, r := range s.reports {
		at, ok := released[r.request]
		if r.released || (ok && r.at <= at) || now-r.at >= s.limits.Hold {
			continue
		}
		if byRequest[r.request] == nil {
			byRequest[r.request] = make(map[Crash]time.Duration)
		}
		crash := s.crashOf(id, r)
		byRequest[r.request][crash] = max(byRequest[r.request][crash], r.at)
	}
	out := make([]suspect, 0, len(byRequest))
	for request, crashes := range byRequest {
		out = append(out, suspect{request, crashes, len(crashes)})
	}
	return out
}

// crashOf returns the crash that a report is about. Reports of several entry
// VMs are about one crash.
func (s *Detector) crashOf(id reportID, r report) Crash {
	if s.rules.countReports {
		return Crash{id.entry + r.crash.Upstream, r.crash.Incarnation}
	}
	return r.crash
}

// losses is the crashes of one service, each with the time of its newest report.
type losses struct {
	at map[Crash]time.Duration
	// times is the values of at in ascending order.
	times []time.Duration
}

// losses returns the crashes by service.
func (s *Detector) losses() map[string]*losses {
	out := make(map[string]*losses)
	for id, r := range s.reports {
		if r.released {
			continue
		}
		of := out[r.request.Service]
		if of == nil {
			of = &losses{at: make(map[Crash]time.Duration)}
			out[r.request.Service] = of
		}
		crash := s.crashOf(id, r)
		of.at[crash] = max(of.at[crash], r.at)
	}
	for _, of := range out {
		of.times = slices.Sorted(maps.Values(of.at))
	}
	return out
}

// near returns the number of crashes close to a time.
func (l *losses) near(at time.Duration) int {
	first, _ := slices.BinarySearch(l.times, at-coincidence)
	end, _ := slices.BinarySearch(l.times, at+coincidence+1)
	return end - first
}

// discount removes the crashes that x took part in only as one of many: when
// most upstreams that the service lost at about that time did not run x, the
// loss has another cause.
func (s *Detector) discount(l *losses, x *suspect) {
	if s.rules.blameEveryone || x.total >= 2*s.limits.Threshold {
		return
	}
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if mostOf(l, x.crashes, at) {
			counted[crash] = at
		}
	}
	x.crashes = counted
}

// mostOf reports whether most of the losses close to a time are among own.
func mostOf(l *losses, own map[Crash]time.Duration, at time.Duration) bool {
	mine := 0
	for crash := range own {
		if (l.at[crash] - at).Abs() <= coincidence {
			mine++
		}
	}
	return 2*mine > l.near(at)
}

// sentence gives the verdict on x. explained holds, for each crash, the number
// of crashes of the quarantined request that explains it.
func (s *Detector) sentence(x suspect, explained map[Crash]int) {
	v := verdict{}
	for crash, at := range x.crashes {
		if explained[crash] > len(x.crashes) && x.total < 2*s.limits.Threshold && !s.rules.keepExplained {
			continue
		}
		v.crashes++
		v.until = max(v.until, at+s.limits.Hold)
	}
	if v.crashes == 0 {
		return
	}
	v.quarantined = v.crashes >= s.limits.Threshold
	s.verdicts[x.request] = v
	if !v.quarantined {
		return
	}
	for crash := range x.crashes {
		explained[crash] = max(explained[crash], len(x.crashes))
	}
}
