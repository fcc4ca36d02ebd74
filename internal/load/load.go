// Package load is an open-loop load generator for a service. It measures the
// latency and the outcomes that callers see.
//
// Arrivals follow a Poisson process and do not wait for responses. Latency is
// measured from the intended arrival time of a request, so that a stall counts
// against every request that should have been sent during it (no coordinated
// omission).
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

// Header fields of generated requests.
const (
	// HeaderRequestNumber holds the number of the request within the run. It
	// is the same on resends.
	HeaderRequestNumber = "Balsam-Load-Request"
	// headerIdempotencyKey makes a non-idempotent request safe to resend.
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	// defaultTimeout applies when Plan.Timeout is not set.
	defaultTimeout = 10 * time.Second
	// defaultMaxInFlight applies when Plan.MaxInFlight is not set.
	defaultMaxInFlight = 20_000
	// sampleQueueSize is the number of samples buffered for the collector.
	sampleQueueSize = 8_192
)

// Plan configures a run of the load generator.
type Plan struct {
	// Service is the service to look up.
	Service string
	// LookupAddresses are the entry VMs that are asked, in this order, which
	// entry VMs to use.
	LookupAddresses []string
	// Zone is the availability zone of the callers, as sent in the look-up.
	Zone string
	// Targets is a fixed list of entry VMs that replaces the look-up.
	Targets []lookup.Entry
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Duration is the time during which requests arrive. Responses may follow
	// later.
	Duration time.Duration
	// Warmup excludes requests that arrive before this time from the totals.
	// They are still included in the per-second statistics.
	Warmup time.Duration
	// Method is the HTTP method; empty means GET.
	Method string
	// Path is the request path, including the path prefix of the service.
	Path string
	// BodyBytes is the size of the request body.
	BodyBytes int
	// IdempotencyKey adds an Idempotency-Key header to each request, with the
	// same value on resends.
	IdempotencyKey bool
	// Header holds additional header fields.
	Header http.Header
	// Resends limits how often a request is sent again after a refusal or a
	// connection error. A refused request is sent again after the delay that
	// the refusal gives.
	Resends int
	// Timeout limits a request, resends included, from its intended arrival.
	Timeout time.Duration
	// MaxInFlight limits the requests in flight. Arrivals beyond it are not
	// sent and are counted as dropped.
	MaxInFlight int
	// Seed is the random seed of the arrival times; 0 means 1.
	Seed uint64
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper
	// Verify, if set, validates the response to the request with the given
	// number. If it returns an error, the request counts as failed, with the
	// outcome "wrong_answer".
	Verify func(request uint64, resp *http.Response, body []byte) error
	// Progress, if set, receives a progress line every second.
	Progress io.Writer
}

// Run executes the plan. If ctx is cancelled early, no more requests are sent,
// those in flight are cancelled and the report covers what was sent. It returns
// an error of kind fault.BadRequest for an invalid plan, or the error of the
// first look-up.
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
		samples: make(chan sample, sampleQueueSize),
	}
	return r.run(ctx, targets), nil
}

// prepare validates the plan and sets defaults.
func (p *Plan) prepare() error {
	switch {
	case p.Rate <= 0:
		return fault.New(fault.BadRequest, "rate %g is not positive", p.Rate)
	case p.Duration <= 0 || p.Warmup < 0 || p.Warmup >= p.Duration:
		return fault.New(fault.BadRequest, "duration %v must be positive and longer than the warm-up of %v, which must not be negative", p.Duration, p.Warmup)
	case p.Path == "" || p.Path[0] != '/':
		return fault.New(fault.BadRequest, "path %q does not begin with /", p.Path)
	case len(p.Targets) == 0 && (p.Service == "" || len(p.LookupAddresses) == 0):
		return fault.New(fault.BadRequest, "neither targets nor both a service and entry VMs for its look-up are set")
	}
	if p.Method == "" {
		p.Method = http.MethodGet
	}
	if p.Timeout <= 0 {
		p.Timeout = defaultTimeout
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if p.Seed == 0 {
		p.Seed = 1
	}
	if p.Transport == nil {
		p.Transport = newTransport()
	}
	return nil
}

// newTransport returns a transport that keeps enough idle connections for
// defaultMaxInFlight requests to each entry VM.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: defaultMaxInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// runner executes one plan.
type runner struct {
	plan     *Plan
	caller   *caller
	samples  chan sample
	inFlight inFlightCounter
}

func (r *runner) run(ctx context.Context, targets *targets) Report {
	start := time.Now()
	collector := newCollector(r.plan, &r.inFlight)
	var background conc.WaitGroup
	refreshCtx, stopRefresh := context.WithCancel(ctx)
	background.Go(func() { targets.refresh(refreshCtx) })
	background.Go(func() { collector.collect(start, r.samples) })
	r.sendRequests(ctx, start)
	close(r.samples)
	stopRefresh()
	background.Wait()
	return collector.report(time.Since(start))
}

// sendRequests starts a goroutine for each arrival and waits for all of them.
func (r *runner) sendRequests(ctx context.Context, start time.Time) {
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
		if !r.inFlight.tryAcquire(int64(r.plan.MaxInFlight)) {
			r.samples <- sample{arrival: at, outcome: outcomeDropped}
			continue
		}
		calls.Go(func() {
			defer r.inFlight.release()
			r.samples <- r.caller.call(ctx, request, start, at)
		})
	}
}

// sleepUntil waits until at and reports true, or reports false if ctx is done.
// It returns at once if at has passed.
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
