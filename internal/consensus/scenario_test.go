package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// startElection makes a replica start an election at once.
func (s *sim) startElection(id uint64) {
	n := s.node(id)
	s.step(n, Message{&clusterpb.ConsensusMessage{
		Kind: clusterpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id, Term: n.r.term,
	}})
}

// electLeader makes a replica start elections until it leads.
func (s *sim) electLeader(id uint64) {
	for range 100 {
		s.startElection(id)
		for range 10 {
			s.suppressElections(id)
			s.advance(simTick)
			if s.isLeader(id)() {
				return
			}
		}
	}
}

// suppressElections keeps replicas other than id from starting elections.
func (s *sim) suppressElections(id uint64) {
	for _, n := range s.running() {
		if n.id != id {
			n.r.electionDeadline = n.clock + time.Hour
		}
	}
}

// dropOutgoing drops all messages that a replica sends from now on.
func (s *sim) dropOutgoing(from uint64) {
	for _, n := range s.nodes {
		s.cutLinks[[2]uint64{from, n.id}] = true
	}
}

// dropIncoming drops all messages sent to a replica from now on.
func (s *sim) dropIncoming(to uint64) {
	for _, n := range s.nodes {
		s.cutLinks[[2]uint64{n.id, to}] = true
	}
}

// advanceUntil advances the time until done returns true, for at most one
// second.
func (s *sim) advanceUntil(t *testing.T, done func() bool) {
	t.Helper()
	for end := s.now + time.Second; !done(); {
		assert.Assert(t, s.now < end, "condition not met within 1 s of simulated time")
		s.advance(simTick)
	}
}

func (s *sim) isLeader(id uint64) func() bool {
	return func() bool { return s.node(id).r.role == Leader }
}

// proposeLarge proposes an entry that fills a whole batch.
func (s *sim) proposeLarge(id uint64) {
	s.step(s.node(id), Propose{ID: s.nextCallID(), Data: make([]byte, maxBatchBytes+1)})
}

// runEarlierTermEntry makes replica 1 lead again and replicate an entry of its
// earlier term to a majority, while replica 5 holds an entry of a later term at
// the same index. Replica 5 leads next and overwrites the earlier entry, which
// must therefore not have been committed.
func runEarlierTermEntry(t *testing.T, disabledRules safetyRule) *invariantChecker {
	s := newSim(5, 1, disabledRules)
	s.advance(2 * time.Second)
	s.startElection(1)
	s.advanceUntil(t, s.isLeader(1))
	s.advance(100 * time.Millisecond)
	index := s.node(1).r.log.lastIndex() + 1
	s.dropOutgoing(1)
	s.proposeLarge(1)
	s.advance(50 * time.Millisecond)
	s.crash(s.node(1))
	s.startElection(5)
	s.advance(simTick)
	s.dropOutgoing(5)
	s.advanceUntil(t, s.isLeader(5))
	s.crash(s.node(5))
	clear(s.cutLinks)
	s.start(s.node(1))
	s.electLeader(1)
	s.advanceUntil(t, func() bool {
		for _, id := range []uint64{3, 4} {
			if s.node(id).r.log.lastIndex() == index {
				s.cutLinks[[2]uint64{1, id}] = true
			}
		}
		return s.cutLinks[[2]uint64{1, 3}] && s.cutLinks[[2]uint64{1, 4}]
	})
	s.advance(50 * time.Millisecond)
	s.crash(s.node(1))
	clear(s.cutLinks)
	s.start(s.node(5))
	s.electLeader(5)
	s.advance(500 * time.Millisecond)
	return s.checker
}

// TestEntryOfEarlierTermCommitsOnlyThroughCurrentTerm guards against committing
// an entry of an earlier term because a majority holds it: a later leader can
// still overwrite it. Without the rule the checker must report the lost commit.
func TestEntryOfEarlierTermCommitsOnlyThroughCurrentTerm(t *testing.T) {
	assert.Equal(t, runEarlierTermEntry(t, 0).violation, "")
	assert.Assert(t, runEarlierTermEntry(t, ruleCommitCurrentTerm).violation != "")
}

