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

func (w *simulation) active(i int) bool { return w.processes[i].running && !w.processes[i].frozen }

// renew sends a renewal from process i to the leader with index to.
func (w *simulation) renew(i, to int) {
	p := w.processes[i]
	w.network = append(w.network, message{
		kind: renewal, from: i, to: to, incarnation: p.incarnation, sent: p.at(w.now),
		revision: p.state.Revision(), accepted: p.state.AcceptedRevision(), synced: p.state.Synced(),
		sinceConfirmed: p.at(w.now) - p.lastConfirmed,
	})
}

// requestConfirmations sends a confirmation request from process i to all other
// entry VMs of its set.
func (w *simulation) requestConfirmations(i int) {
	p := w.processes[i]
	for j, other := range w.processes {
		if j != i && (p.config == nil || slices.Contains(entryKeys(catalog.EntryKeys(p.config)), other.key)) {
			w.network = append(w.network, message{kind: confirmationRequest, from: i, to: j, incarnation: p.incarnation, sent: p.at(w.now), revision: p.state.Revision()})
		}
	}
}

// deliver delivers message n. With duplicate set it leaves the message in the
// network, to be delivered again.
func (w *simulation) deliver(n int, duplicate bool) {
	m := w.network[n]
	if !duplicate {
		w.network = slices.Delete(w.network, n, n+1)
	}
	switch m.kind {
	case renewal:
		w.onRenewal(m)
	case renewalResponse:
		w.onRenewalResponse(m)
	case confirmationRequest:
		w.onConfirmationRequest(m)
	case confirmation:
		w.onConfirmation(m)
	}
}

// onRenewal handles a renewal at the leader as package control does.
func (w *simulation) onRenewal(m message) {
	l := w.leaders[m.to]
	now := l.at(w.now)
	key := w.processes[m.from].key
	registered := slices.IndexFunc(l.config.Entries, func(e *catalogpb.Entry) bool { return e.Id == key.ID })
	if registered >= 0 && m.incarnation < l.config.Entries[registered].Incarnation {
		return
	}
	l.tracker.RecordAck(now, key, m.revision, m.sinceConfirmed)
	l.tracker.RecordAccepted(m.accepted, key.Region)
	isCurrentLeader := l == w.newestLeader() && !l.lostQuorum
	if isCurrentLeader {
		l.quorumAt = now
	}
	quorumAt := l.quorumAt
	if w.rules.ignoreQuorumAge {
		quorumAt = now
	}
	answer := message{kind: renewalResponse, from: m.to, to: m.from, incarnation: m.incarnation, sent: m.sent}
	if m.synced || isCurrentLeader || w.rules.syncWithoutConfirmedRead {
		answer.lease, _ = l.tracker.GrantLease(now, now, quorumAt, key)
		answer.accepted = l.tracker.AcceptedIn(key.Region)
	}
	answer.revision = l.config.Revision
	answer.config = l.config
	w.network = append(w.network, answer)
}

// receiver returns the process that a message is addressed to, or nil when it is
// not active or has restarted.
func (w *simulation) receiver(m message) *process {
	p := w.processes[m.to]
	if !w.active(m.to) || p.incarnation != m.incarnation {
		return nil
	}
	return p
}

