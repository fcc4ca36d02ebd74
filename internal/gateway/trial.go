package gateway

import (
	"context"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/permit"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// trialRenewInterval is the time between renewals of the permit for a trial. Two may
// fail before it ends.
const trialRenewInterval = 450 * time.Millisecond

// trial is the permit to send a suspect request, while no other attempt with the same
// fingerprint is in flight.
type trial struct {
	request quarantine.Request
	message *clusterpb.Trial
	// mu guards validUntil, by ForwarderOptions.BootTime.
	mu         sync.Mutex
	validUntil time.Duration
	// stopRenewing ends the renewals.
	stopRenewing context.CancelFunc
}

// trialKey returns the key of the permit at its issuer.
func trialKey(r quarantine.Request) string { return r.Service + "\x00" + r.Fingerprint }

// extend prolongs the permit, which was asked for at the time sent.
func (t *trial) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = sent + permit.TrialLease
}

// validAt reports whether the permit holds at the given time.
func (t *trial) validAt(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.validUntil
}

// trialGates keeps the calls of this gateway from asking for the same permit at the
// same time.
type trialGates struct {
	mu     sync.Mutex
	number uint64
	// busy holds the fingerprints for which a call holds the permit or asks for it,
	// with a channel that is closed when it no longer does.
	busy map[quarantine.Request]chan struct{}
}

// enter reserves the fingerprint for a call and returns the number of its attempt, or
// the channel that is closed when another call leaves.
func (g *trialGates) enter(r quarantine.Request) (number uint64, left <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ch, ok := g.busy[r]; ok {
		return 0, ch
	}
	if g.busy == nil {
		g.busy = make(map[quarantine.Request]chan struct{})
	}
	g.busy[r] = make(chan struct{})
	g.number++
	return g.number, nil
}

func (g *trialGates) leave(r quarantine.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.busy[r])
	delete(g.busy, r)
}

// waitForTrial waits until the request may be sent: at once if it is not suspected of
// crashing upstreams, and otherwise once the call holds the permit for a trial. It
// returns the refusal if the request is quarantined or would wait for too long, and
// does not wait while all upstreams are lost.
func (c *call) waitForTrial() *fault.Error {
	start := time.Now()
	startBy := start.Add(time.Until(c.deadline) / lateWaitDivisor)
	for {
		d := c.f.opts.Crashes.Judge(c.signature)
		if c.mayTry(d) {
			c.waited += time.Since(start)
			return nil
		}
		c.endTrial(nil)
		if d.State == quarantine.Clear || c.f.upstreamsLost() != reach.None {
			return nil
		}
		if err := d.Refusal(); err != nil {
			return err
		}
		if c.tooLateToSend() {
			return c.refusedByStop()
		}
		pause, left := d.TrialIn, (<-chan struct{})(nil)
		if pause <= 0 {
			var granted bool
			if granted, pause, left = c.beginTrial(d.By); granted {
				// The permit may have come with a report of the trial before.
				continue
			}
		}
		if left != nil {
			// The permit may be free any moment.
			pause = time.Until(startBy)
		}
		if now := time.Now(); now.Add(pause).After(startBy) || !now.Before(startBy) {
			return c.trialTooLate(d.By, pause, time.Since(start))
		}
		c.waitForChange(pause, left, d.Changed)
	}
}

// waitForChange waits for the given time, or until the permit for a trial has been
// returned, the decision on the request may have changed, all upstreams are lost, or
// the call ends.
func (c *call) waitForChange(d time.Duration, permitLeft, changed <-chan struct{}) {
	at := time.Now().Add(d)
	timer := c.newStopTimer(at)
	defer timer.Stop()
	for {
		select {
		case <-timer.begun:
			timer.begin(c, at)
			continue
		case <-timer.C:
		case <-permitLeft:
		case <-changed:
		case <-c.f.reach.lostSignal():
		case <-c.ctx.Done():
		}
		return
	}
}

// trialTooLate returns the refusal of a suspect request that cannot be sent in time,
// after it has waited.
func (c *call) trialTooLate(by quarantine.Request, next, waited time.Duration) *fault.Error {
	return fault.NewRetryable(fault.Suspect, c.retryAfter(next), "fingerprint %s: waited for %s, the next attempt may be sent in %s", by.Fingerprint, waited, next)
}

// mayStillSend reports whether the verdict on the request still allows it to be sent,
// after the wait for an upstream.
func (c *call) mayStillSend() bool {
	d := c.f.opts.Crashes.Judge(c.signature)
	return d.State == quarantine.Clear || c.mayTry(d)
}

// mayTry reports whether the call may send a suspect request now: it holds a valid
// permit, and the pause after the trial before has passed.
func (c *call) mayTry(d gossip.Decision) bool {
	return d.State == quarantine.Suspect && d.TrialIn <= 0 && c.trial != nil && c.trial.request == d.By && c.trial.validAt(c.f.opts.BootTime())
}

