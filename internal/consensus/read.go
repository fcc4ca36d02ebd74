package consensus

import (
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// sentRound is a heartbeat round and when it was sent.
type sentRound struct {
	round uint64
	at    time.Duration
}

// pendingRead waits for a quorum to answer a round sent after it arrived.
type pendingRead struct {
	id    uint64
	index uint64
	// round is 0 until a round has been sent for the read.
	round uint64
}

// read registers a confirmed read. It must see every entry committed so far,
// and the entry that opened the term, which settles earlier terms.
func (r *Replica) read(e Read) {
	if r.role != Leader {
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: e.ID, Fault: fault.NotLeader})
		return
	}
	outstanding := len(r.lead.reads) > 0
	p := pendingRead{id: e.ID, index: max(r.commit, r.lead.opened)}
	r.lead.reads = append(r.lead.reads, p)
	if !outstanding {
		r.lead.broadcast = true
	}
}

// startRound begins a heartbeat round, which also serves the waiting reads.
func (r *Replica) startRound() {
	r.lead.broadcast = false
	r.lead.nextRound = r.now + r.cfg.HeartbeatInterval
	r.lead.round++
	r.lead.rounds = append(r.lead.rounds, sentRound{r.lead.round, r.now})
	if len(r.lead.rounds) > quorumRoundsKept {
		r.lead.rounds = r.lead.rounds[1:]
	}
	for i := range r.lead.reads {
		if r.lead.reads[i].round == 0 {
			r.lead.reads[i].round = r.lead.round
		}
	}
}

// answered returns the newest round that a voter has answered.
func (r *Replica) answered(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.lead.round
	}
	p := r.lead.peers[id]
	if p == nil || p.regressed {
		return 0
	}
	return p.acked
}

// checkRounds notes the newest round that a quorum has answered. Its sending
// time is when the quorum provably still followed.
func (r *Replica) checkRounds() {
	quorum := r.quorumValue(r.answered)
	for len(r.lead.rounds) > 0 && r.lead.rounds[0].round <= quorum {
		r.lead.quorumAt = r.lead.rounds[0].at
		r.lead.rounds = r.lead.rounds[1:]
	}
	r.finishReads()
}

// finishReads answers the reads whose round a quorum has answered and whose
// index is committed.
func (r *Replica) finishReads() {
	quorum := r.quorumValue(r.answered)
	if r.cfg.off&ruleReadQuorum != 0 {
		quorum = r.lead.round
	}
	rest := r.lead.reads[:0]
	for _, p := range r.lead.reads {
		if p.round == 0 || p.round > quorum || p.index > r.commit {
			rest = append(rest, p)
			continue
		}
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: p.id, Index: p.index})
	}
	r.lead.reads = rest
	if len(rest) > 0 && rest[0].round == 0 {
		r.lead.broadcast = true
	}
}
