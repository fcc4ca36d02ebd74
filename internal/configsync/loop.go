package configsync

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	// maxSleep is the longest time for which the loop waits for an event.
	maxSleep = time.Second
	// minSleep keeps the loop from spinning when timers fire early.
	minSleep = time.Millisecond
)

// loop owns the state of a Syncer.
type loop struct {
	syncer  *Syncer
	ctx     context.Context
	workers *conc.WaitGroup
	state   *freshness.State
	view    *configview.View
	leaving bool
	renew   renewalState
	confirm confirmationState
}

// isolationChanged is the event that this entry VM has lost all upstreams or
// reaches them again.
type isolationChanged struct{}

// leavingAnnounced is the event of a planned stop.
type leavingAnnounced struct{}

// configReceived is the event of a committed configuration that another process
// has pushed.
type configReceived struct {
	config           *catalogpb.Config
	acceptedRevision uint64
}

func newLoop(ctx context.Context, s *Syncer, workers *conc.WaitGroup) *loop {
	l := &loop{syncer: s, ctx: ctx, workers: workers, state: freshness.New(s.self())}
	l.renew.controlAddresses = s.opts.ControlAddresses
	l.renew.avoidUntil = make(map[string]time.Duration)
	return l
}

func (l *loop) run() {
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	defer l.cancelRenewal()
	l.startRenewal()
	for {
		timer.Reset(l.sleepTime(l.syncer.now()))
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
			l.resumeAfterPause()
			l.handleTimer()
		case ev := <-l.syncer.events:
			l.resumeAfterPause()
			l.handleEvent(ev)
		}
	}
}

// resumeAfterPause asks control again at once if the process has been paused.
func (l *loop) resumeAfterPause() {
	if l.syncer.pause.recordActive() && l.view != nil {
		l.cancelRenewal()
		l.startRenewal()
	}
}

// sleepTime returns the time until the next renewal or round of confirmations
// is due, between minSleep and maxSleep.
func (l *loop) sleepTime(now time.Duration) time.Duration {
	due := now + maxSleep
	if !l.renew.running {
		due = min(due, l.renew.nextAt)
	}
	if at, ok := l.nextConfirmationRound(); ok {
		due = min(due, at)
	}
	return max(due-now, minSleep)
}

func (l *loop) handleEvent(ev any) {
	switch ev := ev.(type) {
	case *renewalResult:
		l.handleRenewalResult(ev)
	case *confirmationAnswer:
		l.handleConfirmation(ev)
	case *configReceived:
		l.adoptAndNotify(ev.config, ev.acceptedRevision, configOrigin{via: "push"})
	case isolationChanged:
		if l.renew.failures == 0 {
			l.cancelRenewal()
			l.startRenewal()
		}
	case leavingAnnounced:
		l.leaving = true
		l.cancelRenewal()
		l.startRenewal()
	}
}

func (l *loop) handleTimer() {
	now := l.syncer.now()
	if !l.renew.running && now >= l.renew.nextAt {
		l.startRenewal()
	}
	l.startConfirmationRound(now)
	l.publishSnapshot()
}

// configOrigin says how a configuration arrived, for the log.
type configOrigin struct {
	// via is the kind of message.
	via string
	// address is that of the VM that answered; empty if it is not known.
	address string
	// delta is set if the message contained only the difference to the
	// configuration held before.
	delta bool
	// took is the time from the request to the answer.
	took time.Duration
}

// adoptAndNotify adopts a committed configuration if it is newer than the
// current one, records the accepted revision, and calls the listeners if either
// has changed.
func (l *loop) adoptAndNotify(cfg *catalogpb.Config, accepted uint64, origin configOrigin) {
	changed := l.adoptConfig(cfg, origin)
	before := l.state.AcceptedRevision()
	l.state.RecordAccepted(accepted)
	l.publishSnapshot()
	if l.view == nil || !changed && l.state.AcceptedRevision() == before {
		return
	}
	for _, f := range l.syncer.listeners {
		f(l.view)
	}
}

func (l *loop) adoptConfig(cfg *catalogpb.Config, origin configOrigin) bool {
	if cfg == nil || !l.state.Adopt(cfg.Revision, entryKeys(cfg)) {
		return false
	}
	l.view = configview.New(cfg)
	l.syncer.opts.Log.Log(event.ConfigAdopted).Uint64("revision", cfg.Revision).Uint64("version", cfg.StateVersion).
		Str("via", origin.via).Str("from", origin.address).Bool("delta", origin.delta).
		Uint64("took_ms", uint64(origin.took.Milliseconds())).Send()
	return true
}

func entryKeys(cfg *catalogpb.Config) []freshness.EntryKey {
	set := catalog.EntryKeys(cfg)
	keys := make([]freshness.EntryKey, len(set))
	for i, k := range set {
		keys[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return keys
}

// publishSnapshot makes the state visible to other goroutines.
func (l *loop) publishSnapshot() {
	next := &snapshot{
		view:             l.view,
		freshUntil:       l.state.FreshUntil(),
		acceptedRevision: l.state.AcceptedRevision(),
	}
	next.newestAt, next.synced = l.state.NewestAt()
	if *next != *l.syncer.snapshot.Load() {
		l.syncer.snapshot.Store(next)
	}
}
