package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/crash"
)

// tickInterval is the pace at which the loop looks at the clock.
const tickInterval = 50 * time.Millisecond

// loop owns the state of the server.
type loop struct {
	server  *Server
	ctx     context.Context
	workers *conc.WaitGroup
	// term is nil unless this replica leads and has confirmed it.
	term *term
	// confirming is the term whose confirmation is under way; 0 when none is.
	confirming uint64
	// early holds the renewals that arrived during a confirmation.
	early []*renewal
}

// confirmed says that leadership of a term was confirmed, or that it was not.
type confirmed struct {
	term uint64
	err  error
}

func newLoop(ctx context.Context, s *Server, workers *conc.WaitGroup) *loop {
	return &loop{server: s, ctx: ctx, workers: workers}
}

func (l *loop) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.endTerm()
			return
		case <-tick.C:
			l.onTick()
		case <-l.server.machine.changed:
			l.onChanged()
		case ev := <-l.server.events:
			l.handle(ev)
		}
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *renewal:
		l.onRenewal(ev)
	case *syncedRenewal:
		l.onSynced(ev)
	case *waiter:
		l.onWaiter(ev)
	case *statusQuery:
		ev.reply <- l.entryStatus()
	case *setQuery:
		ev.reply <- l.setState()
	case *confirmed:
		l.onConfirmed(ev)
	case *proposed:
		l.onProposed(ev)
	}
}

// onTick follows the replica's role and the clock.
func (l *loop) onTick() {
	st := l.server.opts.Replica.Status()
	l.followRole(st)
	if l.term == nil {
		return
	}
	l.advance()
	l.expire()
	l.plan()
}

// followRole ends a term that is over and confirms one that has begun.
func (l *loop) followRole(st Status) {
	if l.term != nil && (!st.IsLeader || st.Term != l.term.number) {
		l.endTerm()
	}
	if !st.IsLeader || l.term != nil || l.confirming == st.Term {
		return
	}
	l.confirming = st.Term
	l.confirm(st.Term)
}

// confirm waits for a confirmed read, after which the catalog holds all that
// earlier terms committed.
func (l *loop) confirm(number uint64) {
	crash.Go(l.workers, func() {
		err := l.confirmedRead(proposeTimeout)
		l.server.post(l.ctx, &confirmed{term: number, err: err})
	})
}

// confirmedRead is called beside the loop.
func (l *loop) confirmedRead(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	_, err := l.server.opts.Replica.ConfirmedRead(ctx)
	return err
}

func (l *loop) onConfirmed(ev *confirmed) {
	if l.confirming != ev.term {
		return
	}
	l.confirming = 0
	defer l.releaseEarly()
	st := l.server.opts.Replica.Status()
	if ev.err != nil || !st.IsLeader || st.Term != ev.term {
		return
	}
	l.term = newTerm(ev.term, l.server.at(st.LeaderSince), l.server.catalog.Config())
}

// releaseEarly handles the renewals that waited for the confirmation.
func (l *loop) releaseEarly() {
	early := l.early
	l.early = nil
	for _, r := range early {
		l.onRenewal(r)
	}
}

// endTerm refuses everything that waits for this leader.
func (l *loop) endTerm() {
	t := l.term
	if t == nil {
		return
	}
	l.term = nil
	for _, r := range t.held {
		l.redirect(r)
	}
	for _, w := range t.waiters {
		w.reply <- t.outcome(w)
	}
}

// onChanged takes a new configuration into the term.
func (l *loop) onChanged() {
	if l.term == nil {
		return
	}
	if !l.term.publish(l.server.catalog.Config()) {
		return
	}
	l.flush()
	l.advance()
	l.plan()
}

// advance answers those who wait for an acceptance that has been reached.
func (l *loop) advance() {
	before := l.term.tracker.Accepted()
	if l.term.tracker.Advance(l.server.now()) == before {
		return
	}
	l.flush()
	l.wake()
	l.plan()
}
