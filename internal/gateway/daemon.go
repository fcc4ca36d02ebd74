package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/admit"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/lookup"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upconn"
	"balsamcourse.example/balsamcourse/internal/view"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Options holds what a gateway needs beyond its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// Headers names the headers; the zero value is DefaultHeaders.
	Headers Headers
	// ExtraListeners returns further listeners; nil means none.
	ExtraListeners func(*Daemon) []httpnet.Service
	// Seeds returns the seeds as the settings name them now; nil means those
	// of the start.
	Seeds func() []string
	// Dial opens connections to upstreams; nil uses the network.
	Dial upconn.Dialer
}

// Daemon is a running gateway.
type Daemon struct {
	settings settings.Gateway
	opts     Options
	log      event.Logger
	metrics  *telemetry.Metrics
	shown    *telemetry.GatewayMetrics
	keys     *access.Keys

	world   *world
	conns   *upconn.Pool
	config  *configsync.Syncer
	gossip  *gossip.Service
	limiter *admit.Limiter
	callers *httpnet.Server
	servers []*httpnet.Server
	// leaving is set when the stop has begun, closed when no new calls are
	// taken any more.
	leaving, closed atomic.Bool
	// controlLost is set while control does not answer; sweep owns it.
	controlLost bool
	workers     conc.WaitGroup
}

// Times of a gateway.
const (
	sweepEvery      = time.Second
	shutdownTimeout = time.Second
	// controlLostAfter is longer than a renewal may be held and answered.
	controlLostAfter = 2 * time.Second
	keyReload        = 2 * time.Second
	// peerDialTimeout bounds a connection to another VM of the system. VMs are
	// within 1 ms of each other; one that is dark answers nothing, and another
	// must then be asked soon.
	peerDialTimeout = 200 * time.Millisecond
)

// Run runs a gateway until planned is closed or ctx ends. Closing planned
// finishes the calls in flight; the end of ctx cuts them off.
func Run(ctx context.Context, planned <-chan struct{}, s settings.Gateway, o Options) error {
	d, err := newDaemon(s, o)
	if err != nil {
		return errors.Trace(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.listen(); err != nil {
		return errors.Trace(err)
	}
	d.start(runCtx)
	d.log.Log(event.Started).Str("callers", s.CallerAddress).Send()
	select {
	case <-ctx.Done():
	case <-planned:
		d.leave(ctx)
	}
	d.close(cancel)
	return nil
}

func newDaemon(s settings.Gateway, o Options) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if o.Headers.ParseLoad == nil {
		o.Headers = DefaultHeaders()
	}
	d := &Daemon{
		settings: s,
		opts:     o,
		log:      event.NewLogger(o.Logs, level, "gateway", s.ID),
		metrics:  telemetry.NewMetrics("gateway", s.ID),
		conns:    upconn.NewPool(o.Dial),
		limiter:  admit.NewLimiter(s.Limits.MaxInFlight),
	}
	d.shown = telemetry.NewGatewayMetrics(d.metrics.Scope)
	if !s.TrustNetwork {
		if d.keys, err = access.Load(s.ClusterFile); err != nil {
			return nil, errors.Trace(err)
		}
	}
	d.build()
	return d, nil
}

// build connects the parts. Nothing runs yet.
func (d *Daemon) build() {
	s := d.settings
	self := &catalogpb.Entry{
		Id:             s.ID,
		Zone:           s.Zone,
		Region:         s.Region,
		CallerAddress:  s.CallerAddress,
		ClusterAddress: s.ClusterAddress,
		// The start time grows with each start of the process.
		Incarnation: uint64(time.Now().UnixNano()),
		ServesStale: true,
	}
	d.world = newWorld(s.ID, s.Zone, s.ColdShare, retry.Limits{
		Ratio:  s.Retry.Ratio,
		Slack:  s.Retry.Slack,
		Window: s.Retry.WindowMs.Duration(),
	})
	client := httpnet.NewClient(httpnet.DialWithin(peerDialTimeout))
	client.Transport = access.NewTransport(d.keys, client.Transport)
	d.config = configsync.New(configsync.Options{
		Entry:       self,
		Control:     s.Control,
		Seeds:       d.opts.Seeds,
		Client:      client,
		Log:         d.log,
		ServesStale: true,
	})
	d.world.reachable = d.config.Reachable
	d.gossip = gossip.New(gossip.Options{
		EntryID:     s.ID,
		Incarnation: self.Incarnation,
		Client:      client,
		Limits: quarantine.Limits{
			Threshold:  s.Quarantine.Threshold,
			Hold:       s.Quarantine.HoldMs.Duration(),
			MaxReports: s.Quarantine.MaxRequests,
		},
		Logger: d.log,
	})
	d.config.OnChange(func(v *view.View) {
		d.world.adopt(v)
		d.gossip.OnConfig(v)
	})
}

// Ready reports whether callers may be sent here: a desired state is held and
// no stop has begun.
func (d *Daemon) Ready() bool { return d.world.table.Load() != nil && !d.leaving.Load() }

// EntryAddresses returns the addresses that a caller in the zone should use, and for
// how long it may keep them; none while no configuration is held.
func (d *Daemon) EntryAddresses(zone, caller string) ([]string, time.Duration) {
	v := d.config.View()
	if v == nil {
		return nil, 0
	}
	named := lookup.Named(v.Config.Entries, lookup.Preference{
		Zone:    zone,
		Caller:  caller,
		PerZone: lookup.PerZone(d.settings.NamedPerZone, d.settings.LinkMbps, d.settings.CPUShare),
		Usable: func(e *catalogpb.Entry) bool {
			if e.Id == d.settings.ID {
				return !d.leaving.Load()
			}
			return !e.Leaving && d.config.Reachable(e.Id)
		},
	})
	return named, d.settings.LookupTTLMs.Duration()
}

func (d *Daemon) listen() error {
	s := d.settings
	cluster := http.NewServeMux()
	cluster.Handle(clusterpb.DistributionPathPrefix, d.config.Handler())
	cluster.Handle(clusterpb.GossipPathPrefix, d.gossip.Handler())
	if err := d.open(s.ClusterListen, httpnet.Limits{}, access.NewGuard(d.keys, d.log, nil).Wrap(cluster)); err != nil {
		return err
	}
	if d.opts.ExtraListeners != nil {
		for _, l := range d.opts.ExtraListeners(d) {
			if err := d.open(l.Address, httpnet.Limits{}, l.Handler); err != nil {
				return err
			}
		}
	}
	if s.MetricsListen != "" {
		if err := d.open(s.MetricsListen, httpnet.Limits{}, d.metrics.Handler()); err != nil {
			return err
		}
	}
	if err := d.open(s.CallerListen, s.Limits.Listener(), d.callerHandler()); err != nil {
		return err
	}
	d.callers = d.servers[len(d.servers)-1]
	return nil
}

func (d *Daemon) open(address string, limits httpnet.Limits, h http.Handler) error {
	s, err := httpnet.Open(d.log, address, h, limits)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

func (d *Daemon) callerHandler() http.Handler {
	calls := newForwarder(d.world, d.conns, ForwarderOptions{
		Headers:         d.opts.Headers,
		Crashes:         d.gossip,
		Limiter:         d.limiter,
		Metrics:         d.shown,
		Events:          d.log,
		Leaving:         d.closed.Load,
		BodyIdleTimeout: d.settings.Limits.ReadBodyTimeoutMs.Duration(),
	})
	return httpnet.Recover(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		calls.ServeHTTP(w, r)
	}), crash.Answer(d.log))
}

