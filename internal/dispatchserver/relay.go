package dispatchserver

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// relayInterval is the time between two rounds of relayed announcements.
	relayInterval = 50 * time.Millisecond
	relayTimeout  = time.Second
	// announcementTTL is the age up to which an announcement is passed on to a
	// new dispatcher.
	announcementTTL = 3 * time.Second
	// maxConcurrentRelays is the number of entry VMs that are sent announcements
	// at the same time.
	maxConcurrentRelays = 8
)

// receivedAnnouncement is an announcement with the time at which its upstream
// sent it.
type receivedAnnouncement struct {
	msg    *clusterpb.Announcement
	sentAt time.Time
}

// upstreamKey identifies an upstream of any service.
type upstreamKey struct{ service, id string }

// relay forwards announcements to the dispatchers of their cells.
type relay struct {
	opts Options

	mu sync.Mutex
	// latest holds the most recent announcement of each upstream.
	latest map[upstreamKey]receivedAnnouncement
	// unsent is the set of upstreams whose announcement is to be relayed in the
	// next round.
	unsent map[upstreamKey]bool
	// dispatchers maps each cell to the ID of the entry VM that dispatches it.
	dispatchers map[configview.CellKey]string
}

func newRelay(opts Options) *relay {
	return &relay{
		opts:        opts,
		latest:      make(map[upstreamKey]receivedAnnouncement),
		unsent:      make(map[upstreamKey]bool),
		dispatchers: make(map[configview.CellKey]string),
	}
}

// Announce records announcements that upstreams sent to this entry VM and relays
// them to the dispatchers of their cells.
func (s *Server) Announce(anns []*clusterpb.Announcement) {
	s.relay.record(anns, true)
	s.deliverAnnouncements(anns)
}

// receiveRelayed records announcements that another entry VM relayed.
func (s *Server) receiveRelayed(anns []*clusterpb.Announcement) {
	s.relay.record(anns, false)
	s.deliverAnnouncements(anns)
}

// deliverAnnouncements passes announcements to the cells dispatched here.
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

// record stores each announcement that is not older than the one stored. Those
// that came directly from their upstreams are marked for relaying.
func (r *relay) record(anns []*clusterpb.Announcement, direct bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range anns {
		k := upstreamKey{a.Service, a.Id}
		at := now.Add(-millis(a.AgeMs))
		old, ok := r.latest[k]
		if ok && (a.Incarnation < old.msg.Incarnation || a.Incarnation == old.msg.Incarnation && at.Before(old.sentAt)) {
			continue
		}
		r.latest[k] = receivedAnnouncement{a, at}
		if direct {
			r.unsent[k] = true
		}
	}
}

// announcementsOf returns the latest announcements of the upstreams of a cell.
func (r *relay) announcementsOf(key configview.CellKey) []dispatch.Announce {
	v := r.opts.View.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []dispatch.Announce
	for _, h := range r.latest {
		if v != nil && CellOf(v, h.msg.Service, h.msg.Zone, h.msg.Id) == key {
			all = append(all, announceEvent(h.msg, time.Since(h.sentAt)))
		}
	}
	return all
}

// onConfig marks the announcements of all cells whose dispatcher has changed for
// relaying.
func (r *relay) onConfig(v *configview.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reassigned := make(map[configview.CellKey]bool)
	for _, c := range v.Config.Cells {
		key := configview.CellKey{Service: c.Service, Zone: c.Zone, Shard: c.Shard}
		reassigned[key] = r.dispatchers[key] != c.Entry
		r.dispatchers[key] = c.Entry
	}
	for k, h := range r.latest {
		if reassigned[CellOf(v, h.msg.Service, h.msg.Zone, h.msg.Id)] {
			r.unsent[k] = true
		}
	}
}

func (r *relay) run(ctx context.Context) {
	wait.Every(ctx, relayInterval, func() { r.flush(ctx) })
}

// flush sends the unsent announcements and returns when all calls have ended.
func (r *relay) flush(ctx context.Context) {
	v := r.opts.View.View()
	if v == nil {
		return
	}
	p := pool.New().WithMaxGoroutines(maxConcurrentRelays)
	for entry, anns := range r.takeUnsent(v) {
		p.Go(func() { r.send(ctx, v, entry, anns) })
	}
	p.Wait()
}

// takeUnsent returns the announcements to send to each entry VM, and discards
// those older than announcementTTL.
func (r *relay) takeUnsent(v *configview.View) map[string][]*clusterpb.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]*clusterpb.Announcement)
	for k := range r.unsent {
		h := r.latest[k]
		age := time.Since(h.sentAt)
		if age > announcementTTL {
			continue
		}
		msg := proto.Clone(h.msg).(*clusterpb.Announcement)
		msg.AgeMs = uint32(age.Milliseconds())
		for _, entry := range r.recipients(v, msg) {
			out[entry] = append(out[entry], msg)
		}
	}
	clear(r.unsent)
	for k, h := range r.latest {
		if time.Since(h.sentAt) > announcementTTL {
			delete(r.latest, k)
		}
	}
	return out
}

// recipients returns the other entry VMs to which an announcement is relayed.
func (r *relay) recipients(v *configview.View, a *clusterpb.Announcement) []string {
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

func (r *relay) send(ctx context.Context, v *configview.View, entry string, anns []*clusterpb.Announcement) {
	e := v.Entry(entry)
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client := clusterpb.NewDispatchProtobufClient("http://"+e.ClusterAddress, r.opts.Client)
	// Errors are ignored: the upstream's next announcement replaces a lost one.
	_, _ = client.Announce(ctx, &clusterpb.AnnounceRequest{Entry: r.opts.Entry, Announcements: anns})
}
