package control

import (
	"context"
	"time"
)

// waiter waits for the acceptance of a revision.
type waiter struct {
	revision uint64
	until    time.Duration
	reply    chan outcome
}

// outcome says whether a revision is accepted, and which registered entry VMs
// have not acknowledged it.
type outcome struct {
	accepted bool
	missing  []string
}

func (t *term) outcome(w *waiter) outcome {
	if t.tracker.Accepted() >= w.revision {
		return outcome{accepted: true}
	}
	return outcome{missing: t.tracker.Missing(w.revision)}
}

func (l *loop) onWaiter(w *waiter) {
	if l.term == nil {
		w.reply <- outcome{}
		return
	}
	l.term.publish(l.server.catalog.Config())
	l.flush()
	l.term.waiters = append(l.term.waiters, w)
	l.advance()
	l.wake()
}

// wake answers the waiters that are done.
func (l *loop) wake() {
	now := l.server.now()
	waiters := l.term.waiters
	l.term.waiters = nil
	for _, w := range waiters {
		if now >= w.until || l.term.tracker.Accepted() >= w.revision {
			w.reply <- l.term.outcome(w)
			continue
		}
		l.term.waiters = append(l.term.waiters, w)
	}
}

// await waits until the revision is accepted or the time is over.
func (s *Server) await(ctx context.Context, revision uint64, wait time.Duration) outcome {
	w := &waiter{revision: revision, until: s.now() + wait, reply: make(chan outcome, 1)}
	if !s.post(ctx, w) {
		return outcome{}
	}
	select {
	case o := <-w.reply:
		return o
	case <-ctx.Done():
	case <-s.done:
	}
	return outcome{}
}
