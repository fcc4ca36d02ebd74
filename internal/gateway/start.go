package gateway

import (
	"strconv"
	"time"
)

const (
	// startupWindow is the time after the start of the process in which a desired
	// state is expected soon. Later, control cannot be reached, and calls are refused
	// at once.
	startupWindow = 1500 * time.Millisecond
	// maxStartupWait bounds the wait of one call for the first desired state. A caller
	// that is refused comes back after startupRetryAfter on a new connection, to a
	// gateway that may have no state either.
	maxStartupWait = 500 * time.Millisecond
	// startupWaitShare is the part of the timeout stated by the caller that its call may
	// wait for the first desired state.
	startupWaitShare = 0.15
	// maxStartupWaiters bounds the calls that wait for the first desired state.
	maxStartupWaiters = 256
)

// startupWait returns how long a call that arrives before the first desired state may
// wait for it. sinceStart is the time since the start of the process, stated the timeout
// that the caller has stated, 0 if it has stated none.
func startupWait(sinceStart, stated time.Duration) time.Duration {
	wait := min(maxStartupWait, startupWindow-sinceStart)
	if stated > 0 {
		wait = min(wait, time.Duration(startupWaitShare*float64(stated)))
	}
	return max(0, wait)
}

// awaitFirstState waits for the first desired state for as long as startupWait allows. It
// reports whether there is one.
//
// After a loss of power, callers that have kept the addresses of gateways arrive some
// hundred milliseconds before the first configuration. Sent away, most of them would miss
// their target latency.
func (c *call) awaitFirstState() bool {
	st := c.f.state
	var stated time.Duration
	if ms, err := strconv.ParseFloat(c.r.Header.Get(c.f.opts.Headers.Deadline), 64); err == nil && ms > 0 && ms < maxCallerTimeout.Seconds()*1000 {
		stated = time.Duration(ms * float64(time.Millisecond))
	}
	wait := startupWait(st.now(), stated)
	if wait == 0 || c.f.startupWaiters.Add(1) > maxStartupWaiters {
		if wait > 0 {
			c.f.startupWaiters.Add(-1)
		}
		return false
	}
	defer c.f.startupWaiters.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-st.firstState:
		return true
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	return false
}
