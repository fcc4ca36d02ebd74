package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// Gateways relay calls to each other over HTTP/1.1: a request with the method, the
// host, the end-to-end headers and the body of the call, to RelayPath on the
// cluster address. The headers below carry the rest.

// RelayPath is the path at which gateways take calls from each other.
const RelayPath = "/v1/relay"

// Headers of a relayed request.
const (
	// relayTarget is the path and query of the call.
	relayTarget = "Balsam-Relay-Target"
	// relayLeft is the number of milliseconds that the deadline of the caller or the
	// timeout of the route leaves. The header with the caller's timeout, if there is
	// one, is reduced by the time that has passed.
	relayLeft = "Balsam-Relay-Left-Ms"
	// relayCaller is the host of the caller.
	relayCaller = "Balsam-Relay-Caller"
	// relayAuthorization is the caller's header Authorization, in place of which
	// the request carries the key of the gateways.
	relayAuthorization = "Balsam-Relay-Authorization"
	// relaySends and relayRan are the numbers of attempts so far, and of those that
	// may have run.
	relaySends = "Balsam-Relay-Sends"
	relayRan   = "Balsam-Relay-Ran"
	// relayCounted says whether the retry budget of a gateway counts the call.
	relayCounted = "Balsam-Relay-Counted"
)

// relayOutcome is the header of the response to a relayed request that says what
// the response is. Its values are those of the constants below.
const relayOutcome = "Balsam-Relay-Outcome"

// Headers of the response of an upstream to a relayed request that name the ID of the
// upstream and its start in milliseconds.
const (
	relayUpstream        = "Balsam-Relay-Upstream"
	relayUpstreamStarted = "Balsam-Relay-Upstream-Started"
)

const (
	// outcomeResponse marks the response of an upstream.
	outcomeResponse = "response"
	// outcomeError marks an error response that is the answer to the caller.
	outcomeError = "error"
	// outcomeElsewhere marks an error response of a gateway that did not send the
	// request to any upstream and that has a reason which other gateways need not
	// have.
	outcomeElsewhere = "elsewhere"
)

const (
	// maxRelays bounds the gateways to which a call is relayed in turn.
	maxRelays = 3
	// relayDialTimeout bounds the dialling of another gateway. Gateways are within
	// 1 ms of each other.
	relayDialTimeout = 200 * time.Millisecond
	// relayMargin is how much earlier the other gateway gives up a call, so that its
	// refusal, which says whether the request ran, arrives before the deadline.
	relayMargin = 5 * time.Millisecond
	// relayAvoidDuration is how long a gateway that could not be reached, or has
	// no way to any upstream either, gets no relayed calls.
	relayAvoidDuration = time.Second
	// relayHeaderBytes is the room for the headers above in addition to those of
	// callers.
	relayHeaderBytes = 4 << 10
	// maxRelayErrorBody bounds the error responses that are read.
	maxRelayErrorBody = 4 << 10
)

// relayTargets chooses the gateways to which calls are relayed.
type relayTargets struct {
	mu sync.Mutex
	// avoidUntil holds, by gateway ID, the time until which a gateway is avoided.
	avoidUntil map[string]time.Duration
	// unreachable holds those of them that could not be reached.
	unreachable map[string]bool
}

// avoid avoids the gateway until the given time; unreachable says that it could not
// be reached, rather than that it has refused a call.
func (t *relayTargets) avoid(id string, until time.Duration, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.avoidUntil == nil {
		t.avoidUntil, t.unreachable = make(map[string]time.Duration), make(map[string]bool)
	}
	t.avoidUntil[id], t.unreachable[id] = until, unreachable
}

func (t *relayTargets) isAvoided(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.avoidUntil[id]
}

func (t *relayTargets) isUnreachable(id string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.avoidUntil[id] && t.unreachable[id]
}

// canServe reports whether callers may be sent to this gateway. If it has lost all
// upstreams, others must be able to carry its calls. If the others have lost them
// as well, callers are no better off there.
func (f *Forwarder) canServe() bool {
	if f.upstreamsLost() == reach.None || f.chooseRelay(nil) != nil {
		return true
	}
	st := f.state
	now := st.now()
	return !slices.ContainsFunc(st.config.Load().GetEntries(), func(e *catalogpb.Entry) bool {
		return e.Id != st.gatewayID && !e.Leaving && st.reachable(e.Id) && !st.isolated(e.Id) && f.relays.isUnreachable(e.Id, now)
	})
}

