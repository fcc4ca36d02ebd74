package consensus

import (
	"math/rand/v2"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
)

// Limits of replication.
const (
	entryOverheadBytes = 24
	maxBatchBytes      = 64 << 10
	maxInflightEntries = 4096
	trailingEntries    = 512
	quorumRoundsKept   = 64
	// leastVoters is the number of voters below which none is removed for its
	// silence alone: two cannot lose one.
	leastVoters = 3
)

// Roles of a replica, as the chart names them.
const (
	Forming      chart.State = "forming"
	Learner      chart.State = "learner"
	Follower     chart.State = "follower"
	PreCandidate chart.State = "pre_candidate"
	Candidate    chart.State = "candidate"
	Leader       chart.State = "leader"
)

// Config sets up a replica.
type Config struct {
	// ID is the replica id; never 0, and never used for a second disk.
	ID uint64
	// DiskID is the id of the data folder; never 0.
	DiskID uint64
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader before an election; the
	// longest is half as much again. A leader that hears no quorum for this
	// time steps down.
	ElectionTimeout time.Duration
	// FirstElectionTimeout is the least time before the first election after a start; 0
	// means Election. When all replicas have restarted there is no leader, and
	// all wait for one; when there is one, the others have heard it and refuse
	// pre-votes. Later elections wait for Election, so that a vote on a slow disk
	// becomes durable meanwhile.
	FirstElectionTimeout time.Duration
	// RemoveSilentAfter is the silence after which the leader removes a member, so that
	// voters that never come back do not use up the quorum; 0 means never. A
	// member that was removed and comes back is to be added again, under its id
	// if its disk is intact. While members leave in this way the group survives
	// the loss of one disk at a time, also where it could lose two before.
	RemoveSilentAfter time.Duration
	// Seed feeds the random part of election timeouts.
	Seed uint64
	// Bootstrap is the first membership of a new group; it is used only when
	// the replica has no membership yet.
	Bootstrap []*catalogpb.ControlMember
	// off turns single rules off, so that tests can see the proofs fail.
	off rule
}

// rule names a safety rule that tests can turn off.
type rule uint8

const (
	ruleCommitOwnTerm rule = 1 << iota
	ruleReadQuorum
	ruleDiskIdentity
	ruleLogMatch
	ruleOneChange
)

// Replica is the state of one replica. It is not safe for concurrent use.
type Replica struct {
	cfg   Config
	chart *chart.Chart
	rng   *rand.Rand
	now   time.Duration
	role  chart.State

	term, vote uint64
	log        entryLog
	commit     uint64
	applied    uint64
	disk       diskState

	leader uint64
	heard  time.Duration
	// settled is set once a leader has been heard, or an election opened, since the start.
	settled          bool
	electionDeadline time.Duration
	votes            map[uint64]bool
	voteSent         time.Duration
	formation        formation
	lead             leadership
	out              Actions
}

// New returns a replica that continues from rec, the durable record, at time
// now. The owner restores the state machine from rec's snapshot beforehand.
func New(cfg Config, rec *clusterpb.LogRecord, now time.Duration) *Replica {
	r := &Replica{cfg: cfg, chart: charts.MustLoad("replica"), now: now}
	r.rng = rand.New(rand.NewPCG(cfg.Seed, cfg.ID))
	r.role = r.chart.Initial()
	r.log = newLog(rec)
	r.term, r.vote = rec.GetState().GetTerm(), rec.GetState().GetVote()
	r.disk.stable = r.log.last()
	r.commit = r.log.snapshot.GetIndex()
	r.applied = r.commit
	r.heard = now - cfg.ElectionTimeout
	r.enter(rec)
	return r
}

// enter leaves the forming role when the replica already has a membership,
// or joins an existing group.
func (r *Replica) enter(rec *clusterpb.LogRecord) {
	switch {
	case len(r.log.configs) > 0:
		r.fire("formed")
		r.syncRole()
	case len(r.cfg.Bootstrap) == 0:
		r.fire("joined")
	default:
		r.startFormation(rec.GetFormation())
	}
}

// Step handles events in order, then the timers that are due at now, which
// must not decrease. It returns what has to be done.
func (r *Replica) Step(now time.Duration, events ...Event) Actions {
	r.now = max(r.now, now)
	for _, e := range events {
		r.handle(e)
	}
	r.tick()
	if r.role == Leader {
		r.replicate()
	}
	return r.take()
}

func (r *Replica) handle(e Event) {
	switch e := e.(type) {
	case Message:
		r.receive(e.ConsensusMessage)
	case Propose:
		r.propose(e)
	case Read:
		r.read(e)
	case AddMember:
		r.addMember(e)
	case RemoveMember:
		r.removeMember(e)
	case Transfer:
		r.transfer(e)
	case Compact:
		r.compact(e)
	case WriteSynced:
		r.synced()
	}
}

// tick runs the timers that are due.
func (r *Replica) tick() {
	switch r.role {
	case Forming:
		r.tickFormation()
	case Leader:
		r.tickLeader()
	case Follower, PreCandidate, Candidate:
		if r.now >= r.electionDeadline {
			r.electionTimeout()
		}
	}
}

// take returns the collected actions and starts a new collection.
func (r *Replica) take() Actions {
	out := r.out
	r.out = Actions{}
	r.takeWrite(&out)
	if r.commit > r.applied {
		out.Committed = r.log.slice(r.applied+1, r.commit)
		r.applied = r.commit
	}
	out.Deadline = r.deadline()
	return out
}

// deadline returns the time of the next timer.
func (r *Replica) deadline() time.Duration {
	switch r.role {
	case Forming:
		return r.formation.next
	case Leader:
		return r.leaderDeadline()
	case Learner:
		return r.now + r.cfg.ElectionTimeout
	default:
		return r.electionDeadline
	}
}

func (r *Replica) compact(e Compact) {
	if e.Index <= r.log.snapshot.GetIndex() || e.Index > r.applied {
		return
	}
	term, ok := r.log.term(e.Index)
	if !ok {
		return
	}
	members := r.log.configAt(e.Index).members
	r.log.compact(&clusterpb.ConsensusSnapshot{
		Index:   e.Index,
		Term:    term,
		Members: &clusterpb.Membership{Members: members},
		Data:    e.Data,
	}, trailingEntries)
	r.disk.replace = true
}
