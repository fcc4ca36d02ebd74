package acceptance

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/assign"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

// chooser makes the random decisions of a run.
type chooser interface {
	// intn returns a number from 0 to n-1.
	intn(n int) int
}

// rules switches single rules off, to see the oracle catch it.
type rules struct {
	anyQuorumAge     bool // grant however old the quorum is
	forgetOldLeases  bool // a new leader takes no lease for given
	unsyncedConfirm  bool // a restarted entry VM confirms others at once
	unconfirmedSync  bool // sync without a confirmed read
	ignoreLeases     bool // accept while leases on older revisions run
	ignoreConfirms   bool // accept without waiting for confirmations to end
	forgetConfirms   bool // a restarted process reports no confirmation
	ignorePrevious   bool // judge a change of the set over the new set only
	fastClocks       bool // clocks drift beyond the bound
	dispatchEarly    bool // dispatch before the assignment is accepted
	leaseFromReceipt bool // count the lease from the answer
	backwards        bool // adopt an older configuration
	concurrentSets   bool // change the set before its last change is accepted
	cachedFreshness  bool // a frozen process trusts an earlier check
	anyRegion        bool // a cell may move to another region
}

// clock reads a monotonic clock that runs at its own rate.
type clock struct {
	ratePermille time.Duration
}

func (c clock) at(now time.Duration) time.Duration { return now * c.ratePermille / 1000 }

// proc is one process of an entry VM.
type proc struct {
	clock
	key         freshness.EntryKey
	incarnation uint64
	state       *freshness.State
	config      *catalogpb.Config
	running     bool
	frozen      bool
	freshBefore bool
	// given is the time at which the process last confirmed a revision, or
	// started.
	given time.Duration
}

// leader is one term of one control VM, also after it has been deposed.
type leader struct {
	clock
	since    time.Duration
	quorumAt time.Duration
	tracker  *Tracker
	config   *catalogpb.Config
	cut      bool
}

// message is on its way between processes.
type message struct {
	kind        kind
	from, to    int
	incarnation uint64
	sent        time.Duration
	revision    uint64
	accepted    uint64
	synced      bool
	quiet       time.Duration
	lease       time.Duration
	config      *catalogpb.Config
}

type kind int

const (
	renewal kind = iota
	grantAnswer
	question
	confirmation
)

// world is a control log that commits at once, its successive leaders, entry
// VMs, and a net that loses, delays, doubles and reorders.
type world struct {
	chooser
	rules   rules
	now     time.Duration
	catalog *catalog.Catalog
	index   uint64
	leaders []*leader
	procs   []*proc
	net     []message
	right   []bool
	// accepted holds the newest revision that a leader found accepted, by region.
	accepted map[string]uint64
	regions  int
	changes  uint64
	fault    string
	// events counts what was drawn.
	events map[string]int
}

// regionNames names the regions, zoneIn the availability zone of each.
var (
	regionNames = []string{"r0", "r1"}
	zoneIn      = map[string]string{"r0": "a", "r1": "b"}
)

func newWorld(c chooser, r rules, entries int) *world {
	w := &world{chooser: c, rules: r, catalog: catalog.New(), now: time.Second, events: map[string]int{}}
	w.accepted = make(map[string]uint64)
	w.regions = 1 + c.intn(2)
	for i := range entries {
		w.procs = append(w.procs, w.newProc(i))
	}
	w.right = make([]bool, entries)
	w.now += freshness.ConfirmationValidity + time.Second
	w.elect()
	w.setUp()
	return w
}

func (w *world) newClock() clock {
	if w.rules.fastClocks {
		return clock{time.Duration(800 + w.intn(400))}
	}
	return clock{time.Duration(995 + w.intn(11))}
}

func (w *world) newProc(i int) *proc {
	key := freshness.EntryKey{ID: fmt.Sprintf("e%d", i), ClusterAddress: fmt.Sprintf("e%d:1", i), Region: regionNames[i%w.regions]}
	p := &proc{clock: w.newClock(), key: key, incarnation: 1, running: true, state: freshness.New(key)}
	if len(w.procs) > i {
		p.incarnation = w.procs[i].incarnation + 1
	}
	p.given = p.at(w.now)
	if w.rules.forgetConfirms {
		p.given -= time.Hour
	}
	return p
}

// setUp registers all entry VMs, creates a service, and lets all renew.
func (w *world) setUp() {
	l := w.leaders[0]
	for i := range w.regions {
		zone := &catalogpb.Zone{Name: zoneIn[regionNames[i]], Region: regionNames[i]}
		w.operate(l, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: zone}})
	}
	w.operate(l, &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{Name: "s", PathPrefix: "/s", Shards: 2}}})
	for i := range w.procs {
		w.register(l, i)
		w.settle()
	}
	w.assign(l)
	w.settle()
}

