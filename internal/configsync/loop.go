package configsync

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/view"
)

const (
	// longestPause bounds the time for which the loop sleeps without an event.
	longestPause = time.Second
	// shortestPause keeps the loop from spinning when timers fire early.
	shortestPause = time.Millisecond
)

// loop owns the state of a Syncer.
type loop struct {
	syncer  *Syncer
	ctx     context.Context
	workers *conc.WaitGroup
	state   *freshness.State
	view    *view.View
	leaving bool
	renew   renewState
	confirm confirmState
}

// leave announces a planned stop.
type leave struct{}

// adopted offers a committed configuration.
type adopted struct {
	config   *catalogpb.Config
	accepted uint64
}

func newLoop(ctx context.Context, s *Syncer, workers *conc.WaitGroup) *loop {
	l := &loop{syncer: s, ctx: ctx, workers: workers, state: freshness.New(s.self())}
	l.renew.control = s.opts.ControlAddresses
	l.renew.avoid = make(map[string]time.Duration)
	return l
}

func (l *loop) run() {
	timer := time.NewTimer(longestPause)
	defer timer.Stop()
	defer l.stopRenewal()
	l.startRenewal()
	for {
		timer.Reset(l.pause(l.syncer.now()))
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
			l.onTimer()
		case ev := <-l.syncer.events:
			l.handle(ev)
		}
	}
}

// pause returns the time until the clock alone gives the loop something to do.
func (l *loop) pause(now time.Duration) time.Duration {
	due := now + longestPause
	if !l.renew.running {
		due = min(due, l.renew.next)
	}
	if at, ok := l.confirmDue(); ok {
		due = min(due, at)
	}
	return max(due-now, shortestPause)
}

func (l *loop) handle(ev any) {
	switch ev := ev.(type) {
	case *renewed:
		l.onRenewed(ev)
	case *peerAnswer:
		l.onPeerAnswer(ev)
	case *adopted:
		l.adopt(ev.config, ev.accepted)
	case leave:
		l.leaving = true
		l.stopRenewal()
		l.startRenewal()
	}
}

func (l *loop) onTimer() {
	now := l.syncer.now()
	if !l.renew.running && now >= l.renew.next {
		l.startRenewal()
	}
	l.confirmPeers(now)
	l.publish()
}

// adopt takes a committed configuration into force if it is newer.
func (l *loop) adopt(cfg *catalogpb.Config, accepted uint64) {
	changed := l.take(cfg)
	before := l.state.AcceptedRevision()
	l.state.RecordAccepted(accepted)
	l.publish()
	if l.view == nil || !changed && l.state.AcceptedRevision() == before {
		return
	}
	for _, f := range l.syncer.listeners {
		f(l.view)
	}
}

func (l *loop) take(cfg *catalogpb.Config) bool {
	if cfg == nil || !l.state.Adopt(cfg.Revision, keysOf(cfg)) {
		return false
	}
	l.view = view.New(cfg)
	l.syncer.opts.Log.Log(event.ConfigAdopted).Uint64("revision", cfg.Revision).Send()
	return true
}

func keysOf(cfg *catalogpb.Config) []freshness.EntryKey {
	set := catalog.EntryKeys(cfg)
	keys := make([]freshness.EntryKey, len(set))
	for i, k := range set {
		keys[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return keys
}

// publish shows the state to traffic goroutines.
func (l *loop) publish() {
	h := &held{
		view:     l.view,
		deadline: l.state.FreshUntil(),
		accepted: l.state.AcceptedRevision(),
		synced:   l.state.Synced(),
	}
	if *h != *l.syncer.held.Load() {
		l.syncer.held.Store(h)
	}
}
