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
	// trials counts the reports of crashes in trials of the request.
	trials map[Crash]int
	// releases holds the times at which it completed or was released.
	releases times
	// variants holds, for a general fingerprint, the crashes of each variant with
	// the number of reports. A variant is the next less general fingerprint.
	variants map[string]map[Crash]int
}

// isOfOneVariant reports whether the history is that of a general fingerprint, and
// one variant was involved in all of the given crashes.
func (h *requestHistory) isOfOneVariant(crashes map[Crash]time.Duration) bool {
	for _, own := range h.variants {
		n := 0
		for crash := range own {
			if _, ok := crashes[crash]; ok {
				n++
			}
		}
		if n == len(crashes) {
			return true
		}
	}
	return false
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
	decrement(h.variants[variant], crash)
	if len(h.variants[variant]) == 0 {
		delete(h.variants, variant)
	}
}

// serviceHistory holds the crashes of one service.
type serviceHistory struct {
	// crashes holds the times of the reports of each crash, involved the requests that
	// were in flight, with the number of reports, and trials those that were on trial.
	crashes  map[Crash]*times
	involved map[Crash]map[Request]int
	trials   map[Crash]map[Request]*trialReports
	// lastTrial is the time of the newest report about a trial.
	lastTrial time.Duration
	// byTime holds the crashes with the times of their newest reports, in ascending
	// order.
	byTime []timedCrash
}

// trialReports holds the reports about trials of one request during one crash.
type trialReports struct {
	// requests holds the fingerprints in the reports, with the number of reports.
	requests map[Request]int
	count    int
}

func (t *trialReports) add(requests []Request) {
	t.count++
	for _, r := range requests {
		t.requests[r]++
	}
}

func (s *serviceHistory) removeTrial(crash Crash, requests []Request) {
	reports := s.trials[crash][requests[0]]
	for _, r := range requests {
		decrement(reports.requests, r)
	}
	if reports.count--; reports.count > 0 {
		return
	}
	delete(s.trials[crash], requests[0])
	if len(s.trials[crash]) == 0 {
		delete(s.trials, crash)
	}
}

// timedCrash is a crash with the time of its newest report.
type timedCrash struct {
	at    time.Duration
	crash Crash
}

// index finds the reports that a decision depends on.
type index struct {
	requests map[Request]*requestHistory
	// onTrial holds the requests whose trials have crashed upstreams, with the number of
	// reports.
	onTrial  map[Request]int
	services map[string]*serviceHistory
}

func newIndex() index {
	return index{
		requests: make(map[Request]*requestHistory),
		onTrial:  make(map[Request]int),
		services: make(map[string]*serviceHistory),
	}
}

// add adds a report about the given crash.
func (x *index) add(crash Crash, r report) {
	requests := r.signature.requests()
	for i, request := range requests {
		h := x.requests[request]
		if h == nil {
			h = &requestHistory{crashes: make(map[Crash]*times), trials: make(map[Crash]int)}
			x.requests[request] = h
		}
		if r.released {
			h.releases.add(r.at)
			continue
		}
		timesOf(h.crashes, crash).add(r.at)
		if r.trial {
			h.trials[crash]++
			x.onTrial[request]++
		}
		if i > 0 {
			h.addVariant(requests[i-1].Fingerprint, crash)
		}
	}
	if r.released {
		return
	}
	s := x.services[r.signature.Service]
	if s == nil {
		s = &serviceHistory{
			crashes: make(map[Crash]*times), involved: make(map[Crash]map[Request]int), trials: make(map[Crash]map[Request]*trialReports),
		}
		x.services[r.signature.Service] = s
	}
	if s.involved[crash] == nil {
		s.involved[crash] = make(map[Request]int)
	}
	for _, request := range requests {
		s.involved[crash][request]++
	}
	if r.trial {
		if s.trials[crash] == nil {
			s.trials[crash] = make(map[Request]*trialReports)
		}
		if s.trials[crash][requests[0]] == nil {
			s.trials[crash][requests[0]] = &trialReports{requests: make(map[Request]int)}
		}
		s.trials[crash][requests[0]].add(requests)
		s.lastTrial = max(s.lastTrial, r.at)
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
			if r.trial {
				decrement(x.onTrial, request)
			}
			if i > 0 {
				h.removeVariant(requests[i-1].Fingerprint, crash)
			}
		}
		if len(h.crashes) == 0 && len(h.releases) == 0 {
			delete(x.requests, request)
		}
	}
	if r.released {
		return
	}
	s := x.services[r.signature.Service]
	for _, request := range requests {
		decrement(s.involved[crash], request)
	}
	if len(s.involved[crash]) == 0 {
		delete(s.involved, crash)
	}
	if r.trial {
		s.removeTrial(crash, requests)
	}
	s.update(crash, func(t *times) { t.remove(r.at) })
}

func (h *requestHistory) removeCrash(crash Crash, r report) {
	t := h.crashes[crash]
	t.remove(r.at)
	if len(*t) == 0 {
		delete(h.crashes, crash)
	}
	if r.trial {
		decrement(h.trials, crash)
	}
}

// decrement lowers the count of a key and removes it at zero.
func decrement[K comparable](counts map[K]int, key K) {
	if counts[key]--; counts[key] == 0 {
		delete(counts, key)
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

// near returns the crashes within isolationBefore and isolationAfter of a time.
func (s *serviceHistory) near(at time.Duration) []timedCrash {
	return s.byTime[s.search(at-isolationBefore):s.search(at+isolationAfter+1)]
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