// beginTrial takes the permit for a trial, here or from the gateway that issues it.
// If there is none, it returns the time after which to ask again, and a channel that
// is closed before if another call of this gateway holds it.
func (c *call) beginTrial(r quarantine.Request) (granted bool, pause time.Duration, left <-chan struct{}) {
	f := c.f
	number, left := f.trials.enter(r)
	if left != nil {
		return false, 0, left
	}
	t := &trial{request: r, message: &clusterpb.Trial{Service: r.Service, Fingerprint: r.Fingerprint, Entry: f.state.gatewayID, Number: number}}
	if granted, pause = f.acquireTrial(c.ctx, t); !granted {
		f.trials.leave(r)
		return false, pause, nil
	}
	var ctx context.Context
	ctx, t.stopRenewing = context.WithCancel(f.opts.Context)
	go func() {
		wait.Every(ctx, trialRenewInterval, func() { f.acquireTrial(ctx, t) })
	}()
	c.trial = t
	return true, 0, nil
}

// acquireTrial takes or renews the permit. If there is none, it returns the time
// after which to ask again.
func (f *Forwarder) acquireTrial(ctx context.Context, t *trial) (granted bool, pause time.Duration) {
	sent := f.opts.BootTime()
	resp := f.askTrial(ctx, t)
	if resp == nil {
		return false, issuerRetryInterval
	}
	f.opts.Crashes.Merge(resp.Crashes)
	if resp.Granted {
		t.extend(sent)
		return true, 0
	}
	if resp.WaitMs == 0 {
		return false, permitRetryInterval
	}
	return false, time.Duration(resp.WaitMs) * time.Millisecond
}

// askTrial asks the issuer for the permit. It returns nil if it does not answer.
func (f *Forwarder) askTrial(ctx context.Context, t *trial) *clusterpb.BeginTrialResponse {
	st := f.state
	address, own := st.trialIssuer(t.request)
	if own {
		resp, _ := (&trialServer{state: st, crashes: f.opts.Crashes}).Begin(ctx, &clusterpb.BeginTrialRequest{Trial: t.message})
		return resp
	}
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	resp, err := f.opts.Trials(address).Begin(ctx, &clusterpb.BeginTrialRequest{Trial: t.message})
	if err != nil {
		f.opts.Events.Log(event.TrialFailed).Str("pool", t.request.Service).Str("fingerprint", t.request.Fingerprint).Str("issuer", address).Err(err).Send()
		return nil
	}
	return resp
}

// endTrial returns the permit that the call holds, if any, with the report of the
// outcome, nil if there is none.
func (c *call) endTrial(outcome *clusterpb.CrashReport) {
	t := c.trial
	if t == nil {
		return
	}
	c.trial = nil
	t.stopRenewing()
	f := c.f
	req := &clusterpb.EndTrialRequest{Trial: t.message}
	if outcome != nil {
		req.Crashes = append(req.Crashes, outcome)
	}
	address, own := f.state.trialIssuer(t.request)
	if own {
		_, _ = (&trialServer{state: f.state, crashes: f.opts.Crashes}).End(context.Background(), req)
		f.trials.leave(t.request)
		return
	}
	go func() {
		defer f.trials.leave(t.request)
		if address == "" {
			return
		}
		ctx, cancel := context.WithTimeout(f.opts.Context, permitTimeout)
		defer cancel()
		if _, err := f.opts.Trials(address).End(ctx, req); err != nil {
			f.opts.Events.Log(event.TrialFailed).Str("pool", t.request.Service).Str("fingerprint", t.request.Fingerprint).Str("issuer", address).Err(err).Send()
		}
	}()
}

// trialIssuer returns the cluster address of the gateway that issues the permits for
// trials with the fingerprint, and whether it is this one.
func (st *state) trialIssuer(r quarantine.Request) (address string, own bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	id := st.issuer.IssuerOf(trialKey(r))
	return st.clusterAddresses[id], id == st.gatewayID
}

// trialServer serves the Trials service to other gateways.
type trialServer struct {
	state   *state
	crashes CrashTracker
}

// Begin implements clusterpb.Trials.
func (s *trialServer) Begin(_ context.Context, req *clusterpb.BeginTrialRequest) (*clusterpb.BeginTrialResponse, error) {
	r, holder := trialOf(req.GetTrial())
	st := s.state
	st.mu.Lock()
	d := st.issuer.BeginTrial(st.now(), trialKey(r), holder)
	st.mu.Unlock()
	resp := &clusterpb.BeginTrialResponse{Granted: d.Granted, WaitMs: uint32((d.Wait + time.Millisecond - 1) / time.Millisecond)}
	if d.Granted {
		resp.Crashes = s.crashes.ReportsAbout(r)
	}
	return resp, nil
}

// End implements clusterpb.Trials.
func (s *trialServer) End(_ context.Context, req *clusterpb.EndTrialRequest) (*clusterpb.EndTrialResponse, error) {
	r, holder := trialOf(req.GetTrial())
	s.crashes.Merge(req.Crashes)
	st := s.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.issuer.EndTrial(trialKey(r), holder)
	return &clusterpb.EndTrialResponse{}, nil
}

func trialOf(t *clusterpb.Trial) (quarantine.Request, permit.Holder) {
	return quarantine.Request{Service: t.GetService(), Fingerprint: t.GetFingerprint()}, permit.Holder{Entry: t.GetEntry(), Number: t.GetNumber()}
}
