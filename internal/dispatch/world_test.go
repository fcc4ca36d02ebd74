package dispatch

import (
	"fmt"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// choose draws a number below n.
type choose func(n int) int

// Sizes of the model.
const (
	modelSlots   = 3
	modelCold    = 1
	modelWarm    = 4
	modelTimeout = 3 * time.Second
	modelWait    = 400 * ms
)

// model is a cell that moves from one dispatcher to another, three entry VMs
// that follow the rules of the slot client, and stand-in upstreams that count.
// The network loses, delays and doubles messages.
type model struct {
	pick  choose
	rules rules
	now   time.Duration
	// dispatchers[i] has epoch i+1; nil before it is assigned.
	dispatchers []*dispatcherModel
	entries     []*entryModel
	upstreams   []*upstreamModel
	net         []packet
	open        bool
	nextID      uint64
	restarted   bool
	err         error
	// pending lists the requests that a dispatcher has taken in.
	pending map[RequestKey]pendingModel
}

// pendingModel is a request that a dispatcher has taken in.
type pendingModel struct {
	at    *dispatcherModel
	until time.Duration
}

type dispatcherModel struct {
	epoch    uint64
	cell     *Cell
	live     bool
	accepted bool
	// closed and drained are what the cell has been told.
	closed  bool
	drained map[string]bool
}

type entryModel struct {
	name        string
	incarnation uint64
	epoch       uint64
	dead        bool
	wanted      map[uint64]time.Duration
	held        map[uint64]*runModel
	known       map[string]UpstreamLimit
	// unsent are releases that no dispatcher has acknowledged.
	unsent []Release
}

// runModel is a request at an upstream.
type runModel struct {
	key      RequestKey
	up       *upstreamModel
	deadline time.Duration
}

type upstreamModel struct {
	id        string
	running   map[RequestKey]*runModel
	completed int
	draining  bool
}

func (u *upstreamModel) cold() bool { return u.completed < modelWarm }

// packet is a message on its way: an event to a dispatcher or a grant to an
// entry VM.
type packet struct {
	epoch uint64
	event Event
	entry *entryModel
	inc   uint64
	grant *Grant
	from  uint64
}

func newModel(pick choose, off rules) *model {
	m := &model{pick: pick, rules: off, open: true, pending: make(map[RequestKey]pendingModel)}
	for i := range 3 {
		e := &entryModel{name: fmt.Sprintf("e%d", i), incarnation: 1, epoch: 1}
		e.reset()
		m.entries = append(m.entries, e)
	}
	for i := range 2 {
		m.upstreams = append(m.upstreams, &upstreamModel{id: fmt.Sprintf("u%d", i), running: make(map[RequestKey]*runModel)})
	}
	m.assign()
	m.dispatchers[0].accept(m)
	for _, e := range m.entries {
		m.dispatchers[0].cell.Step(0, Reregister{Entry: e.name, Incarnation: 1})
	}
	return m
}

func (e *entryModel) reset() {
	e.wanted = make(map[uint64]time.Duration)
	e.held = make(map[uint64]*runModel)
	e.known = make(map[string]UpstreamLimit)
	e.unsent = nil
}

// assign gives the cell to the next dispatcher.
func (m *model) assign() {
	cfg := Config{Slots: modelSlots, ColdSlots: modelCold, WarmAfter: modelWarm, QueueLimit: 4, Timeout: modelTimeout, ZoneOpen: m.open}
	for _, e := range m.entries {
		cfg.TicketHolders = append(cfg.TicketHolders, e.name)
	}
	d := &dispatcherModel{epoch: uint64(len(m.dispatchers) + 1), cell: New(cfg, m.now, 1), live: true, drained: make(map[string]bool), closed: !m.open}
	d.cell.rules = m.rules
	m.dispatchers = append(m.dispatchers, d)
}

func (d *dispatcherModel) accept(m *model) {
	d.accepted = true
	d.cell.Step(m.now, AssignmentAccepted{})
}

func (m *model) current() *dispatcherModel { return m.dispatchers[len(m.dispatchers)-1] }

func (m *model) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf("%v: "+format, append([]any{m.now}, args...)...)
	}
}

