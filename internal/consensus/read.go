package consensus

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// heartbeatRound is the number of a heartbeat round and the time at which it
// was sent.
type heartbeatRound struct {
	round  uint64
	sentAt time.Duration
}

// pendingRead is a read that waits until a quorum has answered a heartbeat
// round sent after the read arrived.
type pendingRead struct {
	id    uint64
	index uint64
	// round is the first round sent after the read arrived; 0 until then.
	round uint64
}

// read registers a linearizable read at the commit index, or at the first entry
// of this term if that is not committed yet: until then, the leader does not
// know which entries of earlier terms are committed.
func (r *Replica) read(e Read) {
	if r.role != Leader {
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: e.ID, Fault: fault.NotLeader})
		return
	}
	outstanding := len(r.leaderState.pendingReads) > 0
	p := pendingRead{id: e.ID, index: max(r.commit, r.leaderState.termStartIndex)}
	r.leaderState.pendingReads = append(r.leaderState.pendingReads, p)
	if !outstanding {
		r.leaderState.heartbeatDue = true
	}
}

// startHeartbeatRound starts a heartbeat round and assigns it to the reads that
// have none yet.
func (r *Replica) startHeartbeatRound() {
	r.leaderState.heartbeatDue = false
	r.leaderState.nextHeartbeat = r.now + r.cfg.HeartbeatInterval
	r.leaderState.round++
	r.leaderState.silences = r.silences()
	r.leaderState.unansweredSince = min(r.leaderState.unansweredSince, r.now)
	r.leaderState.pendingRounds = append(r.leaderState.pendingRounds, heartbeatRound{r.leaderState.round, r.now})
	if len(r.leaderState.pendingRounds) > maxPendingRounds {
		r.leaderState.pendingRounds = r.leaderState.pendingRounds[1:]
	}
	for i := range r.leaderState.pendingReads {
		if r.leaderState.pendingReads[i].round == 0 {
			r.leaderState.pendingReads[i].round = r.leaderState.round
		}
	}
}

// ackedRound returns the latest round that a voter has answered.
func (r *Replica) ackedRound(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.leaderState.round
	}
	p := r.leaderState.peers[id]
	if p == nil || p.lostEntries {
		return 0
	}
	return p.ackedRound
}

// confirmRounds records when the latest round answered by a quorum was sent. At
// that time the quorum had not yet elected another leader.
func (r *Replica) confirmRounds() {
	quorumRound := r.majorityValue(r.ackedRound)
	for len(r.leaderState.pendingRounds) > 0 && r.leaderState.pendingRounds[0].round <= quorumRound {
		r.leaderState.lastQuorum = r.leaderState.pendingRounds[0].sentAt
		r.leaderState.pendingRounds = r.leaderState.pendingRounds[1:]
		r.leaderState.unansweredSince = noDeadline
		if len(r.leaderState.pendingRounds) > 0 {
			r.leaderState.unansweredSince = r.leaderState.pendingRounds[0].sentAt
		}
	}
	r.completeReads()
}

// completeReads answers the reads whose round a quorum has answered and whose
// index is committed.
func (r *Replica) completeReads() {
	quorumRound := r.majorityValue(r.ackedRound)
	if r.cfg.disabledRules&ruleReadQuorum != 0 {
		quorumRound = r.leaderState.round
	}
	remaining := r.leaderState.pendingReads[:0]
	for _, p := range r.leaderState.pendingReads {
		if p.round == 0 || p.round > quorumRound || p.index > r.commit {
			remaining = append(remaining, p)
			continue
		}
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: p.id, Index: p.index})
	}
	r.leaderState.pendingReads = remaining
	if len(remaining) > 0 && remaining[0].round == 0 {
		r.leaderState.heartbeatDue = true
	}
}
