package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/view"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// relayEvery paces the relaying of announcements.
	relayEvery   = 50 * time.Millisecond
	relayTimeout = time.Second
	// keepFor is the time for which an announcement is passed on to a new
	// dispatcher.
	keepFor = 3 * time.Second
	// maxRelays bounds the relay messages under way at once.
	maxRelays = 8
)

// heard is an announcement and the time at which its upstream sent it.
type heard struct {
	msg *clusterpb.Announcement
	at  time.Time
}

// upstreamKey identifies an upstream across services.
type upstreamKey struct{ service, id string }

// relay passes announcements on to the dispatchers of their cells.
type relay struct {
	opts Options

	mu sync.Mutex
	// heard holds the newest announcement of each upstream.
	heard map[upstreamKey]heard
	// fresh lists the upstreams to relay next.
	fresh map[upstreamKey]bool
	// holders remembers the dispatcher of each cell.
	holders map[view.CellKey]string
}

func newRelay(opts Options) *relay {
	return &relay{
		opts:    opts,
		heard:   make(map[upstreamKey]heard),
		fresh:   make(map[upstreamKey]bool),
		holders: make(map[view.CellKey]string),
	}
}

// Announce takes announcements that upstreams sent to this entry VM.
func (s *Server) Announce(anns []*clusterpb.Announcement) {
	s.relay.hear(anns, true)
	s.deliverAnnouncements(anns)
}

// receive takes announcements that another entry VM relayed.
func (s *Server) receive(anns []*clusterpb.Announcement) {
	s.relay.hear(anns, false)
	s.deliverAnnouncements(anns)
}

func (s *Server) deliverAnnouncements(anns []*clusterpb.Announcement) {
	if s.opts.OnAnnounce != nil {
		s.opts.OnAnnounce(anns)
	}
	v := s.opts.View.View()
	if v == nil {
		return
	}
	for _, a := range anns {
		key := CellOf(v, a.Service, a.Zone, a.Id)
		if pb := v.Cell(key); pb != nil && pb.Entry == s.opts.Entry {
			s.post(message{key: key, event: announceEvent(a, millis(a.AgeMs))})
		}
	}
}

// hear keeps announcements; those that came from their upstreams are relayed.
func (r *relay) hear(anns []*clusterpb.Announcement, direct bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range anns {
		k := upstreamKey{a.Service, a.Id}
		at := now.Add(-millis(a.AgeMs))
		old, ok := r.heard[k]
		if ok && (a.Incarnation < old.msg.Incarnation || a.Incarnation == old.msg.Incarnation && at.Before(old.at)) {
			continue
		}
		r.heard[k] = heard{a, at}
		if direct {
			r.fresh[k] = true
		}
	}
}

// announced returns what is known of the upstreams of a cell.
func (r *relay) announced(key view.CellKey) []dispatch.Announce {
	v := r.opts.View.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []dispatch.Announce
	for _, h := range r.heard {
		if v != nil && CellOf(v, h.msg.Service, h.msg.Zone, h.msg.Id) == key {
			all = append(all, announceEvent(h.msg, time.Since(h.at)))
		}
	}
	return all
}

// onConfig relays what is known of the upstreams whose dispatcher has changed.
func (r *relay) onConfig(v *view.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	moved := make(map[view.CellKey]bool)
	for _, c := range v.Config.Cells {
		key := view.CellKey{Service: c.Service, Zone: c.Zone, Shard: c.Shard}
		moved[key] = r.holders[key] != c.Entry
		r.holders[key] = c.Entry
	}
	for k, h := range r.heard {
		if moved[CellOf(v, h.msg.Service, h.msg.Zone, h.msg.Id)] {
			r.fresh[k] = true
		}
	}
}

func (r *relay) run(ctx context.Context) {
	wait.Every(ctx, relayEvery, func() { r.flush(ctx) })
}

// flush sends the fresh announcements to those who need them.
func (r *relay) flush(ctx context.Context) {
	v := r.opts.View.View()
	if v == nil {
		return
	}
	p := pool.New().WithMaxGoroutines(maxRelays)
	for entry, anns := range r.due(v) {
		p.Go(func() { r.send(ctx, v, entry, anns) })
	}
	p.Wait()
}

// due returns the announcements to send, by entry VM.
func (r *relay) due(v *view.View) map[string][]*clusterpb.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]*clusterpb.Announcement)
	for k := range r.fresh {
		h := r.heard[k]
		age := time.Since(h.at)
		if age > keepFor {
			continue
		}
		msg := proto.Clone(h.msg).(*clusterpb.Announcement)
		msg.AgeMs = uint32(age.Milliseconds())
		for _, entry := range r.targets(v, msg) {
			out[entry] = append(out[entry], msg)
		}
	}
	clear(r.fresh)
	for k, h := range r.heard {
		if time.Since(h.at) > keepFor {
			delete(r.heard, k)
		}
	}
	return out
}

// targets returns the other entry VMs that need an announcement.
func (r *relay) targets(v *view.View, a *clusterpb.Announcement) []string {
	var ids []string
	if r.opts.BroadcastAnnouncements {
		for _, e := range v.Config.Entries {
			if e.Id != r.opts.Entry {
				ids = append(ids, e.Id)
			}
		}
		return ids
	}
	c := v.Cell(CellOf(v, a.Service, a.Zone, a.Id))
	if c == nil || c.Entry == r.opts.Entry {
		return nil
	}
	return []string{c.Entry}
}

func (r *relay) send(ctx context.Context, v *view.View, entry string, anns []*clusterpb.Announcement) {
	e := v.Entry(entry)
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client := clusterpb.NewDispatchProtobufClient("http://"+e.ClusterAddress, r.opts.Client)
	// A lost relay is made good by the upstream's next announcement.
	_, _ = client.Announce(ctx, &clusterpb.AnnounceRequest{Entry: r.opts.Entry, Announcements: anns})
}
