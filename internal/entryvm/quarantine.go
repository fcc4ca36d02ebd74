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
func (g *quarantineGuard) Blocked(service, fingerprint string) *fault.Error {
	return g.gossip.Blocked(quarantine.Request{Service: service, Fingerprint: fingerprint})
}

// Admit implements forward.Quarantine.
func (g *quarantineGuard) Admit(ctx context.Context, service, fingerprint string) (forward.AttemptReporter, *fault.Error) {
	r := quarantine.Request{Service: service, Fingerprint: fingerprint}
	if err := g.gossip.Blocked(r); err != nil {
		return nil, err
	}
	t := &attempt{guard: g, request: r, release: func() {}}
	if !g.gossip.Suspect(r) {
		return t, nil
	}
	release, err := g.claims.AcquirePermit(ctx, service, fingerprint)
	if err != nil {
		return nil, err
	}
	// Another attempt of the request may have crashed an upstream during the wait
	// for the permit.
	if err := g.gossip.Blocked(r); err != nil {
		release()
		return nil, err
	}
	t.release = release
	return t, nil
}

// attempt implements forward.AttemptReporter for one attempt. release returns the
// permit, which only an attempt of a suspect request holds.
type attempt struct {
	guard   *quarantineGuard
	request quarantine.Request
	release func()
}

// Crashed implements forward.AttemptReporter. It holds the permit until the other
// entry VMs have received the crash report, or flushTimeout has passed.
func (t *attempt) Crashed(upstream string, incarnation uint64) {
	t.guard.gossip.Crashed(t.request, quarantine.Crash{Upstream: upstream, Incarnation: incarnation})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = t.guard.gossip.Flush(ctx)
		t.release()
	}()
}

// Completed implements forward.AttemptReporter.
func (t *attempt) Completed() {
	t.guard.gossip.Completed(t.request)
	t.release()
}

// Abandoned implements forward.AttemptReporter.
func (t *attempt) Abandoned() { t.release() }
