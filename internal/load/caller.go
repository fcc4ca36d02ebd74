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

// Outcomes besides the kinds of refusals.
const (
	outcomeAnswered    = "answered"
	outcomeServerError = "upstream_5xx"
	outcomeDropped     = "dropped"
	outcomeTimeout     = "timeout"
	outcomeCancelled   = "cancelled"
	outcomeUnreachable = "unreachable"
	outcomeBroken      = "broken"
	outcomeWrongAnswer = "wrong_answer"
	outcomeBadPlan     = "bad_request"
)

const (
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
	// reconnectPause is the wait after a lost connection.
	reconnectPause = 50 * time.Millisecond
	// maxRetryAfter bounds the wait that a refusal can ask for.
	maxRetryAfter = 30 * time.Second
)

// sample is what became of one request.
type sample struct {
	// at is the intended arrival since the start.
	at time.Duration
	// sent is the time from the intended arrival to the first attempt.
	sent time.Duration
	// latency is the time from the intended arrival to the end of the answer.
	latency time.Duration
	outcome string
	// refused is set for refusals of the system, with their run claim.
	refused bool
	run     fault.RunStatus
	resends int
}

// attempt is what became of one sending of a request.
type attempt struct {
	outcome    string
	refused    bool
	run        fault.RunStatus
	retryAfter time.Duration
}

// caller sends requests as a caller of the service does.
type caller struct {
	plan    *Plan
	targets *targets
	client  *http.Client
	body    []byte
	// runID tells the keys of two runs apart.
	runID string
}

func newCaller(plan *Plan, targets *targets) *caller {
	return &caller{
		plan:    plan,
		targets: targets,
		client:  &http.Client{Transport: plan.Transport, CheckRedirect: keepRedirect},
		body:    bytes.Repeat([]byte("x"), plan.BodyBytes),
		runID:   fmt.Sprintf("%016x", rand.Uint64()),
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call sends one request, and sends it again as far as the plan and the
// refusals allow.
func (c *caller) call(ctx context.Context, request uint64, start time.Time, at time.Duration) sample {
	intended := start.Add(at)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(c.plan.Timeout))
	defer cancel()
	s := sample{at: at, sent: time.Since(intended)}
	var tried []string
	for {
		address := c.targets.pick(tried)
		tried = append(tried, address)
		a := c.send(ctx, address, request)
		s.outcome, s.refused, s.run = a.outcome, a.refused, a.run
		if s.resends >= c.plan.Resends || !c.mayResend(a) || !wait.For(ctx, a.retryAfter) {
			break
		}
		s.resends++
	}
	s.latency = time.Since(intended)
	return s
}

// mayResend reports whether a caller would send the request again.
func (c *caller) mayResend(a attempt) bool {
	if a.outcome == outcomeAnswered || a.retryAfter <= 0 {
		return false
	}
	return a.run == fault.NotRun || c.plan.IdempotencyKey || c.plan.Method == http.MethodGet
}

func (c *caller) send(ctx context.Context, address string, request uint64) attempt {
	req, err := c.newRequest(ctx, address, request)
	if err != nil {
		return attempt{outcome: outcomeBadPlan}
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return failedAttempt(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failedAttempt(err)
	}
	return c.classify(request, resp, body)
}

func (c *caller) newRequest(ctx context.Context, address string, request uint64) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.plan.Method, "http://"+address+c.plan.Path, nil)
	if err != nil {
		return nil, err
	}
	// A body without GetBody keeps http.Transport from sending the request
	// again by itself.
	req.Body = io.NopCloser(bytes.NewReader(c.body))
	req.ContentLength = int64(len(c.body))
	for name, values := range c.plan.Header {
		req.Header[name] = values
	}
	number := strconv.FormatUint(request, 10)
	req.Header.Set(HeaderRequest, number)
	if c.plan.IdempotencyKey {
		req.Header.Set(headerKey, c.runID+"-"+number)
	}
	return req, nil
}

func (c *caller) classify(request uint64, resp *http.Response, body []byte) attempt {
	if kind := resp.Header.Get(fault.HeaderKind); kind != "" {
		return attempt{
			outcome:    kind,
			refused:    true,
			run:        fault.RunStatus(resp.Header.Get(fault.HeaderRun)),
			retryAfter: retryAfter(resp.Header),
		}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return attempt{outcome: outcomeServerError}
	}
	if c.plan.Verify != nil {
		if err := c.plan.Verify(request, resp, body); err != nil {
			return attempt{outcome: outcomeWrongAnswer}
		}
	}
	return attempt{outcome: outcomeAnswered}
}

// failedAttempt classifies an error of the transport. A connection that was
// never made says that the request did not run.
func failedAttempt(err error) attempt {
	var op *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return attempt{outcome: outcomeTimeout, run: fault.RunUnknown}
	case errors.Is(err, context.Canceled):
		return attempt{outcome: outcomeCancelled, run: fault.RunUnknown}
	case errors.As(err, &op) && op.Op == "dial":
		return attempt{outcome: outcomeUnreachable, run: fault.NotRun, retryAfter: reconnectPause}
	default:
		return attempt{outcome: outcomeBroken, run: fault.RunUnknown, retryAfter: reconnectPause}
	}
}

// retryAfter reads when a refused request makes sense again; 0 means never.
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
