// Package configsync keeps the configuration of an entry VM up to date and
// reports whether it may admit new work under it.
//
// The entry VM renews a lease with the leader of the control group by long
// polling. The answers carry new configurations. When the lease is about to
// end, it asks the other entry VMs of its region for confirmation that none of
// them holds a newer configuration. If control VMs cannot be reached directly,
// renewals go through another entry VM.
//
// A single goroutine, the loop, owns the state. Goroutines that serve traffic
// read an immutable snapshot.
package configsync

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/boottime"
	"balsamcourse.example/balsamcourse/internal/buildinfo"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/features"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// Options configures a Syncer.
type Options struct {
	// Entry identifies this entry VM. Its process must listen on the cluster
	// address from before the call of Run until Run returns, and its
	// incarnation must exceed that of every earlier process with the same id.
	Entry *catalogpb.Entry
	// ControlAddresses lists the cluster addresses of control VMs.
	ControlAddresses []string
	// Seeds returns further addresses of control VMs. It is called when
	// renewals fail repeatedly; nil means that there are none.
	Seeds func() []string
	// PeerAddresses lists cluster addresses of other entry VMs, which are used
	// while there is no configuration: when no control VM answers, they are
	// asked for a configuration and to relay renewals. The list may be empty.
	PeerAddresses []string
	// RenewInterval is the longest time for which the leader may hold a renewal
	// open before it answers, and so the usual interval between renewals. 0
	// means DefaultRenewInterval, which is also the maximum.
	RenewInterval time.Duration
	// ServesStale is set when this entry VM admits work under the newest
	// configuration that it holds, even if that is not confirmed. It then asks
	// no other entry VM for confirmation.
	ServesStale bool
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
	// CloseConnections closes the connections of Client to an address that did
	// not answer, also those in use; nil means that they are left open.
	CloseConnections func(address string)
	Log              event.Logger
	// RolloutEvidence returns the evidence on roll-outs that a renewal reports; nil means
	// none. It must not block.
	RolloutEvidence func() []*clusterpb.RolloutEvidence
	// Convictions returns what a renewal reports of requests that crash upstreams; nil
	// means nothing.
	Convictions func() []*clusterpb.ConvictionReport
}

// DefaultRenewInterval is the default and maximum of Options.RenewInterval. It
// leaves time for another attempt before a lease ends.
const DefaultRenewInterval = time.Second

// Syncer keeps the configuration up to date. It implements configview.Source.
type Syncer struct {
	opts      Options
	startedAt time.Time
	// bootTime reads a clock that also runs while the VM is suspended.
	bootTime func() time.Duration
	pause    pauseDetector
	// build is the commit of the program.
	build         string
	snapshot      atomic.Pointer[snapshot]
	silentEntries atomic.Pointer[map[string]bool]
	// isolatedEntries are the entry VMs that have no way to any upstream.
	isolatedEntries atomic.Pointer[map[string]bool]
	// isolated is set while this one has none.
	isolated atomic.Bool
	// acceptedEverywhere is the newest revision known to be accepted in all
	// regions.
	acceptedEverywhere atomic.Uint64
	leaderAddress      atomic.Pointer[string]
	// lastControlContact is the time, in nanoseconds since startedAt, of the
	// last answer from a control VM or a relay.
	lastControlContact atomic.Int64
	// lastConfirmationGiven is the time, in nanoseconds since startedAt, at
	// which a revision was last confirmed to another entry VM; 0 if none was.
	lastConfirmationGiven atomic.Int64
	events                chan any
	done                  chan struct{}
	listeners             []func(v *configview.View)
	leaseListeners        []func(sent time.Time)
	// allRestarted is that of the last lease.
	allRestarted atomic.Bool
}

// snapshot is the part of the state that other goroutines read.
type snapshot struct {
	view             *configview.View
	freshUntil       time.Duration
	acceptedRevision uint64
	synced           bool
	// newestAt is the time until which the configuration was the newest one, as a
	// reading of Syncer.bootTime. It is set once synced is.
	newestAt time.Duration
}

// eventQueueSize is the capacity of the queue of events for the loop.
const eventQueueSize = 64

// New returns a Syncer without a configuration. Run must be called to receive
// one.
func New(opts Options) *Syncer {
	if opts.Client == nil {
		opts.Client = http.DefaultClient
	}
	if opts.RenewInterval <= 0 || opts.RenewInterval > DefaultRenewInterval {
		opts.RenewInterval = DefaultRenewInterval
	}
	if opts.CloseConnections == nil {
		opts.CloseConnections = func(string) {}
	}
	opts.Entry = proto.CloneOf(opts.Entry)
	if opts.Entry == nil {
		opts.Entry = &catalogpb.Entry{}
	}
	opts.Entry.Features = uint64(features.Supported)
	s := &Syncer{
		opts:      opts,
		startedAt: time.Now(),
		bootTime:  boottime.Now,
		events:    make(chan any, eventQueueSize),
		done:      make(chan struct{}),
	}
	s.build = buildinfo.Read().Short()
	s.pause.now = func() time.Duration { return s.bootTime() }
	s.snapshot.Store(&snapshot{})
	return s
}

// OnChange registers a function that the loop calls after each change of the
// configuration or of the accepted revision. The function must not block, and
// OnChange must be called before Run.
func (s *Syncer) OnChange(f func(v *configview.View)) {
	s.listeners = append(s.listeners, f)
}

// OnLease registers a function that the loop calls with each lease, after the
// configuration and the silent entry VMs that came with it have been recorded. sent
// is the time at which the lease was requested. The function must not block, and
// OnLease must be called before Run.
func (s *Syncer) OnLease(f func(sent time.Time)) {
	s.leaseListeners = append(s.leaseListeners, f)
}

