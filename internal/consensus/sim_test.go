package consensus

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	simTick      = 10 * time.Millisecond
	simHeartbeat = 100 * time.Millisecond
	simElection  = 400 * time.Millisecond
)

// packet is a message on its way.
type packet struct {
	due time.Duration
	msg *clusterpb.ConsensusMessage
}

// weather is how the net behaves; probabilities in percent.
type weather struct {
	lose, double int
	maxDelay     time.Duration
}

// simNode is one replica with its disk and its state machine.
type simNode struct {
	id, disk  uint64
	bootstrap bool
	r         *Replica
	durable   *clusterpb.LogRecord
	wiped     bool
	frozen    time.Duration
	// clock advances by rate percent of real time.
	clock   time.Duration
	rate    int
	applied uint64
	hash    uint64
	// pending is the write under way; slowest bounds how long writes take.
	pending *pendingWrite
	slowest time.Duration
}

// pendingWrite is a write under way, and the messages that wait for it.
type pendingWrite struct {
	due  time.Duration
	w    Write
	msgs []*clusterpb.ConsensusMessage
}

// sim runs replicas over virtual time. All random choices that are not drawn
// by the test come from rng.
type sim struct {
	// firstElection is that of the replicas that start from now on.
	firstElection time.Duration
	// lost is how long a member of theirs may be silent; 0 means for ever.
	lost    time.Duration
	off     rule
	rng     *rand.Rand
	now     time.Duration
	weather weather
	nodes   []*simNode
	first   []*catalogpb.ControlMember
	net     []packet
	cut     map[[2]uint64]bool
	oracle  *oracle
	nextID  uint64
	calls   uint64
	// unsynced sends messages before the write that they speak of.
	unsynced bool
}

func newSim(n int, seed uint64, off rule) *sim {
	s := &sim{off: off, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]uint64]bool{}, oracle: newOracle()}
	s.weather = weather{maxDelay: 20 * time.Millisecond}
	for i := range n {
		s.first = append(s.first, &catalogpb.ControlMember{ReplicaId: uint64(i + 1), Address: "a"})
	}
	for i := range n {
		s.addNode(uint64(i+1), true)
	}
	s.nextID = uint64(n + 1)
	return s
}

func (s *sim) addNode(id uint64, bootstrap bool) *simNode {
	n := &simNode{id: id, bootstrap: bootstrap, rate: 100, slowest: simTick}
	s.nodes = append(s.nodes, n)
	s.emptyDisk(n)
	s.start(n)
	return n
}

func (s *sim) emptyDisk(n *simNode) {
	n.disk = s.rng.Uint64() | 1
	n.durable = &clusterpb.LogRecord{DiskId: n.disk}
}

func (s *sim) node(id uint64) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) start(n *simNode) {
	cfg := Config{ID: n.id, DiskID: n.disk, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, FirstElectionTimeout: s.firstElection, RemoveSilentAfter: s.lost, Seed: s.rng.Uint64(), off: s.off}
	if n.bootstrap {
		cfg.Bootstrap = s.first
	}
	n.applied, n.hash = 0, 0
	s.restore(n, n.durable.GetSnapshot())
	n.r = New(cfg, proto.CloneOf(n.durable), n.clock)
}

// crash ends a process. A write under way is lost, or done but not reported.
func (s *sim) crash(n *simNode) {
	n.r = nil
	if n.pending != nil && s.rng.IntN(2) == 0 {
		n.write(n.pending.w)
	}
	n.pending = nil
}

func (s *sim) up() []*simNode {
	var up []*simNode
	for _, n := range s.nodes {
		if n.r != nil && n.frozen <= s.now {
			up = append(up, n)
		}
	}
	return up
}

func (s *sim) leader() *simNode {
	var found *simNode
	for _, n := range s.up() {
		if n.r.role == Leader && (found == nil || n.r.term > found.r.term) {
			found = n
		}
	}
	return found
}

// advance moves time on and delivers what is due.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		for _, n := range s.nodes {
			n.clock += simTick * time.Duration(n.rate) / 100
		}
		for _, n := range s.nodes {
			if n.r == nil {
				s.arrivals(n)
			}
		}
		for _, n := range s.up() {
			s.finishWrite(n)
			s.step(n, s.arrivals(n)...)
		}
	}
}

