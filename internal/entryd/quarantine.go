package entryd

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/claims"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// flushTimeout bounds the spreading of a crash report before the next attempt
// of the same request may start.
const flushTimeout = time.Second

// guard shows gossip and the permits of the claims as forward.Quarantine.
type guard struct {
	gossip *gossip.Service
	claims *claims.Service
}

// Blocked implements forward.Quarantine.
func (g *guard) Blocked(service, fingerprint string) *fault.Error {
	return g.gossip.Blocked(quarantine.Request{Service: service, Fingerprint: fingerprint})
}

// Admit implements forward.Quarantine.
func (g *guard) Admit(ctx context.Context, service, fingerprint string) (forward.AttemptReporter, *fault.Error) {
	r := quarantine.Request{Service: service, Fingerprint: fingerprint}
	if err := g.gossip.Blocked(r); err != nil {
		return nil, err
	}
	t := &try{guard: g, request: r, release: func() {}}
	if !g.gossip.Suspect(r) {
		return t, nil
	}
	release, err := g.claims.AcquirePermit(ctx, service, fingerprint)
	if err != nil {
		return nil, err
	}
	// The request may have crashed another upstream while this one waited.
	if err := g.gossip.Blocked(r); err != nil {
		release()
		return nil, err
	}
	t.release = release
	return t, nil
}

// try is one attempt; it holds the permit of a request under suspicion.
type try struct {
	guard   *guard
	request quarantine.Request
	release func()
}

// Crashed implements forward.AttemptReporter. The permit is held until the other entry VMs
// know of the crash.
func (t *try) Crashed(upstream string, incarnation uint64) {
	t.guard.gossip.Crashed(t.request, quarantine.Crash{Upstream: upstream, Incarnation: incarnation})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = t.guard.gossip.Flush(ctx)
		t.release()
	}()
}

// Completed implements forward.AttemptReporter.
func (t *try) Completed() {
	t.guard.gossip.Completed(t.request)
	t.release()
}

// Abandoned implements forward.AttemptReporter.
func (t *try) Abandoned() { t.release() }
