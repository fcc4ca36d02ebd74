// Package forward carries calls from callers to upstreams and their answers
// back.
package forward

import (
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/view"
)

// Options configures a Forwarder.
type Options struct {
	Source     view.Source
	Slots      slot.Allocator
	Claims     Claims
	Quarantine Quarantine
	Limiter    *admit.Limiter
	Transport  http.RoundTripper
	Tracing    *telemetry.Tracing
	Metrics    *telemetry.EntryMetrics
	Events     event.Logger
	// Draining reports whether this entry VM has stopped admitting calls.
	Draining func() bool
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyIdleTimeout bounds the wait for the next bytes of a request body.
	BodyIdleTimeout time.Duration
	// MaxKeptBytes bounds the answer that is kept for resends.
	MaxKeptBytes int
	// MaxAttempts bounds the upstreams that one call may be sent to.
	MaxAttempts int
	// Hedging lets a slow request that may be repeated be sent to a second
	// upstream that has a free slot.
	Hedging bool
}

// Forwarder is the handler for callers' requests.
type Forwarder struct {
	opts    Options
	chart   *chart.Chart
	actions map[chart.Action]func(*call) chart.Event
	retries *retryBudgets
	paces   *paces
	rules   ruleCache
}

// New returns a forwarder.
func New(opts Options) *Forwarder {
	return &Forwarder{
		opts:    opts,
		chart:   charts.MustLoad("call"),
		actions: callActions(),
		retries: newRetryBudgets(),
		paces:   newPaces(),
	}
}

// ServeHTTP answers one call: with the whole answer of one upstream, with a
// kept answer, or with a refusal.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	c, err := f.newCall(w, r, started)
	if err != nil {
		f.refuse(w, resendFault(r, err))
		return
	}
	defer c.close()
	if !f.opts.Limiter.Acquire(c.service.Name) {
		c.err = fault.New(fault.Overloaded, "service %q", c.service.Name)
		c.refuse()
		return
	}
	defer f.opts.Limiter.Release(c.service.Name)
	f.drive(c)
	f.opts.Metrics.Call.RecordDuration(time.Since(started))
}

// resendFault returns err for a request whose key has not been looked up. An
// earlier attempt with the key may have run: unless the request will never be
// accepted as it is, the refusal must not say that it did not run.
func resendFault(r *http.Request, err error) error {
	if r.Header.Get(headerKey) == "" || isSafe(r.Method) {
		return err
	}
	return mayHaveRun(err)
}

func mayHaveRun(err error) error {
	e := *fault.Of(err)
	e.MayHaveRun = e.Answer().RetryAfter > 0
	return &e
}

// refuse answers that a request was given up on.
func (f *Forwarder) refuse(w http.ResponseWriter, err error) {
	f.opts.Metrics.Answer(fault.KindOf(err))
	fault.WriteHTTP(w, err)
}

// drive steps the call through its chart until a state without a way on.
func (f *Forwarder) drive(c *call) {
	ev := c.admit()
	for ev != "" {
		next, actions, ok := f.chart.Next(c.state, ev)
		if !ok {
			c.err = fault.New(fault.Internal, "call state %q has no event %q", c.state, ev)
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
