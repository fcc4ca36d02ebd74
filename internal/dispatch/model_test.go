package dispatch

import (
	"fmt"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// drawFunc returns a random number from 0 to n-1.
type drawFunc func(n int) int

// Settings of the cell in the model.
const (
	modelSlots     = 3
	modelColdLimit = 1
	modelWarmAfter = 4
	modelTimeout   = 3 * time.Second
	modelMaxWait   = 400 * ms
)

// model is a cell that moves from one dispatcher to another, three entry VMs
// that follow the protocol of slot clients, and two simulated upstreams that
// count their requests. The network loses, delays, reorders and duplicates
// messages.
type model struct {
	draw      drawFunc
	overrides ruleOverrides
	now       time.Duration
	// dispatchers holds the dispatchers that the cell was assigned to;
	// dispatchers[i] has epoch i+1.
	dispatchers []*dispatcherModel
	entries     []*entryModel
	upstreams   []*upstreamModel
	inTransit   []message
	zoneOpen    bool
	nextID      uint64
	restarted   bool
	err         error
	// unanswered holds the requests that a dispatcher has received and not
	// answered.
	unanswered map[RequestKey]requestModel
}

// requestModel is a request received by a dispatcher.
type requestModel struct {
	dispatcher *dispatcherModel
	answerBy   time.Duration
}

// dispatcherModel is a process that the cell is or was assigned to.
type dispatcherModel struct {
	epoch    uint64
	cell     *Cell
	hasLease bool
	accepted bool
	// toldZoneClosed and toldDrained record which closed zone and drained
	// upstreams the cell has been told of.
	toldZoneClosed bool
	toldDrained    map[string]bool
}

// entryModel is an entry VM.
type entryModel struct {
	name        string
	incarnation uint64
	epoch       uint64
	lost        bool
	waiting     map[uint64]time.Duration
	running     map[uint64]*runningRequest
	limits      map[string]UpstreamLimit
	// unsentReleases are releases not acknowledged by a dispatcher.
	unsentReleases []Release
}

// runningRequest is a request that runs at an upstream.
type runningRequest struct {
	key      RequestKey
	upstream *upstreamModel
	deadline time.Duration
}

type upstreamModel struct {
	id        string
	running   map[RequestKey]*runningRequest
	completed int
	draining  bool
}

func (u *upstreamModel) isCold() bool { return u.completed < modelWarmAfter }

// message is a message in transit: an event to the dispatcher of an epoch, or a
// grant to an entry VM. The Deadline of an Acquire in transit is the time left;
// deliver adds the time of arrival.
type message struct {
	epoch       uint64
	event       Event
	entry       *entryModel
	incarnation uint64
	grant       *Grant
	grantEpoch  uint64
}

func newModel(draw drawFunc, overrides ruleOverrides) *model {
	m := &model{draw: draw, overrides: overrides, zoneOpen: true, unanswered: make(map[RequestKey]requestModel)}
	for i := range 3 {
		e := &entryModel{name: fmt.Sprintf("e%d", i), incarnation: 1, epoch: 1}
		e.reset()
		m.entries = append(m.entries, e)
	}
	for i := range 2 {
		m.upstreams = append(m.upstreams, &upstreamModel{id: fmt.Sprintf("u%d", i), running: make(map[RequestKey]*runningRequest)})
	}
	m.assignCell()
	m.dispatchers[0].accept(m)
	for _, e := range m.entries {
		m.dispatchers[0].cell.Step(0, Reregister{Entry: e.name, Incarnation: 1})
	}
	return m
}

func (e *entryModel) reset() {
	e.waiting = make(map[uint64]time.Duration)
	e.running = make(map[uint64]*runningRequest)
	e.limits = make(map[string]UpstreamLimit)
	e.unsentReleases = nil
}

// assignCell assigns the cell to a new dispatcher.
func (m *model) assignCell() {
	cfg := Config{Slots: modelSlots, ColdSlots: modelColdLimit, WarmAfter: modelWarmAfter, QueueLimit: 4, Timeout: modelTimeout, ZoneOpen: m.zoneOpen}
	for _, e := range m.entries {
		cfg.TicketHolders = append(cfg.TicketHolders, e.name)
	}
	d := &dispatcherModel{epoch: uint64(len(m.dispatchers) + 1), cell: New(cfg, m.now, 1), hasLease: true, toldDrained: make(map[string]bool), toldZoneClosed: !m.zoneOpen}
	d.cell.overrides = m.overrides
	m.dispatchers = append(m.dispatchers, d)
}

func (d *dispatcherModel) accept(m *model) {
	d.accepted = true
	d.cell.Step(m.now, AssignmentAccepted{})
}

func (m *model) current() *dispatcherModel { return m.dispatchers[len(m.dispatchers)-1] }

// fail records the first violation.
func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%v: "+format, append([]any{m.now}, args...)...)
	}
}