// chooseRelay returns a random gateway that may have a way to upstreams and is not
// in tried. Gateways in a zone where none is known to have lost the upstreams come
// first; this gateway itself has.
func (f *Forwarder) chooseRelay(tried []string) *catalogpb.Entry {
	st := f.state
	cfg := st.config.Load()
	if cfg == nil || f.opts.DialGateway == nil {
		return nil
	}
	now := st.now()
	affected := make(map[string]bool)
	var usable []*catalogpb.Entry
	for _, e := range cfg.Entries {
		switch {
		case e.Id == st.gatewayID, st.isolated(e.Id), f.relays.isAvoided(e.Id, now):
			affected[e.Zone] = true
		case e.Leaving, e.ClusterAddress == "", !st.reachable(e.Id), slices.Contains(tried, e.Id):
		default:
			usable = append(usable, e)
		}
	}
	preferred := slices.DeleteFunc(slices.Clone(usable), func(e *catalogpb.Entry) bool { return affected[e.Zone] })
	if len(preferred) > 0 {
		usable = preferred
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[int(f.opts.Random()*float64(len(usable)))]
}

// relay sends the call to other gateways until one answers it. It reports false if
// none could be asked, and otherwise the error for the caller, nil if the response
// has been forwarded.
func (c *call) relay() (bool, error) {
	var tried []string
	for len(tried) < maxRelays {
		target := c.f.chooseRelay(tried)
		if target == nil {
			break
		}
		tried = append(tried, target.Id)
		next, err := c.relayTo(target)
		if !next {
			return true, err
		}
		if c.ctx.Err() != nil || !c.body.replayable() {
			return true, c.finalError(err)
		}
	}
	return false, nil
}

// relayTo relays the call to one gateway. It reports true if the request did not
// run and another gateway may be asked, and the error for the caller.
func (c *call) relayTo(target *catalogpb.Entry) (next bool, err error) {
	c.relayedTo = target.Id
	conn, err := c.f.openRelay(c.ctx, target)
	if err != nil {
		if c.ctx.Err() == nil {
			c.f.relays.avoid(target.Id, c.f.state.now()+relayAvoidDuration, true)
		}
		return true, c.relayFailed(telemetry.RelayUnreachable, fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "gateway %s, to which the call was relayed: %v", target.Id, err))
	}
	defer conn.Close()
	stop := conn.InterruptOnDone(c.ctx)
	defer stop()
	x, err := conn.Do(c.ctx, c.relayRequest())
	c.body.sent = c.body.sent || x.MayHaveRun
	if err != nil {
		return false, c.relayBroken(target.Id, x.MayHaveRun, err)
	}
	resp := x.Response
	switch resp.Header.Get(relayOutcome) {
	case outcomeResponse:
		return false, c.forwardRelayed(target.Id, resp)
	case outcomeError:
		refusal := relayedError(resp)
		c.sends++
		if refusal.Response().Run != fault.NotRun {
			c.ran++
			c.unknownOutcome = refusal
		}
		return false, c.finalError(c.relayFailed(telemetry.RelayRefused, refusal))
	case outcomeElsewhere:
		c.counted = c.counted || resp.Header.Get(relayCounted) == "true"
		refusal := relayedError(resp)
		if refusal.Kind != fault.NoRoute && refusal.Kind != fault.NotFresh && refusal.Kind != fault.Unauthorized {
			// These say that it lacks the route or the API key, but serves others.
			c.f.relays.avoid(target.Id, c.f.state.now()+relayAvoidDuration, false)
		}
		return true, c.relayFailed(telemetry.RelayRefused, fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "gateway %s, to which the call was relayed: %v", target.Id, refusal))
	}
	c.f.relays.avoid(target.Id, c.f.state.now()+relayAvoidDuration, false)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusUnauthorized {
		// The other process serves no relayed calls, or not those of this one.
		return true, c.relayFailed(telemetry.RelayRefused, fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "gateway %s does not take relayed calls: status %d", target.Id, resp.StatusCode))
	}
	return false, c.relayBroken(target.Id, true, errors.Errorf("response with status %d does not say what it is", resp.StatusCode))
}

// openRelay opens a connection to another gateway. Connections are not reused:
// the gateway may have closed an idle one, and a request on it might have run.
func (f *Forwarder) openRelay(ctx context.Context, target *catalogpb.Entry) (*upstreamconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	return f.relayConns.Open(ctx, target.ClusterAddress, 0)
}

