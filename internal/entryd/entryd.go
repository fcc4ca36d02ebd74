// Package entryd runs an entry VM: it serves callers, takes announcements of
// upstreams, dispatches the cells assigned to it and keeps claims.
package entryd

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/baseline"
	"balsamcourse.example/balsamcourse/internal/claims"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/dispatcher"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Options holds what an entry VM needs beyond its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// DialPeer and DialUpstream open connections; nil uses the network.
	DialPeer     httpnet.DialFunc
	DialUpstream forward.DialFunc
}

// Daemon is a running entry VM.
type Daemon struct {
	settings settings.Entry
	opts     Options
	log      event.Logger
	metrics  *telemetry.Metrics
	entry    *telemetry.EntryMetrics
	tracing  *telemetry.Tracing
	keys     keys
	self     *catalogpb.Entry

	life       *lifecycle
	upstreams  *http.Transport
	config     *configsync.Syncer
	dispatcher *dispatcher.Server
	slots      *slot.Client
	// baseline grants slots in place of the cells under another policy.
	baseline *baseline.Source
	claims   *claims.Service
	gossip   *gossip.Service
	callers  *callerSide
	servers  listeners
	workers  conc.WaitGroup
}

// keys are the key files of an entry VM; nil ones let every call pass.
type keys struct {
	upstreams *access.Keys
	cluster   *access.Keys
}

// keyReload is the interval at which key files are checked for changes.
const keyReload = 2 * time.Second

// Run runs an entry VM until planned is closed or ctx ends. Closing planned
// finishes the calls in flight; the end of ctx cuts them off.
func Run(ctx context.Context, planned <-chan struct{}, s settings.Entry, o Options) error {
	d, err := newDaemon(ctx, s, o)
	if err != nil {
		return errors.Trace(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.build(runCtx)
	if err := d.listen(); err != nil {
		return errors.Trace(err)
	}
	d.start(runCtx)
	d.step(eventListening)
	d.log.Log(event.Started).Str("callers", s.CallerAddress).Send()
	select {
	case <-ctx.Done():
	case <-planned:
		d.leave(ctx)
	}
	d.close(ctx, cancel)
	return nil
}

func newDaemon(ctx context.Context, s settings.Entry, o Options) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	tracing, err := telemetry.NewTracing(ctx, s.Trace, "entry", s.ID)
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Daemon{
		settings: s,
		opts:     o,
		log:      event.NewLogger(o.Logs, level, "entry", s.ID),
		metrics:  telemetry.NewMetrics("entry", s.ID),
		tracing:  tracing,
		life:     newLifecycle(),
		self: &catalogpb.Entry{
			Id:            s.ID,
			Zone:          s.Zone,
			Region:        s.Region,
			CallerAddress: s.CallerAddress,
			// The start time grows with each start of the process.
			Incarnation:    uint64(time.Now().UnixNano()),
			ClusterAddress: s.ClusterAddress,
		},
	}
	d.entry = telemetry.NewEntryMetrics(d.metrics.Scope)
	if s.AuthDisabled {
		return d, nil
	}
	if d.keys.upstreams, err = access.Load(s.Keys.UpstreamsFile); err != nil {
		return nil, errors.Trace(err)
	}
	if d.keys.cluster, err = access.Load(s.Keys.ClusterFile); err != nil {
		return nil, errors.Trace(err)
	}
	return d, nil
}

// client returns a client for calls to other processes of the system.
func (d *Daemon) client(base *http.Client) *http.Client {
	base.Transport = access.NewTransport(d.keys.cluster, d.tracing.Transport(base.Transport))
	return base
}

// start runs the background work until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	d.workers.Go(func() { d.config.Run(ctx) })
	d.workers.Go(func() { d.dispatcher.Run(ctx) })
	d.workers.Go(func() { d.slots.Run(ctx) })
	if d.baseline != nil {
		d.workers.Go(func() { d.baseline.Run(ctx) })
	}
	d.workers.Go(func() { d.claims.Run(ctx) })
	d.workers.Go(func() { d.gossip.Run(ctx) })
	d.workers.Go(func() { d.watchFreshness(ctx) })
	for _, k := range []*access.Keys{d.keys.upstreams, d.keys.cluster} {
		if k != nil {
			d.workers.Go(func() { k.Watch(ctx, keyReload, d.log) })
		}
	}
}

// watchFreshness follows whether the configuration is confirmed.
func (d *Daemon) watchFreshness(ctx context.Context) {
	wait.Every(ctx, freshnessEvery, d.noteFreshness)
}

// freshnessEvery is the interval at which the state of the lease is noted.
const freshnessEvery = 100 * time.Millisecond

func (d *Daemon) noteFreshness() {
	d.entry.InFlight.Update(float64(d.callers.limiter.Total()))
	if v := d.config.View(); v != nil {
		d.entry.Revision.Update(float64(v.Revision()))
	}
	if d.config.Fresh() {
		d.entry.Fresh.Update(1)
		d.step(eventSynced)
		return
	}
	d.entry.Fresh.Update(0)
	d.step(eventLeaseLost)
}
