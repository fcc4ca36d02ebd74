package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/admission"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/lookup"
	"balsamcourse.example/balsamcourse/internal/organisation"
	"balsamcourse.example/balsamcourse/internal/quarantine"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/retry"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Options holds what a gateway needs beyond its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// Headers holds the header names; without ParseLoad, DefaultHeaders is used.
	Headers Headers
	// ExtraListeners returns services that the gateway serves on addresses of
	// their own; nil means none.
	ExtraListeners func(*Daemon) []httpnet.Endpoint
	// Seeds returns the addresses of control VMs as the settings list them now;
	// nil means that they do not change after the start.
	Seeds func() []string
	// Dial opens connections to upstreams; nil means TCP over IPv4.
	Dial upstreamconn.Dialer
}

// Daemon is a running gateway.
type Daemon struct {
	settings       settings.Gateway
	opts           Options
	log            event.Logger
	metrics        *telemetry.Metrics
	gatewayMetrics *telemetry.GatewayMetrics
	keys           *access.Keys

	state     *state
	conns     *upstreamconn.Pool
	forwarder *Forwarder
	// client calls other processes of the system.
	client *http.Client
	// peerDial opens connections to other VMs of the system.
	peerDial     httpnet.DialFunc
	config       *configsync.Syncer
	gossip       *gossip.Service
	limiter      *admission.Limiter
	callerServer *httpnet.Server
	servers      []*httpnet.Server
	// budget bounds what is held for callers and for clients of the extra listeners.
	budget        *httpnet.Budget
	clientMetrics *telemetry.ClientMetrics
	// clusterRPCs counts the calls of other processes of the system.
	clusterRPCs *telemetry.RPCs
	// stopping is set when a planned stop begins, closed when new calls are
	// refused.
	stopping, closed atomic.Bool
	// incarnation is that of the process.
	incarnation uint64
	// controlLost is set while control does not answer. Only runHousekeeping uses
	// it.
	controlLost bool
	workers     conc.WaitGroup
	// background ends when the gateway is closed.
	background     context.Context
	stopBackground context.CancelFunc
}

const (
	housekeepingInterval = time.Second
	shutdownTimeout      = time.Second
	// drainPollInterval is the interval at which a gateway that stops checks for calls
	// in flight.
	drainPollInterval = 20 * time.Millisecond
	// gossipFanout is the number of gateways that crash reports are pushed to. With
	// three, 449 gateways know of a report after six steps.
	gossipFanout = 3
	// controlLostAfter is longer than control may take to answer a renewal, which
	// it holds open until something changes.
	controlLostAfter  = 2 * time.Second
	keyReloadInterval = 2 * time.Second
	// peerDialTimeout bounds the dialling of another VM of the system. VMs are
	// within 1 ms of each other. One that is down does not refuse the connection,
	// and another must then be tried soon.
	peerDialTimeout = 200 * time.Millisecond
)

// Run runs a gateway until planned is closed or ctx ends. When planned is
// closed, the calls in flight are finished; when ctx ends, they are aborted. It
// returns an error if the settings are invalid or a listener cannot be opened.
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
		d.stopGracefully(ctx)
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
		conns:    upstreamconn.NewPool(o.Dial),
		limiter:  admission.NewLimiter(s.Limits.MaxInFlight),
	}
	d.gatewayMetrics = telemetry.NewGatewayMetrics(d.metrics.Scope)
	d.budget = s.Limits.ClientBudget()
	d.clientMetrics = telemetry.NewClientMetrics(d.metrics.Scope)
	d.background, d.stopBackground = context.WithCancel(context.Background())
	if !s.TrustNetwork {
		if d.keys, err = access.Load(s.ClusterKeysFile); err != nil {
			return nil, errors.Trace(err)
		}
	}
	d.build()
	return d, nil
}

