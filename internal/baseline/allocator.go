package baseline

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatcher"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/slot"
	"balsamcourse.example/balsamcourse/internal/view"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// shareEvery is the interval at which counts are shared.
	shareEvery   = 100 * time.Millisecond
	shareTimeout = time.Second
	maxShares    = 8
	// silenceAfter is the time without an announcement after which an
	// upstream is gone.
	silenceAfter = 3 * time.Second
)

// Options configures a Source.
type Options struct {
	Policy Policy
	// Entry is the id of this entry VM.
	Entry string
	View  view.Source
	// HTTP calls other entry VMs.
	HTTP *http.Client
	Seed uint64
}

// Allocator grants slots by a baseline policy. It implements slot.Allocator.
type Allocator struct {
	opts Options

	mu       sync.Mutex
	picker   *Picker
	services map[string]*table
	next     uint64
}

// table holds the upstreams of one service in order of id.
type table struct {
	upstreams []*record
}

// record is one upstream.
type record struct {
	target      Target
	zone        string
	address     string
	incarnation uint64
	draining    bool
	seen        time.Time
	// others holds what each other entry VM last reported.
	others map[string]int
}

// New returns a source.
func New(opts Options) *Allocator {
	return &Allocator{opts: opts, picker: NewPicker(opts.Policy, opts.Seed), services: make(map[string]*table)}
}

// ApplyAnnouncements takes announcements of upstreams.
func (s *Allocator) ApplyAnnouncements(anns []*clusterpb.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range anns {
		t := s.services[a.Service]
		if t == nil {
			t = &table{}
			s.services[a.Service] = t
		}
		t.put(a)
	}
}

func (t *table) put(a *clusterpb.Announcement) {
	at := time.Now().Add(-time.Duration(a.AgeMs) * time.Millisecond)
	r := t.find(a.Id)
	if r == nil {
		r = &record{target: Target{ID: a.Id}, others: make(map[string]int)}
		t.upstreams = append(t.upstreams, r)
	}
	if a.Incarnation < r.incarnation || a.Incarnation == r.incarnation && at.Before(r.seen) {
		return
	}
	r.target.Slots = int(a.Slots)
	r.zone, r.address, r.incarnation = a.Zone, a.Address, a.Incarnation
	r.draining = a.State == "draining"
	r.seen = at
}

func (t *table) find(id string) *record {
	if t == nil {
		return nil
	}
	i := slices.IndexFunc(t.upstreams, func(r *record) bool { return r.target.ID == id })
	if i < 0 {
		return nil
	}
	return t.upstreams[i]
}

// Acquire picks an upstream at once.
func (s *Allocator) Acquire(_ context.Context, r slot.Request) (slot.Grant, error) {
	if r.NoWait {
		return slot.Grant{}, fault.New(fault.QueueFull, "this policy does not know free slots")
	}
	v := s.opts.View.View()
	if v == nil || !s.opts.View.Fresh() {
		return slot.Grant{}, fault.New(fault.NotFresh, "no confirmed configuration")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records, targets := s.usable(v, r.Service)
	i := s.picker.Pick(targets, r.Avoid)
	if i < 0 {
		return slot.Grant{}, fault.New(fault.NoUpstream, "%s", r.Service)
	}
	u := records[i]
	u.target.Own++
	s.next++
	return slot.Grant{
		Cell:   dispatcher.CellOf(v, r.Service, u.zone, u.target.ID),
		Ticket: s.next, Upstream: u.target.ID, Address: u.address, Dispatcher: s.opts.Entry,
	}, nil
}

// usable returns the upstreams of a service that may receive new work.
func (s *Allocator) usable(v *view.View, service string) ([]*record, []*Target) {
	t := s.services[service]
	if t == nil {
		return nil, nil
	}
	var records []*record
	var targets []*Target
	for _, u := range t.upstreams {
		if u.draining || time.Since(u.seen) > silenceAfter || !v.ZoneOpen(u.zone) {
			continue
		}
		u.target.Others = 0
		for _, n := range u.others {
			u.target.Others += n
		}
		records = append(records, u)
		targets = append(targets, &u.target)
	}
	return records, targets
}

// Release ends a grant.
func (s *Allocator) Release(g slot.Grant, _ slot.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := s.services[g.Cell.Service].find(g.Upstream); u != nil {
		u.target.Own--
	}
}

// ApplyPeerCounts takes what another entry VM has in flight.
func (s *Allocator) ApplyPeerCounts(entry string, counts []*clusterpb.UpstreamCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range counts {
		if u := s.services[n.Service].find(n.Upstream); u != nil {
			u.others[entry] = int(n.InFlight)
		}
	}
}

// Run shares counts until ctx ends, if the policy asks for it.
func (s *Allocator) Run(ctx context.Context) {
	if s.opts.Policy != P2CShared {
		<-ctx.Done()
		return
	}
	wait.Every(ctx, shareEvery, func() { s.share(ctx) })
}

func (s *Allocator) share(ctx context.Context) {
	v := s.opts.View.View()
	if v == nil {
		return
	}
	req := &clusterpb.AnnounceRequest{Entry: s.opts.Entry, Counts: s.counts()}
	p := pool.New().WithMaxGoroutines(maxShares)
	for _, e := range v.Config.Entries {
		if e.Id == s.opts.Entry {
			continue
		}
		p.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			client := clusterpb.NewDispatchProtobufClient("http://"+e.ClusterAddress, s.opts.HTTP)
			// A lost report is replaced by the next one.
			_, _ = client.Announce(ctx, req)
		})
	}
	p.Wait()
}

func (s *Allocator) counts() []*clusterpb.UpstreamCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts []*clusterpb.UpstreamCount
	for service, t := range s.services {
		for _, u := range t.upstreams {
			counts = append(counts, &clusterpb.UpstreamCount{
				Service: service, Upstream: u.target.ID, InFlight: uint32(max(0, u.target.Own)),
			})
		}
	}
	return counts
}
