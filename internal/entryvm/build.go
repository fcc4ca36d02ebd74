package entryvm

import (
	"context"
	"net/http"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/access"
	"balsamcourse.example/balsamcourse/internal/announce"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/claimservice"
	"balsamcourse.example/balsamcourse/internal/configsync"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/forward"
	"balsamcourse.example/balsamcourse/internal/gossip"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

const (
	// claimTimeout bounds how long a call waits for the decision about its claim.
	claimTimeout = time.Second
	// maxStartDelay bounds the time from the start of a claim to the first byte of
	// its request.
	maxStartDelay = 30 * time.Second
	// inProgressExtraRetention is added to the retention of claims that have no
	// outcome yet.
	inProgressExtraRetention = 24 * time.Hour
)

// build creates and connects the components without starting them.
func (d *Daemon) build(ctx context.Context) {
	d.upstreams = forward.NewTransport(d.opts.DialUpstream)
	d.config = d.newConfigSyncer()
	peers := d.client(httpnet.NewHTTP1Client(d.opts.DialPeer))
	d.buildSlotAllocator(peers)
	d.claims = d.newClaims(peers)
	d.gossip = gossip.New(gossip.Options{
		EntryID:     d.settings.ID,
		Incarnation: d.self.Incarnation,
		Client:      peers,
		Limits:      d.quarantineLimits(),
		Logger:      d.log,
	})
	d.callers = d.newCallerFrontend()
	d.config.OnChange(func(v *configview.View) { d.applyConfig(ctx, v) })
}

// applyConfig passes a configuration to the components before it is acknowledged.
// The slot client comes first, so that tickets are reregistered at new dispatchers
// before this VM starts to dispatch.
func (d *Daemon) applyConfig(ctx context.Context, v *configview.View) {
	d.slots.OnConfig(ctx, v)
	d.dispatcher.OnConfig(v)
	d.claims.OnConfig(v)
	d.gossip.OnConfig(v)
}

func (d *Daemon) newConfigSyncer() *configsync.Syncer {
	connections := httpnet.NewConnections(d.opts.DialPeer)
	return configsync.New(configsync.Options{
		Entry:            d.self,
		ControlAddresses: d.settings.Control,
		Client:           d.client(httpnet.NewClient(connections.Dial)),
		CloseConnections: connections.Close,
		RenewInterval:    d.settings.RenewMs.Duration(),
		Convictions:      func() []*clusterpb.ConvictionReport { return d.gossip.ConvictionReports() },
		Log:              d.log,
	})
}

func (d *Daemon) newClaims(client *http.Client) *claimservice.Service {
	c := d.settings.Claims
	return claimservice.New(claimservice.Options{
		EntryID:     d.settings.ID,
		Incarnation: d.self.Incarnation,
		Client:      client,
		ConfigFresh: d.config.Fresh,
		Limits: claim.Limits{
			Retention:           c.RetentionMs.Duration(),
			InProgressRetention: inProgressExtraRetention + c.RetentionMs.Duration(),
			MaxClaims:           c.MaxClaims,
			MaxResponseBytes:    int(c.MaxTotalBytes),
		},
		MaxKeptBytes:  c.MaxKeptBytes,
		Timeout:       claimTimeout,
		MaxStartDelay: maxStartDelay,
		Metrics:       d.metrics.Scope,
	})
}

func (d *Daemon) quarantineLimits() quarantine.Limits {
	q := d.settings.Quarantine
	return quarantine.Limits{
		Threshold:  q.Threshold,
		Hold:       q.HoldMs.Duration(),
		MaxReports: q.MaxRequests,
	}
}

// maxAnnouncementBytes bounds the body of an announcement, which has less than 1 kB.
const maxAnnouncementBytes = 64 << 10

// listen opens the listeners. The cluster listener comes first: callers must not
// reach an entry VM that the other VMs cannot reach.
func (d *Daemon) listen() error {
	s := d.settings
	var err error
	if d.servers.cluster, err = httpnet.ListenLogged(d.log, s.ClusterListen, d.clusterHandler(), httpnet.Limits{}); err != nil {
		return err
	}
	limits := s.Limits.Listener()
	limits.Budget = d.budget
	if d.servers.announce, err = httpnet.ListenLogged(d.log, s.AnnounceListen, httpnet.LimitBodies(d.announceHandler(), maxAnnouncementBytes, 1), limits); err != nil {
		return err
	}
	if d.servers.callers, err = httpnet.ListenLogged(d.log, s.CallerListen, d.callers.handler, limits); err != nil {
		return err
	}
	if s.MetricsListen == "" {
		return nil
	}
	d.servers.metrics, err = httpnet.ListenLogged(d.log, s.MetricsListen, d.metrics.Handler(), httpnet.Limits{Budget: d.budget})
	return err
}

func (d *Daemon) clusterHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(clusterpb.DistributionPathPrefix, d.config.Handler())
	mux.Handle(clusterpb.DispatchPathPrefix, d.dispatcher.Handler())
	mux.Handle(clusterpb.ClaimsPathPrefix, d.claims.Handler())
	mux.Handle(clusterpb.GossipPathPrefix, d.gossip.Handler())
	return access.NewAuthenticator(d.keys.cluster, d.log, nil).Wrap(mux)
}

func (d *Daemon) announceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announce", &announce.Handler{
		Sink:       announcementSink{d.dispatcher},
		IntervalMs: int(d.settings.AnnounceEveryMs),
	})
	refuse := func(w http.ResponseWriter, _ *http.Request, err *fault.Error) { fault.WriteHTTP(w, err) }
	return access.NewAuthenticator(d.keys.upstreams, d.log, refuse).Wrap(mux)
}
