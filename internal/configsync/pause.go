package configsync

import (
	"context"
	"sync"
	"time"
)

const (
	// maxLoopGap is the longest time between two iterations of the loop of a process
	// that runs; it wakes at least every maxSleep.
	maxLoopGap = maxSleep + 500*time.Millisecond
	// maxRefreshWait bounds the wait for control after a pause. An answer takes a few
	// milliseconds; while control cannot be reached, gateways serve on.
	maxRefreshWait = 500 * time.Millisecond
)

// pauseDetector notices that the process stood still or was starved: what it holds may
// be seconds old although its timers have not noticed yet. Times are readings of a
// clock that runs while the VM is suspended. It is safe for concurrent use.
type pauseDetector struct {
	now func() time.Duration

	mu sync.Mutex
	// lastActive is the time of the last iteration of the loop.
	lastActive time.Duration
	// refreshed is closed once control has been asked again after a pause; nil if no
	// pause is known of.
	refreshed chan struct{}
	// resumedAt is the time at which the pause was noticed.
	resumedAt time.Duration
}

// check returns the channel that is closed after the refresh, or nil if the process has
// not been paused. The caller holds mu.
func (p *pauseDetector) check() chan struct{} {
	if now := p.now(); p.refreshed == nil && p.lastActive > 0 && now-p.lastActive > maxLoopGap {
		p.refreshed = make(chan struct{})
		p.resumedAt = now
	}
	return p.refreshed
}

// recordActive records an iteration of the loop. It reports whether a pause has just
// come to an end.
func (p *pauseDetector) recordActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.check() != nil && p.now()-p.lastActive > maxLoopGap
	p.lastActive = p.now()
	return paused
}

// recordRefresh ends the refresh after a pause with a request to control that was sent
// at the given time, or after maxRefreshWait without one. granted is set if the request
// succeeded.
func (p *pauseDetector) recordRefresh(sent time.Duration, granted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refreshed == nil {
		return
	}
	if granted && sent >= p.resumedAt || p.now()-p.resumedAt >= maxRefreshWait {
		close(p.refreshed)
		p.refreshed = nil
	}
}

// AwaitRefresh waits, if the process has just been resumed after a pause of seconds,
// until control has confirmed or renewed the configuration, for at most
// maxRefreshWait or until ctx ends. It reports whether it has waited.
func (s *Syncer) AwaitRefresh(ctx context.Context) bool {
	s.pause.mu.Lock()
	refreshed := s.pause.check()
	s.pause.mu.Unlock()
	if refreshed == nil {
		return false
	}
	timer := time.NewTimer(maxRefreshWait)
	defer timer.Stop()
	select {
	case <-refreshed:
	case <-timer.C:
		s.pause.recordRefresh(0, false)
	case <-ctx.Done():
	}
	return true
}