// run takes n random steps, then drains the model and checks for leaked slots.
func (m *model) run(n int) error {
	for range n {
		m.step()
		if m.err != nil {
			return m.err
		}
	}
	m.drainAndCheckSlots()
	return m.err
}

func (m *model) step() {
	m.now += time.Duration(m.draw(12)) * ms
	switch m.draw(17) {
	case 0, 1, 2:
		m.requestSlot(m.entries[m.draw(len(m.entries))])
	case 3, 4, 5, 6, 7:
		m.deliverRandom()
	case 8, 9:
		m.finishOldest()
	case 10:
		m.announce(m.upstreams[m.draw(len(m.upstreams))])
	case 11:
		m.sendReleases(m.entries[m.draw(len(m.entries))])
	case 12:
		m.tick()
	case 13:
		m.changeDispatcher()
	case 14:
		m.reregister(m.entries[m.draw(len(m.entries))])
	case 15:
		m.injectFault()
	case 16:
		m.withdrawOldest(m.entries[m.draw(len(m.entries))])
	}
}

// send puts a message on the network, sometimes twice.
func (m *model) send(msg message) {
	m.inTransit = append(m.inTransit, msg)
	if m.draw(8) == 0 {
		m.inTransit = append(m.inTransit, msg)
	}
}

// deliverRandom delivers or loses a message picked at random.
func (m *model) deliverRandom() {
	if len(m.inTransit) == 0 {
		return
	}
	i := m.draw(len(m.inTransit))
	msg := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	if m.draw(8) > 0 {
		m.deliver(msg)
	}
}

func (m *model) deliver(msg message) {
	if msg.grant != nil {
		m.receiveGrant(msg)
		return
	}
	if int(msg.epoch) > len(m.dispatchers) {
		return
	}
	d := m.dispatchers[msg.epoch-1]
	if a, ok := msg.event.(Acquire); ok {
		if !d.hasLease || !d.accepted {
			return
		}
		a.Deadline += m.now
		msg.event = a
		m.unanswered[a.Key] = requestModel{d, m.now + a.MaxWait}
	}
	m.recordEvent(d, msg.event)
	m.applyActions(d, d.cell.Step(m.now, msg.event))
}

// recordEvent records what a dispatcher has been told.
func (m *model) recordEvent(d *dispatcherModel, ev Event) {
	switch ev := ev.(type) {
	case Announce:
		if ev.State == ReportedDraining {
			d.toldDrained[ev.ID] = true
		}
	case Release:
		delete(m.unanswered, ev.Key)
	}
}

// applyActions checks the actions of a cell and sends its grants.
func (m *model) applyActions(d *dispatcherModel, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			delete(m.unanswered, a.Key)
			if d.toldZoneClosed || d.toldDrained[a.Upstream] {
				m.fail("granted a slot of %s after the zone closed or the upstream drained", a.Upstream)
			}
			g := a
			m.send(message{grant: &g, entry: m.entry(a.Key.Entry), incarnation: a.Key.Incarnation, grantEpoch: d.epoch})
		case Refuse:
			delete(m.unanswered, a.Key)
		}
	}
}