// Run keeps the configuration up to date until ctx ends. It may be called only
// once.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	defer workers.Wait()
	defer cancel()
	newLoop(ctx, s, &workers).run()
}

// View returns the current configuration, or nil before the first one has been
// received.
func (s *Syncer) View() *configview.View { return s.snapshot.Load().view }

// Fresh reports whether new work may be admitted now under the current
// configuration.
func (s *Syncer) Fresh() bool { return s.now() < s.snapshot.Load().freshUntil }

// Current returns the current configuration and whether new work may be
// admitted under it, read together.
func (s *Syncer) Current() (*configview.View, bool) {
	snap := s.snapshot.Load()
	return snap.view, s.now() < snap.freshUntil
}

// Reachable reports whether the leader has heard from the entry VM recently,
// according to the last lease granted to this one. It is true before the first
// lease.
func (s *Syncer) Reachable(entry string) bool {
	silent := s.silentEntries.Load()
	return silent == nil || !(*silent)[entry]
}

// AllRestarted reports whether all entry VMs have held leases of the present leader
// only, and have been live throughout its term, according to the last lease.
func (s *Syncer) AllRestarted() bool { return s.allRestarted.Load() }

// Isolated reports whether the entry VM has told the leader that it has no way to
// any upstream, according to the last lease granted to this one.
func (s *Syncer) Isolated(entry string) bool {
	isolated := s.isolatedEntries.Load()
	return isolated != nil && (*isolated)[entry]
}

// SetIsolated tells the control group whether this entry VM has no way to any
// upstream. It does not block.
func (s *Syncer) SetIsolated(isolated bool) {
	if s.isolated.Swap(isolated) == isolated {
		return
	}
	select {
	case s.events <- isolationChanged{}:
	default:
		// Sent with the next renewal.
	}
}

func setOf(ids []string) *map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return &set
}

// SinceControlContact returns the time since a control VM, or an entry VM that
// relays renewals, last answered. Before the first answer it is the time since
// New.
func (s *Syncer) SinceControlContact() time.Duration {
	return s.now() - time.Duration(s.lastControlContact.Load())
}

// unknownAge is the age of a configuration that control has not confirmed.
const unknownAge = time.Duration(math.MaxInt64)

// SinceNewest returns the time for which the current configuration has not been
// known to be the newest one. It includes time for which the VM was suspended.
// Before the first lease it is the longest duration.
func (s *Syncer) SinceNewest() time.Duration {
	snap := s.snapshot.Load()
	if !snap.synced {
		return unknownAge
	}
	return s.bootTime() - snap.newestAt
}

// AcceptedEverywhere returns the newest revision known to be accepted in all
// regions.
func (s *Syncer) AcceptedEverywhere() uint64 { return s.acceptedEverywhere.Load() }

// AcceptedRevision returns the newest revision known to be accepted in the
// region of this entry VM.
func (s *Syncer) AcceptedRevision() uint64 { return s.snapshot.Load().acceptedRevision }

// Dispatches reports whether this entry VM may grant slots of the cell now, and
// the epoch of the cell's assignment. It may if the configuration that assigns
// the cell to it is fresh and the assignment is accepted, so that no other
// entry VM still grants slots of the cell.
func (s *Syncer) Dispatches(key configview.CellKey) (epoch uint64, ok bool) {
	snap := s.snapshot.Load()
	if snap.view == nil || s.now() >= snap.freshUntil {
		return 0, false
	}
	c := snap.view.Cell(key)
	if c == nil || c.Entry != s.opts.Entry.Id || c.Incarnation != s.opts.Entry.Incarnation {
		return 0, false
	}
	return c.Epoch, c.Epoch <= snap.acceptedRevision
}

// SetLeaving announces the planned stop of this entry VM to the control group.
func (s *Syncer) SetLeaving() { s.post(leavingAnnounced{}) }

// Handler serves renewals to relay, confirmations and configurations from other
// processes of the cluster.
func (s *Syncer) Handler() http.Handler {
	return clusterpb.NewDistributionServer(&server{syncer: s})
}

func (s *Syncer) now() time.Duration { return time.Since(s.startedAt) }

func (s *Syncer) self() freshness.EntryKey {
	return freshness.EntryKey{ID: s.opts.Entry.Id, ClusterAddress: s.opts.Entry.ClusterAddress, Region: s.opts.Entry.Region}
}

// revision returns the revision of the current configuration, or 0 if there is
// none.
func (s *Syncer) revision() uint64 {
	if v := s.View(); v != nil {
		return v.Revision()
	}
	return 0
}

// ControlTargets returns the addresses of up to n control VMs for a call that any of them
// takes: the leader first, if it is known, then others in random order.
func (s *Syncer) ControlTargets(n int) []string {
	var targets []string
	if leader := s.leaderAddress.Load(); leader != nil {
		targets = append(targets, *leader)
	}
	for _, i := range rand.Perm(len(s.opts.ControlAddresses)) {
		if a := s.opts.ControlAddresses[i]; !slices.Contains(targets, a) {
			targets = append(targets, a)
		}
	}
	return targets[:min(n, len(targets))]
}

// sinceConfirmationGiven returns the time since a revision was last confirmed
// to another entry VM, or since New if none was. It is limited to an hour so
// that it fits the field of the message.
func (s *Syncer) sinceConfirmationGiven() time.Duration {
	return min(s.now()-time.Duration(s.lastConfirmationGiven.Load()), time.Hour)
}

// post queues an event for the loop, or drops it if the loop has ended.
func (s *Syncer) post(ev any) {
	select {
	case s.events <- ev:
	case <-s.done:
	}
}

func (s *Syncer) client(address string) clusterpb.Distribution {
	return clusterpb.NewDistributionProtobufClient("http://"+address, s.opts.Client)
}
