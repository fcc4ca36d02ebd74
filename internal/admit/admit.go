// Package admit bounds the calls in flight at one entry VM and shares the
// bound among services.
package admit

import "sync"

// sharedPermille is the part of the limit that any service may use alone. The
// rest is kept for services below their equal share.
const sharedPermille = 750

// Limiter bounds calls in flight. A service that floods the entry VM cannot
// take the places that the other active services are entitled to.
type Limiter struct {
	mu       sync.Mutex
	limit    int
	total    int
	inFlight map[string]int
}

// NewLimiter returns a limiter for at most limit calls in flight.
func NewLimiter(limit int) *Limiter {
	return &Limiter{limit: limit, inFlight: make(map[string]int)}
}

// Acquire takes a place for a call of service. It reports false when there is
// none; otherwise the caller must call Release once.
func (l *Limiter) Acquire(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admits(service) {
		return false
	}
	l.total++
	l.inFlight[service]++
	return true
}

func (l *Limiter) admits(service string) bool {
	if l.total >= l.limit {
		return false
	}
	if l.total*1000 < l.limit*sharedPermille {
		return true
	}
	return l.inFlight[service] < l.fairShare(service)
}

// fairShare is the equal share of each service that has calls in flight.
func (l *Limiter) fairShare(service string) int {
	active := len(l.inFlight)
	if _, ok := l.inFlight[service]; !ok {
		active++
	}
	return max(1, l.limit/active)
}

// Release gives back a place taken by Acquire.
func (l *Limiter) Release(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.inFlight[service]--
	if l.inFlight[service] == 0 {
		delete(l.inFlight, service)
	}
}

// Total returns the number of calls in flight.
func (l *Limiter) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
