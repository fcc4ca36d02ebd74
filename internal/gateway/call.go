package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/clientbudget"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/organisation"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/route"
)

const (
	// maxCallerTimeout is the longest timeout that a caller may state; a longer
	// one is a bad request.
	maxCallerTimeout = 24 * time.Hour
	// maxBufferedBody is the number of bytes of a request body that are kept in
	// memory. Only a shorter body can be sent to a second upstream.
	maxBufferedBody = 1 << 20
	// maxUpstreamsPerCall bounds the upstreams that a request is sent to,
	// including those that refuse it.
	maxUpstreamsPerCall = 5
	// routineCallsPerLogLine is the sampling interval of log lines for calls that
	// succeeded on their first search and first attempt.
	routineCallsPerLogLine = 64
)

// call is the state of one request of a caller.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time

	route *route.Route
	// routeVersion is the version of the desired state that route belongs to.
	routeVersion uint64
	// credential is what the caller has sent as its API key, organisation whom the
	// key belongs to, nil without a key.
	credential     organisation.Credential
	credentialRead bool
	organisation   *catalogpb.Organisation
	// permit is that of the allotment of the organisation, nil if the call has none.
	// allotmentExpected is the organisation for which one was asked ahead of need, or "".
	permit            *callPermit
	allotmentExpected string

	pool string
	// group is that of the upstreams of the version of which the call gets one; see
	// balance.Group.
	group     string
	body      body
	signature quarantine.Signature

	// draw is a draw for the target of a roll-out that the call holds, nil if none. drawn
	// is set once the call has asked for one, and shareCounted once the share counts it.
	draw                *draw
	drawn, shareCounted bool
	// sentAt is the beginning of the last attempt.
	sentAt time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time

	// stated is the timeout that the caller has stated, 0 if it has stated none.
	stated time.Duration
	// spent is the estimated time that the caller had used up on earlier attempts
	// before it sent this one.
	spent time.Duration
	// avoid lists the upstreams that have refused or failed the request.
	avoid []string
	// sends counts the attempts, ran those in which the upstream may have run the
	// request.
	sends, ran int
	// retryReserved is set while a retry is reserved that has not been sent.
	retryReserved bool
	// withheld counts the reservations that were not used, as the upstream had begun
	// to leave or to pause.
	withheld int
	searches int
	waited   time.Duration
	status   int
	upstream string
	// choice is the last placement decision, loadAtResponse the load header of the
	// response.
	choice         balance.Choice
	loadAtResponse string
	// relayedTo is the gateway to which the call was relayed last.
	relayedTo string
	// origin is set if another gateway has relayed the call to this one.
	origin *relayOrigin
	// counted is set if the retry budget of a gateway counts the call.
	counted bool
	// lost is set if the call was refused because this gateway has no way to any
	// upstream.
	lost bool
	// relayTried is set if no other gateway could be asked to carry the call.
	relayTried bool
	// trial is the permit to send a request that is suspected of crashing upstreams;
	// nil if the call holds none.
	trial *trial
	// releaseStop lets the call go on to its end also if a planned stop ends before. It
	// reports false if the stop has ended the call.
	releaseStop func() bool
	// unknownOutcome is the error of an attempt that may have run. Once it is set,
	// no later refusal may say that the request did not run.
	unknownOutcome *fault.Error
}

