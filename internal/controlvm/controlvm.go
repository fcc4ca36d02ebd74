// Package controlvm implements the control daemon, the process of a control VM:
// its replica of the control log, and the services for operators and entry VMs.
package controlvm

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/replica"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// transferTimeout bounds the transfer of leadership and of the vote before a planned
	// stop, which an election may have to precede. Together
	// with shutdownTimeout it is shorter than the 6 s after which a process that stops is
	// killed.
	transferTimeout = 3250 * time.Millisecond
	// shutdownTimeout bounds the closing of listeners, replica and traces.
	shutdownTimeout = 2250 * time.Millisecond
	// finishTimeout is the part of it for which orders and renewals in progress may still
	// end by themselves. Those that wait longer, such as for a quorum or for the
	// acceptance of a change, are then answered that this VM is stopping.
	finishTimeout = time.Second
	// keyReloadInterval is the interval at which the key files are checked for
	// changes.
	keyReloadInterval = 2 * time.Second
	// maxOrderBytes bounds the body of an order of an operator: a desired state with its
	// source, which has at most 64 MiB.
	maxOrderBytes = 128 << 20
	// orderCopies is the number of copies of it that are held at a time.
	orderCopies = 2
)

// Daemon is a running control daemon.
type Daemon struct {
	settings settings.Control
	opts     Options
	started  time.Time
	log      event.Logger
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	keys     keys
	node     *replica.Node
	peers    *replica.TwirpTransport
	control  *control.Server
	client   *http.Client
	servers  []*httpnet.Server
	// requests ends when requests in progress must be answered because of a stop.
	requests    context.Context
	endRequests context.CancelFunc
	// clusterRPCs counts the calls of other processes of the system.
	clusterRPCs *telemetry.RPCs
	// budget bounds what is held for operators and upstreams.
	budget *httpnet.Budget
}

// keys holds the API keys of operators and of the VMs of the system. A nil
// field disables authentication for its listener.
type keys struct {
	operators *access.Keys
	cluster   *access.Keys
}

// Options holds what a control daemon needs in addition to its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// Listeners returns additional listeners, whose handlers call the given Admin
	// service; nil means none.
	Listeners func(adminpb.Admin, event.Logger) []httpnet.Endpoint
	// Seeds returns the current seeds. If it is nil or returns none, the Seeds of
	// the settings passed to Run are used.
	Seeds func() []string
}

