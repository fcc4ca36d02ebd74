package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/statechart"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// HeaderTimeoutMs is the header with the time left until the deadline, in
// milliseconds. Callers send it to entry VMs, and entry VMs to upstreams.
const HeaderTimeoutMs = "Balsam-Timeout-Ms"

// headerIdempotencyKey is the header by which resends of a request that may
// run at most once are recognised.
const headerIdempotencyKey = "Idempotency-Key"

// defaultTimeout applies to services that set no timeout.
const defaultTimeout = 30 * time.Second

const maxIdempotencyKeyBytes = 255

// call is the state of one request while it is forwarded.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	service *catalogpb.Service
	policy  policy
	key     string
	body    *requestBody
	// signature identifies the request to the quarantine.
	signature quarantine.Signature
	state     statechart.State
	span      trace.Span

	// ctx ends at the deadline. Unless the call needs a claim, it also ends
	// when the caller disconnects.
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time

	// pendingSlot delivers the outcome of the slot request that beginClaim
	// started.
	pendingSlot chan acquireResult
	grant       slot.Grant
	// granted is set while the call holds the slot of grant.
	granted bool
	claim   Claim
	// claimed is set once the claim was granted: no earlier request with the
	// key has run.
	claimed    bool
	reporter   AttemptReporter
	keptAnswer *clusterpb.KeptAnswer
	response   *upstreamResponse
	// avoid lists the upstreams that have failed this call.
	avoid    []string
	attempts int
	// withheld counts the grants that were not used, as the upstream had begun to
	// leave or to pause.
	withheld int
	err      error
	// mayHaveRunErr is the error of an earlier attempt that may have run.
	// Once it is set, no refusal may report "not run".
	mayHaveRunErr error
	interim       interim
}

// callActions maps the action names of the call state machine to methods.
func callActions() map[statechart.Action]func(*call) statechart.Event {
	return map[statechart.Action]func(*call) statechart.Event{
		"ask_claim":      (*call).beginClaim,
		"ask_slot":       (*call).awaitSlot,
		"send":           (*call).send,
		"deliver":        (*call).deliver,
		"refuse":         (*call).refuse,
		"answer_unknown": (*call).refuseOutcomeUnknown,
		"answer_kept":    (*call).replayKeptAnswer,
	}
}

// newCall validates the request and returns its call before any resource is
// acquired.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	if f.opts.Draining() {
		return nil, fault.New(fault.Leaving, "")
	}
	if !f.opts.Source.Fresh() {
		return nil, fault.New(fault.NotFresh, "")
	}
	if err := checkRequest(r, f.opts.MaxBodyBytes); err != nil {
		return nil, err
	}
	v := f.opts.Source.View()
	s := v.ServiceForPath(r.URL.Path)
	if s == nil {
		return nil, fault.New(fault.UnknownService, "no service for path %q", r.URL.Path)
	}
	c := &call{f: f, w: w, r: r, service: s, state: f.chart.Initial()}
	c.key = r.Header.Get(headerIdempotencyKey)
	c.policy = f.rules.policy(v, s, r)
	if c.key == "" && c.policy.keyRequired {
		return nil, fault.New(fault.KeyRequired, "%s %s requires an Idempotency-Key header", r.Method, r.URL.Path)
	}
	if err := c.setDeadline(now); err != nil {
		return nil, err
	}
	return c, nil
}

// checkRequest refuses upgrades, CONNECT, and bodies or keys that are too
// large.
func checkRequest(r *http.Request, maxBody int64) error {
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return fault.New(fault.UpgradeRefused, "")
	}
	if r.ContentLength > maxBody {
		return fault.New(fault.TooLarge, "request body of %d bytes exceeds the limit of %d", r.ContentLength, maxBody)
	}
	if len(r.Header.Get(headerIdempotencyKey)) > maxIdempotencyKeyBytes {
		return fault.New(fault.TooLarge, "header %s exceeds %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	return nil
}

// setDeadline sets the deadline to the earlier of the caller's and the
// service's, and creates the context and the trace span of the call.
func (c *call) setDeadline(now time.Time) error {
	timeout := time.Duration(c.service.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if s := c.r.Header.Get(HeaderTimeoutMs); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return fault.New(fault.BadRequest, "header %s: %q is not a number of milliseconds", HeaderTimeoutMs, s)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = now.Add(timeout)
	// A request with a claim continues after its caller disconnects: the
	// response is kept for the resend.
	parent := c.r.Context()
	if c.needsClaim() {
		parent = context.WithoutCancel(parent)
	}
	parent, c.span = c.f.opts.Tracing.StartServer(parent, c.r.Header, telemetry.SpanCall)
	telemetry.SetAttribute(c.span, telemetry.AttrService, c.service.Name)
	telemetry.SetAttribute(c.span, telemetry.AttrHasIdempotencyKey, strconv.FormatBool(c.key != ""))
	ctx, cancel := context.WithDeadline(parent, c.deadline)
	release := context.AfterFunc(c.f.opts.Ending, cancel)
	c.ctx, c.cancel = ctx, func() {
		release()
		cancel()
	}
	return nil
}

// needsClaim reports whether the request may run at most once and has an
// Idempotency-Key.
func (c *call) needsClaim() bool {
	return c.key != "" && !c.policy.repeatable
}

// admit buffers the body, checks the quarantine and returns the first event
// of the call.
func (c *call) admit() statechart.Event {
	body, err := readBody(c.w, c.r, c.f.opts)
	if err != nil {
		return c.fail(err)
	}
	c.body = body
	c.signature = sign(c.service.Name, c.r, body.digest)
	if e := c.f.opts.Quarantine.Blocked(c.signature); e != nil {
		return c.fail(e)
	}
	if c.needsClaim() {
		return "needs_claim"
	}
	return "admitted"
}

// fail refuses the call with err, or with the error of an earlier attempt
// that may have run.
func (c *call) fail(err error) statechart.Event {
	c.err = err
	if c.mayHaveRunErr != nil {
		c.err = c.mayHaveRunErr
	}
	return "refused"
}

// refusalBeforeClaim returns the refusal for err. If the call needs a claim
// and has not obtained it, an earlier request with the same key may have
// run.
func (c *call) refusalBeforeClaim(err error) error {
	if !c.needsClaim() || c.claimed {
		return err
	}
	return markMayHaveRun(err)
}

// close releases the resources that the call still holds and ends its span.
func (c *call) close() {
	c.releaseSlot(clusterpb.Outcome_OUTCOME_CANCELLED, 0, false)
	c.cancel()
	telemetry.EndSpan(c.span, c.err)
}
