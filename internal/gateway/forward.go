// Package gateway is the data path of an entry VM that serves the routes of a
// whole desired state.
//
// A request is placed by asking a few upstreams for their load at that moment
// (package place), and is sent on the connection on which the chosen one has
// answered. Nothing is sent again after a byte may have left, unless the route
// allows it.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upconn"
)

var (
	errOtherUpstream  = errors.New("another upstream has the address")
	errConnectionEnds = errors.New("the upstream closes the connection")
)

// Crashes knows the requests that crash upstreams.
type Crashes interface {
	// Blocked returns the refusal for a quarantined request, or nil.
	Blocked(quarantine.Request) *fault.Error
	// Crashed reports that the connection broke with the request in flight.
	Crashed(quarantine.Request, quarantine.Crash)
	// Completed reports a whole answer.
	Completed(quarantine.Request)
}

// ForwarderOptions configures a Forwarder.
type ForwarderOptions struct {
	Headers Headers
	Crashes Crashes
	Limiter *admit.Limiter
	Metrics *telemetry.GatewayMetrics
	Events  event.Logger
	// Leaving reports whether this gateway no longer takes new calls.
	Leaving func() bool
	// BodyIdleTimeout bounds the wait for the next bytes of a request body.
	BodyIdleTimeout time.Duration
}

// Forwarder is the handler for callers' requests.
type Forwarder struct {
	opts  ForwarderOptions
	world *world
	conns *upconn.Pool
	// waiters numbers the calls that wait.
	waiters atomic.Uint64
}

// newForwarder returns a forwarder over what w knows.
func newForwarder(w *world, conns *upconn.Pool, o ForwarderOptions) *Forwarder {
	return &Forwarder{opts: o, world: w, conns: conns}
}

// ServeHTTP answers one call: with the whole answer of one upstream, or with a
// refusal.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{f: f, w: w, r: r, arrived: time.Now()}
	err := c.prepare()
	if err == nil {
		defer c.cancel()
		defer f.opts.Limiter.Release(c.pool)
		err = c.run()
	}
	if err != nil {
		fault.WriteExact(w, err)
	}
	c.finish(err)
}