// runReadAtDeposedLeader reads at a leader that has been replaced but has not
// received any message from its successor.
func runReadAtDeposedLeader(t *testing.T, disabledRules safetyRule) *invariantChecker {
	s := newSim(3, 1, disabledRules)
	s.advance(2 * time.Second)
	s.startElection(1)
	s.advanceUntil(t, s.isLeader(1))
	s.advance(200 * time.Millisecond)
	s.dropIncoming(1)
	s.startElection(2)
	s.advanceUntil(t, s.isLeader(2))
	s.propose(s.node(2))
	s.advance(80 * time.Millisecond)
	assert.Assert(t, s.isLeader(1)() && s.isLeader(2)())
	s.read(s.node(1))
	s.advance(80 * time.Millisecond)
	return s.checker
}

// TestDeposedLeaderServesNoRead guards against stale reads: a replaced leader
// that still considers itself the leader must not answer without a quorum.
func TestDeposedLeaderServesNoRead(t *testing.T) {
	checker := runReadAtDeposedLeader(t, 0)
	assert.Equal(t, checker.violation, "")
	assert.Equal(t, checker.servedReads, 0)
	assert.Assert(t, runReadAtDeposedLeader(t, ruleReadQuorum).violation != "")
}

// TestLeaderIsElectedDespiteSlowDisks lets writes take up to three election
// timeouts. A candidate that started another term before its vote was durable
// would never win.
func TestLeaderIsElectedDespiteSlowDisks(t *testing.T) {
	for _, replicas := range []int{1, 3} {
		s := newSim(replicas, 1, 0)
		for _, n := range s.nodes {
			n.maxWriteTime = 3 * simElection
		}
		s.advance(10 * time.Second)
		lead := s.leader()
		assert.Assert(t, lead != nil)
		if replicas == 1 {
			assert.Equal(t, lead.r.term, uint64(1))
		}
	}
}

// runDiskLoss commits an entry on replicas 1 and 2, then replaces the disk of
// replica 2 by an empty one and connects it only with replica 3, which lacks
// the entry.
func runDiskLoss(t *testing.T, disabledRules safetyRule) *invariantChecker {
	s := newSim(3, 1, disabledRules)
	s.advance(2 * time.Second)
	s.electLeader(1)
	s.advance(100 * time.Millisecond)
	s.dropOutgoing(3)
	s.dropIncoming(3)
	s.propose(s.node(1))
	s.advance(100 * time.Millisecond)
	assert.Equal(t, s.node(1).r.commit, s.node(1).r.log.lastIndex())
	wiped := s.node(2)
	s.crash(wiped)
	s.replaceDisk(wiped)
	s.start(wiped)
	clear(s.cutLinks)
	s.dropOutgoing(1)
	s.dropIncoming(1)
	s.advance(5 * time.Second)
	return s.checker
}

// TestReplicaWithLostDiskDoesNotVote guards against losing a committed entry: a
// replica with an empty disk could elect a leader that lacks the entry.
func TestReplicaWithLostDiskDoesNotVote(t *testing.T) {
	assert.Equal(t, runDiskLoss(t, 0).violation, "")
	assert.Assert(t, runDiskLoss(t, ruleDiskIdentity).violation != "")
}

// TestLeaderIsElectedEarlyAfterFullRestart restarts all replicas at once, as
// after a power failure. Message delays are up to a fifth of the first election
// timeout, so some first elections end in a split vote. Without a separate
// first election timeout no run has a leader within the usual election timeout.
func TestLeaderIsElectedEarlyAfterFullRestart(t *testing.T) {
	assert.Equal(t, countEarlyElections(t, 0), 0)
	early := countEarlyElections(t, simElection/4)
	assert.Assert(t, early >= 14, "leader elected early in %d of 20 runs, want at least 14", early)
}

// countEarlyElections returns how many of 20 runs have a leader before one
// election timeout has passed.
func countEarlyElections(t *testing.T, firstElection time.Duration) int {
	early := 0
	for seed := range uint64(20) {
		s := newSim(5, seed, 0)
		s.advance(2 * time.Second)
		s.firstElection = firstElection
		for _, n := range s.nodes {
			s.crash(n)
		}
		for _, n := range s.nodes {
			s.start(n)
		}
		s.advance(simElection - simTick)
		if s.leader() != nil {
			early++
		}
		s.advance(2 * time.Second)
		assert.Assert(t, s.leader() != nil, "seed %d", seed)
		assert.Equal(t, s.checker.violation, "")
	}
	return early
}

