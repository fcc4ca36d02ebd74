// Package gateway runs an entry VM that forwards requests along the routes of
// the desired state.
//
// For each request it probes the load of a few upstreams, chooses one of them
// with package balance, and sends the request on the connection on which the
// chosen one has answered the probe. A request of which a byte may have been
// sent is retried only if its route allows it or the upstream states that it did
// not run the request.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/boottime"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

var (
	errWrongUpstream     = errors.New("another upstream answered at this address")
	errConnectionClosing = errors.New("upstream closes the connection after this response")
)

// CrashTracker keeps track of requests that crash upstreams.
type CrashTracker interface {
	// Judge decides whether a request may be sent.
	Judge(quarantine.Signature) gossip.Decision
	// Crashed records that an upstream ended with the request in flight, and whether it
	// was a trial, and returns the report.
	Crashed(sig quarantine.Signature, c quarantine.Crash, trial bool) *clusterpb.CrashReport
	// UpstreamGone records that an upstream has ended while no request was in flight
	// there from this gateway.
	UpstreamGone(pool string, c quarantine.Crash)
	// Completed records that the request received a complete response. It returns the
	// report that clears the request, or nil if it needs none.
	Completed(quarantine.Signature) *clusterpb.CrashReport
	// Merge adds reports of other gateways.
	Merge([]*clusterpb.CrashReport)
	// ReportsAbout returns the newest known reports about a request.
	ReportsAbout(quarantine.Request) []*clusterpb.CrashReport
}

// ForwarderOptions configures a Forwarder.
type ForwarderOptions struct {
	Headers Headers
	Crashes CrashTracker
	Limiter *admission.Limiter
	Metrics *telemetry.GatewayMetrics
	Events  event.Logger
	// Closed reports whether this gateway refuses new calls.
	Closed func() bool
	// Permits returns a client of the Permits service of another gateway.
	Permits func(clusterAddress string) clusterpb.Permits
	// Trials returns a client of the Trials service of another gateway.
	Trials func(clusterAddress string) clusterpb.Trials
	// Allotments returns a client of the Allotments service of another gateway.
	Allotments func(clusterAddress string) clusterpb.Allotments
	// ReportLost is called when this gateway loses all upstreams or reaches them
	// again. It must not block; nil means that nothing is called.
	ReportLost func(lost bool)
	// DialGateway opens connections to other gateways, to which calls are relayed;
	// nil means that they are not relayed.
	DialGateway upstreamconn.Dialer
	// Authorize adds the key of this process to the header of a request to another
	// gateway; nil means that none is needed.
	Authorize func(http.Header)
	// Context ends background work; nil means that it does not end.
	Context context.Context
	// Budget bounds what is held for callers; nil means no bound.
	Budget *httpnet.Budget
	// BodyIdleTimeout bounds the wait for the next bytes of a request body.
	BodyIdleTimeout time.Duration
	// Random returns random numbers in [0, 1); nil means those of math/rand. It must
	// be safe for concurrent use.
	Random func() float64
	// BootTime is a clock that also runs while the VM is suspended; nil means that of
	// package boottime.
	BootTime func() time.Duration
}

// Forwarder is the HTTP handler that forwards requests of callers to upstreams.
type Forwarder struct {
	opts  ForwarderOptions
	state *state
	conns *upstreamconn.Pool
	// buffers bounds the memory in which responses are buffered.
	buffers *responseBuffers
	// lastWaiterID is the ID of the call that joined a queue last.
	lastWaiterID atomic.Uint64
	// startupWaiters is the number of calls that wait for the first desired state.
	startupWaiters atomic.Int64
	trials         trialGates
	reach          reachability
	relays         relayTargets
	relayConns     *upstreamconn.Pool
	stop           stopState
}

func newForwarder(st *state, conns *upstreamconn.Pool, o ForwarderOptions) *Forwarder {
	if o.Context == nil {
		o.Context = context.Background()
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.BootTime == nil {
		o.BootTime = boottime.Now
	}
	buffers := newResponseBuffers()
	buffers.budget = o.Budget
	f := &Forwarder{opts: o, state: st, conns: conns, buffers: buffers, relayConns: upstreamconn.NewPool(o.DialGateway)}
	f.stop.init()
	return f
}

// ServeHTTP answers one call with the response of an upstream or with an error.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.serve(&call{f: f, w: w, r: r, arrived: time.Now()})
}

// serve answers the call.
func (f *Forwarder) serve(c *call) {
	err := c.prepare()
	if err == nil {
		defer c.cancel()
		defer f.opts.Limiter.Release(c.pool)
		err = c.run()
	}
	if err != nil {
		c.limitUnreadBody()
		c.markOutcome(err)
		fault.WriteHTTPFractional(c.w, err)
	}
	if c.origin != nil {
		f.opts.Metrics.RelayedIn(relayedInOutcome(err)).Inc(1)
	}
	c.finish(err)
}
