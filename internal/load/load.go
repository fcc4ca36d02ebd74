// Package load drives a service with an open loop of requests and measures
// what its callers see.
//
// Arrivals follow a Poisson process and never wait for answers. The latency of
// a request counts from its intended arrival, so that a stall is charged to
// every request that should have been sent during it.
package load

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

// Header fields that the tool sends.
const (
	// HeaderRequest holds the number of the request, the same on resends.
	HeaderRequest = "Balsam-Load-Request"
	// headerKey makes a request that may not repeat safe to send again.
	headerKey = "Idempotency-Key"
)

const (
	// defaultTimeout bounds a request when the plan sets no bound.
	defaultTimeout = 10 * time.Second
	// defaultInFlight bounds the requests in flight when the plan sets none.
	defaultInFlight = 20_000
	// sampleQueue is the number of samples that may wait for the collector.
	sampleQueue = 8_192
)

// Plan describes a run.
type Plan struct {
	// Service is the service to look up.
	Service string
	// LookupAddresses lists addresses of entry VMs that are asked which ones to use.
	LookupAddresses []string
	// Zone is the availability zone of the callers, sent with the look-up.
	Zone string
	// Targets replaces the look-up by fixed entry VMs.
	Targets []lookup.Entry
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Duration is the time in which requests arrive; their answers may come
	// later.
	Duration time.Duration
	// Warmup leaves requests that arrive earlier out of the totals. They still
	// appear in the report second by second.
	Warmup time.Duration
	// Method is the HTTP method; empty means GET.
	Method string
	// Path is the request path, with the path prefix of the service.
	Path string
	// BodyBytes is the size of the request body.
	BodyBytes int
	// IdempotencyKey gives each request an Idempotency-Key, the same on resends.
	IdempotencyKey bool
	// Header holds further header fields.
	Header http.Header
	// Resends bounds how often a refused request is sent again, after the time
	// that the refusal states.
	Resends int
	// Timeout bounds a request from its intended arrival, resends included.
	Timeout time.Duration
	// MaxInFlight bounds the requests in flight. Arrivals beyond it are not
	// sent and count as dropped.
	MaxInFlight int
	// Seed fixes the arrivals; 0 means 1.
	Seed uint64
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper
	// Verify, if set, checks an answer against the number of its request. Its
	// error counts the answer as wrong.
	Verify func(request uint64, resp *http.Response, body []byte) error
	// Progress, if set, receives a line a second.
	Progress io.Writer
}

// Run carries out the plan. When ctx ends early, no more requests arrive,
// those in flight are cancelled and the report covers what was sent. The error
// is of kind fault.BadRequest for an impossible plan, or that of the look-up.
func Run(ctx context.Context, plan Plan) (Report, error) {
	if err := plan.prepare(); err != nil {
		return Report{}, err
	}
	if t, ok := plan.Transport.(*http.Transport); ok {
		defer t.CloseIdleConnections()
	}
	targets, err := newTargets(ctx, &plan)
	if err != nil {
		return Report{}, err
	}
	r := &runner{
		plan:    &plan,
		caller:  newCaller(&plan, targets),
		samples: make(chan sample, sampleQueue),
	}
	return r.run(ctx, targets), nil
}

// prepare checks the plan and fills in defaults.
func (p *Plan) prepare() error {
	switch {
	case p.Rate <= 0:
		return fault.New(fault.BadRequest, "the rate must be positive")
	case p.Duration <= 0 || p.Warmup < 0 || p.Warmup >= p.Duration:
		return fault.New(fault.BadRequest, "the duration must be positive and longer than the warm-up")
	case p.Path == "" || p.Path[0] != '/':
		return fault.New(fault.BadRequest, "the path must begin with /")
	case len(p.Targets) == 0 && (p.Service == "" || len(p.LookupAddresses) == 0):
		return fault.New(fault.BadRequest, "either targets or a service and addresses to look it up must be set")
	}
	if p.Method == "" {
		p.Method = http.MethodGet
	}
	if p.Timeout <= 0 {
		p.Timeout = defaultTimeout
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultInFlight
	}
	if p.Seed == 0 {
		p.Seed = 1
	}
	if p.Transport == nil {
		p.Transport = newTransport()
	}
	return nil
}

// newTransport returns a transport that keeps connections for every request
// that can be in flight.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: defaultInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// runner carries out one plan.
type runner struct {
	plan    *Plan
	caller  *caller
	samples chan sample
	flying  gauge
}

func (r *runner) run(ctx context.Context, targets *targets) Report {
	start := time.Now()
	collector := newCollector(r.plan, &r.flying)
	var background conc.WaitGroup
	refreshCtx, stopRefresh := context.WithCancel(ctx)
	background.Go(func() { targets.refresh(refreshCtx) })
	background.Go(func() { collector.collect(start, r.samples) })
	r.arrive(ctx, start)
	close(r.samples)
	stopRefresh()
	background.Wait()
	return collector.report(time.Since(start))
}

// arrive starts a goroutine for each arrival and waits for all of them.
func (r *runner) arrive(ctx context.Context, start time.Time) {
	var calls conc.WaitGroup
	defer calls.Wait()
	arrivals := newArrivals(r.plan.Rate, r.plan.Seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for request := uint64(1); ; request++ {
		at := arrivals.next()
		if at >= r.plan.Duration || !sleepUntil(ctx, timer, start.Add(at)) {
			return
		}
		if !r.flying.enter(int64(r.plan.MaxInFlight)) {
			r.samples <- sample{at: at, outcome: outcomeDropped}
			continue
		}
		calls.Go(func() {
			defer r.flying.leave()
			r.samples <- r.caller.call(ctx, request, start, at)
		})
	}
}

// sleepUntil reports false when ctx ends first. It does not wait for a time
// that has passed.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer.Reset(wait)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