// relayRequest builds the request to another gateway.
func (c *call) relayRequest() *upstreamconn.Request {
	h := forward.EndToEndHeaders(c.r.Header)
	for _, name := range []string{"Content-Length", "Expect", "Host"} {
		h.Del(name)
	}
	if a, ok := h["Authorization"]; ok {
		h[relayAuthorization] = a
		h.Del("Authorization")
	}
	c.setRelayedKey(h)
	if c.f.opts.Authorize != nil {
		c.f.opts.Authorize(h)
	}
	if c.stated > 0 {
		h.Set(c.f.opts.Headers.Deadline, formatMs(c.stated-time.Since(c.arrived)))
	}
	h.Set(relayLeft, formatMs(time.Until(c.deadline)-relayMargin))
	h.Set(relayTarget, requestTarget(c.r))
	h.Set(relayCaller, httpnet.RemoteHost(c.r))
	h.Set(relaySends, strconv.Itoa(c.sends))
	h.Set(relayRan, strconv.Itoa(c.ran))
	h.Set(relayCounted, strconv.FormatBool(c.counted))
	h.Set("Connection", "close")
	return &upstreamconn.Request{
		Method:        c.r.Method,
		Target:        RelayPath,
		Host:          c.r.Host,
		Header:        h,
		Body:          c.body.buffered,
		BodyRest:      c.body.rest,
		ContentLength: c.body.length,
	}
}

// formatMs returns d in whole milliseconds, at least 1.
func formatMs(d time.Duration) string { return strconv.FormatInt(max(1, d.Milliseconds()), 10) }

// relayBroken returns the error of a relayed call without a complete response. If
// the request may have run, the other gateway may have used all attempts.
func (c *call) relayBroken(target string, mayHaveRun bool, err error) error {
	if !mayHaveRun {
		return c.finalError(c.relayFailed(telemetry.RelayBroken, fault.NewRetryable(fault.NoUpstream, c.retryAfter(0), "gateway %s, to which the call was relayed: %v", target, err)))
	}
	c.sends++
	c.ran++
	c.unknownOutcome = fault.New(fault.UpstreamBroken, "gateway %s, to which the call was relayed: %v", target, err)
	if c.ctx.Err() != nil {
		c.unknownOutcome = fault.New(fault.UpstreamTimeout, "gateway %s, to which the call was relayed, did not answer before the deadline", target)
	} else {
		c.f.relays.avoid(target, c.f.state.now()+relayAvoidDuration, true)
	}
	return c.finalError(c.relayFailed(telemetry.RelayBroken, c.unknownOutcome))
}

// relayFailed logs and counts a relayed call that did not end with the response of
// an upstream. It returns failed.
func (c *call) relayFailed(outcome string, failed *fault.Error) *fault.Error {
	c.f.opts.Metrics.RelayedOut(outcome).Inc(1)
	c.f.opts.Events.Log(event.RelayFailed).Str("request", c.id).Str("gateway", c.relayedTo).Str("outcome", outcome).
		Uint64("after_ms", uint64(time.Since(c.arrived).Milliseconds())).Err(failed).Send()
	return failed
}

// relayedError returns the error that another gateway gave as the response.
func relayedError(resp *http.Response) *fault.Error {
	e := fault.New(fault.Kind(resp.Header.Get(fault.HeaderKind)), "")
	if ms, err := strconv.ParseInt(resp.Header.Get(fault.HeaderRetryAfterMs), 10, 64); err == nil && ms > 0 {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	e.MayHaveRun = resp.Header.Get(fault.HeaderRun) != string(fault.NotRun)
	var body fault.Body
	// Without a valid body, the error has no detail.
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRelayErrorBody)).Decode(&body); err == nil {
		e.Detail = body.Detail
	}
	return e
}

// forwardRelayed sends the response that another gateway got from an upstream to
// the caller. If it breaks off before its first byte has been sent, the error for
// the caller is returned, and later the connection to the caller is aborted.
func (c *call) forwardRelayed(target string, resp *http.Response) error {
	c.recordRelayedNotice(resp)
	for _, name := range []string{relayOutcome, relayUpstream, relayUpstreamStarted} {
		resp.Header.Del(name)
	}
	buffered, err := c.f.buffers.read(resp.Body, resp.ContentLength)
	defer buffered.release()
	if err != nil {
		return c.relayBroken(target, true, err)
	}
	if !buffered.complete && resp.ContentLength < 0 && !c.r.ProtoAtLeast(1, 1) {
		return c.relayBroken(target, true, errors.New("the response has no stated length and is too large to be buffered for a caller that speaks HTTP/1.0"))
	}
	c.sends++
	c.ran++
	c.status = resp.StatusCode
	stop := c.limitLastWrite()
	defer stop()
	if buffered.complete {
		c.f.opts.Metrics.RelayedOut(telemetry.RelayServed).Inc(1)
		c.writeHeader(resp, int64(len(buffered.body)))
		// A write error means that the caller has disconnected.
		_, _ = c.w.Write(buffered.body)
		return nil
	}
	c.writeHeader(resp, resp.ContentLength)
	if _, err := io.Copy(c.w, io.MultiReader(bytes.NewReader(buffered.body), resp.Body)); err != nil {
		// The panic skips the call of finish in ServeHTTP.
		c.finish(c.relayFailed(telemetry.RelayBroken, fault.New(fault.UpstreamBroken, "gateway %s, to which the call was relayed: response body broke off: %v", target, err)))
		panic(http.ErrAbortHandler)
	}
	c.f.opts.Metrics.RelayedOut(telemetry.RelayServed).Inc(1)
	return nil
}

