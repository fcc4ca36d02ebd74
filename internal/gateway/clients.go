package gateway

import (
	"net/http"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

const (
	// The bounds within which the limits of the desired state are obeyed. A head takes
	// about twice its length in memory.
	minHeaderBytes   = 1 << 10
	maxHeaderBytes   = 64 << 10
	minClientTimeout = 10 * time.Millisecond
	maxClientTimeout = 10 * time.Minute
	// stalledWhileWaiting is the time without progress after which a client is dropped
	// while calls wait for an upstream: it may hold a connection to one. A caller that still
	// reads takes 4 KiB in that time on a link of 16 kbit/s.
	stalledWhileWaiting = 2 * time.Second
	// unreadBodyTimeout bounds the time in which the server reads what a refused call has
	// left of its body, so that the connection can be used again.
	unreadBodyTimeout = time.Second
)

// clientLimits returns the limits of callers in the desired state, or those of the
// settings where it has none.
func clientLimits(settings httpnet.Limits, state *catalogpb.CallerLimits) httpnet.Limits {
	if n := state.GetMaxHeaderBytes(); n > 0 {
		settings.MaxHeaderBytes = min(max(int(n), minHeaderBytes), maxHeaderBytes)
	}
	bounded := func(ms uint32) time.Duration {
		return min(max(time.Duration(ms)*time.Millisecond, minClientTimeout), maxClientTimeout)
	}
	if ms := state.GetHeaderTimeoutMs(); ms > 0 {
		settings.ReadHeaderTimeout = bounded(ms)
	}
	if ms := state.GetIdleTimeoutMs(); ms > 0 {
		settings.IdleTimeout = bounded(ms)
	}
	return settings
}

// callerLimits returns the limits of the listener for callers, which change with the
// desired state.
func (d *Daemon) callerLimits() httpnet.Limits {
	settings := d.settings.Limits.Listener()
	limits := settings
	limits.MaxHeaderBytes = max(settings.MaxHeaderBytes, maxHeaderBytes)
	limits.Budget = d.budget
	limits.Current = func() httpnet.Limits {
		return clientLimits(settings, d.state.config.Load().GetCallerLimits())
	}
	return limits
}

// bodyIdleTimeout returns the longest wait for the next bytes of a body.
func (f *Forwarder) bodyIdleTimeout() time.Duration {
	limits := httpnet.Limits{IdleTimeout: f.opts.BodyIdleTimeout}
	idle := clientLimits(limits, f.state.config.Load().GetCallerLimits()).IdleTimeout
	if f.opts.BodyIdleTimeout > 0 {
		return min(idle, f.opts.BodyIdleTimeout)
	}
	return idle
}

// limitUnreadBody bounds the time in which the rest of the body of a refused call is read.
func (c *call) limitUnreadBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	// It fails only for writers that have no connection.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// dropStalledWhileWaiting drops stalled clients while calls wait for an upstream.
func (d *Daemon) dropStalledWhileWaiting() {
	if d.state.callsWaiting() {
		d.budget.DropStalled(stalledWhileWaiting)
	}
}

// callsWaiting reports whether any calls wait for an upstream.
func (st *state) callsWaiting() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, q := range st.queues {
		if q.waiters.Len() > 0 {
			return true
		}
	}
	return false
}

// noRoom is the refusal of a call whose body cannot be held.
func (c *call) noRoom() error {
	return fault.NewRetryable(fault.Overloaded, c.retryAfter(0), "no room for the request body, or it arrived too slowly while there was little")
}