// arrivals takes the packets due at n off the net. A frozen replica's packets
// wait; those of a stopped one are lost.
func (s *sim) arrivals(n *simNode) []Event {
	var events []Event
	s.net = slices.DeleteFunc(s.net, func(p packet) bool {
		if p.msg.GetTo() != n.id || p.due > s.now {
			return false
		}
		events = append(events, Message{p.msg})
		return true
	})
	return events
}

// step steps one replica and does what it asks for.
func (s *sim) step(n *simNode, events ...Event) {
	a := n.r.Step(n.clock, events...)
	s.send(a.Send)
	switch {
	case a.Write.Record == nil || s.unsynced:
		s.send(a.SendAfterSync)
		a.SendAfterSync = nil
	case n.pending != nil:
		s.oracle.failf("replica %d has two writes under way", n.id)
	}
	if a.Write.Record != nil {
		due := s.now + time.Duration(s.rng.Int64N(int64(n.slowest)))
		n.pending = &pendingWrite{due, a.Write, a.SendAfterSync}
	}
	s.restore(n, a.RestoreSnapshot)
	s.apply(n, a.Committed)
	s.oracle.results(n, a)
	s.oracle.observe(n)
}

// finishWrite completes the write of n that is due.
func (s *sim) finishWrite(n *simNode) {
	p := n.pending
	if p == nil || p.due > s.now {
		return
	}
	n.pending = nil
	n.write(p.w)
	s.send(p.msgs)
	s.step(n, WriteSynced{})
}

// write makes w durable.
func (n *simNode) write(w Write) {
	rec := w.Record
	switch {
	case rec == nil:
	case w.Replace:
		n.durable = proto.CloneOf(rec)
	default:
		if rec.GetState() != nil {
			n.durable.State = rec.GetState()
		}
		if rec.GetFormation() != nil {
			n.durable.Formation = rec.GetFormation()
		}
		if es := rec.GetEntries(); len(es) > 0 {
			keep := es[0].GetIndex() - n.durable.GetBaseIndex() - 1
			n.durable.Entries = append(n.durable.Entries[:keep:keep], es...)
		}
	}
}

func (s *sim) send(msgs []*clusterpb.ConsensusMessage) {
	for _, m := range msgs {
		if s.cut[[2]uint64{m.GetFrom(), m.GetTo()}] || s.rng.IntN(100) < s.weather.lose {
			continue
		}
		s.post(m)
		if s.rng.IntN(100) < s.weather.double {
			s.post(m)
		}
	}
}

func (s *sim) post(m *clusterpb.ConsensusMessage) {
	delay := time.Duration(s.rng.Int64N(int64(s.weather.maxDelay)))
	s.net = append(s.net, packet{s.now + delay, m})
	if len(s.net) > 5000 {
		s.net = s.net[len(s.net)-5000:]
	}
}

func (s *sim) restore(n *simNode, snap *clusterpb.ConsensusSnapshot) {
	if snap == nil || snap.GetIndex() == 0 {
		return
	}
	n.applied, n.hash = snap.GetIndex(), binary.LittleEndian.Uint64(snap.GetData())
	s.oracle.restored(n)
}

func (s *sim) apply(n *simNode, entries []*clusterpb.LogEntry) {
	for _, e := range entries {
		n.hash = mix(n.hash, e)
		n.applied = e.GetIndex()
		s.oracle.committed(n, e)
	}
}

// mix folds an entry into the hash that stands for the state machine.
func mix(hash uint64, e *clusterpb.LogEntry) uint64 {
	for _, b := range e.GetData() {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash*31 + e.GetTerm()*7 + e.GetIndex()
}

func (s *sim) call() uint64 {
	s.calls++
	return s.calls
}

func (s *sim) propose(n *simNode) {
	id := s.call()
	s.step(n, Propose{ID: id, Data: binary.LittleEndian.AppendUint64(nil, id)})
}

func (s *sim) read(n *simNode) {
	id := s.call()
	s.oracle.readBegins(id)
	s.step(n, Read{ID: id})
}

func (s *sim) compact(n *simNode) {
	s.step(n, Compact{Index: n.applied, Data: binary.LittleEndian.AppendUint64(nil, n.hash)})
}
