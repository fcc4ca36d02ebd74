// Package forward is the data path of an entry VM: it forwards callers'
// requests to upstreams and returns the upstreams' responses. It enforces
// deadlines and at-most-once delivery, retries and hedges requests that may
// be repeated, and refuses requests that cannot be served.
package forward

import (
	"context"
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/clientbudget"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/statechart"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// Options configures a Forwarder.
type Options struct {
	// Source provides the configuration in force.
	Source configview.Source
	// Slots grants the upstream slots that requests are sent on.
	Slots slot.Allocator
	// Claims tracks requests with an Idempotency-Key that may run at most
	// once.
	Claims Claims
	// Quarantine blocks requests that crash upstreams.
	Quarantine Quarantine
	// Limiter bounds the concurrent requests of each service.
	Limiter *admission.Limiter
	// Budget bounds what is held for callers; nil means no bound.
	Budget *httpnet.Budget
	// Transport sends requests to upstreams; see NewTransport.
	Transport http.RoundTripper
	Tracing   *telemetry.Tracing
	Metrics   *telemetry.EntryMetrics
	Events    event.Logger
	// Draining reports whether this entry VM has stopped accepting requests.
	Draining func() bool
	// Ending ends when a planned stop can wait no longer: calls without a slot are then
	// refused, and those at an upstream are answered that their outcome is unknown. nil
	// means that it does not end.
	Ending context.Context
	// MaxBodyBytes is the largest accepted request body.
	MaxBodyBytes int64
	// BodyIdleTimeout is the longest wait for the next bytes of a request
	// body; 0 means no limit.
	BodyIdleTimeout time.Duration
	// MaxKeptBytes is the largest response body that is kept for resends of
	// a request with an Idempotency-Key.
	MaxKeptBytes int
	// MaxAttempts is the largest number of attempts made for one request. A
	// hedge does not count.
	MaxAttempts int
	// Hedging allows a slow repeatable request to be sent to a second
	// upstream that has a free slot.
	Hedging bool
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	opts         Options
	chart        *statechart.Chart
	actions      map[statechart.Action]func(*call) statechart.Event
	retryBudgets *retryBudgets
	latencies    *latencyTracker
	rules        ruleCache
	notices      *notices
	echoes       *echoes
}

// New returns a Forwarder. It panics when the embedded state machine of a
// call cannot be loaded.
func New(opts Options) *Forwarder {
	if opts.Ending == nil {
		opts.Ending = context.Background()
	}
	return &Forwarder{
		opts:         opts,
		chart:        charts.MustLoad("call"),
		actions:      callActions(),
		retryBudgets: newRetryBudgets(),
		latencies:    newLatencyTracker(),
		notices:      newNotices(),
		echoes:       newEchoes(),
	}
}

// ServeHTTP forwards one request. It answers with the complete response of
// one upstream, with the kept response to an earlier request with the same
// Idempotency-Key, or with a refusal. When a streamed response breaks off,
// it aborts the caller's connection by panicking with http.ErrAbortHandler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, err := f.newCall(w, r, started)
	if err != nil {
		f.refuse(w, refusalBeforeKeyLookup(r, err))
		return
	}
	defer c.close()
	if !f.opts.Limiter.Acquire(c.service.Name) {
		f.opts.Budget.DropStalled(clientbudget.StallGrace)
		c.err = fault.New(fault.Overloaded, "too many concurrent requests for service %q", c.service.Name)
		c.refuse()
		return
	}
	defer f.opts.Limiter.Release(c.service.Name)
	f.run(c)
	f.opts.Metrics.Call.RecordDuration(time.Since(started))
}

// refusalBeforeKeyLookup returns the refusal for a request that failed with
// err before its Idempotency-Key was looked up. An earlier request with the
// same key may have run, so a refusal that invites a retry must not report
// "not run".
func refusalBeforeKeyLookup(r *http.Request, err error) error {
	if r.Header.Get(headerIdempotencyKey) == "" || isSafe(r.Method) {
		return err
	}
	return markMayHaveRun(err)
}

// markMayHaveRun returns a copy of err that reports the outcome as unknown
// if the caller is told to retry. A refusal without Retry-After stays as it
// is: such a request is never accepted, so no earlier one can have run.
func markMayHaveRun(err error) error {
	e := *fault.FromError(err)
	e.MayHaveRun = e.Response().RetryAfter > 0
	return &e
}

// refuse writes err as the response and counts it by kind.
func (f *Forwarder) refuse(w http.ResponseWriter, err error) {
	f.opts.Metrics.CountCall(fault.KindOf(err))
	fault.WriteHTTP(w, err)
}

// run executes the state machine of the call until an action returns no
// event.
func (f *Forwarder) run(c *call) {
	ev := c.admit()
	for ev != "" {
		next, actions, ok := f.chart.Next(c.state, ev)
		if !ok {
			c.err = fault.New(fault.Internal, "call in state %q cannot handle event %q", c.state, ev)
			c.refuse()
			return
		}
		c.state = next
		ev = ""
		for _, a := range actions {
			ev = f.actions[a](c)
		}
	}
}
