package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// finalAnswerTime is the time before the end of a planned stop at which calls that
	// upstreams still work on are answered that their outcome is unknown. A process
	// that has used up its CPU share is paused for up to 100 ms.
	finalAnswerTime = 200 * time.Millisecond
	// refusalTime is the time for the refusal of calls that wait, before the above. In
	// an overload there may be hundreds of them, on a VM with a tenth of a core.
	refusalTime = 300 * time.Millisecond
	// slowWorkFactor is the factor on the typical time of the work for which a call is
	// still sent to an upstream during a stop. Queued calls are sent to upstreams that
	// are slower by up to queueMaxSlowdown.
	slowWorkFactor = queueMaxSlowdown
	// unknownWorkTime stands for the typical time of the work of a route without answers
	// so far.
	unknownWorkTime = 250 * time.Millisecond
	// connectionDrainTime is the time before the final answers at which the listener is
	// closed at the latest: idle connections and the accept backlog end in less.
	connectionDrainTime = 700 * time.Millisecond
	// peerDrainTime bounds the end of the other listeners once no call is in flight:
	// their requests are answered at once, but an HTTP/2 connection stays open for a
	// second after its last one.
	peerDrainTime = 300 * time.Millisecond
)

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// refuseNew is the time from which new calls are refused.
	refuseNew time.Time
	// drain is the time at which the listeners are closed at the latest.
	drain time.Time
	// finalAnswers is the time at which calls that upstreams still work on are answered
	// that their outcome is unknown.
	finalAnswers time.Time
	// end is the time at which the connections that are left are closed.
	end time.Time
}

// planStop returns the times of a stop that begins at start, serves new calls for serve
// and ends after total, which is not shorter.
func planStop(start time.Time, serve, total time.Duration) stopPlan {
	p := stopPlan{refuseNew: start.Add(serve), end: start.Add(total)}
	p.finalAnswers = latest(start, p.end.Add(-finalAnswerTime))
	p.drain = latest(start, p.finalAnswers.Add(-connectionDrainTime))
	return p
}

// lastStart returns the time after which a call is not sent to an upstream any more, as
// its answer would not arrive in time; typical is the typical time of its work, 0 if it
// is not known. Calls that arrive while new ones are served are refused only if not even
// typical work would end in time.
func (p stopPlan) lastStart(typical time.Duration) time.Time {
	if typical <= 0 {
		typical = unknownWorkTime
	}
	refuse := p.finalAnswers.Add(-refusalTime)
	ordinary := refuse.Add(-typical)
	slow := refuse.Add(-slowWorkFactor * typical)
	if slow.Before(p.refuseNew) && ordinary.After(slow) {
		return latest(slow, earliest(ordinary, p.refuseNew))
	}
	return slow
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stopState tells calls that a planned stop has begun and when it ends.
type stopState struct {
	mu   sync.Mutex
	plan *stopPlan
	// begun ends when the plan is set, over when the answers of upstreams can no longer be
	// awaited.
	begun, over       context.Context
	endBegun, endOver context.CancelFunc
}

func (s *stopState) init() {
	s.begun, s.endBegun = context.WithCancel(context.Background())
	s.over, s.endOver = context.WithCancel(context.Background())
}

// beginStop sets the plan and refuses the calls that wait for an upstream, each when it
// can no longer be answered by one.
func (f *Forwarder) beginStop(p stopPlan) {
	s := &f.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		s.plan = &p
		s.endBegun()
	}
}

// answerUnfinished answers the calls that upstreams still work on.
func (f *Forwarder) answerUnfinished() { f.stop.endOver() }

// stopsAt returns the time after which the call must not be sent to an upstream any
// more. It reports false unless a planned stop has begun.
func (c *call) stopsAt() (time.Time, bool) {
	s := &c.f.stop
	if s.begun.Err() == nil {
		return time.Time{}, false
	}
	s.mu.Lock()
	p := *s.plan
	s.mu.Unlock()
	return p.lastStart(c.f.state.typicalTime(c.route.Name)), true
}

// tooLateToSend reports whether an upstream could no longer answer the call before this
// gateway stops.
func (c *call) tooLateToSend() bool {
	at, stops := c.stopsAt()
	return stops && !time.Now().Before(at)
}

// refusedByStop returns the refusal of a call that waits while this gateway stops.
func (c *call) refusedByStop() *fault.Error {
	return fault.NewRetryable(fault.Leaving, c.retryAfter(0), "no upstream could answer before this gateway stops")
}

// awaitRefresh waits after a pause of the process for the newest configuration, and
// reports whether it has waited. It ends when the call must be refused because this
// gateway stops.
func (c *call) awaitRefresh() bool {
	ctx, cancel := c.ctx, context.CancelFunc(func() {})
	if at, stops := c.stopsAt(); stops {
		ctx, cancel = context.WithDeadline(ctx, at)
	}
	defer cancel()
	return c.f.state.awaitRefresh(ctx)
}