// TestRestartedReplicaDoesNotDisturbLeader restarts one replica at a time while
// the others hear a leader. A short first election timeout must not replace the
// leader or raise the term.
func TestRestartedReplicaDoesNotDisturbLeader(t *testing.T) {
	s := newSim(5, 1, 0)
	s.advance(2 * time.Second)
	lead := s.leader()
	term := lead.r.term
	s.firstElection = simElection / 8
	for _, n := range s.nodes {
		if n != lead {
			s.crash(n)
			s.start(n)
			s.advance(time.Second)
		}
	}
	assert.Equal(t, s.leader(), lead)
	assert.Equal(t, lead.r.term, term)
}

// TestSilentVotersAreRemovedFromTheGroup loses voters for good, one after
// another, and adds a new member each time without naming the lost one as
// replaced. One more disk is lost at the end: the group must still have a
// majority, which it does only if silent voters are removed.
func TestSilentVotersAreRemovedFromTheGroup(t *testing.T) {
	for _, removeAfter := range []time.Duration{0, 3 * simElection} {
		s := newSimRemovingSilent(3, removeAfter)
		for replaced := range uint64(2) {
			s.loseAndAddMember(replaced + 1)
		}
		s.crash(s.node(3))
		s.advance(2 * simElection)
		available := s.leader() != nil && s.canCommit()
		assert.Equal(t, available, removeAfter != 0)
		assert.Equal(t, s.checker.violation, "")
	}
}

// TestLastThreeVotersAreNotRemovedWhenSilent stops one voter after another.
// Once only three voters are left, none is removed, however long it is silent.
func TestLastThreeVotersAreNotRemovedWhenSilent(t *testing.T) {
	s := newSimRemovingSilent(5, 3*simElection)
	for _, id := range []uint64{1, 2, 3} {
		s.crash(s.node(id))
		s.advance(10 * simElection)
	}
	lead := s.leader()
	assert.Assert(t, lead != nil)
	assert.Equal(t, len(lead.r.voters()), 3)
	assert.Assert(t, s.canCommit())
}

// TestRemovedVoterIsAddedAgainUnderItsID disconnects a voter until it has been
// removed, reconnects it, and adds it again under its id. It must become a
// voter without disturbing the leader.
func TestRemovedVoterIsAddedAgainUnderItsID(t *testing.T) {
	s := newSimRemovingSilent(5, 3*simElection)
	s.electLeader(1)
	s.dropOutgoing(5)
	s.dropIncoming(5)
	s.advance(10 * simElection)
	assert.Assert(t, s.leader().r.member(5) == nil)
	assert.Assert(t, s.canCommit())
	clear(s.cutLinks)
	term := s.leader().r.term
	s.step(s.leader(), AddMember{ID: s.nextCallID(), Member: &catalogpb.ControlMember{ReplicaId: 5, Address: "a"}})
	s.advance(4 * simElection)
	lead := s.leader()
	assert.Equal(t, lead.r.term, term)
	assert.Assert(t, !lead.r.member(5).GetLearner())
	assert.Equal(t, s.node(5).r.commit, lead.r.commit)
	assert.Equal(t, s.checker.violation, "")
}

// newSimRemovingSilent starts a group whose leader removes members that have
// been silent for removeAfter.
func newSimRemovingSilent(n int, removeAfter time.Duration) *sim {
	s := newSim(n, 1, 0)
	s.removeSilentAfter = removeAfter
	for _, n := range s.nodes {
		s.start(n)
	}
	s.advance(2 * time.Second)
	return s
}

// loseAndAddMember stops a replica for good and adds another that does not name
// it as replaced.
func (s *sim) loseAndAddMember(id uint64) {
	s.crash(s.node(id))
	s.advance(3 * simElection)
	next := s.addNode(s.nextReplicaID, false)
	s.nextReplicaID++
	if lead := s.leader(); lead != nil {
		s.step(lead, AddMember{ID: s.nextCallID(), Member: &catalogpb.ControlMember{ReplicaId: next.id, Address: "a"}})
	}
	s.advance(10 * simElection)
}

// canCommit reports whether the leader commits a new proposal.
func (s *sim) canCommit() bool {
	before := len(s.checker.entries)
	s.propose(s.leader())
	s.advance(2 * simElection)
	return len(s.checker.entries) > before
}

