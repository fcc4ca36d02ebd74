// Package controld runs a control VM: its replica of the control log, and the
// services for operators and entry VMs.
package controld

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
)

// Times of the daemon.
const (
	transferTimeout = 3 * time.Second
	shutdownTimeout = 5 * time.Second
	keyReload       = 2 * time.Second
)

// Daemon is a running control VM.
type Daemon struct {
	settings settings.Control
	opts     Options
	log      event.Logger
	metrics  *telemetry.Metrics
	tracing  *telemetry.Tracing
	keys     keys
	node     *replica.Node
	peers    *replica.TwirpTransport
	control  *control.Server
	client   *http.Client
	servers  []*httpnet.Server
}

// keys are the key files of a control VM; nil ones let every call pass.
type keys struct {
	operators *access.Keys
	cluster   *access.Keys
}

// Options holds what a control VM needs beyond its settings.
type Options struct {
	// Logs receives the event log.
	Logs io.Writer
	// Listeners returns further listeners over the operators' service; nil
	// means none.
	Listeners func(adminpb.Admin, event.Logger) []httpnet.Service
	// Seeds returns the seeds as the settings name them now; nil means those
	// of the start.
	Seeds func() []string
}

// Run runs a control VM until planned is closed or ctx ends. Closing planned
// hands leadership over first.
func Run(ctx context.Context, planned <-chan struct{}, s settings.Control, o Options) error {
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
	crash.Go(&workers, func() { d.sampleReplica(runCtx) })
	if len(s.Seeds) > 0 {
		crash.Go(&workers, func() { d.keepMembership(runCtx) })
	}
	d.watchKeys(runCtx, &workers)
	d.log.Log(event.Started).Str("cluster", s.ClusterAddress).Send()
	ended := d.wait(ctx, planned)
	d.close(ctx)
	cancel()
	workers.Wait()
	d.log.Log(event.Stopped).Send()
	return ended
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
		settings: s,
		opts:     o,
		log:      event.NewLogger(o.Logs, level, "control", id),
		metrics:  telemetry.NewMetrics("control", id),
	}
	if s.Open || s.TrustNetwork {
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
		Client:   client,
		Operator: access.Holder,
		Log:      d.log,
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
		SnapshotEvery:     d.settings.SnapshotEvery,
		Seed:              uint64(time.Now().UnixNano()),
	}
	if !d.settings.Join {
		o.Bootstrap = members(d.settings.Members)
	}
	node, err := replica.Start(o)
	if err != nil {
		return errors.Annotate(err, "start replica")
	}
	d.node = node
	d.peers.SetReceiver(node)
	d.control.SetReplica(replicaView{node})
	return nil
}

func members(list []settings.Member) []*catalogpb.ControlMember {
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
	operators := http.NewServeMux()
	operators.Handle(adminpb.AdminPathPrefix, d.tracing.Wrap("admin", d.control.AdminHandler()))
	if err := d.serve(d.settings.ClusterListen, access.NewGuard(d.keys.cluster, d.log, nil).Wrap(telemetry.CountCalls(d.metrics, cluster))); err != nil {
		return err
	}
	if err := d.serve(d.settings.OperatorListen, access.NewGuard(d.keys.operators, d.log, nil).Wrap(telemetry.CountCalls(d.metrics, operators))); err != nil {
		return err
	}
	if d.opts.Listeners != nil {
		for _, l := range d.opts.Listeners(d.control.Admin(), d.log) {
			if err := d.serve(l.Address, l.Handler); err != nil {
				return err
			}
		}
	}
	if d.settings.MetricsListen == "" {
		return nil
	}
	return d.serve(d.settings.MetricsListen, d.metrics.Handler())
}

func (d *Daemon) serve(address string, h http.Handler) error {
	s, err := httpnet.Open(d.log, address, h, d.settings.Limits.Listener())
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

func (d *Daemon) watchKeys(ctx context.Context, workers *conc.WaitGroup) {
	for _, k := range []*access.Keys{d.keys.operators, d.keys.cluster} {
		if k != nil {
			crash.Go(workers, func() { k.Watch(ctx, keyReload, d.log) })
		}
	}
}

// wait returns when the daemon is asked to stop, or with an error when its
// replica has ended by itself.
func (d *Daemon) wait(ctx context.Context, planned <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return nil
	case <-planned:
		return nil
	case <-d.node.Done():
		return fault.New(fault.DiskFailed, "the replica has ended; see the event log")
	}
}

// close hands leadership over and stops the listeners and the replica.
func (d *Daemon) close(ctx context.Context) {
	d.log.Log(event.Stopping).Send()
	if ctx.Err() == nil {
		transfer, cancel := context.WithTimeout(ctx, transferTimeout)
		_ = d.node.TransferLeadership(transfer)
		cancel()
	}
	stop, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.Shutdown(stop)
	}
	_ = d.node.Stop(stop)
	d.peers.Close()
	_ = d.tracing.Shutdown(stop)
	_ = d.metrics.Close()
}
