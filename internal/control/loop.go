package control

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"balsamcourse.example/balsamcourse/internal/crash"
)

// tickInterval is the interval at which the loop checks leadership and
// timeouts.
const tickInterval = 50 * time.Millisecond

// loop is the event loop. It owns the mutable state of the server.
type loop struct {
	server  *Server
	ctx     context.Context
	workers *conc.WaitGroup
	// term is nil unless this replica leads and has confirmed its leadership.
	term *term
	// confirmingTerm is the term whose leadership is being confirmed; 0 if
	// none.
	confirmingTerm uint64
	// deferredRenewals holds renewals that arrived while leadership was being
	// confirmed.
	deferredRenewals []*renewal
	// startingRenewals holds those of entry VMs without a configuration that arrived
	// before this replica had caught up.
	startingRenewals []*renewal
	load             loopLoad
	// stoodStill is the time for which the monotonic clock stood still while the VM
	// was suspended, plus the time from the boot of the VM to the start of the
	// server; wokeAt is the time at which it was last seen to have grown.
	stoodStill, wokeAt time.Duration
}

// leadershipConfirmation is the event that reports whether the leadership of a
// term was confirmed.
type leadershipConfirmation struct {
	term uint64
	err  error
}

func newLoop(ctx context.Context, s *Server, workers *conc.WaitGroup) *loop {
	return &loop{server: s, ctx: ctx, workers: workers, stoodStill: s.bootTime() - s.now()}
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
		case <-l.server.stateMachine.changed:
			l.handleStartingRenewals()
			l.onConfigChanged()
		case queued := <-l.server.events:
			start := l.server.now()
			l.handle(queued.event)
			l.load.record(start-queued.postedAt, l.server.now()-start)
			l.server.opts.Metrics.Wait.RecordDuration(start - queued.postedAt)
		}
	}
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *renewal:
		l.onRenewal(ev)
	case *confirmedRenewal:
		l.onConfirmedRenewal(ev)
	case *acceptanceWaiter:
		l.onAcceptanceWaiter(ev)
	case *entryStatusQuery:
		ev.reply <- l.entryStatus()
	case *entrySetQuery:
		ev.reply <- l.entrySetState()
	case *leadershipConfirmation:
		l.onLeadershipConfirmation(ev)
	case *proposalDone:
		l.onProposalDone(ev)
	case *evidenceReport:
		l.recordEvidence(ev.entry, ev.incarnation, ev.evidence)
	case *rolloutProposal:
		l.onRolloutProposal(ev)
	case *rolloutQuery:
		ev.reply <- l.rolloutText(ev.pool)
	}
}

// onTick updates leadership and handles whatever depends on time.
func (l *loop) onTick() {
	st := l.server.opts.Replica.Status()
	l.followLeadership(st)
	l.handleStartingRenewals()
	l.logLoad()
	if l.term == nil {
		return
	}
	l.onConfigChanged()
	l.advanceAcceptance()
	l.answerExpired()
	l.logUnackedState()
	l.proposeNext()
	l.advanceRollouts()
}

// followLeadership ends the current term if this replica no longer leads in it,
// and starts to confirm the leadership of a new term.
func (l *loop) followLeadership(st Status) {
	if l.term != nil && (!st.IsLeader || st.Term != l.term.number) {
		l.endTerm()
	}
	if !st.IsLeader || l.term != nil || l.confirmingTerm == st.Term {
		return
	}
	l.confirmingTerm = st.Term
	l.confirmLeadership(st.Term)
}

// confirmLeadership performs a confirmed read in the background. After it the
// catalog contains everything that earlier terms committed.
func (l *loop) confirmLeadership(number uint64) {
	crash.Go(l.workers, func() {
		err := l.confirmedRead(proposeTimeout)
		l.server.post(l.ctx, &leadershipConfirmation{term: number, err: err})
	})
}

// confirmedRead blocks and must not be called from the goroutine of the loop.
func (l *loop) confirmedRead(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	_, err := l.server.opts.Replica.ConfirmedRead(ctx)
	return err
}

func (l *loop) onLeadershipConfirmation(ev *leadershipConfirmation) {
	if l.confirmingTerm != ev.term {
		return
	}
	l.confirmingTerm = 0
	defer l.handleDeferredRenewals()
	st := l.server.opts.Replica.Status()
	if ev.err != nil || !st.IsLeader || st.Term != ev.term {
		return
	}
	now := l.server.now()
	l.term = newTerm(ev.term, l.server.monotonic(st.LeaderSince), l.server.catalog.Config())
	l.term.newestAt = now
}

// handleDeferredRenewals handles the renewals that arrived while leadership was
// being confirmed.
func (l *loop) handleDeferredRenewals() {
	deferred := l.deferredRenewals
	l.deferredRenewals = nil
	for _, r := range deferred {
		l.onRenewal(r)
	}
}

// endTerm answers all held renewals without a lease, and all waiters, when
// leadership is lost or the server stops.
func (l *loop) endTerm() {
	t := l.term
	if t == nil {
		return
	}
	l.term = nil
	for _, r := range t.heldRenewals {
		l.answerWithoutLease(r)
	}
	for _, w := range t.waiters {
		w.reply <- t.acceptance(w)
	}
}

// onConfigChanged publishes a newly committed configuration in the current
// term.
func (l *loop) onConfigChanged() {
	if l.term == nil {
		return
	}
	now := l.server.now()
	published := l.term.publish(now, l.server.catalog.Config())
	l.term.newestAt = now
	if !published {
		return
	}
	l.answerDueRenewals()
	l.advanceAcceptanceSoon()
	l.proposeNext()
}

// acceptanceInterval is the shortest interval between two searches for accepted
// revisions after events that come in large numbers. A search takes time in proportion
// to the number of entry VMs, so that one for each renewal of each would grow with its
// square.
const acceptanceInterval = 10 * time.Millisecond

// advanceAcceptanceSoon is advanceAcceptance, unless that was called within
// acceptanceInterval: then the next tick calls it.
func (l *loop) advanceAcceptanceSoon() {
	if l.server.now() >= l.term.advancedAt+acceptanceInterval {
		l.advanceAcceptance()
	}
}

// advanceAcceptance answers the renewals and waiters affected by newly accepted
// revisions.
func (l *loop) advanceAcceptance() {
	l.load.searches++
	l.term.advancedAt = l.server.now()
	before := l.term.tracker.Accepted()
	if l.term.tracker.Advance(l.server.now()) == before {
		return
	}
	l.answerDueRenewals()
	l.answerWaiters()
	l.proposeNext()
}
