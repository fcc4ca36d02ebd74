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

// disabledRules disables single rules, to show that the checks notice it.
type disabledRules struct {
	ignoreQuorumAge          bool // grant leases whatever the age of the last quorum
	ignorePreviousTermLeases bool // a new leader assumes no leases of the previous one
	confirmBeforeSync        bool // a restarted entry VM confirms before it has synced
	syncWithoutConfirmedRead bool // grant a lease to an unsynced entry VM without a confirmed read
	ignoreLeases             bool // accept while leases at older revisions are valid
	ignoreConfirmations      bool // accept without waiting for confirmations to expire
	forgetConfirmations      bool // a restarted process reports that it has not confirmed recently
	ignorePreviousSet        bool // need a majority of the new set only
	exceedClockDrift         bool // clocks drift beyond the bound
	dispatchBeforeAcceptance bool // dispatch a cell before its assignment is accepted
	leaseFromReceipt         bool // start the lease when the response is received
	adoptOlderRevision       bool // adopt an older revision
	concurrentSetChanges     bool // change the set before its last change is accepted
	cacheFreshness           bool // a process that was frozen relies on an earlier check
	assignAcrossRegions      bool // assign a cell to an entry VM of another region
}

// clock is a monotonic clock with its own rate, in permille of simulated time.
type clock struct {
	ratePermille time.Duration
}

func (c clock) at(now time.Duration) time.Duration { return now * c.ratePermille / 1000 }

// process is one process of an entry VM; a restart replaces it.
type process struct {
	clock
	key               freshness.EntryKey
	incarnation       uint64
	state             *freshness.State
	config            *catalogpb.Config
	running           bool
	frozen            bool
	freshBeforeFreeze bool
	// lastConfirmed is the time at which the process last confirmed a revision, or
	// started.
	lastConfirmed time.Duration
}

// leader is a control VM during one term. It stays after a newer leader is
// elected.
type leader struct {
	clock
	since      time.Duration
	quorumAt   time.Duration
	tracker    *Tracker
	config     *catalogpb.Config
	lostQuorum bool
}

// message is a message in transit.
type message struct {
	kind           messageKind
	from, to       int
	incarnation    uint64
	sent           time.Duration
	revision       uint64
	accepted       uint64
	synced         bool
	sinceConfirmed time.Duration
	lease          time.Duration
	config         *catalogpb.Config
}

type messageKind int

const (
	renewal messageKind = iota
	renewalResponse
	confirmationRequest
	confirmation
)

// simulation is a model of a control log that commits at once, its successive
// leaders, the entry VMs, and a network that drops, delays, duplicates and
// reorders messages.
type simulation struct {
	chooser
	rules     disabledRules
	now       time.Duration
	catalog   *catalog.Catalog
	index     uint64
	leaders   []*leader
	processes []*process
	network   []message
	// isolated marks the processes that do not reach the newest leader.
	isolated []bool
	// accepted is the newest revision that a leader has accepted, by region.
	accepted         map[string]uint64
	regionCount      int
	lastChangeNumber uint64
	violation        string
	// eventCounts is the number of events by name, which failures report.
	eventCounts map[string]int
}

// regionNames are the regions; zoneOfRegion gives the availability zone of each.
var (
	regionNames  = []string{"r0", "r1"}
	zoneOfRegion = map[string]string{"r0": "a", "r1": "b"}
)

func newSimulation(c chooser, r disabledRules, entries int) *simulation {
	w := &simulation{chooser: c, rules: r, catalog: catalog.New(), now: time.Second, eventCounts: map[string]int{}}
	w.accepted = make(map[string]uint64)
	w.regionCount = 1 + c.intn(2)
	for i := range entries {
		w.processes = append(w.processes, w.newProcess(i))
	}
	w.isolated = make([]bool, entries)
	w.now += freshness.ConfirmationValidity + time.Second
	w.elect()
	w.setUp()
	return w
}

func (w *simulation) newClock() clock {
	if w.rules.exceedClockDrift {
		return clock{time.Duration(800 + w.intn(400))}
	}
	return clock{time.Duration(995 + w.intn(11))}
}

func (w *simulation) newProcess(i int) *process {
	key := freshness.EntryKey{ID: fmt.Sprintf("e%d", i), ClusterAddress: fmt.Sprintf("e%d:1", i), Region: regionNames[i%w.regionCount]}
	p := &process{clock: w.newClock(), key: key, incarnation: 1, running: true, state: freshness.New(key)}
	if len(w.processes) > i {
		p.incarnation = w.processes[i].incarnation + 1
	}
	p.lastConfirmed = p.at(w.now)
	if w.rules.forgetConfirmations {
		p.lastConfirmed -= time.Hour
	}
	return p
}

// setUp creates zones and a service, registers all entry VMs and assigns cells.
func (w *simulation) setUp() {
	l := w.leaders[0]
	for i := range w.regionCount {
		zone := &catalogpb.Zone{Name: zoneOfRegion[regionNames[i]], Region: regionNames[i]}
		w.applyOperatorChange(l, &catalogpb.Change{Kind: &catalogpb.Change_PutZone{PutZone: zone}})
	}
	w.applyOperatorChange(l, &catalogpb.Change{Kind: &catalogpb.Change_PutService{PutService: &catalogpb.Service{Name: "s", PathPrefix: "/s", Shards: 2}}})
	for i := range w.processes {
		w.register(l, i)
		w.renewAll()
	}
	w.assign(l)
	w.renewAll()
}

