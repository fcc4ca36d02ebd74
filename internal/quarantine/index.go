package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// times is a list of times in ascending order. It is short: the times of the
// reports of one crash, or of one request.
type times []time.Duration

func (t *times) add(at time.Duration) {
	i, _ := slices.BinarySearch(*t, at)
	*t = slices.Insert(*t, i, at)
}

func (t *times) remove(at time.Duration) {
	if i, ok := slices.BinarySearch(*t, at); ok {
		*t = slices.Delete(*t, i, i+1)
	}
}

// newest returns the last time, and false if there is none.
func (t times) newest() (time.Duration, bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[len(t)-1], true
}

// requestHistory holds the reports about one request.
type requestHistory struct {
	// crashes holds the times of the reports of each crash during which the
	// request was in flight.
	crashes map[Crash]*times
	// completedBefore counts the reports of crashes shortly before which the request
	// had completed.
	completedBefore map[Crash]int
	// releases holds the times at which it completed or was released.
	releases times
	// variants holds, for a general fingerprint, the crashes of each variant with
	// the number of reports. A variant is the next less general fingerprint.
	variants map[string]map[Crash]int
}

// isGeneral reports whether crashes are known by a general fingerprint.
func (h *requestHistory) isGeneral() bool { return len(h.variants) > 0 }

// mostOfOneVariant returns the highest number of the given crashes in which one
// variant was involved.
func (h *requestHistory) mostOfOneVariant(crashes map[Crash]time.Duration) int {
	most := 0
	for _, own := range h.variants {
		n := 0
		for crash := range own {
			if _, ok := crashes[crash]; ok {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (h *requestHistory) addVariant(variant string, crash Crash) {
	if h.variants == nil {
		h.variants = make(map[string]map[Crash]int)
	}
	if h.variants[variant] == nil {
		h.variants[variant] = make(map[Crash]int)
	}
	h.variants[variant][crash]++
}

func (h *requestHistory) removeVariant(variant string, crash Crash) {
	crashes := h.variants[variant]
	if crashes[crash]--; crashes[crash] == 0 {
		delete(crashes, crash)
	}
	if len(crashes) == 0 {
		delete(h.variants, variant)
	}
}

// serviceHistory holds the crashes of one service.
type serviceHistory struct {
	// crashes holds the times of the reports of each crash.
	crashes map[Crash]*times
	// byTime holds the crashes with the times of their newest reports, in ascending
	// order.
	byTime []timedCrash
}

// timedCrash is a crash with the time of its newest report.
type timedCrash struct {
	at    time.Duration
	crash Crash
}

// index finds the reports that a decision depends on.
type index struct {
	requests map[Request]*requestHistory
	services map[string]*serviceHistory
	// involved holds the requests that were in flight during each crash, with
	// the number of reports.
	involved map[Crash]map[Request]int
}

func newIndex() index {
	return index{
		requests: make(map[Request]*requestHistory),
		services: make(map[string]*serviceHistory),
		involved: make(map[Crash]map[Request]int),
	}
}

// countVariants returns the number of variants in flight during crashes.
func (x *index) countVariants(r Request) int {
	if h := x.requests[r]; h != nil {
		return len(h.variants)
	}
	return 0
}

// add adds a report about the given crash.
func (x *index) add(crash Crash, r report) {
	requests := r.signature.requests()
	for i, request := range requests {
		h := x.requests[request]
		if h == nil {
			h = &requestHistory{crashes: make(map[Crash]*times), completedBefore: make(map[Crash]int)}
			x.requests[request] = h
		}
		if r.released {
			h.releases.add(r.at)
			continue
		}
		timesOf(h.crashes, crash).add(r.at)
		if r.recentlyCompleted {
			h.completedBefore[crash]++
		}
		if i > 0 {
			h.addVariant(requests[i-1].Fingerprint, crash)
		}
		if x.involved[crash] == nil {
			x.involved[crash] = make(map[Request]int)
		}
		x.involved[crash][request]++
	}
	if r.released {
		return
	}
	s := x.services[r.signature.Service]
	if s == nil {
		s = &serviceHistory{crashes: make(map[Crash]*times)}
		x.services[r.signature.Service] = s
	}
	s.update(crash, func(t *times) { t.add(r.at) })
}

// remove removes a report that was added with the same arguments.
func (x *index) remove(crash Crash, r report) {
	requests := r.signature.requests()
	for i, request := range requests {
		h := x.requests[request]
		if r.released {
			h.releases.remove(r.at)
		} else {
			h.removeCrash(crash, r)
			x.removeInvolvement(crash, request)
			if i > 0 {
				h.removeVariant(requests[i-1].Fingerprint, crash)
			}
		}
		if len(h.crashes) == 0 && len(h.releases) == 0 {
			delete(x.requests, request)
		}
	}
	if !r.released {
		x.services[r.signature.Service].update(crash, func(t *times) { t.remove(r.at) })
	}
}

func (h *requestHistory) removeCrash(crash Crash, r report) {
	t := h.crashes[crash]
	t.remove(r.at)
	if len(*t) == 0 {
		delete(h.crashes, crash)
	}
	if !r.recentlyCompleted {
		return
	}
	if h.completedBefore[crash]--; h.completedBefore[crash] == 0 {
		delete(h.completedBefore, crash)
	}
}

func (x *index) removeInvolvement(crash Crash, r Request) {
	requests := x.involved[crash]
	if requests[r]--; requests[r] == 0 {
		delete(requests, r)
	}
	if len(requests) == 0 {
		delete(x.involved, crash)
	}
}

// update changes the times of the reports of a crash.
func (s *serviceHistory) update(crash Crash, change func(*times)) {
	t := timesOf(s.crashes, crash)
	before, _ := t.newest()
	known := len(*t) > 0
	change(t)
	after, ok := t.newest()
	if known && ok && before == after {
		return
	}
	if known {
		for i := s.search(before); ; i++ {
			if s.byTime[i].crash == crash {
				s.byTime = slices.Delete(s.byTime, i, i+1)
				break
			}
		}
	}
	if !ok {
		delete(s.crashes, crash)
		return
	}
	s.byTime = slices.Insert(s.byTime, s.search(after), timedCrash{after, crash})
}

// search returns the index of the first crash at the given time or later.
func (s *serviceHistory) search(at time.Duration) int {
	i, _ := slices.BinarySearchFunc(s.byTime, at, func(c timedCrash, at time.Duration) int { return cmp.Compare(c.at, at) })
	return i
}

// near returns the crashes within coincidenceWindow of a time.
func (s *serviceHistory) near(at time.Duration) []timedCrash {
	return s.byTime[s.search(at-coincidenceWindow):s.search(at+coincidenceWindow+1)]
}

// timesOf returns the times of a crash in m, after adding it if necessary.
func timesOf(m map[Crash]*times, crash Crash) *times {
	t := m[crash]
	if t == nil {
		t = &times{}
		m[crash] = t
	}
	return t
}