func (w *simulation) onRenewalResponse(m message) {
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

// adopt makes the process adopt a newer configuration, by way of a delta from
// the one that it holds.
func (w *simulation) adopt(p *process, cfg *catalogpb.Config) {
	if w.rules.adoptOlderRevision && cfg.Revision < p.state.Revision() {
		leaseExpiry := p.state.LeaseExpiry()
		p.state = freshness.New(p.key)
		p.state.Adopt(cfg.Revision, entryKeys(catalog.EntryKeys(cfg)))
		p.state.RecordLease(0, leaseExpiry, cfg.Revision)
		p.config = cfg
		return
	}
	if !p.state.Adopt(cfg.Revision, entryKeys(catalog.EntryKeys(cfg))) {
		return
	}
	base := p.config
	if base == nil {
		base = &catalogpb.Config{}
	}
	patched, err := catalog.Patch(base, catalog.Delta(base, cfg))
	if err != nil || !proto.Equal(patched, cfg) {
		w.violation = fmt.Sprintf("applying the delta from revision %d to %d does not give the new configuration: %v", base.Revision, cfg.Revision, err)
	}
	p.config = patched
}

func (w *simulation) onConfirmationRequest(m message) {
	p := w.processes[m.to]
	if !w.active(m.to) || p.config == nil {
		return
	}
	p.lastConfirmed = p.at(w.now)
	w.network = append(w.network, message{
		kind: confirmation, from: m.to, to: m.from, incarnation: m.incarnation, sent: m.sent,
		revision: p.state.Revision(), synced: p.state.Synced() || w.rules.confirmBeforeSync, config: p.config,
	})
}

func (w *simulation) onConfirmation(m message) {
	p := w.receiver(m)
	if p == nil {
		return
	}
	w.adopt(p, m.config)
	p.state.RecordConfirmation(w.processes[m.from].key, m.sent, m.revision, m.synced)
}

// step runs one random event and checks the properties.
func (w *simulation) step() {
	names := []string{
		"time", "time", "deliver", "deliver", "renew", "request confirmations", "drop", "duplicate",
		"exchange", "exchange", "exchange", "exchange all", "exchange all", "exchange all", "partition", "switch side", "heal",
		"toggle zone", "toggle zone", "kill", "restart", "freeze", "unfreeze",
		"lose quorum", "elect", "register", "register", "remove", "assign",
	}
	name := names[w.intn(len(names))]
	w.eventCounts[name]++
	w.runEvent(name)
	w.advance()
	w.check()
}

var timeSteps = []time.Duration{
	time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 2100 * time.Millisecond, 3200 * time.Millisecond,
}

// runEvent runs the event with the given name on a random process or the newest
// leader.
func (w *simulation) runEvent(name string) {
	i := w.intn(len(w.processes))
	p := w.processes[i]
	l := w.newestLeader()
	switch name {
	case "time":
		w.now += timeSteps[w.intn(len(timeSteps))]
	case "deliver", "duplicate":
		if len(w.network) > 0 {
			w.deliver(w.intn(len(w.network)), name == "duplicate")
		}
	case "drop":
		if len(w.network) > 0 {
			n := w.intn(len(w.network))
			w.network = slices.Delete(w.network, n, n+1)
		}
	case "renew":
		if w.active(i) {
			w.renew(i, w.randomLeader())
		}
	case "request confirmations":
		if w.active(i) {
			w.requestConfirmations(i)
		}
	case "exchange":
		w.exchange(i)
	case "exchange all":
		w.exchangeAll()
	case "partition":
		w.partition()
	case "switch side":
		w.isolated[i] = !w.isolated[i]
	case "heal":
		w.isolated = make([]bool, len(w.processes))
	case "toggle zone":
		w.toggleZone(l)
	case "kill":
		p.running = false
	case "restart":
		w.processes[i] = w.newProcess(i)
	case "freeze":
		p.freshBeforeFreeze = p.state.Fresh(p.at(w.now))
		p.frozen = true
	case "unfreeze":
		p.frozen = false
	case "lose quorum":
		l.lostQuorum = true
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

// randomLeader returns the index of the newest leader, or less often that of the
// one before.
func (w *simulation) randomLeader() int {
	last := len(w.leaders) - 1
	return max(0, last-w.intn(3)/2)
}

// exchange lets process i exchange messages without loss, either with the entry
// VMs on its side of the partition or with a leader: the newest one, or the
// previous one when the process is isolated.
func (w *simulation) exchange(i int) {
	if !w.active(i) {
		return
	}
	if w.intn(2) == 0 {
		w.requestConfirmations(i)
		w.network = slices.DeleteFunc(w.network, func(m message) bool {
			return m.kind == confirmationRequest && m.from == i && w.isolated[m.to] != w.isolated[i]
		})
		w.deliverAll(i)
		return
	}
	to := len(w.leaders) - 1
	if w.isolated[i] {
		to--
	}
	if to < 0 {
		return
	}
	w.renew(i, to)
	if w.intn(4) == 0 {
		// The response stays in the network.
		w.deliver(len(w.network)-1, false)
		return
	}
	w.deliverAll(i)
	w.renew(i, to)
	w.deliverAll(i)
}

// deliverAll delivers all requests from process i and all responses to it.
func (w *simulation) deliverAll(i int) {
	for n := 0; n < len(w.network); {
		m := w.network[n]
		isRequest := m.kind == renewal || m.kind == confirmationRequest
		if isRequest && m.from == i || !isRequest && m.to == i {
			w.deliver(n, false)
			continue
		}
		n++
	}
}

// partition puts each process on a random side of the partition.
func (w *simulation) partition() {
	for i := range w.isolated {
		w.isolated[i] = w.intn(2) == 0
	}
}

// exchangeAll lets all entry VMs exchange messages.
func (w *simulation) exchangeAll() {
	for i := range w.processes {
		w.exchange(i)
	}
}

// check records a violation when an entry VM admits requests under a revision
// older than the newest accepted one, or when a cell has two dispatchers.
func (w *simulation) check() {
	dispatchers := map[string]string{}
	for _, p := range w.processes {
		if !p.running || p.frozen || p.config == nil {
			continue
		}
		fresh := p.state.Fresh(p.at(w.now)) || w.rules.cacheFreshness && p.freshBeforeFreeze
		p.freshBeforeFreeze = false
		if !fresh {
			continue
		}
		if p.state.Revision() < w.accepted[p.key.Region] {
			w.violation = fmt.Sprintf("%s admits requests under revision %d after revision %d was accepted", p.key.ID, p.state.Revision(), w.accepted[p.key.Region])
		}
		w.checkCells(p, dispatchers)
	}
}

func (w *simulation) checkCells(p *process, dispatchers map[string]string) {
	for _, c := range p.config.Cells {
		if c.Entry != p.key.ID || c.Incarnation != p.incarnation {
			continue
		}
		if c.Epoch > p.state.AcceptedRevision() && !w.rules.dispatchBeforeAcceptance {
			continue
		}
		cell := fmt.Sprintf("%s/%s/%d", c.Service, c.Zone, c.Shard)
		if other := dispatchers[cell]; other != "" {
			w.violation = fmt.Sprintf("%s and %s both dispatch cell %s", other, p.key.ID, cell)
		}
		dispatchers[cell] = p.key.ID
	}
}