// run takes n random steps, then lets everything come to rest.
func (m *model) run(n int) error {
	for range n {
		m.step()
		if m.err != nil {
			return m.err
		}
	}
	m.settle()
	return m.err
}

func (m *model) step() {
	m.now += time.Duration(m.pick(12)) * ms
	switch m.pick(17) {
	case 0, 1, 2:
		m.request(m.entries[m.pick(len(m.entries))])
	case 3, 4, 5, 6, 7:
		m.transmit()
	case 8, 9:
		m.finishOne()
	case 10:
		m.announce(m.upstreams[m.pick(len(m.upstreams))])
	case 11:
		m.resend(m.entries[m.pick(len(m.entries))])
	case 12:
		m.tick()
	case 13:
		m.move()
	case 14:
		m.adopt(m.entries[m.pick(len(m.entries))])
	case 15:
		m.trouble()
	case 16:
		m.giveUpOne(m.entries[m.pick(len(m.entries))])
	}
}

// send puts a message on the network, at times twice.
func (m *model) send(p packet) {
	m.net = append(m.net, p)
	if m.pick(8) == 0 {
		m.net = append(m.net, p)
	}
}

// transmit delivers or loses any message: the order is not kept.
func (m *model) transmit() {
	if len(m.net) == 0 {
		return
	}
	i := m.pick(len(m.net))
	p := m.net[i]
	m.net = append(m.net[:i:i], m.net[i+1:]...)
	if m.pick(8) > 0 {
		m.deliver(p)
	}
}

func (m *model) deliver(p packet) {
	if p.grant != nil {
		m.granted(p)
		return
	}
	if int(p.epoch) > len(m.dispatchers) {
		return
	}
	d := m.dispatchers[p.epoch-1]
	if a, ok := p.event.(Acquire); ok {
		if !d.live || !d.accepted {
			return
		}
		a.Deadline += m.now
		p.event = a
		m.pending[a.Key] = pendingModel{d, m.now + a.MaxWait}
	}
	m.note(d, p.event)
	m.act(d, d.cell.Step(m.now, p.event))
}

// note records what a dispatcher has been told.
func (m *model) note(d *dispatcherModel, ev Event) {
	switch ev := ev.(type) {
	case Announce:
		if ev.State == ReportedDraining {
			d.drained[ev.ID] = true
		}
	case Release:
		delete(m.pending, ev.Key)
	}
}