// prepare finds the route, the deadline and the pool of the call and takes a
// slot of the limiter. After an error nothing needs to be released.
func (c *call) prepare() error {
	f := c.f
	c.id = c.r.Header.Get(f.opts.Headers.RequestID)
	if c.r.Method == http.MethodConnect || c.r.Header.Get("Upgrade") != "" {
		return fault.New(fault.UpgradeRefused, "")
	}
	if err := c.findRoute(); err != nil {
		return err
	}
	if err := c.lookupOrganisation(); err != nil {
		return err
	}
	if f.opts.Closed() {
		return fault.New(fault.Leaving, "")
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	c.pool = c.route.NextPool()
	c.group = c.pool
	if f.state.versions.settings.Enabled() {
		f.state.mu.Lock()
		c.group = f.state.usualGroup(c.pool)
		f.state.mu.Unlock()
	}
	if c.origin == nil && !c.mayRelay() {
		c.count()
	}
	if !f.opts.Limiter.Acquire(c.pool) {
		c.cancel()
		f.opts.Budget.DropStalled(clientbudget.StallGrace)
		return fault.NewRetryable(fault.Overloaded, c.retryAfter(0), "pool %q: limit of calls in flight at this gateway reached", c.pool)
	}
	return nil
}

// findRoute sets the route of the call, or returns the refusal.
func (c *call) findRoute() error {
	st := c.f.state
	table := st.routes.Load()
	if table == nil && c.awaitFirstState() {
		table = st.routes.Load()
	}
	if table == nil {
		return fault.NewRetryable(fault.NotFresh, startupRetryAfter, "no desired state received from control yet")
	}
	if c.route = table.Lookup(c.r.Host, c.r.URL.Path); c.route != nil {
		c.routeVersion = table.Version()
		return nil
	}
	// The table is read after the age, so that the age is not that of a newer one.
	age := st.sinceNewest()
	table = st.routes.Load()
	if c.route = table.Lookup(c.r.Host, c.r.URL.Path); c.route != nil {
		c.routeVersion = table.Version()
		return nil
	}
	return c.denial(age, fault.New(fault.NoRoute, "no route for host %q, path %q in desired state version %d", c.r.Host, c.r.URL.Path, table.Version()))
}

// denial returns the refusal of a call that the desired state held here does not
// allow: denied if the state is known to be the newest one, otherwise a refusal that
// says so. age is the time for which that has not been known.
func (c *call) denial(age time.Duration, denied *fault.Error) error {
	if age <= c.f.state.maxDenialAge {
		return denied
	}
	return fault.NewRetryable(fault.NotFresh, unconfirmedRetryAfter, "the desired state held here may not be the newest: %s", denied.Detail)
}

// unconfirmedRetryAfter is the Retry-After of a call that the newest desired state
// may allow. Renewals that fail are repeated at shorter intervals.
const unconfirmedRetryAfter = 300 * time.Millisecond

// startupRetryAfter is the Retry-After of a gateway that has no desired state
// yet.
const startupRetryAfter = 200 * time.Millisecond

// setDeadline sets the deadline to the shorter of the caller's timeout and the
// route's. It fails if the caller's timeout is not a valid number.
func (c *call) setDeadline() error {
	limit := c.route.Timeout
	name := c.f.opts.Headers.Deadline
	if s := c.r.Header.Get(name); s != "" {
		ms, err := strconv.ParseFloat(s, 64)
		if err != nil || ms < 0 || ms > maxCallerTimeout.Seconds()*1000 {
			return fault.New(fault.BadRequest, "header %s is %q, want a number of milliseconds from 0 to 24 h", name, s)
		}
		stated := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, stated)
		c.stated = stated
		c.spent = c.f.state.spentBefore(c.route.Name, stated)
	}
	if c.origin != nil {
		limit = min(limit, c.origin.left)
	}
	c.deadline = c.arrived.Add(limit)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// run sends the request to upstreams until one gives a response to forward, or
// returns the error for the caller.
func (c *call) run() error {
	if err := c.readBody(); err != nil {
		return err
	}
	c.signature = c.sign()
	defer c.releaseRetry()
	defer func() { c.endTrial(nil) }()
	defer c.endDraw()
	defer c.returnAllotment()
	if err := c.expectAllotment(); err != nil {
		return err
	}
	var failed attemptFailure
	for {
		c.awaitRefresh()
		if err := c.f.opts.Crashes.Judge(c.signature).Refusal(); err != nil {
			return c.finalError(err)
		}
		if c.tooLateToSend() {
			return c.finalError(c.refusedByStop())
		}
		cause := c.f.upstreamsLost()
		if cause != reach.None && c.origin != nil {
			c.lost = true
			return c.finalError(c.noUpstream())
		}
		// While only new connections fail, open ones are tried first.
		if c.mayRelay() && (cause == reach.NoAnswers || c.searches > 0) {
			if c.retryReserved && !c.sendRetry() {
				return c.finalError(failed.err)
			}
			// The other gateway asks for the permit of a trial itself.
			c.endTrial(nil)
			if asked, err := c.relay(); asked {
				return err
			}
			c.relayTried = true
		}
		if err := c.waitForTrial(); err != nil {
			return c.finalError(err)
		}
		if !c.counted {
			c.count()
		}
		res, err := c.acquire()
		if err != nil && (c.mayRelay() || c.versionMoved()) {
			continue
		}
		if err != nil {
			return c.finalError(err)
		}
		if !c.confirm(res) {
			continue
		}
		if !c.mayStillSend() {
			c.f.releaseUnused(res)
			continue
		}
		if c.retryReserved && !c.sendRetry() {
			c.f.releaseUnused(res)
			return c.finalError(failed.err)
		}
		var done bool
		done, failed = c.attempt(res)
		c.endAttempt(done || failed.mayHaveRun)
		if done {
			return nil
		}
		if !c.allowRetry(failed) {
			return c.finalError(failed.err)
		}
	}
}

// mayRelay reports whether other gateways should be asked to carry the call: this
// one has lost all upstreams, and the call has not been relayed yet.
func (c *call) mayRelay() bool {
	return c.origin == nil && !c.relayTried && c.f.upstreamsLost() != reach.None
}

// count adds the call to the retry budget of its pool.
func (c *call) count() {
	c.counted = true
	c.f.state.countRequest(c.pool)
}

// sendRetry counts the reserved retry as sent. It reports false if the retry
// budget no longer allows it.
func (c *call) sendRetry() bool {
	c.retryReserved = false
	if !c.f.state.sendRetry(c.pool) {
		return false
	}
	c.f.opts.Metrics.Retries.Inc(1)
	return true
}

// releaseRetry gives up a reserved retry that is not sent.
func (c *call) releaseRetry() {
	if c.retryReserved {
		c.f.state.releaseRetry(c.pool)
	}
}

// finalError returns the error for the caller. After an attempt that may have
// run, this is the error of that attempt, since a refusal would say that the
// request did not run.
func (c *call) finalError(err error) error {
	if c.ctx.Err() != nil && c.r.Context().Err() != nil {
		return fault.New(fault.CallerGone, "")
	}
	if c.unknownOutcome != nil {
		return c.unknownOutcome
	}
	return err
}

// retryAfter returns the time after which the caller should try again: the
// predicted wait plus jitter, so that refused callers do not return together,
// and at most 30 % of the time left to the deadline, since callers wait for a
// third of their time. While all upstreams name a rate limit, or leave or pause,
// the time is not cut, as nothing can be sent before the next permit or the end of
// a pause.
func (c *call) retryAfter(predicted time.Duration) time.Duration {
	left := time.Until(c.deadline)
	need := time.Duration(typicalTimeMargin*float64(c.f.state.typicalTime(c.route.Name))) + returnTime
	pause := chooseReturn(predicted, c.timeToTarget()-need, left, c.f.opts.Random())
	if wait, paused := c.pauseWait(); paused {
		return notice.RetryAfter(wait, c.route.TargetLatency/2, c.f.opts.Random())
	}
	if wait, limited := c.permitWait(); limited {
		return max(minRetryAfter, pause, wait)
	}
	return max(minRetryAfter, min(pause, time.Duration(maxReturnShare*float64(left))))
}

// returnTime is the time that a caller takes to come back, beyond the pause.
const returnTime = 20 * time.Millisecond

// chooseReturn returns the time after which a refused caller should come back. spare is
// the time for which its request could still wait and meet its target, left the time to
// its deadline, and random is in [0, 1). In an overload, a caller that can still be in
// time comes back within that time, spread over it. One that cannot comes back late, when
// the burst may be over: before, it would take room from those that can be in time.
func chooseReturn(predicted, spare, left time.Duration, random float64) time.Duration {
	if hope := spare - predicted; hope > 0 {
		return predicted + time.Duration(random*float64(hope))
	}
	return max(predicted, time.Duration((1+random)/2*maxReturnShare*float64(left)))
}

// maxReturnShare is the part of the time to its deadline that a caller may be told to
// wait: callers wait for a third of it.
const maxReturnShare = 0.3

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 10 * time.Millisecond

// deadlineTooShort returns the refusal of a call whose deadline passed before it
// was sent.
func (c *call) deadlineTooShort() error {
	return fault.NewRetryable(fault.DeadlineTooShort, minRetryAfter, "no upstream had a free slot before the deadline")
}

// attemptFailure is the outcome of an attempt without a response to forward.
type attemptFailure struct {
	err *fault.Error
	// mayHaveRun is false only if the upstream cannot have run the request.
	mayHaveRun bool
	// denied is set if this gateway may no longer send the request.
	denied bool
}

// allowRetry reports whether a further attempt is allowed after a failed one,
// and reserves it in the retry budget of the pool.
func (c *call) allowRetry(failed attemptFailure) bool {
	if failed.mayHaveRun {
		c.unknownOutcome = failed.err
		if !c.route.Repeatable || c.ran >= c.route.MaxAttempts {
			return false
		}
	}
	if failed.denied {
		return false
	}
	if c.ctx.Err() != nil || c.sends >= maxUpstreamsPerCall || !c.body.replayable() || !c.enoughTimeLeft() {
		return false
	}
	if c.sends == 0 {
		return true
	}
	c.retryReserved = c.f.state.reserveRetry(c.pool)
	return c.retryReserved
}

// enoughTimeLeft reports whether a response can still arrive before the
// deadline. A request that cannot be answered in time only adds load.
func (c *call) enoughTimeLeft() bool {
	return time.Until(c.deadline) > c.f.state.typicalTime(c.route.Name)/2
}

// body is the body of a request: the part in memory and, for a large body, a
// reader for the part that has not been received yet.
type body struct {
	buffered []byte
	rest     io.Reader
	// length is the length of the whole body, -1 if unknown.
	length int64
	sent   bool
}

// replayable reports whether the whole body can be sent from its start.
func (b *body) replayable() bool { return b.rest == nil || !b.sent }

// readBody reads the part of the body that is kept in memory. It fails if the
// body is over the limit of the desired state or cannot be read.
func (c *call) readBody() error {
	c.body.length = c.r.ContentLength
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.body.length = 0
		return nil
	}
	limit := c.f.state.maxBodyBytes()
	if c.r.ContentLength > limit {
		return c.tooLarge(limit, fault.New(fault.TooLarge, "request body has %d bytes, limit is %d", c.r.ContentLength, limit))
	}
	client := httpnet.ClientBody(c.r)
	src := forward.NewBodyReader(c.w, http.MaxBytesReader(c.w, c.r.Body, limit), c.f.bodyIdleTimeout())
	src.EndBy(c.deadline)
	release := c.interruptBody(src)
	buffered, err := httpnet.ReadBody(src, client, c.r.ContentLength, maxBufferedBody, 1)
	release()
	if err != nil && src.Interrupted() {
		return c.refusedByStop()
	}
	if err != nil && c.ctx.Err() == context.DeadlineExceeded {
		return fault.NewRetryable(fault.DeadlineTooShort, minRetryAfter, "the request body did not arrive before the deadline")
	}
	if errors.Is(err, httpnet.ErrBudget) {
		return c.noRoom()
	}
	if err != nil && c.r.Context().Err() != nil {
		return fault.New(fault.CallerGone, "caller disconnected while its request body was read")
	}
	if err != nil {
		refusal := forward.BodyReadError(err)
		if refusal.Kind == fault.TooLarge {
			return c.tooLarge(limit, refusal)
		}
		return refusal
	}
	c.body.buffered = buffered
	if len(buffered) < maxBufferedBody {
		c.body.length = int64(len(buffered))
		src.Stop()
		return nil
	}
	c.body.rest = src
	return nil
}

