package acceptance

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

func (w *world) active(i int) bool { return w.procs[i].running && !w.procs[i].frozen }

// renew sends a renewal to the leader of term to.
func (w *world) renew(i, to int) {
	p := w.procs[i]
	w.net = append(w.net, message{
		kind: renewal, from: i, to: to, incarnation: p.incarnation, sent: p.at(w.now),
		revision: p.state.Revision(), accepted: p.state.AcceptedRevision(), synced: p.state.Synced(),
		quiet: p.at(w.now) - p.given,
	})
}

// ask asks all other entry VMs of the set to confirm.
func (w *world) ask(i int) {
	p := w.procs[i]
	for j, other := range w.procs {
		if j != i && (p.config == nil || slices.Contains(keys(catalog.EntryKeys(p.config)), other.key)) {
			w.net = append(w.net, message{kind: question, from: i, to: j, incarnation: p.incarnation, sent: p.at(w.now), revision: p.state.Revision()})
		}
	}
}

// deliver takes a message off the net, or a copy of it.
func (w *world) deliver(n int, again bool) {
	m := w.net[n]
	if !again {
		w.net = slices.Delete(w.net, n, n+1)
	}
	switch m.kind {
	case renewal:
		w.onRenewal(m)
	case grantAnswer:
		w.onGrant(m)
	case question:
		w.onQuestion(m)
	case confirmation:
		w.onConfirmation(m)
	}
}

// onRenewal is the leader's side, as the control daemon does it.
func (w *world) onRenewal(m message) {
	l := w.leaders[m.to]
	now := l.at(w.now)
	key := w.procs[m.from].key
	registered := slices.IndexFunc(l.config.Entries, func(e *catalogpb.Entry) bool { return e.Id == key.ID })
	if registered >= 0 && m.incarnation < l.config.Entries[registered].Incarnation {
		return
	}
	l.tracker.RecordAck(now, key, m.revision, m.quiet)
	l.tracker.RecordAccepted(m.accepted, key.Region)
	leads := l == w.latest() && !l.cut
	if leads {
		l.quorumAt = now
	}
	quorumAt := l.quorumAt
	if w.rules.anyQuorumAge {
		quorumAt = now
	}
	answer := message{kind: grantAnswer, from: m.to, to: m.from, incarnation: m.incarnation, sent: m.sent}
	if m.synced || leads || w.rules.unconfirmedSync {
		answer.lease, _ = l.tracker.GrantLease(now, now, quorumAt, key)
		answer.accepted = l.tracker.AcceptedIn(key.Region)
	}
	answer.revision = l.config.Revision
	answer.config = l.config
	w.net = append(w.net, answer)
}

// receiver returns the process that a message is for, if it still runs.
func (w *world) receiver(m message) *proc {
	p := w.procs[m.to]
	if !w.active(m.to) || p.incarnation != m.incarnation {
		return nil
	}
	return p
}

func (w *world) onGrant(m message) {
	p := w.receiver(m)
	if p == nil {
		return
	}
	w.adopt(p, m.config)
	p.state.RecordAccepted(m.accepted)
	sent := m.sent
	if w.rules.leaseFromReceipt {
		sent = p.at(w.now)
	}
	p.state.RecordLease(sent, m.lease, m.revision)
}

// adopt takes a configuration into force, by a delta when one is held.
func (w *world) adopt(p *proc, cfg *catalogpb.Config) {
	if w.rules.backwards && cfg.Revision < p.state.Revision() {
		fresh := p.state.LeaseExpiry()
		p.state = freshness.New(p.key)
		p.state.Adopt(cfg.Revision, keys(catalog.EntryKeys(cfg)))
		p.state.RecordLease(0, fresh, cfg.Revision)
		p.config = cfg
		return
	}
	if !p.state.Adopt(cfg.Revision, keys(catalog.EntryKeys(cfg))) {
		return
	}
	base := p.config
	if base == nil {
		base = &catalogpb.Config{}
	}
	patched, err := catalog.Patch(base, catalog.Delta(base, cfg))
	if err != nil || !proto.Equal(patched, cfg) {
		w.fault = fmt.Sprintf("delta from %d to %d differs: %v", base.Revision, cfg.Revision, err)
	}
	p.config = patched
}

func (w *world) onQuestion(m message) {
	p := w.procs[m.to]
	if !w.active(m.to) || p.config == nil {
		return
	}
	p.given = p.at(w.now)
	w.net = append(w.net, message{
		kind: confirmation, from: m.to, to: m.from, incarnation: m.incarnation, sent: m.sent,
		revision: p.state.Revision(), synced: p.state.Synced() || w.rules.unsyncedConfirm, config: p.config,
	})
}

func (w *world) onConfirmation(m message) {
	p := w.receiver(m)
	if p == nil {
		return
	}
	w.adopt(p, m.config)
	p.state.RecordConfirmation(w.procs[m.from].key, m.sent, m.revision, m.synced)
}

