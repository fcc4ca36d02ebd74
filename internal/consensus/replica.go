package consensus

import (
	"math/rand/v2"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

const (
	// entryOverheadBytes is added to the size of each entry's data when a batch
	// is filled, so that empty entries count as well.
	entryOverheadBytes = 24
	maxBatchBytes      = 64 << 10
	// bulkBytes is the amount of log data on its way that heartbeats may overtake,
	// and minBytesPerSecond the rate at which it is expected to arrive at least.
	bulkBytes         = 64 << 10
	minBytesPerSecond = 1 << 20
	// maxInflightEntries limits both the uncommitted entries of the leader and
	// the entries sent to a peer without acknowledgement.
	maxInflightEntries = 4096
	// trailingEntries is how many entries before a snapshot are kept for slow
	// followers.
	trailingEntries = 512
	// maxPendingRounds limits how many unanswered heartbeat rounds the leader
	// remembers.
	maxPendingRounds = 64
	// silentLeaderTimeouts is the number of election timeouts without a message after
	// which a learner no longer counts on its leader. By then others have elected a
	// new one, if they can.
	silentLeaderTimeouts = 2
)

// Roles of a replica. The values are the states of the replica chart.
const (
	Forming      statechart.State = "forming"
	Learner      statechart.State = "learner"
	Follower     statechart.State = "follower"
	PreCandidate statechart.State = "pre_candidate"
	Candidate    statechart.State = "candidate"
	Leader       statechart.State = "leader"
)

// Config configures a replica.
type Config struct {
	// ID is the replica id. It must not be 0 and must never be used again with
	// another disk.
	ID uint64
	// DiskID identifies the data folder. It must not be 0.
	DiskID uint64
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader before a replica
	// starts an election; the maximum is 1.5 times as long. A leader that gets
	// no answers from a quorum for ElectionTimeout steps down.
	ElectionTimeout time.Duration
	// FirstElectionTimeout is the minimum time before the first election after
	// a start, and the maximum is twice as long; 0 means ElectionTimeout. It
	// may be shorter than ElectionTimeout: after a restart of all replicas
	// there is no leader to wait for, and if there is one, the other replicas
	// hear it and refuse pre-votes. Later elections wait for ElectionTimeout,
	// so that votes can become durable on a slow disk.
	FirstElectionTimeout time.Duration
	// RemoveSilentAfter is how long a member may be silent before the leader
	// removes it, so that voters that never return do not use up the quorum; 0
	// means never. A removed member that returns has to be added again, under
	// the same id if its disk is intact.
	RemoveSilentAfter time.Duration
	// ToleratedLosses is the number of disks that may be lost at the same time; 0 means
	// one. The leader keeps enough voters for that and withdraws no vote
	// without a standby if fewer would remain.
	ToleratedLosses int
	// Seed seeds the random part of the election timeouts.
	Seed uint64
	// Bootstrap is the initial membership of a new group. It is ignored if the
	// replica already has a membership, and empty for a replica that joins an
	// existing group.
	Bootstrap []*catalogpb.ControlMember
	// disabledRules lets tests check that violations of these rules are
	// detected.
	disabledRules safetyRule
}

// safetyRule is a set of safety rules that tests can disable.
type safetyRule uint8

const (
	ruleCommitCurrentTerm safetyRule = 1 << iota
	ruleReadQuorum
	ruleDiskIdentity
	ruleLogMatch
	ruleOneMemberChange
)

// Replica is the consensus state of one replica. It is not safe for concurrent
// use.
type Replica struct {
	cfg   Config
	chart *statechart.Chart
	rng   *rand.Rand
	now   time.Duration
	role  statechart.State

	term, vote uint64
	log        entryLog
	commit     uint64
	applied    uint64
	// caughtUpIndex is an index by which everything is included that was committed
	// when this process started; 0 until one is known. Only an entry of the term of
	// the leader shows that: before, a leader does not know what earlier terms have
	// committed either.
	caughtUpIndex uint64
	disk          diskState

	// leader is the replica id of the known leader; 0 if none is known.
	// leaderHeardAt is when its last message arrived.
	leader        uint64
	leaderHeardAt time.Duration
	// pastFirstElection is set once a leader has been heard or an election has
	// been started since the start of the process.
	pastFirstElection bool
	// leaderlessSince is since when no leader is known; noDeadline while one is.
	leaderlessSince  time.Duration
	ballot           ballot
	electionDeadline time.Duration
	votes            map[uint64]bool
	votesRequestedAt time.Duration
	formation        formation
	leaderState      leaderState
	// leadershipEnd is how this replica last lost its leadership.
	leadershipEnd LeadershipEnd
	// answeredAt is when other members last answered, according to the last leader.
	answeredAt silenceTable
	// leaving is set once this replica is about to stop.
	leaving bool
	// keepsVote is set while the leader says that nobody can take over the vote of this
	// replica.
	keepsVote bool
	// out collects the actions of the current step.
	out Actions
}

// New returns a replica that continues at time now from rec, its durable
// record. The caller must already have restored the state machine from the
// snapshot in rec.
func New(cfg Config, rec *clusterpb.LogRecord, now time.Duration) *Replica {
	r := &Replica{cfg: cfg, chart: charts.MustLoad("replica"), now: now}
	r.rng = rand.New(rand.NewPCG(cfg.Seed, cfg.ID))
	r.role = r.chart.Initial()
	r.log = newLog(rec)
	r.term, r.vote = rec.GetState().GetTerm(), rec.GetState().GetVote()
	r.disk.durableIndex = r.log.lastIndex()
	r.commit = r.log.snapshot.GetIndex()
	r.applied = r.commit
	r.leaderHeardAt = now - cfg.ElectionTimeout
	r.leaderlessSince = now
	r.startRole(rec)
	return r
}

// startRole resumes membership if the replica already has one, waits to be
// added if it joins an existing group, and otherwise starts to form a new
// group.
func (r *Replica) startRole(rec *clusterpb.LogRecord) {
	switch {
	case len(r.log.memberships) > 0:
		r.fire("formed")
		r.updateRole()
	case len(r.cfg.Bootstrap) == 0:
		r.fire("joined")
	default:
		r.startFormation(rec.GetFormation())
	}
}

// Step handles the events in order, then runs the timers that are due at now,
// and returns the resulting actions. The time now must not decrease from call
// to call.
func (r *Replica) Step(now time.Duration, events ...Event) Actions {
	r.now = max(r.now, now)
	for _, e := range events {
		r.handleEvent(e)
	}
	r.tick()
	if r.role == Leader {
		r.replicate()
	}
	r.trackLeader()
	return r.takeActions()
}

func (r *Replica) handleEvent(e Event) {
	switch e := e.(type) {
	case Message:
		r.handleMessage(e.ConsensusMessage)
	case Propose:
		r.propose(e)
	case Read:
		r.read(e)
	case AddMember:
		r.addMember(e)
	case RemoveMember:
		r.removeMember(e)
	case Transfer:
		r.transferLeadership(e)
	case Leave:
		r.leaving = true
	case Compact:
		r.compact(e)
	case WriteSynced:
		r.handleWriteSynced()
	}
}

// tick runs the timers that are due.
func (r *Replica) tick() {
	switch r.role {
	case Forming:
		r.tickFormation()
	case Leader:
		r.tickLeader()
	case Learner:
		r.tickLearner()
	case Follower, PreCandidate, Candidate:
		if r.now >= r.electionDeadline {
			r.handleElectionTimeout()
		}
	}
}

// tickLearner forgets a leader that is silent. A learner starts no election by which
// it would notice that, and one that was removed meanwhile has to ask to be added again.
func (r *Replica) tickLearner() {
	if r.now >= r.leaderHeardAt+silentLeaderTimeouts*r.cfg.ElectionTimeout {
		r.leader = 0
	}
}

// takeActions returns the collected actions and starts a new collection.
func (r *Replica) takeActions() Actions {
	out := r.out
	r.out = Actions{}
	r.startWrite(&out)
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
		return r.formation.nextSend
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
	members := r.log.membershipAt(e.Index).members
	r.log.compact(&clusterpb.ConsensusSnapshot{
		Index:   e.Index,
		Term:    term,
		Members: &clusterpb.Membership{Members: members},
		Data:    e.Data,
	}, trailingEntries)
	r.disk.rewrite = true
}
