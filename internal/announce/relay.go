package announce

import (
	"context"
	"net/http"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/view"
)

// Intervals of the relay.
const (
	flushEvery   = 20 * time.Millisecond
	relayTimeout = 500 * time.Millisecond
)

// Local takes announcements for cells that this entry VM dispatches.
type Local interface {
	Announce(as ...*clusterpb.Announcement)
}

// Relay passes announcements on to the dispatchers of their cells. Several
// announcements for one dispatcher travel together.
type Relay struct {
	self   string
	source view.Source
	local  Local
	client *http.Client

	mu      sync.Mutex
	pending map[string][]*clusterpb.Announcement
}

// NewRelay returns a relay for the entry VM self.
func NewRelay(self string, source view.Source, local Local, client *http.Client) *Relay {
	return &Relay{
		self:    self,
		source:  source,
		local:   local,
		client:  client,
		pending: make(map[string][]*clusterpb.Announcement),
	}
}

// Announce queues a for the dispatchers of its cell. An announcement for a
// cell without a dispatcher is dropped; the upstream repeats it.
func (r *Relay) Announce(a *clusterpb.Announcement) {
	v := r.source.View()
	if v == nil {
		return
	}
	for _, c := range v.Cells(a.Service) {
		if c.Zone != a.Zone {
			continue
		}
		if c.Entry == r.self {
			r.local.Announce(a)
			continue
		}
		r.queue(c.Entry, a)
	}
}

func (r *Relay) queue(entry string, a *clusterpb.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[entry] = append(r.pending[entry], a)
}

func (r *Relay) take() map[string][]*clusterpb.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pending
	r.pending = make(map[string][]*clusterpb.Announcement)
	return p
}

// Run sends queued announcements until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.flush(ctx)
		}
	}
}

func (r *Relay) flush(ctx context.Context) {
	v := r.source.View()
	for id, batch := range r.take() {
		e := v.Entry(id)
		if e == nil {
			continue
		}
		go r.send(ctx, e.ClusterAddress, batch)
	}
}

// send delivers one batch. A lost batch is not sent again: upstreams repeat
// their announcements.
func (r *Relay) send(ctx context.Context, address string, batch []*clusterpb.Announcement) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c := clusterpb.NewDispatchProtobufClient("http://"+address, r.client)
	_, _ = c.Announce(ctx, &clusterpb.AnnounceRequest{Announcements: batch, Entry: r.self})
}
