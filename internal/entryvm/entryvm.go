// Package entryvm runs an entry VM. It forwards requests of callers to upstreams,
// receives announcements of upstreams, grants slots for the cells assigned to it
// and stores claims.
package entryvm

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
	"balsamcourse.example/balsamcourse/internal/claimservice"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Options configures an entry VM beyond its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// DialPeer opens connections to other VMs, DialUpstream to upstreams. A nil
	// function dials over the network.
	DialPeer     httpnet.DialFunc
	DialUpstream forward.DialFunc
}

// Daemon is a running entry VM.
type Daemon struct {
	settings     settings.Entry
	opts         Options
	log          event.Logger
	metrics      *telemetry.Metrics
	entryMetrics *telemetry.EntryMetrics
	// budget bounds what is held for callers and upstreams.
	budget        *httpnet.Budget
	clientMetrics *telemetry.ClientMetrics
	tracing       *telemetry.Tracing
	keys          keys
	self          *catalogpb.Entry

	lifecycle  *lifecycle
	upstreams  *http.Transport
	config     *configsync.Syncer
	dispatcher *dispatchserver.Server
	slots      *slot.Client
	// baseline grants slots under policies that do not use cells; nil otherwise.
	baseline *baseline.Allocator
	claims   *claimservice.Service
	gossip   *gossip.Service
	callers  *callerFrontend
	servers  listeners
	workers  conc.WaitGroup
}

// keys holds the API keys of upstreams and of the VMs of the system. A nil field
// disables authentication for its listener.
type keys struct {
	upstreams *access.Keys
	cluster   *access.Keys
}

// keyReloadInterval is the interval at which the key files are checked for changes.
const keyReloadInterval = 2 * time.Second

// Run runs an entry VM until gracefulStop is closed or ctx ends. After gracefulStop
// it finishes the calls in flight; the end of ctx aborts them. It returns an error
// if a key file is invalid, an address cannot be listened on, or the log level or
// the trace exporter cannot be set up.
func Run(ctx context.Context, gracefulStop <-chan struct{}, s settings.Entry, o Options) error {
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
	d.applyLifecycleEvent(eventListening)
	d.log.Log(event.Started).Str("callers", s.CallerAddress).Send()
	select {
	case <-ctx.Done():
	case <-gracefulStop:
		d.stopGracefully(ctx)
	}
	d.shutdown(ctx, cancel)
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
		settings:  s,
		opts:      o,
		log:       event.NewLogger(o.Logs, level, "entry", s.ID),
		metrics:   telemetry.NewMetrics("entry", s.ID),
		tracing:   tracing,
		lifecycle: newLifecycle(),
		self: &catalogpb.Entry{
			Id:            s.ID,
			Zone:          s.Zone,
			Region:        s.Region,
			CallerAddress: s.CallerAddress,
			// The start time, so that each start has a higher incarnation.
			Incarnation:    uint64(time.Now().UnixNano()),
			ClusterAddress: s.ClusterAddress,
		},
	}
	d.entryMetrics = telemetry.NewEntryMetrics(d.metrics.Scope)
	d.budget = s.Limits.ClientBudget()
	d.clientMetrics = telemetry.NewClientMetrics(d.metrics.Scope)
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

// client adds authentication with the cluster keys and tracing to a client for
// calls to other VMs.
func (d *Daemon) client(base *http.Client) *http.Client {
	base.Transport = access.NewTransport(d.keys.cluster, d.tracing.Transport(base.Transport))
	return base
}

// start starts the background work, which runs until ctx ends.
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
			d.workers.Go(func() { k.Watch(ctx, keyReloadInterval, d.log) })
		}
	}
}

// watchFreshness calls recordFreshness periodically until ctx ends.
func (d *Daemon) watchFreshness(ctx context.Context) {
	wait.Every(ctx, freshnessInterval, d.recordFreshness)
}

// freshnessInterval is the interval at which the configuration lease is checked.
const freshnessInterval = 100 * time.Millisecond

// recordFreshness updates the gauges for calls in flight, revision and freshness. It
// applies eventSynced if the configuration is fresh, and eventLeaseLost otherwise.
func (d *Daemon) recordFreshness() {
	d.clientMetrics.Report(d.budget, d.log)
	d.entryMetrics.InFlight.Update(float64(d.callers.limiter.Total()))
	if v := d.config.View(); v != nil {
		d.entryMetrics.Revision.Update(float64(v.Revision()))
	}
	if d.config.Fresh() {
		d.entryMetrics.Fresh.Update(1)
		d.applyLifecycleEvent(eventSynced)
		return
	}
	d.entryMetrics.Fresh.Update(0)
	d.applyLifecycleEvent(eventLeaseLost)
}