// build creates the components of the gateway without starting them.
func (d *Daemon) build() {
	s := d.settings
	self := &catalogpb.Entry{
		Id:             s.ID,
		Zone:           s.Zone,
		Region:         s.Region,
		CallerAddress:  s.CallerAddress,
		ClusterAddress: s.ClusterAddress,
		// The start time increases with each restart of the process.
		Incarnation: uint64(time.Now().UnixNano()),
		ServesStale: true,
	}
	d.state = newState(s.ID, s.Zone, s.ColdShare, retry.Limits{
		Ratio:  s.Retry.Ratio,
		Slack:  s.Retry.Slack,
		Window: s.Retry.WindowMs.Duration(),
	})
	d.state.events = d.log
	d.state.versions = newVersions(s.Rollout, rand.Float64)
	d.incarnation = self.Incarnation
	d.peerDial = httpnet.DialWithTimeout(peerDialTimeout)
	connections := httpnet.NewConnections(d.peerDial)
	d.client = httpnet.NewClient(connections.Dial)
	d.client.Transport = access.NewTransport(d.keys, d.client.Transport)
	d.config = configsync.New(configsync.Options{
		Entry:            self,
		ControlAddresses: s.Control,
		Seeds:            d.opts.Seeds,
		Client:           d.client,
		CloseConnections: connections.Close,
		Log:              d.log,
		ServesStale:      true,
		RenewInterval:    organisation.RenewInterval(s.RevokeWithinMs.Duration()),
		RolloutEvidence:  d.state.rolloutEvidence,
		Convictions:      func() []*clusterpb.ConvictionReport { return d.gossip.ConvictionReports() },
	})
	d.state.reachable = d.config.Reachable
	d.state.sinceNewest = d.config.SinceNewest
	d.state.awaitRefresh = d.config.AwaitRefresh
	d.state.maxDenialAge = denialAge(s.ApplyWithinMs.Duration())
	d.state.setAllotmentBounds(s.Allotment.Bounds())
	d.state.keyBounds = organisation.NewBounds(s.RevokeWithinMs.Duration())
	d.state.isolated = d.config.Isolated
	d.state.allRestarted = d.config.AllRestarted
	d.gossip = gossip.New(gossip.Options{
		EntryID:     s.ID,
		Incarnation: self.Incarnation,
		Client:      d.client,
		Limits: quarantine.Limits{
			Threshold:  s.Quarantine.Threshold,
			Hold:       s.Quarantine.HoldMs.Duration(),
			MaxReports: s.Quarantine.MaxRequests,
		},
		Logger:    d.log,
		Fanout:    gossipFanout,
		Reachable: d.config.Reachable,
	})
	d.config.OnLease(d.state.recordLease)
	d.config.OnChange(func(v *configview.View) {
		// The first configuration lets callers in: convictions must hold by then.
		d.gossip.OnConfig(v)
		d.state.applyConfig(v)
	})
}

// dialGateway opens a connection to another gateway.
func (d *Daemon) dialGateway(ctx context.Context, address string) (net.Conn, error) {
	return d.peerDial(ctx, "tcp4", address)
}

// Ready reports whether callers may be sent to this gateway: it has a desired
// state, no stop has begun, and it or others can carry calls to upstreams, unless
// all gateways have lost them.
func (d *Daemon) Ready() bool {
	return d.state.routes.Load() != nil && !d.stopping.Load() && d.forwarder.canServe()
}

// EntryAddresses returns the addresses of gateways that a caller in the zone
// should use, and how long it may cache them. It returns none before the first
// configuration.
func (d *Daemon) EntryAddresses(zone, caller string) ([]string, time.Duration) {
	v := d.config.View()
	if v == nil {
		return nil, 0
	}
	selection := lookup.Selection{
		Zone:           zone,
		Caller:         caller,
		EntriesPerZone: lookup.EntriesPerZone(d.settings.NamedPerZone, d.settings.LinkMbps, d.settings.CPUShare),
	}
	live := func(e *catalogpb.Entry) bool {
		if e.Id == d.settings.ID {
			return !d.stopping.Load()
		}
		return !e.Leaving && d.config.Reachable(e.Id)
	}
	selection.Usable = func(e *catalogpb.Entry) bool { return live(e) && !d.isIsolated(e.Id) }
	addresses := lookup.SelectAddresses(v.Config.Entries, selection)
	if len(addresses) == 0 {
		// All have lost the upstreams, which shows nothing about the gateways.
		selection.Usable = live
		addresses = lookup.SelectAddresses(v.Config.Entries, selection)
	}
	return addresses, d.settings.LookupTTLMs.Duration()
}

