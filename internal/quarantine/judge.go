package quarantine

import (
	"cmp"
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
func (s *State) judge(now time.Duration) {
	s.verdict = make(map[Request]verdict)
	suspects := s.suspects(now)
	losses := s.losses()
	for i := range suspects {
		s.discount(losses[suspects[i].request.Service], &suspects[i])
	}
	slices.SortFunc(suspects, func(a, b suspect) int { return cmp.Compare(len(b.crashes), len(a.crashes)) })
	explained := make(map[Crash]int)
	for _, x := range suspects {
		s.sentence(x, explained)
	}
}

// suspects gathers the crashes of each request since its last release.
func (s *State) suspects(now time.Duration) []suspect {
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
func (s *State) crashOf(id reportID, r report) Crash {
	if s.rules.countReports {
		return Crash{id.entry + r.crash.Upstream, r.crash.Incarnation}
	}
	return r.crash
}

// losses returns the time of every crash by service.
func (s *State) losses() map[string]map[Crash]time.Duration {
	out := make(map[string]map[Crash]time.Duration)
	for id, r := range s.reports {
		if r.released {
			continue
		}
		of := out[r.request.Service]
		if of == nil {
			of = make(map[Crash]time.Duration)
			out[r.request.Service] = of
		}
		crash := s.crashOf(id, r)
		of[crash] = max(of[crash], r.at)
	}
	return out
}

// discount removes the crashes that x took part in only as one of many: when
// most upstreams that the service lost at about that time did not run x, the
// loss has another cause.
func (s *State) discount(losses map[Crash]time.Duration, x *suspect) {
	if s.rules.blameEveryone || x.total >= 2*s.limits.Crashes {
		return
	}
	counted := make(map[Crash]time.Duration, len(x.crashes))
	for crash, at := range x.crashes {
		if mostOf(losses, x.crashes, at) {
			counted[crash] = at
		}
	}
	x.crashes = counted
}

// mostOf reports whether most of the losses close to a time are among own.
func mostOf(losses, own map[Crash]time.Duration, at time.Duration) bool {
	all, mine := 0, 0
	for crash, t := range losses {
		if (t - at).Abs() > coincidence {
			continue
		}
		all++
		if _, ok := own[crash]; ok {
			mine++
		}
	}
	return 2*mine > all
}

// sentence gives the verdict on x. explained holds, for each crash, the number
// of crashes of the quarantined request that explains it.
func (s *State) sentence(x suspect, explained map[Crash]int) {
	v := verdict{}
	for crash, at := range x.crashes {
		if explained[crash] > len(x.crashes) && x.total < 2*s.limits.Crashes && !s.rules.keepExplained {
			continue
		}
		v.crashes++
		v.until = max(v.until, at+s.limits.Hold)
	}
	if v.crashes == 0 {
		return
	}
	v.quarantined = v.crashes >= s.limits.Crashes
	s.verdict[x.request] = v
	if !v.quarantined {
		return
	}
	for crash := range x.crashes {
		explained[crash] = max(explained[crash], len(x.crashes))
	}
}