// tooLarge returns the refusal of a call whose body exceeds limit.
func (c *call) tooLarge(limit int64, denied *fault.Error) error {
	age := c.f.state.sinceNewest()
	if c.f.state.maxBodyBytes() != limit {
		// A newer state may allow the body.
		age = math.MaxInt64
	}
	return c.denial(age, denied)
}

// sign returns the signature of the request for the quarantine: method, host, path,
// query, body length and buffered body, from exactly this caller, from any caller,
// and from any caller with any query.
func (c *call) sign() quarantine.Signature {
	sum := sha256.Sum256(c.body.buffered)
	fingerprint := func(target string) string {
		return quarantine.Fingerprint(c.r.Method, target, c.body.length, sum[:])
	}
	target := c.r.Host + c.r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	return quarantine.Signature{
		Service: c.pool,
		Exact:   fingerprint(httpnet.RemoteHost(c.r) + " " + target),
		General: []string{fingerprint(target), fingerprint(path + anyQuery)},
	}
}

// anyQuery stands for the query of a request. No target has a space.
const anyQuery = " *"

// routeKind returns the kind of the route for metrics, "" if no route matched.
func (c *call) routeKind() string {
	if c.route == nil {
		return ""
	}
	return c.route.Kind
}

// addPoolState adds to the log line of a failed call the number of upstreams,
// waiting calls and requests in flight of its pool.
func (c *call) addPoolState(line *event.Line) {
	if c.pool == "" {
		return
	}
	st := c.f.state
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.countPool(c.pool)
	line.Uint64("upstreams_open", uint64(n.open)).Uint64("upstreams_ready", uint64(n.ready)).
		Uint64("upstreams_limited", uint64(n.limited)).
		Uint64("upstreams_leaving", uint64(n.leaving)).Uint64("upstreams_paused", uint64(n.paused)).
		Uint64("calls_waiting", uint64(n.waiting)).
		Uint64("sent_in_flight", uint64(st.balancer.InFlight(c.pool)))
}

