package entryvm

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/claimservice"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// flushTimeout bounds how long the next attempt of a request waits for other
// entry VMs to receive the crash report of the previous one.
const flushTimeout = time.Second

// quarantineGuard implements forward.Quarantine with the crash reports of gossip
// and the permits of the claims service.
type quarantineGuard struct {
	gossip *gossip.Service
	claims *claimservice.Service
}

// Blocked implements forward.Quarantine.
func (g *quarantineGuard) Blocked(sig quarantine.Signature) *fault.Error {
	return g.gossip.Judge(sig).Refusal()
}

// maxTrialPause is the longest pause before a trial that a call waits for. It holds
// the slot of an upstream meanwhile.
const maxTrialPause = 250 * time.Millisecond

// Admit implements forward.Quarantine.
func (g *quarantineGuard) Admit(ctx context.Context, sig quarantine.Signature) (forward.AttemptReporter, *fault.Error) {
	t := &attempt{guard: g, signature: sig, release: func() {}}
	d := g.gossip.Judge(sig)
	if err := d.Refusal(); err != nil {
		return nil, err
	}
	if d.State == quarantine.Clear {
		return t, nil
	}
	if d.TrialIn > maxTrialPause || !wait.For(ctx, d.TrialIn) {
		return nil, trialLater(d.TrialIn)
	}
	release, err := g.claims.AcquirePermit(ctx, d.By.Service, d.By.Fingerprint)
	if err != nil {
		return nil, err
	}
	// Another attempt of the request may have crashed an upstream during the wait
	// for the permit.
	d = g.gossip.Judge(sig)
	if err = d.Refusal(); err == nil && d.TrialIn > 0 {
		err = trialLater(d.TrialIn)
	}
	if err != nil {
		release()
		return nil, err
	}
	t.release, t.trial = release, true
	return t, nil
}

// trialLater returns the refusal of a suspect request that may be sent only after the
// given time.
func trialLater(after time.Duration) *fault.Error {
	return fault.NewRetryable(fault.Suspect, after, "")
}

// attempt implements forward.AttemptReporter for one attempt. release returns the
// permit, which only a trial, an attempt of a suspect request, holds.
type attempt struct {
	guard     *quarantineGuard
	signature quarantine.Signature
	trial     bool
	release   func()
}

// Crashed implements forward.AttemptReporter. It holds the permit until the other
// entry VMs have received the crash report, or flushTimeout has passed.
func (t *attempt) Crashed(upstream string, incarnation uint64) {
	t.guard.gossip.Crashed(t.signature, quarantine.Crash{Upstream: upstream, Incarnation: incarnation}, t.trial)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = t.guard.gossip.Flush(ctx)
		t.release()
	}()
}

// Completed implements forward.AttemptReporter.
func (t *attempt) Completed() {
	t.guard.gossip.Completed(t.signature)
	t.release()
}

// Abandoned implements forward.AttemptReporter.
func (t *attempt) Abandoned() { t.release() }
