package baseline

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatchserver"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// shareInterval is the interval at which an entry VM sends its counts of
	// requests in flight to the others.
	shareInterval       = 100 * time.Millisecond
	shareTimeout        = time.Second
	maxConcurrentShares = 8
	// announcementTimeout is the time without an announcement after which an
	// upstream is no longer picked.
	announcementTimeout = 3 * time.Second
)

// Options configures an Allocator.
type Options struct {
	Policy Policy
	// Entry is the ID of this entry VM.
	Entry string
	View  configview.Source
	// HTTP is the client for requests to other entry VMs.
	HTTP *http.Client
	// Seed is the seed of random choices.
	Seed uint64
}

// Allocator grants slots by a baseline policy. It implements slot.Allocator and
// is safe for concurrent use.
type Allocator struct {
	opts Options

	mu         sync.Mutex
	picker     *Picker
	services   map[string]*upstreamTable
	lastTicket uint64
}

// upstreamTable holds the upstreams of one service in the order of their first
// announcements.
type upstreamTable struct {
	upstreams []*upstream
}

// upstream is the state of one upstream, as last announced.
type upstream struct {
	target      Target
	zone        string
	address     string
	incarnation uint64
	draining    bool
	lastSeen    time.Time
	// remoteInFlight maps the ID of each other entry VM to the requests in
	// flight that it last reported.
	remoteInFlight map[string]int
}

// New returns an allocator. Run must be called for its counts to be shared.
func New(opts Options) *Allocator {
	return &Allocator{opts: opts, picker: NewPicker(opts.Policy, opts.Seed), services: make(map[string]*upstreamTable)}
}

// ApplyAnnouncements updates the upstreams with their announcements.
func (a *Allocator) ApplyAnnouncements(anns []*clusterpb.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ann := range anns {
		t := a.services[ann.Service]
		if t == nil {
			t = &upstreamTable{}
			a.services[ann.Service] = t
		}
		t.update(ann)
	}
}

// update applies an announcement, unless it is older than the last one.
func (t *upstreamTable) update(a *clusterpb.Announcement) {
	at := time.Now().Add(-time.Duration(a.AgeMs) * time.Millisecond)
	r := t.find(a.Id)
	if r == nil {
		r = &upstream{target: Target{ID: a.Id}, remoteInFlight: make(map[string]int)}
		t.upstreams = append(t.upstreams, r)
	}
	if a.Incarnation < r.incarnation || a.Incarnation == r.incarnation && at.Before(r.lastSeen) {
		return
	}
	r.target.Slots = int(a.Slots)
	r.zone, r.address, r.incarnation = a.Zone, a.Address, a.Incarnation
	r.draining = a.State == "draining"
	r.lastSeen = at
}

// find returns the upstream with the ID, or nil. t may be nil.
func (t *upstreamTable) find(id string) *upstream {
	if t == nil {
		return nil
	}
	i := slices.IndexFunc(t.upstreams, func(r *upstream) bool { return r.target.ID == id })
	if i < 0 {
		return nil
	}
	return t.upstreams[i]
}

// Acquire picks an upstream without waiting. It returns an error of kind
// fault.QueueFull if r.NoWait is set, since the policies do not track free slots,
// fault.NotFresh without a fresh configuration, and fault.NoUpstream if no
// upstream is available.
func (a *Allocator) Acquire(_ context.Context, r slot.Request) (slot.Grant, error) {
	if r.NoWait {
		return slot.Grant{}, fault.New(fault.QueueFull, "the dispatch policy cannot tell whether a slot is free")
	}
	v := a.opts.View.View()
	if v == nil || !a.opts.View.Fresh() {
		return slot.Grant{}, fault.New(fault.NotFresh, "no configuration that the control VMs confirmed recently")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	upstreams, targets := a.available(v, r.Service)
	i := a.picker.Pick(targets, r.Avoid)
	if i < 0 {
		return slot.Grant{}, fault.New(fault.NoUpstream, "service %q has no available upstream", r.Service)
	}
	u := upstreams[i]
	u.target.LocalInFlight++
	a.lastTicket++
	return slot.Grant{
		Cell:   dispatchserver.CellOf(v, r.Service, u.zone, u.target.ID),
		Ticket: a.lastTicket, Upstream: u.target.ID, Address: u.address, Dispatcher: a.opts.Entry,
	}, nil
}

// available returns the upstreams of a service that can receive new requests,
// both as upstreams and as targets with the same indices. a.mu must be held.
func (a *Allocator) available(v *configview.View, service string) ([]*upstream, []*Target) {
	t := a.services[service]
	if t == nil {
		return nil, nil
	}
	var records []*upstream
	var targets []*Target
	for _, u := range t.upstreams {
		if u.draining || time.Since(u.lastSeen) > announcementTimeout || !v.ZoneOpen(u.zone) {
			continue
		}
		u.target.RemoteInFlight = 0
		for _, n := range u.remoteInFlight {
			u.target.RemoteInFlight += n
		}
		records = append(records, u)
		targets = append(targets, &u.target)
	}
	return records, targets
}

// Release ends a grant and decrements the requests in flight of its upstream.
func (a *Allocator) Release(g slot.Grant, _ slot.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.services[g.Cell.Service].find(g.Upstream); u != nil {
		u.target.LocalInFlight--
	}
}

// ApplyPeerCounts stores the requests in flight that another entry VM reported.
func (a *Allocator) ApplyPeerCounts(entry string, counts []*clusterpb.UpstreamCount) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range counts {
		if u := a.services[n.Service].find(n.Upstream); u != nil {
			u.remoteInFlight[entry] = int(n.InFlight)
		}
	}
}

// Run sends the counts of requests in flight to the other entry VMs until ctx is
// done. With a policy other than P2CShared it only waits.
func (a *Allocator) Run(ctx context.Context) {
	if a.opts.Policy != P2CShared {
		<-ctx.Done()
		return
	}
	wait.Every(ctx, shareInterval, func() { a.shareCounts(ctx) })
}

func (a *Allocator) shareCounts(ctx context.Context) {
	v := a.opts.View.View()
	if v == nil {
		return
	}
	req := &clusterpb.AnnounceRequest{Entry: a.opts.Entry, Counts: a.localCounts()}
	p := pool.New().WithMaxGoroutines(maxConcurrentShares)
	for _, e := range v.Config.Entries {
		if e.Id == a.opts.Entry {
			continue
		}
		p.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			client := clusterpb.NewDispatchProtobufClient("http://"+e.ClusterAddress, a.opts.HTTP)
			// Errors are ignored, because the next report replaces a lost one.
			_, _ = client.Announce(ctx, req)
		})
	}
	p.Wait()
}

func (a *Allocator) localCounts() []*clusterpb.UpstreamCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	var counts []*clusterpb.UpstreamCount
	for service, t := range a.services {
		for _, u := range t.upstreams {
			counts = append(counts, &clusterpb.UpstreamCount{
				Service: service, Upstream: u.target.ID, InFlight: uint32(max(0, u.target.LocalInFlight)),
			})
		}
	}
	return counts
}