// finish records the metrics of the call and writes its log line, which is
// sampled for routine calls.
func (c *call) finish(err error) {
	took := time.Since(c.arrived)
	m := c.f.opts.Metrics
	m.CallCounter(c.pool, c.routeKind(), fault.KindOf(err)).Inc(1)
	m.CallDuration(c.routeKind()).RecordDuration(took)
	if c.waited > 0 {
		m.UpstreamWait.RecordDuration(c.waited)
	}
	if err == nil && c.sends == 1 && (c.searches == 1 || c.relayedTo != "") && c.status < http.StatusInternalServerError && rand.IntN(routineCallsPerLogLine) != 0 {
		return
	}
	line := c.f.opts.Events.Log(event.CallEnded).Str("request", c.id).Str("pool", c.pool).Str("upstream", c.upstream).
		Uint64("status", uint64(c.status)).Uint64("sends", uint64(c.sends)).Uint64("ran", uint64(c.ran)).
		Uint64("searches", uint64(c.searches)).Uint64("waited_ms", uint64(c.waited.Milliseconds())).
		Uint64("spent_before_ms", uint64(c.spent.Milliseconds())).Uint64("took_ms", uint64(took.Milliseconds()))
	if c.sends > 0 {
		line.Str("load_at_choice", fmt.Sprint(c.choice.Load)).Uint64("load_age_us", uint64(c.choice.LoadAge.Microseconds())).
			Str("load_at_answer", c.loadAtResponse)
	}
	if c.withheld > 0 {
		line.Uint64("withheld", uint64(c.withheld))
	}
	if c.route != nil {
		line.Str("route", c.route.Name)
	}
	if c.organisation != nil {
		line.Str("organisation", c.organisation.Name)
	}
	if c.relayedTo != "" {
		line.Str("relayed_to", c.relayedTo)
	}
	if cfg := c.f.state.config.Load(); cfg != nil {
		line.Uint64("version", cfg.StateVersion).Uint64("revision", cfg.Revision)
	}
	if err != nil {
		line.Uint64("unconfirmed_ms", uint64(c.f.state.sinceNewest().Milliseconds()))
		c.addPoolState(line)
		line.Err(err)
	}
	line.Send()
}