func (d *Daemon) start(ctx context.Context) {
	crash.Go(&d.workers, func() { d.config.Run(ctx) })
	crash.Go(&d.workers, func() { d.gossip.Run(ctx) })
	crash.Go(&d.workers, func() { wait.Every(ctx, sweepEvery, d.sweep) })
	if d.keys != nil {
		crash.Go(&d.workers, func() { d.keys.Watch(ctx, keyReload, d.log) })
	}
}

// sweep closes connections that have been idle for too long or lead to
// upstreams that have left.
func (d *Daemon) sweep() {
	known := make(map[string]bool)
	if cfg := d.world.config.Load(); cfg != nil {
		for _, u := range cfg.Upstreams {
			known[u.Address] = u.State == catalogpb.UpstreamState_UPSTREAM_STATE_READY
		}
	}
	d.conns.CloseStale(func(address string) bool { return known[address] })
	d.show()
	d.noteControl()
}

// show renews the gauges.
func (d *Daemon) show() {
	m := d.shown
	m.InFlight.Update(float64(d.limiter.Total()))
	m.Unheard.Update(d.config.Unheard().Seconds())
	m.LinesDropped.Update(float64(event.Dropped(d.opts.Logs)))
	cfg := d.world.config.Load()
	if cfg == nil {
		return
	}
	m.Revision.Update(float64(cfg.Revision))
	m.StateVersion.Update(float64(cfg.StateVersion))
	for _, p := range cfg.Pools {
		d.world.show(p.Name, m.Pool(p.Name))
	}
}

// noteControl logs when control is lost and regained.
func (d *Daemon) noteControl() {
	unheard := d.config.Unheard()
	lost := unheard > controlLostAfter
	if lost == d.controlLost {
		return
	}
	d.controlLost = lost
	e := event.ControlRegained
	if lost {
		e = event.ControlLost
	}
	line := d.log.Log(e).Uint64("unheard_ms", uint64(unheard.Milliseconds()))
	if cfg := d.world.config.Load(); cfg != nil {
		line.Uint64("version", cfg.StateVersion).Uint64("revision", cfg.Revision)
	}
	line.Send()
}

// leave carries out a planned stop: look-ups stop naming this gateway, which
// serves on for as long as callers may keep an answer, then takes no new calls
// and finishes those in flight.
func (d *Daemon) leave(ctx context.Context) {
	begun := time.Now()
	d.log.Log(event.Stopping).Send()
	d.leaving.Store(true)
	d.config.SetLeaving()
	if !wait.For(ctx, d.settings.ServeMs.Duration()) {
		return
	}
	d.closed.Store(true)
	limited, cancel := context.WithDeadline(ctx, begun.Add(d.settings.StopMs.Duration()))
	defer cancel()
	// Stops listening and closes idle connections at once.
	if err := d.callers.Shutdown(limited); err != nil {
		d.log.Log(event.StoppedHard).Uint64("calls_cut", uint64(d.limiter.Total())).Err(err).Send()
	}
}

// close stops the listeners and the background work.
func (d *Daemon) close(cancel context.CancelFunc) {
	limited, done := context.WithTimeout(context.Background(), shutdownTimeout)
	defer done()
	for _, s := range d.servers {
		_ = s.Close()
	}
	cancel()
	ended := make(chan struct{})
	go func() {
		d.workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-limited.Done():
	}
	_ = d.metrics.Close()
	d.log.Log(event.Stopped).Send()
}