// Run runs a control daemon until plannedStop is closed or ctx ends. When
// plannedStop is closed, it transfers leadership to another replica before it
// stops. It returns an error if the daemon cannot start or its replica fails.
func Run(ctx context.Context, plannedStop <-chan struct{}, s settings.Control, o Options) error {
	s, err := withIdentity(s)
	if err != nil {
		return errors.Trace(err)
	}
	d, err := newDaemon(s, o)
	if err != nil {
		return errors.Trace(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.open(); err != nil {
		return errors.Trace(err)
	}
	var workers conc.WaitGroup
	crash.Go(&workers, func() { d.control.Run(runCtx) })
	crash.Go(&workers, func() { d.updateMetrics(runCtx) })
	crash.Go(&workers, func() {
		wait.Every(runCtx, telemetry.RPCLogInterval, func() { d.clusterRPCs.LogTotals(d.log) })
	})
	if len(s.Seeds) > 0 {
		crash.Go(&workers, func() { d.maintainMembership(runCtx) })
	}
	d.watchKeys(runCtx, &workers)
	d.log.Log(event.Started).Str("cluster", s.ClusterAddress).Send()
	runErr := d.wait(ctx, plannedStop)
	d.close(ctx)
	cancel()
	workers.Wait()
	d.log.Log(event.Stopped).Send()
	return runErr
}

func newDaemon(s settings.Control, o Options) (*Daemon, error) {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	id := formatID(s.ID)
	tracing, err := telemetry.NewTracing(context.Background(), s.Trace, "control", formatID(s.ID))
	if err != nil {
		return nil, errors.Trace(err)
	}
	d := &Daemon{
		tracing:  tracing,
		started:  time.Now(),
		settings: s,
		opts:     o,
		log:      event.NewLogger(o.Logs, level, "control", id),
		metrics:  telemetry.NewMetrics("control", id),
		budget:   s.Limits.ClientBudget(),
	}
	d.requests, d.endRequests = context.WithCancel(context.Background())
	if s.AuthDisabled || s.TrustNetwork {
		return d, nil
	}
	if d.keys.operators, err = access.Load(s.Keys.OperatorsFile); err != nil {
		return nil, errors.Trace(err)
	}
	if d.keys.cluster, err = access.Load(s.Keys.ClusterFile); err != nil {
		return nil, errors.Trace(err)
	}
	return d, nil
}

// open starts the replica and the listeners.
func (d *Daemon) open() error {
	client := replica.NewHTTPClient()
	d.client = client
	client.Transport = access.NewTransport(d.keys.cluster, client.Transport)
	d.control = control.New(control.Options{
		Client:       client,
		Operator:     access.Holder,
		Rollout:      d.settings.Rollout,
		MaxUpstreams: d.settings.Limits.MaxUpstreams(),
		Log:          d.log,
		Metrics:      telemetry.NewControlLoopMetrics(d.metrics),
	})
	if err := d.startReplica(client); err != nil {
		return errors.Trace(err)
	}
	return d.listen()
}

func (d *Daemon) startReplica(client *http.Client) error {
	d.peers = replica.NewTwirpTransport(d.settings.ID, client)
	o := replica.Options{
		ID:                d.settings.ID,
		DataDir:           d.settings.DataDir,
		Join:              d.settings.Join,
		Transport:         d.peers,
		StateMachine:      d.control.StateMachine(),
		Events:            d.log,
		HeartbeatInterval: d.settings.HeartbeatMs.Duration(),
		ElectionTimeout:   d.settings.ElectionMs.Duration(),
		RemoveSilentAfter: d.settings.LostAfterMs.Duration(),
		ToleratedLosses:   d.settings.ToleratedLosses,
		SnapshotEvery:     d.settings.SnapshotEvery,
		Seed:              uint64(time.Now().UnixNano()),
	}
	if !d.settings.Join {
		o.Bootstrap = controlMembers(d.settings.Members)
	}
	node, err := replica.Start(o)
	if err != nil {
		return errors.Annotate(err, "start replica")
	}
	d.node = node
	d.peers.SetReceiver(node)
	d.control.SetReplica(replicaAdapter{node, d.peers})
	return nil
}

func controlMembers(list []settings.Member) []*catalogpb.ControlMember {
	out := make([]*catalogpb.ControlMember, len(list))
	for i, m := range list {
		out[i] = &catalogpb.ControlMember{ReplicaId: m.ID, Address: m.Address, Zone: m.Zone}
	}
	return out
}

func (d *Daemon) listen() error {
	cluster := http.NewServeMux()
	cluster.Handle(clusterpb.ConsensusPathPrefix, clusterpb.NewConsensusServer(replica.NewServer(d.node, d.peers)))
	cluster.Handle(clusterpb.DistributionPathPrefix, d.control.DistributionHandler())
	cluster.Handle(adminpb.AdminPathPrefix, d.control.PeerAdminHandler())
	cluster.Handle(clusterpb.RolloutsPathPrefix, d.control.RolloutsHandler())
	operators := http.NewServeMux()
	operators.Handle(adminpb.AdminPathPrefix, d.tracing.Wrap("admin", d.control.AdminHandler()))
	d.clusterRPCs = telemetry.CountRPCs(d.metrics, cluster)
	if err := d.serve(d.settings.ClusterListen, access.NewAuthenticator(d.keys.cluster, d.log, nil).Wrap(d.clusterRPCs)); err != nil {
		return err
	}
	operatorHandler := access.NewAuthenticator(d.keys.operators, d.log, nil).Wrap(httpnet.LimitBodies(telemetry.CountRPCs(d.metrics, operators), maxOrderBytes, orderCopies))
	if err := d.serveOperators(d.settings.OperatorListen, operatorHandler); err != nil {
		return err
	}
	if d.opts.Listeners != nil {
		for _, l := range d.opts.Listeners(d.control.Admin(), d.log) {
			if err := d.serveOperators(l.Address, l.Handler); err != nil {
				return err
			}
		}
	}
	if d.settings.MetricsListen == "" {
		return nil
	}
	return d.serveClients(d.settings.MetricsListen, d.metrics.Handler())
}

func (d *Daemon) serve(address string, h http.Handler) error {
	return d.serveWith(address, h, d.settings.Limits.Listener())
}

// serveOperators serves operators and upstreams. What they have given up by the time at
// which it is read is not carried out.
func (d *Daemon) serveOperators(address string, h http.Handler) error {
	return d.serveClients(address, httpnet.RefuseAbandoned(h, func(r *http.Request) {
		d.log.Log(event.OrderRefused).Str("path", r.URL.Path).Str("error", "the caller has left before the request was read").Send()
	}))
}

// serveClients serves clients that are not processes of the system.
func (d *Daemon) serveClients(address string, h http.Handler) error {
	limits := d.settings.Limits.Listener()
	limits.Budget = d.budget
	return d.serveWith(address, h, limits)
}

func (d *Daemon) serveWith(address string, h http.Handler, limits httpnet.Limits) error {
	s, err := httpnet.ListenLogged(d.log, address, httpnet.EndWith(d.requests, h), limits)
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

func (d *Daemon) watchKeys(ctx context.Context, workers *conc.WaitGroup) {
	for _, k := range []*access.Keys{d.keys.operators, d.keys.cluster} {
		if k != nil {
			crash.Go(workers, func() { k.Watch(ctx, keyReloadInterval, d.log) })
		}
	}
}

// wait blocks until the daemon is asked to stop, or returns an error if its
// replica stops unexpectedly.
func (d *Daemon) wait(ctx context.Context, plannedStop <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-plannedStop:
		return nil
	case <-d.node.Done():
		return fault.New(fault.DiskFailed, "the replica stopped unexpectedly; see the event log for the reason")
	}
}

// close transfers leadership and the vote unless ctx has ended, and stops the listeners
// and the replica.
func (d *Daemon) close(ctx context.Context) {
	d.log.Log(event.Stopping).Send()
	if ctx.Err() == nil {
		transfer, cancel := context.WithTimeout(ctx, transferTimeout)
		_ = d.node.TransferLeadership(transfer)
		if err := d.node.HandOverVote(transfer); err != nil {
			d.log.Log(event.VoteKept).Err(err).Send()
		}
		cancel()
	}
	stop, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	finish := time.AfterFunc(finishTimeout, d.endRequests)
	defer finish.Stop()
	var servers conc.WaitGroup
	for _, s := range d.servers {
		crash.Go(&servers, func() {
			if err := s.Shutdown(stop); err != nil {
				d.log.Log(event.StoppedHard).Str("address", s.Address()).Err(err).Send()
			}
		})
	}
	servers.Wait()
	d.endRequests()
	_ = d.node.Stop(stop)
	d.peers.Close()
	_ = d.tracing.Shutdown(stop)
	_ = d.metrics.Close()
}
