package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
)

// HeaderTimeoutMs carries the time left to the deadline, in milliseconds, from
// callers to entry VMs and from entry VMs to upstreams.
const HeaderTimeoutMs = "Balsam-Timeout-Ms"

// headerKey identifies a request that may run at most once.
const headerKey = "Idempotency-Key"

// defaultTimeout bounds a call of a service that sets no timeout.
const defaultTimeout = 30 * time.Second

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 255

// call is one request of a caller on its way.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	service *catalogpb.Service
	policy  policy
	key     string
	body    *requestBody
	// fingerprint identifies the request to the quarantine.
	fingerprint string
	state       chart.State
	span        trace.Span

	// ctx ends at the deadline and, unless the call holds a claim, when the
	// caller goes away.
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time

	pending chan acquired
	grant   slot.Grant
	granted bool
	claim   Claim
	// claimed is set once the claim was granted: no earlier attempt with the key
	// has run.
	claimed  bool
	try      AttemptReporter
	kept     *clusterpb.KeptAnswer
	answer   *answer
	avoid    []string
	attempts int
	err      error
	// mayHaveRun is the error of an attempt that may have run. No later refusal
	// may then say that the request did not run.
	mayHaveRun error
	interim    interim
}

// callActions maps the actions of the call chart to functions.
func callActions() map[chart.Action]func(*call) chart.Event {
	return map[chart.Action]func(*call) chart.Event{
		"ask_claim":      (*call).askClaim,
		"ask_slot":       (*call).askSlot,
		"send":           (*call).send,
		"deliver":        (*call).deliver,
		"refuse":         (*call).refuse,
		"answer_unknown": (*call).answerUnknown,
		"answer_kept":    (*call).answerKept,
	}
}

// newCall checks what can be checked before the call takes any resource.
func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request, now time.Time) (*call, error) {
	if f.opts.Draining() {
		return nil, fault.New(fault.Leaving, "")
	}
	if !f.opts.Source.Fresh() {
		return nil, fault.New(fault.NotFresh, "")
	}
	if err := checkShape(r, f.opts.MaxBodyBytes); err != nil {
		return nil, err
	}
	v := f.opts.Source.View()
	s := v.ServiceFor(r.URL.Path)
	if s == nil {
		return nil, fault.New(fault.UnknownService, "path %q", r.URL.Path)
	}
	c := &call{f: f, w: w, r: r, service: s, state: f.chart.Initial()}
	c.key = r.Header.Get(headerKey)
	c.policy = f.rules.policy(v, s, r)
	if c.key == "" && c.policy.keyRequired {
		return nil, fault.New(fault.KeyRequired, "%s %s", r.Method, r.URL.Path)
	}
	if err := c.setDeadline(now); err != nil {
		return nil, err
	}
	return c, nil
}

func checkShape(r *http.Request, maxBody int64) error {
	if r.Header.Get("Upgrade") != "" || r.Method == http.MethodConnect {
		return fault.New(fault.UpgradeRefused, "")
	}
	if r.ContentLength > maxBody {
		return fault.New(fault.TooLarge, "body of %d bytes, limit %d", r.ContentLength, maxBody)
	}
	if len(r.Header.Get(headerKey)) > maxKeyBytes {
		return fault.New(fault.TooLarge, "%s over %d bytes", headerKey, maxKeyBytes)
	}
	return nil
}

// setDeadline takes the earlier of the caller's deadline and the service's.
func (c *call) setDeadline(now time.Time) error {
	timeout := time.Duration(c.service.TimeoutMs) * time.Millisecond
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if s := c.r.Header.Get(HeaderTimeoutMs); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return fault.New(fault.BadRequest, "%s %q", HeaderTimeoutMs, s)
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = now.Add(timeout)
	// A request with a claim goes on when its caller goes away: the answer is
	// kept for the resend.
	parent := c.r.Context()
	if c.needsClaim() {
		parent = context.WithoutCancel(parent)
	}
	parent, c.span = c.f.opts.Tracing.StartServer(parent, c.r.Header, telemetry.SpanCall)
	telemetry.Describe(c.span, telemetry.AttrService, c.service.Name)
	telemetry.Describe(c.span, telemetry.AttrKeyed, strconv.FormatBool(c.key != ""))
	c.ctx, c.cancel = context.WithDeadline(parent, c.deadline)
	return nil
}

// needsClaim reports whether the request may run at most once and has a key
// by which resends are recognised.
func (c *call) needsClaim() bool {
	return c.key != "" && !c.policy.repeatable
}

// admit reads a small body, and decides how the call starts.
func (c *call) admit() chart.Event {
	body, err := readBody(c.w, c.r, c.f.opts)
	if err != nil {
		return c.fail(err)
	}
	c.body = body
	c.fingerprint = fingerprint(c.r, body.digest)
	if e := c.f.opts.Quarantine.Blocked(c.service.Name, c.fingerprint); e != nil {
		return c.fail(e)
	}
	if c.needsClaim() {
		return "needs_claim"
	}
	return "admitted"
}

func (c *call) fail(err error) chart.Event {
	c.err = err
	if c.mayHaveRun != nil {
		c.err = c.mayHaveRun
	}
	return "refused"
}

// undecided returns err as the refusal of a call whose claim has not been
// decided, if it needs one.
func (c *call) undecided(err error) error {
	if !c.needsClaim() || c.claimed {
		return err
	}
	return mayHaveRun(err)
}

// close frees what a call may still hold when it ends early.
func (c *call) close() {
	c.release(clusterpb.Outcome_OUTCOME_CANCELLED, 0, false)
	c.cancel()
	telemetry.End(c.span, c.err)
}