// TestLeaderThatStoodStillStaysLeader guards against incident inc2: a
// leader that was busy for longer than the election timeout stepped down before it
// had asked whether the others still follow it.
func TestLeaderThatStoodStillStaysLeader(t *testing.T) {
	s := newSim(3, 1, 0)
	s.advance(2 * time.Second)
	leader := s.leader()
	s.advanceUntil(t, func() bool { return len(leader.r.leaderState.pendingRounds) == 0 })
	s.suppressElections(leader.id)
	term := leader.r.term
	leader.frozenUntil = s.now + simElection + simHeartbeat
	s.advance(simElection + 2*simHeartbeat)
	s.suppressElections(leader.id)
	s.advanceUntil(t, func() bool { return leader.r.leaderState.lastQuorum > leader.clock-simHeartbeat })
	assert.Assert(t, s.isLeader(leader.id)())
	assert.Equal(t, leader.r.term, term)
}

// TestLeaderWithoutQuorumStepsDown measures the time after the last round that a
// quorum has answered.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	s := newSim(3, 1, 0)
	s.advance(2 * time.Second)
	leader := s.leader()
	s.dropIncoming(leader.id)
	s.advance(simElection + 2*simHeartbeat)
	assert.Assert(t, leader.r.role != Leader)
}

// TestStatusSaysWhyLeadershipWasLost guards against leaders that are lost without a trace
// of the cause.
func TestStatusSaysWhyLeadershipWasLost(t *testing.T) {
	s := newSim(3, 1, 0)
	s.advance(2 * time.Second)
	leader := s.leader()
	assert.Equal(t, leader.r.Status().LeadershipEnd, LeadershipEnd{})
	s.dropIncoming(leader.id)
	s.advance(simElection + 2*simHeartbeat)
	end := leader.r.Status().LeadershipEnd
	assert.Equal(t, string(end.Why), "quorum_lost")
	assert.Assert(t, end.Unanswered >= simElection, "%s", end.Unanswered)
}

// TestLeaderKeepsLeadingWhileLargeEntryIsOnItsWay guards against a leader that loses its
// leadership, or sends a large entry again and again, while the entry takes longer than
// the election timeout to arrive and heartbeats overtake it.
func TestLeaderKeepsLeadingWhileLargeEntryIsOnItsWay(t *testing.T) {
	s := newSim(3, 1, 0)
	s.advance(2 * time.Second)
	s.electLeader(1)
	s.advance(100 * time.Millisecond)
	term := s.node(1).r.term
	// Within the time that half a megabyte may take.
	s.bulkDelay = simElection * 3 / 2
	s.step(s.node(1), Propose{ID: s.nextCallID(), Data: make([]byte, minBytesPerSecond/2)})
	large := s.node(1).r.log.lastIndex()
	s.advance(50 * time.Millisecond)
	s.propose(s.node(1))
	s.advance(simElection)
	assert.Assert(t, s.node(1).r.commit < large)
	s.advance(simElection)
	assert.Equal(t, s.node(1).r.commit, large+1)
	assert.Equal(t, s.node(1).r.term, term)
	assert.Equal(t, s.bulks[2], 1)
	assert.Equal(t, s.bulks[3], 1)
	// One that is lost is sent again.
	s.cutLinks[[2]uint64{1, 2}], s.cutLinks[[2]uint64{1, 3}] = true, true
	s.proposeLarge(1)
	clear(s.cutLinks)
	s.advance(4 * simElection)
	assert.Equal(t, s.node(1).r.commit, large+2)
	assert.Equal(t, s.node(1).r.term, term)
	assert.Equal(t, s.checker.violation, "")
}

// TestLeadershipIsTransferredPastAVoterThatHasJustFailed ends a follower and transfers
// leadership at once, while the follower still counts as live and holds all entries. The
// other follower must lead before the transfer is given up.
func TestLeadershipIsTransferredPastAVoterThatHasJustFailed(t *testing.T) {
	for lost := uint64(2); lost <= 3; lost++ {
		s := newSim(3, 1, 0)
		s.advance(2 * time.Second)
		s.electLeader(1)
		s.advance(100 * time.Millisecond)
		s.crash(s.node(lost))
		s.step(s.node(1), Transfer{ID: s.nextCallID()})
		s.advance(simElection - simTick)
		assert.Assert(t, s.isLeader(5-lost)(), "replica %d is lost", lost)
		assert.Equal(t, s.checker.violation, "")
	}
}
