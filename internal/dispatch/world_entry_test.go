package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// giveUpOne lets an entry VM give up its oldest request.
func (m *model) giveUpOne(e *entryModel) {
	if id := e.oldest(); id != 0 && !e.dead {
		e.giveUp(RequestKey{e.name, e.incarnation, id})
	}
}

func (e *entryModel) oldest() uint64 {
	var id uint64
	for w := range e.wanted {
		if id == 0 || w < id {
			id = w
		}
	}
	return id
}

// request lets an entry VM ask the dispatcher that it knows.
func (m *model) request(e *entryModel) {
	if e.dead {
		return
	}
	m.nextID++
	e.wanted[m.nextID] = m.now + modelTimeout
	ev := Acquire{Key: RequestKey{e.name, e.incarnation, m.nextID}, Deadline: modelTimeout, MaxWait: modelWait}
	m.send(packet{epoch: e.epoch, event: ev})
}

// granted uses a grant, or gives it back when it is not wanted any more.
func (m *model) granted(p packet) {
	e, g := p.entry, p.grant
	if e.dead || e.incarnation != p.inc {
		return
	}
	deadline, wanted := e.wanted[g.Key.ID]
	delete(e.wanted, g.Key.ID)
	if !wanted {
		return
	}
	if m.now > deadline || p.from < e.epoch {
		e.giveUp(g.Key)
		return
	}
	k := e.known[g.Upstream]
	if n := (UpstreamLimit{g.Upstream, g.Incarnation, g.Limit, p.from, g.Version}); k.Epoch == 0 || newer(n, k) {
		e.known[g.Upstream] = n
	}
	for _, u := range m.upstreams {
		if u.id == g.Upstream {
			m.start(e, u, g.Key, deadline)
		}
	}
}

// giveUp withdraws a request, or returns a grant unused. A later answer to it
// has no one to read it.
func (e *entryModel) giveUp(k RequestKey) {
	delete(e.wanted, k.ID)
	e.unsent = append(e.unsent, Release{Key: k, Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
}

func (m *model) start(e *entryModel, u *upstreamModel, k RequestKey, deadline time.Duration) {
	r := &runModel{key: k, up: u, deadline: deadline}
	e.held[k.ID] = r
	u.running[k] = r
	if u.cold() && len(u.running) > modelCold {
		m.fail("cold upstream %s runs %d requests", u.id, len(u.running))
	}
}

// resend delivers releases to the dispatcher that the entry VM knows; what is
// not acknowledged stays.
func (m *model) resend(e *entryModel) {
	d := m.dispatchers[e.epoch-1]
	if e.dead || !d.live || m.pick(4) == 0 {
		return
	}
	for _, r := range e.unsent {
		m.deliver(packet{epoch: d.epoch, event: r})
		if m.pick(4) == 0 {
			m.send(packet{epoch: d.epoch, event: r})
		}
	}
	e.unsent = nil
}

// adopt lets an entry VM learn the newest view and register there.
func (m *model) adopt(e *entryModel) {
	d := m.current()
	if e.dead {
		return
	}
	e.epoch = d.epoch
	// Only the process that runs now vouches for what it holds.
	ev := Reregister{Entry: e.name, Incarnation: e.incarnation}
	for id, r := range e.held {
		ev.Tickets = append(ev.Tickets, HeldTicket{ID: id, Upstream: r.up.id, Deadline: r.deadline + 20*ms})
	}
	for _, k := range e.known {
		ev.Limits = append(ev.Limits, k)
	}
	m.send(packet{epoch: d.epoch, event: ev})
}

// restart brings an entry VM back as a new process. Its connections are closed,
// which upstreams notice within the grace.
func (m *model) restart(e *entryModel) {
	for _, r := range e.held {
		r.deadline = min(r.deadline, m.now+restartGrace-100*ms)
	}
	e.reset()
	e.incarnation++
	m.restarted = true
	m.adopt(e)
}