// act carries out what a cell decided.
func (m *model) act(d *dispatcherModel, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			delete(m.pending, a.Key)
			if d.closed || d.drained[a.Upstream] {
				m.fail("grant at %s after the zone or the upstream left", a.Upstream)
			}
			g := a
			m.send(packet{grant: &g, entry: m.entry(a.Key.Entry), inc: a.Key.Incarnation, from: d.epoch})
		case Refuse:
			delete(m.pending, a.Key)
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

// finishOne ends one running request.
func (m *model) finishOne() {
	u := m.upstreams[m.pick(len(m.upstreams))]
	var oldest *runModel
	for _, r := range u.running {
		if oldest == nil || r.key.ID < oldest.key.ID {
			oldest = r
		}
	}
	if oldest != nil {
		m.finish(oldest, clusterpb.Outcome_OUTCOME_OK)
	}
}

func (m *model) finish(r *runModel, o clusterpb.Outcome) {
	delete(r.up.running, r.key)
	if o == clusterpb.Outcome_OUTCOME_OK {
		r.up.completed++
	}
	e := m.entry(r.key.Entry)
	if e.incarnation != r.key.Incarnation || e.held[r.key.ID] == nil {
		return
	}
	delete(e.held, r.key.ID)
	e.unsent = append(e.unsent, Release{Key: r.key, Outcome: o, ServiceTime: 10 * ms})
}

func (m *model) announce(u *upstreamModel) {
	report := ReportedWarm
	if u.cold() && m.pick(2) == 0 {
		report = ReportedCold
	}
	if u.draining {
		report = ReportedDraining
	}
	ev := Announce{ID: u.id, Address: u.id, Slots: modelSlots, Incarnation: 1, State: report}
	for _, d := range m.dispatchers {
		m.send(packet{epoch: d.epoch, event: ev})
	}
}

func (m *model) tick() {
	for _, d := range m.dispatchers {
		m.act(d, d.cell.Step(m.now, Tick{}))
	}
	for _, u := range m.upstreams {
		for _, r := range u.running {
			if m.now >= r.deadline {
				m.finish(r, clusterpb.Outcome_OUTCOME_CANCELLED)
			}
		}
	}
	for k, p := range m.pending {
		if m.now > p.until+50*ms {
			m.fail("request %v has no answer", k)
		}
	}
}

// move assigns the cell to a further dispatcher, ends the lease of an earlier
// one, or lets the last one begin once no earlier one holds a lease.
func (m *model) move() {
	last := m.current()
	if len(m.dispatchers) < 3 && m.pick(4) == 0 {
		m.assign()
		return
	}
	for _, d := range m.dispatchers {
		if d != last && d.live {
			m.end(d)
			return
		}
	}
	if !last.accepted {
		last.accept(m)
	}
}

// end takes the lease from a dispatcher: it refuses what waits.
func (m *model) end(d *dispatcherModel) {
	d.live = false
	d.cell.Step(m.now, Close{})
	for k, p := range m.pending {
		if p.at == d {
			delete(m.pending, k)
		}
	}
}

// trouble kills an entry VM for good, restarts one, drains an upstream, or
// closes the zone.
func (m *model) trouble() {
	switch m.pick(24) {
	case 0:
		m.entries[2].dead = true
	case 1:
		m.upstreams[1].draining = true
	case 3:
		m.restart(m.entries[1])
	case 2:
		m.open = false
		for _, d := range m.dispatchers {
			d.closed = true
			m.act(d, d.cell.Step(m.now, Configure{Config{Slots: modelSlots, ColdSlots: modelCold, WarmAfter: modelWarm, QueueLimit: 4, Timeout: modelTimeout}}))
		}
	}
}

// settle lets all requests end and checks that no slot stays taken: at once
// when every entry VM is alive, after the deadlines when one is lost.
func (m *model) settle() {
	for _, d := range m.dispatchers[:len(m.dispatchers)-1] {
		m.end(d)
	}
	if d := m.current(); !d.accepted {
		d.accept(m)
	}
	for _, e := range m.entries {
		e.epoch = m.current().epoch
	}
	for range 4 {
		m.rest()
	}
	if !m.entries[2].dead && !m.restarted {
		m.noneTaken()
	}
	m.now += modelTimeout + time.Second
	for range 4 {
		m.rest()
	}
	m.noneTaken()
}

// rest delivers every message and ends every request that a living entry VM
// waits for.
func (m *model) rest() {
	for len(m.net) > 0 && m.err == nil {
		p := m.net[0]
		m.net = m.net[1:]
		m.deliver(p)
	}
	for _, u := range m.upstreams {
		for _, r := range u.running {
			if e := m.entry(r.key.Entry); m.now >= r.deadline || !e.dead && e.incarnation == r.key.Incarnation {
				m.finish(r, clusterpb.Outcome_OUTCOME_OK)
			}
		}
	}
	for _, e := range m.entries {
		for id := e.oldest(); id != 0 && !e.dead; id = e.oldest() {
			e.giveUp(RequestKey{e.name, e.incarnation, id})
		}
		for range 20 {
			m.resend(e)
		}
	}
	m.tick()
}

func (m *model) noneTaken() {
	for _, u := range m.upstreams {
		if n := m.current().cell.InFlight(u.id); n != 0 {
			m.fail("%d slots of %s stay taken", n, u.id)
		}
	}
}