func (m *model) entry(name string) *entryModel {
	for _, e := range m.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// finishOldest ends the request with the lowest id at a random upstream.
func (m *model) finishOldest() {
	u := m.upstreams[m.draw(len(m.upstreams))]
	var oldest *runningRequest
	for _, r := range u.running {
		if oldest == nil || r.key.ID < oldest.key.ID {
			oldest = r
		}
	}
	if oldest != nil {
		m.finish(oldest, clusterpb.Outcome_OUTCOME_OK)
	}
}

func (m *model) finish(r *runningRequest, o clusterpb.Outcome) {
	delete(r.upstream.running, r.key)
	if o == clusterpb.Outcome_OUTCOME_OK {
		r.upstream.completed++
	}
	e := m.entry(r.key.Entry)
	if e.incarnation != r.key.Incarnation || e.running[r.key.ID] == nil {
		return
	}
	delete(e.running, r.key.ID)
	e.unsentReleases = append(e.unsentReleases, Release{Key: r.key, Outcome: o, ServiceTime: 10 * ms})
}

func (m *model) announce(u *upstreamModel) {
	state := ReportedWarm
	if u.isCold() && m.draw(2) == 0 {
		state = ReportedCold
	}
	if u.draining {
		state = ReportedDraining
	}
	ev := Announce{ID: u.id, Address: u.id, Slots: modelSlots, Incarnation: 1, State: state}
	for _, d := range m.dispatchers {
		m.send(message{epoch: d.epoch, event: ev})
	}
}

// tick ticks all dispatchers and cancels requests past their deadline.
func (m *model) tick() {
	for _, d := range m.dispatchers {
		m.applyActions(d, d.cell.Step(m.now, Tick{}))
	}
	for _, u := range m.upstreams {
		for _, r := range u.running {
			if m.now >= r.deadline {
				m.finish(r, clusterpb.Outcome_OUTCOME_CANCELLED)
			}
		}
	}
	for k, p := range m.unanswered {
		if m.now > p.answerBy+50*ms {
			m.fail("request %v was not answered within its maximum wait", k)
		}
	}
}

// changeDispatcher assigns the cell to another dispatcher, ends the lease of an
// earlier one, or lets the newest one start once no earlier one has a lease.
func (m *model) changeDispatcher() {
	last := m.current()
	if len(m.dispatchers) < 3 && m.draw(4) == 0 {
		m.assignCell()
		return
	}
	for _, d := range m.dispatchers {
		if d != last && d.hasLease {
			m.endLease(d)
			return
		}
	}
	if !last.accepted {
		last.accept(m)
	}
}

// endLease ends the lease of a dispatcher, which then refuses its queued
// requests.
func (m *model) endLease(d *dispatcherModel) {
	d.hasLease = false
	d.cell.Step(m.now, Close{})
	for k, p := range m.unanswered {
		if p.dispatcher == d {
			delete(m.unanswered, k)
		}
	}
}

// injectFault loses an entry VM for good, restarts one, drains an upstream or
// closes the zone, each with a low probability.
func (m *model) injectFault() {
	switch m.draw(24) {
	case 0:
		m.entries[2].lost = true
	case 1:
		m.upstreams[1].draining = true
	case 3:
		m.restart(m.entries[1])
	case 2:
		m.zoneOpen = false
		for _, d := range m.dispatchers {
			d.toldZoneClosed = true
			m.applyActions(d, d.cell.Step(m.now, Configure{Config{Slots: modelSlots, ColdSlots: modelColdLimit, WarmAfter: modelWarmAfter, QueueLimit: 4, Timeout: modelTimeout}}))
		}
	}
}

// drainAndCheckSlots ends all requests and checks that every slot is free: at
// once if no entry VM was lost or restarted, otherwise after the deadlines.
func (m *model) drainAndCheckSlots() {
	for _, d := range m.dispatchers[:len(m.dispatchers)-1] {
		m.endLease(d)
	}
	if d := m.current(); !d.accepted {
		d.accept(m)
	}
	for _, e := range m.entries {
		e.epoch = m.current().epoch
	}
	for range 4 {
		m.drain()
	}
	if !m.entries[2].lost && !m.restarted {
		m.checkNoSlotTaken()
	}
	m.now += modelTimeout + time.Second
	for range 4 {
		m.drain()
	}
	m.checkNoSlotTaken()
}

// drain delivers all messages, and ends or withdraws all requests of running
// entry VMs.
func (m *model) drain() {
	for len(m.inTransit) > 0 && m.err == nil {
		msg := m.inTransit[0]
		m.inTransit = m.inTransit[1:]
		m.deliver(msg)
	}
	for _, u := range m.upstreams {
		for _, r := range u.running {
			if e := m.entry(r.key.Entry); m.now >= r.deadline || !e.lost && e.incarnation == r.key.Incarnation {
				m.finish(r, clusterpb.Outcome_OUTCOME_OK)
			}
		}
	}
	for _, e := range m.entries {
		for id := e.oldestWaiting(); id != 0 && !e.lost; id = e.oldestWaiting() {
			e.withdraw(RequestKey{e.name, e.incarnation, id})
		}
		for range 20 {
			m.sendReleases(e)
		}
	}
	m.tick()
}

// checkNoSlotTaken checks that the newest dispatcher counts no request in
// flight.
func (m *model) checkNoSlotTaken() {
	for _, u := range m.upstreams {
		if n := m.current().cell.InFlight(u.id); n != 0 {
			m.fail("%d slots of %s were not freed after all requests ended", n, u.id)
		}
	}
}
