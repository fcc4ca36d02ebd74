package control

import (
	"context"
	"time"
)

// acceptanceWaiter is a call that waits until a revision is accepted.
type acceptanceWaiter struct {
	revision uint64
	deadline time.Duration
	reply    chan acceptanceResult
}

// acceptanceResult reports whether a revision is accepted and, if it is not,
// the ids of the registered entry VMs that have not acknowledged it.
type acceptanceResult struct {
	accepted bool
	missing  []string
}

func (t *term) acceptance(w *acceptanceWaiter) acceptanceResult {
	if t.tracker.Accepted() >= w.revision {
		return acceptanceResult{accepted: true}
	}
	return acceptanceResult{missing: t.tracker.MissingAcks(w.revision)}
}

func (l *loop) onAcceptanceWaiter(w *acceptanceWaiter) {
	if l.term == nil {
		w.reply <- acceptanceResult{}
		return
	}
	// The revision may have been committed after the term last published a
	// configuration.
	l.term.publish(l.server.now(), l.server.catalog.Config())
	l.answerDueRenewals()
	l.term.waiters = append(l.term.waiters, w)
	l.advanceAcceptance()
	l.answerWaiters()
}

// answerWaiters replies to the waiters whose revision is accepted or whose
// deadline has passed.
func (l *loop) answerWaiters() {
	now := l.server.now()
	waiters := l.term.waiters
	l.term.waiters = nil
	for _, w := range waiters {
		if now >= w.deadline || l.term.tracker.Accepted() >= w.revision {
			w.reply <- l.term.acceptance(w)
			continue
		}
		l.term.waiters = append(l.term.waiters, w)
	}
}

// awaitAcceptance waits until the revision is accepted or wait has passed. The
// result is the zero value if this control VM does not lead, or if ctx ends or
// the loop stops first.
func (s *Server) awaitAcceptance(ctx context.Context, revision uint64, wait time.Duration) acceptanceResult {
	w := &acceptanceWaiter{revision: revision, deadline: s.now() + wait, reply: make(chan acceptanceResult, 1)}
	if !s.post(ctx, w) {
		return acceptanceResult{}
	}
	select {
	case result := <-w.reply:
		return result
	case <-ctx.Done():
	case <-s.done:
	}
	return acceptanceResult{}
}

// awaitShortly waits until the revision is accepted, at most for
// shortAcceptanceWait, however busy the event loop is. The revision is committed
// already, so that its acknowledgement must not depend on the loop.
func (s *Server) awaitShortly(ctx context.Context, revision uint64) {
	ctx, cancel := context.WithTimeout(ctx, shortAcceptanceWait)
	defer cancel()
	s.awaitAcceptance(ctx, revision, shortAcceptanceWait)
}
