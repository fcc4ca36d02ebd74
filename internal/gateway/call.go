package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/place"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/route"
)

const (
	// maxDeadline bounds what a caller may state; more is a mistake.
	maxDeadline = 24 * time.Hour
	// bufferedBody bounds the part of a request body that is kept in memory. A
	// body that fits whole can be sent to a second upstream.
	bufferedBody = 1 << 20
	// maxSends bounds the upstreams that a request is offered to, those that
	// refuse it included.
	maxSends = 5
	// plainLogged is how many plain calls there are for each that is logged.
	plainLogged = 64
)

// call is one request of a caller on its way.
type call struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived time.Time

	route   *route.Route
	pool    string
	body    body
	suspect quarantine.Request

	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time

	// spent is how much of its time the caller had used up before it came here,
	// as far as can be told.
	spent time.Duration
	// avoid lists the upstreams that have refused or failed the request.
	avoid []string
	// sends counts the upstreams that the request was sent to, and ran those
	// that may have run it.
	sends, ran int
	searches   int
	waited     time.Duration
	status     int
	upstream   string
	// choice is the last decision, load what its upstream said with the answer.
	choice place.Choice
	load   string
	// lost is the error of an attempt that may have run. No later refusal may
	// then say that the request did not run.
	lost *fault.Error
}

// prepare checks what can be checked before the call takes any resource.
func (c *call) prepare() error {
	f := c.f
	c.id = c.r.Header.Get(f.opts.Headers.RequestID)
	table := f.world.table.Load()
	if table == nil {
		return fault.After(fault.NotFresh, startPause, "no desired state is known yet")
	}
	if c.r.Method == http.MethodConnect || c.r.Header.Get("Upgrade") != "" {
		return fault.New(fault.UpgradeRefused, "")
	}
	c.route = table.Lookup(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return fault.New(fault.NoRoute, "host %q, path %q, version %d", c.r.Host, c.r.URL.Path, table.Version())
	}
	if f.opts.Leaving() {
		return fault.New(fault.Leaving, "")
	}
	if err := c.setDeadline(); err != nil {
		return err
	}
	c.pool = c.route.NextPool()
	f.world.countRequest(c.pool)
	if !f.opts.Limiter.Acquire(c.pool) {
		c.cancel()
		return fault.After(fault.Overloaded, c.comeBack(0), "pool %q", c.pool)
	}
	return nil
}

// startPause is the time to come back to a gateway that has just started.
const startPause = 200 * time.Millisecond

