// Package configsync keeps the configuration of an entry VM up to date and
// says whether new work may be admitted on it.
//
// One goroutine, the loop, owns the state. Traffic goroutines read an
// immutable snapshot.
package configsync

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/view"
)

// Options configures a Syncer.
type Options struct {
	// Entry identifies this entry VM. Its process must listen on the cluster
	// address from before Run until its end, and its incarnation must exceed
	// that of every earlier process of the same id.
	Entry *catalogpb.Entry
	// ControlAddresses lists the cluster addresses of control VMs.
	ControlAddresses []string
	// Seeds returns addresses of control VMs to try when those known do not
	// answer; nil means none.
	Seeds func() []string
	// PeerAddresses lists cluster addresses of other entry VMs, to learn a
	// configuration from when no control VM answers; it may be empty.
	PeerAddresses []string
	// RenewInterval is the time for which the leader may hold a renewal, and so
	// their pace; 0 means DefaultRenewEvery, which is also the maximum.
	RenewInterval time.Duration
	// ServesStale is set when this entry VM admits work on the newest
	// configuration that it holds, whether or not that is confirmed. It then
	// asks no other entry VM for confirmation.
	ServesStale bool
	// Client carries the calls; nil means http.DefaultClient.
	Client *http.Client
	Log    event.Logger
}

// DefaultRenewInterval leaves time for another attempt before a lease ends.
const DefaultRenewInterval = time.Second

// Syncer follows the configuration. It implements view.Source.
type Syncer struct {
	opts   Options
	start  time.Time
	held   atomic.Pointer[held]
	silent atomic.Pointer[[]string]
	// everywhere is the newest revision accepted in all regions.
	everywhere atomic.Uint64
	leader     atomic.Pointer[string]
	// heard is the reading of the clock, in nanoseconds, when a control VM or a
	// relay last answered.
	heard atomic.Int64
	// given is the reading of the clock, in nanoseconds, when a revision was
	// last confirmed to another entry VM; at first that of the start.
	given     atomic.Int64
	events    chan any
	done      chan struct{}
	listeners []func(v *view.View)
}

// held is what traffic goroutines see.
type held struct {
	view     *view.View
	deadline time.Duration
	accepted uint64
	synced   bool
}

// eventBacklog bounds the events that wait for the loop.
const eventBacklog = 64

// New returns a syncer. Run must be called for it to learn anything.
func New(opts Options) *Syncer {
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.RenewInterval <= 0 || opts.RenewInterval > DefaultRenewInterval {
		opts.RenewInterval = DefaultRenewInterval
	}
	opts.Entry = proto.CloneOf(opts.Entry)
	s := &Syncer{
		opts:   opts,
		start:  time.Now(),
		events: make(chan any, eventBacklog),
		done:   make(chan struct{}),
	}
	s.held.Store(&held{})
	return s
}

// OnChange adds a function that is called, from the loop, after each change of
// the configuration or of the accepted revision. It must not block, and must
// be added before Run.
func (s *Syncer) OnChange(f func(v *view.View)) {
	s.listeners = append(s.listeners, f)
}

// Run follows the configuration until ctx ends. It is called once.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	defer workers.Wait()
	defer cancel()
	newLoop(ctx, s, &workers).run()
}

// View returns the configuration held, or nil.
func (s *Syncer) View() *view.View { return s.held.Load().view }

// Fresh reports whether new work may be admitted on the configuration at this
// moment.
func (s *Syncer) Fresh() bool { return s.now() < s.held.Load().deadline }

// Current returns the configuration held and whether new work may be admitted
// on it, both taken at one moment.
func (s *Syncer) Current() (*view.View, bool) {
	h := s.held.Load()
	return h.view, s.now() < h.deadline
}

// Reachable reports whether the leader has heard of the entry VM of late, as
// far as this one knows.
func (s *Syncer) Reachable(entry string) bool {
	silent := s.silent.Load()
	return silent == nil || !slices.Contains(*silent, entry)
}

// SinceControlContact returns the time since a control VM, or an entry VM that relays to
// one, last answered; at first that since the start.
func (s *Syncer) SinceControlContact() time.Duration { return s.now() - time.Duration(s.heard.Load()) }

// AcceptedEverywhere returns the newest revision known to be accepted in all
// regions.
func (s *Syncer) AcceptedEverywhere() uint64 { return s.everywhere.Load() }

// AcceptedRevision returns the newest revision known to be accepted in the own
// region.
func (s *Syncer) AcceptedRevision() uint64 { return s.held.Load().accepted }

// Dispatches reports whether this entry VM may grant slots of the cell now:
// the configuration that assigns the cell to it is fresh, and the assignment
// is accepted, so that no other entry VM grants slots of it.
func (s *Syncer) Dispatches(key view.CellKey) (epoch uint64, ok bool) {
	h := s.held.Load()
	if h.view == nil || s.now() >= h.deadline {
		return 0, false
	}
	c := h.view.Cell(key)
	if c == nil || c.Entry != s.opts.Entry.Id || c.Incarnation != s.opts.Entry.Incarnation {
		return 0, false
	}
	return c.Epoch, c.Epoch <= h.accepted
}

// SetLeaving announces the planned stop of this entry VM.
func (s *Syncer) SetLeaving() { s.post(leave{}) }

// Handler serves the other entry VMs.
func (s *Syncer) Handler() http.Handler {
	return clusterpb.NewDistributionServer(&server{syncer: s})
}

func (s *Syncer) now() time.Duration { return time.Since(s.start) }

func (s *Syncer) self() freshness.EntryKey {
	return freshness.EntryKey{ID: s.opts.Entry.Id, ClusterAddress: s.opts.Entry.ClusterAddress, Region: s.opts.Entry.Region}
}

// revision returns the revision held; 0 when none.
func (s *Syncer) revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision()
	}
	return 0
}

// quiet returns the time since a revision was last confirmed to another entry
// VM, bounded to fit a message.
func (s *Syncer) quiet() time.Duration {
	return min(s.now()-time.Duration(s.given.Load()), time.Hour)
}

// post hands an event to the loop unless it has ended.
func (s *Syncer) post(ev any) {
	select {
	case s.events <- ev:
	case <-s.done:
	}
}

func (s *Syncer) client(address string) clusterpb.Distribution {
	return clusterpb.NewDistributionProtobufClient("http://"+address, s.opts.Client)
}