// isIsolated reports whether the gateway has no way to any upstream.
func (d *Daemon) isIsolated(id string) bool {
	if id == d.settings.ID {
		return d.forwarder.upstreamsLost() != reach.None
	}
	return d.config.Isolated(id)
}

func (d *Daemon) listen() error {
	s := d.settings
	d.forwarder = d.newForwarder()
	cluster := http.NewServeMux()
	cluster.Handle(clusterpb.DistributionPathPrefix, d.config.Handler())
	cluster.Handle(clusterpb.GossipPathPrefix, d.gossip.Handler())
	cluster.Handle(clusterpb.PermitsPathPrefix, clusterpb.NewPermitsServer(&permitServer{state: d.state, log: d.log}))
	cluster.Handle(clusterpb.TrialsPathPrefix, clusterpb.NewTrialsServer(&trialServer{state: d.state, crashes: d.gossip}))
	cluster.Handle(clusterpb.AllotmentsPathPrefix, clusterpb.NewAllotmentsServer(&allotmentServer{state: d.state}))
	d.clusterRPCs = telemetry.CountRPCs(d.metrics, cluster)
	processes := http.NewServeMux()
	processes.Handle("/", d.clusterRPCs)
	processes.Handle(RelayPath, d.budget.Wrap(httpnet.Recover(d.forwarder.RelayHandler(), crash.PanicHandler(d.log))))
	// Relayed calls have the headers of callers.
	limits := httpnet.Limits{MaxHeaderBytes: max(s.Limits.MaxHeaderBytes, maxHeaderBytes) + relayHeaderBytes}
	if err := d.openListener(s.ClusterListen, limits, access.NewAuthenticator(d.keys, d.log, nil).Wrap(processes)); err != nil {
		return err
	}
	if d.opts.ExtraListeners != nil {
		for _, l := range d.opts.ExtraListeners(d) {
			if err := d.openListener(l.Address, httpnet.Limits{Budget: d.budget}, l.Handler); err != nil {
				return err
			}
		}
	}
	if s.MetricsListen != "" {
		if err := d.openListener(s.MetricsListen, httpnet.Limits{Budget: d.budget}, d.metrics.Handler()); err != nil {
			return err
		}
	}
	if err := d.openListener(s.CallerListen, d.callerLimits(), d.callerHandler()); err != nil {
		return err
	}
	d.callerServer = d.servers[len(d.servers)-1]
	return nil
}