// recordRelayedNotice records what the response to a relayed call says of the
// upstream itself, which this gateway may reach again.
func (c *call) recordRelayedNotice(resp *http.Response) {
	started, err := strconv.ParseUint(resp.Header.Get(relayUpstreamStarted), 10, 64)
	if err != nil {
		// A gateway of an older build does not name the upstream.
		return
	}
	st := c.f.state
	st.mu.Lock()
	u, known := st.balancer.Find(resp.Header.Get(relayUpstream))
	st.mu.Unlock()
	if known && u.Started == started {
		c.f.recordNotice(u, answerHead{source: fromRelay, request: c.id, status: resp.StatusCode, header: resp.Header})
	}
}

// relayOrigin is what the gateway that has relayed a call tells about it.
type relayOrigin struct {
	sends, ran int
	counted    bool
	// left is the time left to the deadline.
	left time.Duration
}

// RelayHandler returns the handler for calls that other gateways relay to this
// one. They are never relayed again.
func (f *Forwarder) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		origin, err := takeRelayHeaders(r)
		if err != nil {
			w.Header().Set(relayOutcome, outcomeElsewhere)
			fault.WriteHTTPFractional(w, err)
			return
		}
		f.restoreRelayedKey(r.Header)
		f.serve(&call{f: f, w: w, r: r, arrived: time.Now(), origin: origin, sends: origin.sends, ran: origin.ran, counted: origin.counted})
	})
}

// takeRelayHeaders restores the request of the caller from a relayed one. The error
// is of kind fault.BadRequest.
func takeRelayHeaders(r *http.Request) (*relayOrigin, error) {
	h := r.Header
	target := h.Get(relayTarget)
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "header %s: %v", relayTarget, err)
	}
	o := &relayOrigin{counted: h.Get(relayCounted) == "true"}
	var leftMs int
	for name, n := range map[string]*int{relaySends: &o.sends, relayRan: &o.ran, relayLeft: &leftMs} {
		if *n, err = strconv.Atoi(h.Get(name)); err != nil || *n < 0 {
			return nil, fault.New(fault.BadRequest, "header %s is %q, want a number", name, h.Get(name))
		}
	}
	o.left = time.Duration(leftMs) * time.Millisecond
	r.URL, r.RequestURI = u, target
	r.RemoteAddr = net.JoinHostPort(h.Get(relayCaller), "0")
	h.Del("Authorization")
	if a, ok := h[relayAuthorization]; ok {
		h["Authorization"] = a
	}
	for _, name := range []string{relayTarget, relayLeft, relayCaller, relayAuthorization, relaySends, relayRan, relayCounted} {
		h.Del(name)
	}
	return o, nil
}

// servesElsewhere reports whether another gateway may serve a call that this one
// has refused with the error before it sent the request.
func servesElsewhere(err *fault.Error) bool {
	switch err.Kind {
	case fault.NoRoute, fault.NotFresh, fault.Unauthorized, fault.Leaving, fault.Overloaded:
		return true
	}
	return false
}

// markOutcome sets the header that tells the gateway which has relayed the call
// what the response is; err is nil for the response of an upstream.
func (c *call) markOutcome(err error) {
	if c.origin == nil {
		return
	}
	outcome := outcomeResponse
	if err == nil {
		u := c.choice.Upstream
		c.w.Header().Set(relayUpstream, u.ID)
		c.w.Header().Set(relayUpstreamStarted, strconv.FormatUint(u.Started, 10))
	} else {
		outcome = outcomeError
		if e := fault.FromError(err); c.sends == c.origin.sends && e.Response().Run == fault.NotRun && (c.lost || servesElsewhere(e)) {
			outcome = outcomeElsewhere
			c.w.Header().Set(relayCounted, strconv.FormatBool(c.counted))
		}
	}
	c.w.Header().Set(relayOutcome, outcome)
}

// relayedInOutcome returns the outcome of a call that another gateway has relayed
// to this one, for the metric.
func relayedInOutcome(err error) string {
	if err != nil {
		return telemetry.RelayRefused
	}
	return telemetry.RelayServed
}
