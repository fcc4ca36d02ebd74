// Package admission limits the concurrent calls at one entry VM and divides the
// limit fairly between services.
package admission

import "sync"

// unreservedPermille is the part of the limit, in thousandths, that is
// available to every service. Above it, only services below their fair share
// are admitted.
const unreservedPermille = 750

// Limiter limits concurrent calls. A service that overloads the entry VM cannot
// use up the fair share of the other active services. It is safe for concurrent
// use.
type Limiter struct {
	mu       sync.Mutex
	limit    int
	total    int
	inFlight map[string]int
}

// NewLimiter returns a Limiter that admits at most limit concurrent calls.
func NewLimiter(limit int) *Limiter {
	return &Limiter{limit: limit, inFlight: make(map[string]int)}
}

// Acquire admits a call of the service and reports whether it was admitted. The
// caller must call Release once for each admitted call.
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
	if l.total*1000 < l.limit*unreservedPermille {
		return true
	}
	return l.inFlight[service] < l.fairShare(service)
}

// fairShare returns an equal part of the limit for each service that has calls
// in flight, including the given one. It is at least 1.
func (l *Limiter) fairShare(service string) int {
	active := len(l.inFlight)
	if _, ok := l.inFlight[service]; !ok {
		active++
	}
	return max(1, l.limit/active)
}

// Release ends a call that was admitted by Acquire.
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
