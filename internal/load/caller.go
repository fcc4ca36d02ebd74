package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Outcomes of requests that were not refused. The outcome of a refused request
// is its fault kind.
const (
	outcomeAnswered       = "answered"
	outcomeServerError    = "upstream_5xx"
	outcomeDropped        = "dropped"
	outcomeTimeout        = "timeout"
	outcomeCancelled      = "cancelled"
	outcomeUnreachable    = "unreachable"
	outcomeConnectionLost = "broken"
	outcomeWrongAnswer    = "wrong_answer"
	outcomeBadRequest     = "bad_request"
)

const (
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 64 << 20
	// reconnectDelay is the delay before a resend after a connection error.
	reconnectDelay = 50 * time.Millisecond
	// maxRetryAfter caps the retry delay that a refusal can request.
	maxRetryAfter = 30 * time.Second
)

// sample is the result of one request, resends included.
type sample struct {
	// arrival is the intended arrival time, measured from the start of the run.
	arrival time.Duration
	// sendDelay is the time from the intended arrival to the first attempt.
	sendDelay time.Duration
	// latency is the time from the intended arrival to the end of the response.
	latency time.Duration
	outcome string
	// refused is set when the load balancer refused the request with a fault
	// kind; runStatus then says whether the request ran at an upstream.
	refused   bool
	runStatus fault.RunStatus
	resends   int
}

// attemptResult is the result of sending a request once. A retryAfter of 0
// means that the request must not be sent again.
type attemptResult struct {
	outcome    string
	refused    bool
	runStatus  fault.RunStatus
	retryAfter time.Duration
}

// caller sends requests in the way a caller of the service would.
type caller struct {
	plan    *Plan
	targets *targets
	client  *http.Client
	body    []byte
	// runID makes idempotency keys unique across runs.
	runID string
}

func newCaller(plan *Plan, targets *targets) *caller {
	return &caller{
		plan:    plan,
		targets: targets,
		client:  &http.Client{Transport: plan.Transport, CheckRedirect: returnRedirect},
		body:    bytes.Repeat([]byte("x"), plan.BodyBytes),
		runID:   fmt.Sprintf("%016x", rand.Uint64()),
	}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call sends one request, and resends it as far as the plan and the results
// of earlier attempts permit.
func (c *caller) call(ctx context.Context, request uint64, start time.Time, at time.Duration) sample {
	intended := start.Add(at)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(c.plan.Timeout))
	defer cancel()
	s := sample{arrival: at, sendDelay: time.Since(intended)}
	var tried []string
	for {
		address := c.targets.pick(tried)
		tried = append(tried, address)
		a := c.send(ctx, address, request)
		s.outcome, s.refused, s.runStatus = a.outcome, a.refused, a.runStatus
		if s.resends >= c.plan.Resends || !c.canResend(a) || !wait.For(ctx, a.retryAfter) {
			break
		}
		s.resends++
	}
	s.latency = time.Since(intended)
	return s
}

// canResend reports whether the request can be sent again: it did not run, it
// has an idempotency key, or it is a GET.
func (c *caller) canResend(a attemptResult) bool {
	if a.outcome == outcomeAnswered || a.retryAfter <= 0 {
		return false
	}
	return a.runStatus == fault.NotRun || c.plan.IdempotencyKey || c.plan.Method == http.MethodGet
}

func (c *caller) send(ctx context.Context, address string, request uint64) attemptResult {
	req, err := c.newRequest(ctx, address, request)
	if err != nil {
		return attemptResult{outcome: outcomeBadRequest}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return classifyError(err)
	}
	return c.classifyResponse(request, resp, body)
}

func (c *caller) newRequest(ctx context.Context, address string, request uint64) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.plan.Method, "http://"+address+c.plan.Path, nil)
	if err != nil {
		return nil, err
	}
	// Without GetBody, http.Transport does not resend the request on its own,
	// so that each attempt is counted here.
	req.Body = io.NopCloser(bytes.NewReader(c.body))
	req.ContentLength = int64(len(c.body))
	for name, values := range c.plan.Header {
		req.Header[name] = values
	}
	number := strconv.FormatUint(request, 10)
	req.Header.Set(HeaderRequestNumber, number)
	if c.plan.IdempotencyKey {
		req.Header.Set(headerIdempotencyKey, c.runID+"-"+number)
	}
	return req, nil
}

func (c *caller) classifyResponse(request uint64, resp *http.Response, body []byte) attemptResult {
	if kind := resp.Header.Get(fault.HeaderKind); kind != "" {
		return attemptResult{
			outcome:    kind,
			refused:    true,
			runStatus:  fault.RunStatus(resp.Header.Get(fault.HeaderRun)),
			retryAfter: retryAfter(resp.Header),
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return attemptResult{outcome: outcomeServerError}
	}
	if c.plan.Verify != nil {
		if err := c.plan.Verify(request, resp, body); err != nil {
			return attemptResult{outcome: outcomeWrongAnswer}
		}
	}
	return attemptResult{outcome: outcomeAnswered}
}

// classifyError maps a transport error to a result. The request certainly did
// not run only if the connection could not be established.
func classifyError(err error) attemptResult {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return attemptResult{outcome: outcomeTimeout, runStatus: fault.RunUnknown}
	case errors.Is(err, context.Canceled):
		return attemptResult{outcome: outcomeCancelled, runStatus: fault.RunUnknown}
	case errors.As(err, &op) && op.Op == "dial":
		return attemptResult{outcome: outcomeUnreachable, runStatus: fault.NotRun, retryAfter: reconnectDelay}
	default:
		return attemptResult{outcome: outcomeConnectionLost, runStatus: fault.RunUnknown, retryAfter: reconnectDelay}
	}
}

// retryAfter returns the retry delay in the response header, limited to
// maxRetryAfter; 0 means that the request must not be sent again.
func retryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(fault.HeaderRetryAfterMs), 10, 64); err == nil {
		return min(max(time.Duration(ms)*time.Millisecond, 0), maxRetryAfter)
	}
	seconds, err := strconv.ParseInt(h.Get(fault.HeaderRetryAfter), 10, 32)
	if err != nil {
		return 0
	}
	return min(max(time.Duration(seconds)*time.Second, 0), maxRetryAfter)
}