// interruptBody ends the reading of the body when the call must be refused because this
// gateway stops, until release is called.
func (c *call) interruptBody(src *forward.BodyReader) (release func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	stop := context.AfterFunc(c.f.stop.begun, func() {
		if at, _ := c.stopsAt(); wait.For(ctx, time.Until(at)) {
			src.Interrupt()
		}
	})
	return func() {
		stop()
		cancel()
	}
}

// relayDeadline returns the time by which another gateway must answer the call.
func (c *call) relayDeadline() time.Time {
	s := &c.f.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.plan == nil {
		return c.deadline
	}
	return earliest(c.deadline, s.plan.finalAnswers)
}

// stopTimer is a timer of a wait that ends earlier if a planned stop requires it.
type stopTimer struct {
	*time.Timer
	begun <-chan struct{}
}

// newStopTimer returns a timer that fires at the given time at the latest. The wait must
// call begin when begun is closed.
func (c *call) newStopTimer(at time.Time) *stopTimer {
	return &stopTimer{Timer: time.NewTimer(time.Until(at)), begun: c.f.stop.begun.Done()}
}

// begin makes the timer fire when the call must be refused because of the stop.
func (t *stopTimer) begin(c *call, at time.Time) {
	t.begun = nil
	if stopsAt, _ := c.stopsAt(); stopsAt.Before(at) {
		t.Reset(time.Until(stopsAt))
	}
}

// endWithStop ends the call when the stop can no longer wait for the answer, until
// releaseStop is called.
func (c *call) endWithStop() {
	c.releaseStop = context.AfterFunc(c.f.stop.over, c.cancel)
}

// cutByStop reports whether a planned stop waits no longer for answers of upstreams.
func (c *call) cutByStop() bool { return c.f.stop.over.Err() != nil }

// unansweredAtStop returns the failure of an attempt whose answer the stop could not wait
// for.
func (c *call) unansweredAtStop(upstream string, mayHaveRun bool) attemptFailure {
	if !mayHaveRun {
		return attemptFailure{err: c.refusedByStop()}
	}
	return attemptFailure{err: fault.New(fault.UpstreamTimeout, "upstream %s did not answer before this gateway stopped", upstream), mayHaveRun: true}
}

// stopGracefully carries out a planned stop. Look-ups no longer return this gateway,
// which serves new calls for ServeMs, since callers cache look-ups. Then it refuses new
// calls and finishes those in flight, until StopMs after the beginning of the stop.
func (d *Daemon) stopGracefully(ctx context.Context) {
	d.log.Log(event.Stopping).Send()
	plan := planStop(time.Now(), d.settings.ServeMs.Duration(), d.settings.StopMs.Duration())
	d.stopping.Store(true)
	d.state.stopIssuing()
	d.config.SetLeaving()
	d.forwarder.beginStop(plan)
	if !wait.For(ctx, time.Until(plan.refuseNew)) {
		return
	}
	d.closed.Store(true)
	stopCtx, cancel := context.WithDeadline(ctx, plan.end)
	defer cancel()
	final := time.AfterFunc(time.Until(plan.finalAnswers), d.forwarder.answerUnfinished)
	defer final.Stop()
	// Callers that still come are refused, so that they learn that their requests have
	// not run.
	for d.limiter.Total() > 0 && time.Now().Before(plan.drain) {
		if !wait.For(stopCtx, drainPollInterval) {
			break
		}
	}
	d.shutDownServers(stopCtx)
}

// shutDownServers closes the listeners and waits until each request that has been read is
// answered, or until ctx ends. Gateways whose calls are relayed here, and callers that
// ask for look-ups, are answered like callers.
func (d *Daemon) shutDownServers(ctx context.Context) {
	peerCtx, cancelPeers := context.WithCancel(ctx)
	defer cancelPeers()
	var peers conc.WaitGroup
	for _, s := range d.servers {
		if s != d.callerServer {
			crash.Go(&peers, func() { d.shutDown(peerCtx, s) })
		}
	}
	d.shutDown(ctx, d.callerServer)
	for d.limiter.Total() > 0 && wait.For(ctx, drainPollInterval) {
	}
	patience := time.AfterFunc(peerDrainTime, cancelPeers)
	defer patience.Stop()
	peers.Wait()
}

// shutDown shuts one server down and logs what is cut. Idle HTTP/2 connections of other
// processes are closed without a log line.
func (d *Daemon) shutDown(ctx context.Context, s *httpnet.Server) {
	if err := s.Shutdown(ctx); err != nil && (s == d.callerServer || d.limiter.Total() > 0) {
		d.log.Log(event.StoppedHard).Str("address", s.Address()).Uint64("calls_cut", uint64(d.limiter.Total())).Err(err).Send()
	}
}