// setDeadline takes the earlier of the caller's deadline and the route's
// timeout.
func (c *call) setDeadline() error {
	limit := c.route.Timeout
	name := c.f.opts.Headers.Deadline
	if s := c.r.Header.Get(name); s != "" {
		ms, err := strconv.ParseFloat(s, 64)
		if err != nil || ms < 0 || ms > maxDeadline.Seconds()*1000 {
			return fault.New(fault.BadRequest, "%s %q", name, s)
		}
		stated := time.Duration(ms * float64(time.Millisecond))
		limit = min(limit, stated)
		c.spent = c.f.world.spentBefore(c.route.Name, stated)
	}
	c.deadline = c.arrived.Add(limit)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// run carries the call to its answer, or returns why there is none.
func (c *call) run() error {
	if err := c.readBody(); err != nil {
		return err
	}
	c.suspect = c.fingerprint()
	for {
		if err := c.f.opts.Crashes.Blocked(c.suspect); err != nil {
			return c.givenUp(err)
		}
		s, err := c.seek()
		if err != nil {
			return c.givenUp(err)
		}
		done, failed := c.try(s)
		if done {
			return nil
		}
		if !c.mayTryAgain(failed) {
			return c.givenUp(failed.err)
		}
	}
}

// givenUp returns the error for the caller. After an attempt that may have run
// a refusal must not say that the request did not.
func (c *call) givenUp(err error) error {
	if c.ctx.Err() != nil && c.r.Context().Err() != nil {
		return fault.New(fault.CallerGone, "")
	}
	if c.lost != nil {
		return c.lost
	}
	return err
}

// comeBack is when the caller should try again: after the predicted wait, and
// spread, so that refused callers do not return together; within the third of
// its time that a caller waits.
func (c *call) comeBack(predicted time.Duration) time.Duration {
	left := time.Until(c.deadline)
	pause := predicted + time.Duration((0.5+rand.Float64())*float64(c.route.TargetLatency)/2)
	return max(minComeBack, min(pause, left*3/10))
}

// minComeBack is the shortest pause that callers are asked for.
const minComeBack = 10 * time.Millisecond

func (c *call) outOfTime() error {
	return fault.After(fault.DeadlineTooShort, minComeBack, "no upstream had room")
}

// failure is an attempt without an answer to pass on.
type failure struct {
	err *fault.Error
	// mayHaveRun is set unless the upstream cannot have run the request.
	mayHaveRun bool
}

// mayTryAgain reports whether a further attempt is allowed, and pays for it.
func (c *call) mayTryAgain(failed failure) bool {
	if failed.mayHaveRun {
		c.lost = failed.err
		if !c.route.Repeatable || c.ran >= c.route.MaxAttempts {
			return false
		}
	}
	if c.ctx.Err() != nil || c.sends >= maxSends || !c.body.replayable() || !c.worthwhile() {
		return false
	}
	if c.sends > 0 && !c.f.world.takeRetry(c.pool) {
		return false
	}
	c.f.opts.Metrics.Retries.Inc(1)
	return true
}

// worthwhile reports whether an answer can still come in time: a request that
// is sent without hope only burdens the upstream.
func (c *call) worthwhile() bool {
	return time.Until(c.deadline) > c.f.world.usual(c.route.Name)/2
}

// body is the body of a request: a part in memory and, for a large one, the
// rest still to come from the caller.
type body struct {
	head   []byte
	rest   io.Reader
	length int64
	sent   bool
}

func (b *body) replayable() bool { return b.rest == nil || !b.sent }

// readBody reads the body, as far as it is kept in memory.
func (c *call) readBody() error {
	c.body.length = c.r.ContentLength
	if c.r.Body == nil || c.r.Body == http.NoBody {
		c.body.length = 0
		return nil
	}
	limit := int64(defaultMaxBody)
	if l := c.f.world.config.Load().CallerLimits; l.GetMaxBodyBytes() > 0 {
		limit = int64(l.MaxBodyBytes)
	}
	if c.r.ContentLength > limit {
		return fault.New(fault.TooLarge, "body of %d bytes, limit %d", c.r.ContentLength, limit)
	}
	src := forward.NewBodyReader(c.w, http.MaxBytesReader(c.w, c.r.Body, limit), c.f.opts.BodyIdleTimeout)
	head, err := io.ReadAll(io.LimitReader(src, bufferedBody))
	if err != nil && c.r.Context().Err() != nil {
		return fault.New(fault.CallerGone, "while its body was read")
	}
	if err != nil {
		return forward.BodyReadError(err)
	}
	c.body.head = head
	if len(head) < bufferedBody {
		c.body.length = int64(len(head))
		src.Stop()
		return nil
	}
	c.body.rest = src
	return nil
}

// defaultMaxBody bounds a body when the desired state does not.
const defaultMaxBody = 256 << 20

// fingerprint identifies requests that are alike enough to crash an upstream in
// the same way: the same caller, method, target and body.
func (c *call) fingerprint() quarantine.Request {
	sum := sha256.Sum256(c.body.head)
	return quarantine.Request{
		Service:     c.pool,
		Fingerprint: quarantine.Fingerprint(c.r.Method, httpnet.RemoteHost(c.r)+" "+c.r.Host+c.r.RequestURI, c.body.length, sum[:]),
	}
}

// routeKind returns the kind of the call's route for metrics, "" when it has
// none.
func (c *call) routeKind() string {
	if c.route == nil {
		return ""
	}
	return c.route.Kind
}

// describeRoom adds what was known of the pool's upstreams to the line of a call
// that failed.
func (c *call) describeRoom(line *event.Line) {
	if c.pool == "" {
		return
	}
	w := c.f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	open, ready := w.board.CountUpstreams(w.now(), c.pool)
	line.Uint64("upstreams_open", uint64(open)).Uint64("upstreams_ready", uint64(ready)).
		Uint64("calls_waiting", uint64(w.line(c.pool).line.Len())).
		Uint64("sent_in_flight", uint64(w.board.InFlight(c.pool)))
}

// finish writes the log line and the metrics of the call.
func (c *call) finish(err error) {
	took := time.Since(c.arrived)
	m := c.f.opts.Metrics
	m.Call(c.pool, c.routeKind(), fault.KindOf(err)).Inc(1)
	m.Time(c.routeKind()).RecordDuration(took)
	if c.waited > 0 {
		m.Wait.RecordDuration(c.waited)
	}
	if err == nil && c.sends == 1 && c.searches == 1 && c.status < http.StatusInternalServerError && rand.IntN(plainLogged) != 0 {
		return
	}
	line := c.f.opts.Events.Log(event.CallEnded).Str("request", c.id).Str("pool", c.pool).Str("upstream", c.upstream).
		Uint64("status", uint64(c.status)).Uint64("sends", uint64(c.sends)).Uint64("ran", uint64(c.ran)).
		Uint64("searches", uint64(c.searches)).Uint64("waited_ms", uint64(c.waited.Milliseconds())).
		Uint64("spent_before_ms", uint64(c.spent.Milliseconds())).Uint64("took_ms", uint64(took.Milliseconds()))
	if c.sends > 0 {
		line.Str("load_at_choice", fmt.Sprint(c.choice.Load)).Uint64("load_age_us", uint64(c.choice.LoadAge.Microseconds())).
			Str("load_at_answer", c.load)
	}
	if c.route != nil {
		line.Str("route", c.route.Name)
	}
	if cfg := c.f.world.config.Load(); cfg != nil {
		line.Uint64("version", cfg.StateVersion).Uint64("revision", cfg.Revision)
	}
	if err != nil {
		c.describeRoom(line)
		line.Err(err)
	}
	line.Send()
}