// settle lets every entry VM renew twice without loss.
func (w *world) settle() {
	for range 2 {
		for i := range w.procs {
			w.renew(i, 0)
		}
		for len(w.net) > 0 {
			w.deliver(0, false)
		}
		w.advance()
	}
}

// latest is the leader of the newest term.
func (w *world) latest() *leader { return w.leaders[len(w.leaders)-1] }

// elect begins a term. The leader has applied everything committed.
func (w *world) elect() {
	c := w.newClock()
	l := &leader{clock: c, since: c.at(w.now), quorumAt: c.at(w.now), config: w.catalog.Config()}
	since := l.since
	if w.rules.forgetOldLeases {
		since -= time.Hour
	}
	l.tracker = New(since, w.revision(l.config))
	if w.rules.ignoreLeases {
		l.tracker.lease = 0
		l.tracker.members = map[freshness.EntryKey]*member{}
	}
	if w.rules.ignoreConfirms {
		l.tracker.confirm = 0
	}
	w.leaders = append(w.leaders, l)
}

func (w *world) revision(cfg *catalogpb.Config) Revision {
	r := Revision{Number: cfg.Revision, Set: keys(catalog.EntryKeys(cfg)), SetRevision: cfg.SetRevision, PreviousSet: keys(cfg.PreviousSet)}
	if w.rules.ignorePrevious {
		r.PreviousSet = nil
	}
	return r
}

func keys(list []*catalogpb.EntryKey) []freshness.EntryKey {
	out := make([]freshness.EntryKey, len(list))
	for i, k := range list {
		out[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return out
}

// commit appends a command. Only the leader of the newest term can, while it
// reaches its quorum.
func (w *world) commit(l *leader, cmd *catalogpb.Command) {
	if l != w.latest() || l.cut {
		return
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	w.index++
	w.catalog.Apply(w.index, data)
	l.config = w.catalog.Config()
	l.tracker.AddRevision(w.revision(l.config))
}

func (w *world) operate(l *leader, change *catalogpb.Change) {
	w.changes++
	id := &catalogpb.ChangeID{Operator: "op", Number: w.changes}
	oc := &catalogpb.OperatorChange{Id: id, Change: change}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: oc}})
}

// zoneChange takes the availability zone out, or brings it back.
func (w *world) zoneChange(l *leader) {
	state := catalogpb.ZoneState_ZONE_STATE_LEAVING
	if l.config.Zones[0].State == state {
		state = catalogpb.ZoneState_ZONE_STATE_RETURNING
	}
	set := &catalogpb.SetZoneState{Zone: "a", State: state}
	w.operate(l, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: set}})
}

// setOpen reports whether the leader may change the registered set.
func (w *world) setOpen(l *leader) bool {
	return w.rules.concurrentSets || l.tracker.CanChangeSet()
}

func (w *world) register(l *leader, i int) {
	p := w.procs[i]
	entry := &catalogpb.Entry{
		Id: p.key.ID, Zone: zoneIn[p.key.Region], Region: p.key.Region,
		ClusterAddress: p.key.ClusterAddress, Incarnation: p.incarnation,
	}
	if !slices.Contains(l.tracker.Current().Set, p.key) && !w.setOpen(l) {
		return
	}
	reg := &catalogpb.RegisterEntry{Entry: entry, SetRevision: l.config.SetRevision}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: reg}})
}

// remove removes an entry VM. One that runs is judged over both sets.
func (w *world) remove(l *leader, i int) {
	p := w.procs[i]
	open := w.setOpen(l)
	if !open && p.running {
		return
	}
	rm := &catalogpb.RemoveEntry{Id: p.key.ID, SetRevision: l.config.SetRevision, Ended: !p.running, Pending: !open}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: rm}})
}

// assign plans cells over a drawn set of available entry VMs.
func (w *world) assign(l *leader) {
	var available []assign.Entry
	for _, e := range l.config.Entries {
		if w.rules.anyRegion {
			e = proto.CloneOf(e)
			e.Region = regionNames[0]
		}
		if w.intn(2) == 0 {
			available = append(available, assign.Entry{ID: e.Id, Zone: e.Zone, Region: e.Region, Incarnation: e.Incarnation})
		}
	}
	if cells := assign.Cells(l.config, available); len(cells) > 0 {
		w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_AssignCells{AssignCells: &catalogpb.AssignCells{Cells: cells}}})
	}
}

// advance lets all leaders accept what they can.
func (w *world) advance() {
	for _, l := range w.leaders {
		l.tracker.Advance(l.at(w.now))
		for _, region := range regionNames[:w.regions] {
			w.accepted[region] = max(w.accepted[region], l.tracker.AcceptedIn(region))
		}
	}
}