func (d *Daemon) openListener(address string, limits httpnet.Limits, h http.Handler) error {
	s, err := httpnet.ListenLogged(d.log, address, h, limits)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

// newForwarder returns the forwarder of this gateway.
func (d *Daemon) newForwarder() *Forwarder {
	return newForwarder(d.state, d.conns, ForwarderOptions{
		Headers: d.opts.Headers,
		Crashes: d.gossip,
		Limiter: d.limiter,
		Metrics: d.gatewayMetrics,
		Events:  d.log,
		Closed:  d.closed.Load,
		Permits: func(address string) clusterpb.Permits {
			return clusterpb.NewPermitsProtobufClient("http://"+address, d.client)
		},
		Trials: func(address string) clusterpb.Trials {
			return clusterpb.NewTrialsProtobufClient("http://"+address, d.client)
		},
		Allotments: func(address string) clusterpb.Allotments {
			return clusterpb.NewAllotmentsProtobufClient("http://"+address, d.client)
		},
		ReportLost:      d.config.SetIsolated,
		DialGateway:     d.dialGateway,
		Authorize:       func(h http.Header) { access.SetKey(h, d.keys) },
		Context:         d.background,
		Budget:          d.budget,
		BodyIdleTimeout: d.settings.Limits.ReadBodyTimeoutMs.Duration(),
	})
}

func (d *Daemon) callerHandler() http.Handler {
	return httpnet.CloseWhenLeaving(httpnet.Recover(d.forwarder, crash.PanicHandler(d.log)), d.stopping.Load)
}

func (d *Daemon) start(ctx context.Context) {
	crash.Go(&d.workers, func() { d.config.Run(ctx) })
	crash.Go(&d.workers, func() { d.gossip.Run(ctx) })
	crash.Go(&d.workers, func() { wait.Every(ctx, housekeepingInterval, d.runHousekeeping) })
	if d.settings.Rollout.Enabled() {
		crash.Go(&d.workers, func() { d.state.reportEvidence(ctx, d.sendEvidence) })
	}
	crash.Go(&d.workers, func() {
		wait.Every(ctx, telemetry.RPCLogInterval, func() { d.clusterRPCs.LogTotals(d.log) })
	})
	if d.keys != nil {
		crash.Go(&d.workers, func() { d.keys.Watch(ctx, keyReloadInterval, d.log) })
	}
}

// sendEvidence reports evidence on roll-outs to one control VM, and if that does not
// answer to another one.
func (d *Daemon) sendEvidence(ctx context.Context, evidence []*clusterpb.RolloutEvidence) error {
	req := &clusterpb.ReportEvidenceRequest{Entry: d.settings.ID, Incarnation: d.incarnation, Evidence: evidence}
	err := errors.New("no address of a control VM is known")
	for _, address := range d.config.ControlTargets(reportAttempts) {
		attempt, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err = clusterpb.NewRolloutsProtobufClient("http://"+address, d.client).Report(attempt, req)
		cancel()
		if err == nil {
			return nil
		}
	}
	return errors.Trace(err)
}

// reportAttempts is the number of control VMs to which one report is sent until one
// answers.
const reportAttempts = 2

// runHousekeeping closes connections that have been idle for too long or lead to
// upstreams that are not ready, and updates metrics and log.
func (d *Daemon) runHousekeeping() {
	known := make(map[string]bool)
	if cfg := d.state.config.Load(); cfg != nil {
		for _, u := range cfg.Upstreams {
			known[u.Address] = u.State == catalogpb.UpstreamState_UPSTREAM_STATE_READY
		}
	}
	d.conns.CloseStale(func(address string) bool { return known[address] })
	d.updateMetrics()
	d.clientMetrics.Report(d.budget, d.log)
	d.dropStalledWhileWaiting()
	d.forwarder.checkLimits()
	d.state.reportLimitedLoads(d.gatewayMetrics, d.log)
	d.state.reportRetries(d.log)
	d.forwarder.reportAllotments()
	d.logControlState()
}

// updateMetrics sets the gauges.
func (d *Daemon) updateMetrics() {
	m := d.gatewayMetrics
	m.InFlight.Update(float64(d.limiter.Total()))
	m.ConfigAge.Update(d.config.SinceControlContact().Seconds())
	m.ConfigUnconfirmed.Update(d.config.SinceNewest().Seconds())
	m.LogLinesDropped.Update(float64(event.DroppedLines(d.opts.Logs)))
	cfg := d.state.config.Load()
	if cfg == nil {
		return
	}
	m.Revision.Update(float64(cfg.Revision))
	m.StateVersion.Update(float64(cfg.StateVersion))
	for _, p := range cfg.Pools {
		d.state.updatePoolMetrics(p.Name, m.Pool(p.Name))
	}
}

// logControlState logs when control stops answering and when it answers again.
func (d *Daemon) logControlState() {
	sinceContact := d.config.SinceControlContact()
	lost := sinceContact > controlLostAfter
	if lost == d.controlLost {
		return
	}
	d.controlLost = lost
	e := event.ControlRegained
	if lost {
		e = event.ControlLost
	}
	line := d.log.Log(e).Uint64("unheard_ms", uint64(sinceContact.Milliseconds()))
	if cfg := d.state.config.Load(); cfg != nil {
		line.Uint64("version", cfg.StateVersion).Uint64("revision", cfg.Revision)
	}
	line.Send()
}

// close stops the listeners and the background work, for which it waits up to
// shutdownTimeout.
func (d *Daemon) close(cancel context.CancelFunc) {
	closeCtx, done := context.WithTimeout(context.Background(), shutdownTimeout)
	defer done()
	for _, s := range d.servers {
		_ = s.Close()
	}
	cancel()
	d.stopBackground()
	workersDone := make(chan struct{})
	go func() {
		d.workers.Wait()
		close(workersDone)
	}()
	select {
	case <-workersDone:
	case <-closeCtx.Done():
	}
	_ = d.metrics.Close()
	d.log.Log(event.Stopped).Send()
}
