package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// withdrawOldest makes an entry VM withdraw its oldest waiting request.
func (m *model) withdrawOldest(e *entryModel) {
	if id := e.oldestWaiting(); id != 0 && !e.lost {
		e.withdraw(RequestKey{e.name, e.incarnation, id})
	}
}

// oldestWaiting returns the lowest id of a waiting request, or 0.
func (e *entryModel) oldestWaiting() uint64 {
	var id uint64
	for w := range e.waiting {
		if id == 0 || w < id {
			id = w
		}
	}
	return id
}

// requestSlot makes an entry VM request a slot from the dispatcher that it
// knows.
func (m *model) requestSlot(e *entryModel) {
	if e.lost {
		return
	}
	m.nextID++
	e.waiting[m.nextID] = m.now + modelTimeout
	ev := Acquire{Key: RequestKey{e.name, e.incarnation, m.nextID}, Deadline: modelTimeout, MaxWait: modelMaxWait}
	m.send(message{epoch: e.epoch, event: ev})
}

// receiveGrant starts the request that a grant is for. It returns the grant
// unused if its deadline has passed or the entry VM knows a newer dispatcher,
// and ignores it if the request is no longer waiting.
func (m *model) receiveGrant(msg message) {
	e, g := msg.entry, msg.grant
	if e.lost || e.incarnation != msg.incarnation {
		return
	}
	deadline, wanted := e.waiting[g.Key.ID]
	delete(e.waiting, g.Key.ID)
	if !wanted {
		return
	}
	if m.now > deadline || msg.grantEpoch < e.epoch {
		e.withdraw(g.Key)
		return
	}
	known := e.limits[g.Upstream]
	if n := (UpstreamLimit{g.Upstream, g.Incarnation, g.Limit, msg.grantEpoch, g.Version}); known.Epoch == 0 || isNewer(n, known) {
		e.limits[g.Upstream] = n
	}
	for _, u := range m.upstreams {
		if u.id == g.Upstream {
			m.startRequest(e, u, g.Key, deadline)
		}
	}
}

// withdraw withdraws a request, or returns its grant unused. An answer that
// arrives later is ignored.
func (e *entryModel) withdraw(k RequestKey) {
	delete(e.waiting, k.ID)
	e.unsentReleases = append(e.unsentReleases, Release{Key: k, Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
}

// startRequest runs a granted request at its upstream.
func (m *model) startRequest(e *entryModel, u *upstreamModel, k RequestKey, deadline time.Duration) {
	r := &runningRequest{key: k, upstream: u, deadline: deadline}
	e.running[k.ID] = r
	u.running[k] = r
	if u.isCold() && len(u.running) > modelColdLimit {
		m.fail("cold upstream %s runs %d requests, more than its limit", u.id, len(u.running))
	}
}

// sendReleases delivers the unsent releases to the dispatcher that the entry VM
// knows. They are kept if the dispatcher does not answer.
func (m *model) sendReleases(e *entryModel) {
	d := m.dispatchers[e.epoch-1]
	if e.lost || !d.hasLease || m.draw(4) == 0 {
		return
	}
	for _, r := range e.unsentReleases {
		m.deliver(message{epoch: d.epoch, event: r})
		if m.draw(4) == 0 {
			m.send(message{epoch: d.epoch, event: r})
		}
	}
	e.unsentReleases = nil
}

// reregister makes an entry VM learn of the newest dispatcher and re-register
// its tickets there.
func (m *model) reregister(e *entryModel) {
	d := m.current()
	if e.lost {
		return
	}
	e.epoch = d.epoch
	// An entry VM re-registers only tickets of its current process.
	ev := Reregister{Entry: e.name, Incarnation: e.incarnation}
	for id, r := range e.running {
		ev.Tickets = append(ev.Tickets, HeldTicket{ID: id, Upstream: r.upstream.id, Deadline: r.deadline + 20*ms})
	}
	for _, k := range e.limits {
		ev.Limits = append(ev.Limits, k)
	}
	m.send(message{epoch: d.epoch, event: ev})
}

// restart replaces an entry VM by a new process. The connections of the old one
// are closed, which upstreams notice within entryRestartGrace.
func (m *model) restart(e *entryModel) {
	for _, r := range e.running {
		r.deadline = min(r.deadline, m.now+entryRestartGrace-100*ms)
	}
	e.reset()
	e.incarnation++
	m.restarted = true
	m.reregister(e)
}
