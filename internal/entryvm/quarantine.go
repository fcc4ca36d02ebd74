package entryvm

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/claimservice"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/quarantine"
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
	return g.gossip.Blocked(sig)
}

// Admit implements forward.Quarantine.
func (g *quarantineGuard) Admit(ctx context.Context, sig quarantine.Signature) (forward.AttemptReporter, *fault.Error) {
	if err := g.gossip.Blocked(sig); err != nil {
		return nil, err
	}
	t := &attempt{guard: g, signature: sig, release: func() {}}
	by, suspect := g.gossip.Suspect(sig)
	if !suspect {
		return t, nil
	}
	release, err := g.claims.AcquirePermit(ctx, by.Service, by.Fingerprint)
	if err != nil {
		return nil, err
	}
	// Another attempt of the request may have crashed an upstream during the wait
	// for the permit.
	if err := g.gossip.Blocked(sig); err != nil {
		release()
		return nil, err
	}
	t.release = release
	return t, nil
}

// attempt implements forward.AttemptReporter for one attempt. release returns the
// permit, which only an attempt of a suspect request holds.
type attempt struct {
	guard     *quarantineGuard
	signature quarantine.Signature
	release   func()
}

// Crashed implements forward.AttemptReporter. It holds the permit until the other
// entry VMs have received the crash report, or flushTimeout has passed.
func (t *attempt) Crashed(upstream string, incarnation uint64) {
	t.guard.gossip.Crashed(t.signature, quarantine.Crash{Upstream: upstream, Incarnation: incarnation})
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
