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

// tickInterval is the pace at which the loop looks at the clock.
const tickInterval = 50 * time.Millisecond

// firstTickInterval is that pace while no configuration is held.
const firstTickInterval = 20 * time.Millisecond

// loop owns the state of a Syncer.
type loop struct {
	syncer  *Syncer
	ctx     context.Context
	workers *conc.WaitGroup
	state   *freshness.State
	view    *view.View
	leaving bool
	tick    *time.Ticker
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
	l.renew.control = s.opts.Control
	l.renew.avoid = make(map[string]time.Duration)
	return l
}

func (l *loop) run() {
	tick := time.NewTicker(firstTickInterval)
	defer tick.Stop()
	l.tick = tick
	defer l.stopRenewal()
	l.startRenewal()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
			l.onTick()
		case ev := <-l.syncer.events:
			l.handle(ev)
		}
	}
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

func (l *loop) onTick() {
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
	before := l.state.Accepted()
	l.state.Accept(accepted)
	l.publish()
	if l.view == nil || !changed && l.state.Accepted() == before {
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
	if l.view == nil {
		l.tick.Reset(tickInterval)
	}
	l.view = view.New(cfg)
	l.syncer.opts.Log.Log(event.ConfigAdopted).Uint64("revision", cfg.Revision).Send()
	return true
}

func keysOf(cfg *catalogpb.Config) []freshness.Key {
	set := catalog.Set(cfg)
	keys := make([]freshness.Key, len(set))
	for i, k := range set {
		keys[i] = freshness.Key{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return keys
}

// publish shows the state to traffic goroutines.
func (l *loop) publish() {
	h := &held{
		view:     l.view,
		deadline: l.state.Deadline(),
		accepted: l.state.Accepted(),
		synced:   l.state.Synced(),
	}
	if *h != *l.syncer.held.Load() {
		l.syncer.held.Store(h)
	}
}