// step draws one event.
func (w *world) step() {
	names := []string{
		"time", "time", "deliver", "deliver", "renew", "ask", "lose", "double",
		"round", "round", "round", "rounds", "rounds", "rounds", "split", "move", "heal",
		"change", "change", "kill", "restart", "freeze", "thaw",
		"cut", "elect", "register", "register", "remove", "assign",
	}
	name := names[w.intn(len(names))]
	w.events[name]++
	w.act(name)
	w.advance()
	w.check()
}

var pauses = []time.Duration{
	time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 2100 * time.Millisecond, 3200 * time.Millisecond,
}

func (w *world) act(name string) {
	i := w.intn(len(w.procs))
	p := w.procs[i]
	l := w.latest()
	switch name {
	case "time":
		w.now += pauses[w.intn(len(pauses))]
	case "deliver", "double":
		if len(w.net) > 0 {
			w.deliver(w.intn(len(w.net)), name == "double")
		}
	case "lose":
		if len(w.net) > 0 {
			n := w.intn(len(w.net))
			w.net = slices.Delete(w.net, n, n+1)
		}
	case "renew":
		if w.active(i) {
			w.renew(i, w.drawLeader())
		}
	case "ask":
		if w.active(i) {
			w.ask(i)
		}
	case "round":
		w.round(i)
	case "rounds":
		w.rounds()
	case "split":
		w.split()
	case "move":
		w.right[i] = !w.right[i]
	case "heal":
		w.right = make([]bool, len(w.procs))
	case "change":
		w.zoneChange(l)
	case "kill":
		p.running = false
	case "restart":
		w.procs[i] = w.newProc(i)
	case "freeze":
		p.freshBefore = p.state.Fresh(p.at(w.now))
		p.frozen = true
	case "thaw":
		p.frozen = false
	case "cut":
		l.cut = true
	case "elect":
		w.elect()
	case "register":
		w.register(l, i)
	case "remove":
		if w.intn(3) == 0 {
			w.remove(l, i)
		}
	case "assign":
		w.assign(l)
	}
}

// drawLeader returns the newest term more often than an older one.
func (w *world) drawLeader() int {
	last := len(w.leaders) - 1
	return max(0, last-w.intn(3)/2)
}

// round exchanges messages of one entry VM without loss, within its side of
// the split: the left side reaches the newest leader, the right side only
// deposed ones.
func (w *world) round(i int) {
	if !w.active(i) {
		return
	}
	if w.intn(2) == 0 {
		w.ask(i)
		w.net = slices.DeleteFunc(w.net, func(m message) bool {
			return m.kind == question && m.from == i && w.right[m.to] != w.right[i]
		})
		w.flush(i)
		return
	}
	to := len(w.leaders) - 1
	if w.right[i] {
		to--
	}
	if to < 0 {
		return
	}
	w.renew(i, to)
	if w.intn(4) == 0 {
		// The answer stays on the net.
		w.deliver(len(w.net)-1, false)
		return
	}
	w.flush(i)
	w.renew(i, to)
	w.flush(i)
}

// flush delivers all messages from and to one entry VM.
func (w *world) flush(i int) {
	for n := 0; n < len(w.net); {
		m := w.net[n]
		asks := m.kind == renewal || m.kind == question
		if asks && m.from == i || !asks && m.to == i {
			w.deliver(n, false)
			continue
		}
		n++
	}
}

// split draws the sides anew.
func (w *world) split() {
	for i := range w.right {
		w.right[i] = w.intn(2) == 0
	}
}

// rounds lets all entry VMs exchange messages.
func (w *world) rounds() {
	for i := range w.procs {
		w.round(i)
	}
}

// check compares every entry VM with the oracle: work is admitted only on the
// newest accepted revision or a later one, and each cell has one dispatcher.
func (w *world) check() {
	dispatchers := map[string]string{}
	for _, p := range w.procs {
		if !p.running || p.frozen || p.config == nil {
			continue
		}
		fresh := p.state.Fresh(p.at(w.now)) || w.rules.cachedFreshness && p.freshBefore
		p.freshBefore = false
		if !fresh {
			continue
		}
		if p.state.Revision() < w.accepted[p.key.Region] {
			w.fault = fmt.Sprintf("%s admits work on revision %d after %d was accepted", p.key.ID, p.state.Revision(), w.accepted[p.key.Region])
		}
		w.checkCells(p, dispatchers)
	}
}

func (w *world) checkCells(p *proc, dispatchers map[string]string) {
	for _, c := range p.config.Cells {
		if c.Entry != p.key.ID || c.Incarnation != p.incarnation {
			continue
		}
		if c.Epoch > p.state.AcceptedRevision() && !w.rules.dispatchEarly {
			continue
		}
		cell := fmt.Sprintf("%s/%s/%d", c.Service, c.Zone, c.Shard)
		if other := dispatchers[cell]; other != "" {
			w.fault = fmt.Sprintf("%s and %s dispatch %s", other, p.key.ID, cell)
		}
		dispatchers[cell] = p.key.ID
	}
}