// renewAll lets every entry VM renew twice without loss.
func (w *simulation) renewAll() {
	for range 2 {
		for i := range w.processes {
			w.renew(i, 0)
		}
		for len(w.network) > 0 {
			w.deliver(0, false)
		}
		w.advance()
	}
}

// newestLeader returns the leader of the newest term.
func (w *simulation) newestLeader() *leader { return w.leaders[len(w.leaders)-1] }

// elect begins a term with a leader that has applied all committed commands.
func (w *simulation) elect() {
	c := w.newClock()
	l := &leader{clock: c, since: c.at(w.now), quorumAt: c.at(w.now), config: w.catalog.Config()}
	since := l.since
	if w.rules.ignorePreviousTermLeases {
		since -= time.Hour
	}
	l.tracker = New(since, w.trackerRevision(l.config))
	if w.rules.ignoreLeases {
		l.tracker.leaseWait = 0
		for _, m := range l.tracker.entries {
			m.grants = nil
		}
	}
	if w.rules.ignoreConfirmations {
		l.tracker.confirmationWait = 0
	}
	w.leaders = append(w.leaders, l)
}

func (w *simulation) trackerRevision(cfg *catalogpb.Config) Revision {
	r := Revision{Number: cfg.Revision, Set: entryKeys(catalog.EntryKeys(cfg)), SetRevision: cfg.SetRevision, PreviousSet: entryKeys(cfg.PreviousSet)}
	if w.rules.ignorePreviousSet {
		r.PreviousSet = nil
	}
	return r
}

func entryKeys(list []*catalogpb.EntryKey) []freshness.EntryKey {
	out := make([]freshness.EntryKey, len(list))
	for i, k := range list {
		out[i] = freshness.EntryKey{ID: k.Id, ClusterAddress: k.ClusterAddress, Region: k.Region}
	}
	return out
}

// commit commits a command. It does nothing unless l is the newest leader and
// reaches a quorum.
func (w *simulation) commit(l *leader, cmd *catalogpb.Command) {
	if l != w.newestLeader() || l.lostQuorum {
		return
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	w.index++
	w.catalog.Apply(w.index, data)
	l.config = w.catalog.Config()
	l.tracker.AddRevision(w.trackerRevision(l.config))
}

func (w *simulation) applyOperatorChange(l *leader, change *catalogpb.Change) {
	w.lastChangeNumber++
	id := &catalogpb.ChangeID{Operator: "op", Number: w.lastChangeNumber}
	oc := &catalogpb.OperatorChange{Id: id, Change: change}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_OperatorChange{OperatorChange: oc}})
}

// toggleZone takes availability zone a out, or brings it back.
func (w *simulation) toggleZone(l *leader) {
	state := catalogpb.ZoneState_ZONE_STATE_LEAVING
	if l.config.Zones[0].State == state {
		state = catalogpb.ZoneState_ZONE_STATE_RETURNING
	}
	set := &catalogpb.SetZoneState{Zone: "a", State: state}
	w.applyOperatorChange(l, &catalogpb.Change{Kind: &catalogpb.Change_SetZoneState{SetZoneState: set}})
}

// canChangeSet reports whether the leader may change the set of entry VMs.
func (w *simulation) canChangeSet(l *leader) bool {
	return w.rules.concurrentSetChanges || l.tracker.CanChangeSet()
}

func (w *simulation) register(l *leader, i int) {
	p := w.processes[i]
	entry := &catalogpb.Entry{
		Id: p.key.ID, Zone: zoneOfRegion[p.key.Region], Region: p.key.Region,
		ClusterAddress: p.key.ClusterAddress, Incarnation: p.incarnation,
	}
	if !slices.Contains(l.tracker.Current().Set, p.key) && !w.canChangeSet(l) {
		return
	}
	reg := &catalogpb.RegisterEntry{Entry: entry, SetRevision: l.config.SetRevision}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_RegisterEntry{RegisterEntry: reg}})
}

// remove removes an entry VM from the set. A running one cannot be removed before
// the last change of the set is accepted.
func (w *simulation) remove(l *leader, i int) {
	p := w.processes[i]
	canChange := w.canChangeSet(l)
	if !canChange && p.running {
		return
	}
	rm := &catalogpb.RemoveEntry{Id: p.key.ID, SetRevision: l.config.SetRevision, Ended: !p.running, Pending: !canChange}
	w.commit(l, &catalogpb.Command{Kind: &catalogpb.Command_RemoveEntry{RemoveEntry: rm}})
}

// assign assigns the cells to a random subset of the registered entry VMs.
func (w *simulation) assign(l *leader) {
	var available []assign.Entry
	for _, e := range l.config.Entries {
		if w.rules.assignAcrossRegions {
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

// advance lets all leaders accept the revisions that they can.
func (w *simulation) advance() {
	for _, l := range w.leaders {
		l.tracker.Advance(l.at(w.now))
		for _, region := range regionNames[:w.regionCount] {
			w.accepted[region] = max(w.accepted[region], l.tracker.AcceptedIn(region))
		}
	}
}
