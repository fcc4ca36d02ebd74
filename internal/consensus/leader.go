package consensus

import (
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// leadership is the state of a leader.
type leadership struct {
	// opened is the index of the entry that opened the term.
	opened uint64
	since  time.Duration
	peers  map[uint64]*progress

	round     uint64
	rounds    []sentRound
	quorumAt  time.Duration
	broadcast bool
	nextRound time.Duration
	reads     []pendingRead

	transferee    uint64
	transferUntil time.Duration
	transferRound uint64
}

// openTerm starts to lead. An entry of the new term lets earlier entries commit.
func (r *Replica) openTerm() {
	r.leader = r.cfg.ID
	r.lead = leadership{since: r.now, quorumAt: r.voteSent, peers: map[uint64]*progress{}}
	r.syncPeers()
	r.lead.opened = r.appendEntry(nil, nil)
	r.lead.broadcast = true
}

// stepDown stops leading. Pending reads fail; the fate of pending entries is
// up to the next leader.
func (r *Replica) stepDown() {
	for _, p := range r.lead.reads {
		r.out.ReadResults = append(r.out.ReadResults, ReadResult{ID: p.id, Fault: fault.NoQuorum})
	}
	r.lead = leadership{}
	r.leader = 0
}

// tickLeader steps down without a quorum, and starts what is due.
func (r *Replica) tickLeader() {
	if r.now >= r.quorumDeadline() {
		r.fire("quorum_lost")
		return
	}
	if r.now >= r.lead.nextRound {
		r.lead.broadcast = true
	}
	r.tickTransfer()
	r.settleMembers()
}

func (r *Replica) leaderDeadline() time.Duration {
	return min(r.lead.nextRound, r.quorumDeadline())
}

// quorumDeadline is when a leader steps down unless a quorum answers before.
// A new leader has the whole time, however long its votes took.
func (r *Replica) quorumDeadline() time.Duration {
	return max(r.lead.quorumAt, r.lead.since) + r.cfg.ElectionTimeout
}

// propose appends data unless too much is still uncommitted.
func (r *Replica) propose(e Propose) {
	result := ProposalResult{ID: e.ID, Fault: r.refusal()}
	if result.Fault == "" {
		result.Index, result.Term = r.appendEntry(e.Data, nil), r.term
	}
	r.out.ProposalResults = append(r.out.ProposalResults, result)
}

// refusal returns why no entry can be proposed now; "" when one can.
func (r *Replica) refusal() fault.Kind {
	switch {
	case r.role != Leader || r.lead.transferee != 0:
		return fault.NotLeader
	case r.log.last()-r.commit >= maxInflightEntries:
		return fault.Overloaded
	default:
		return ""
	}
}

func (r *Replica) appendEntry(data []byte, members []*catalogpb.ControlMember) uint64 {
	e := &clusterpb.LogEntry{Term: r.term, Index: r.log.last() + 1, Data: data}
	if members != nil {
		e.Members = &clusterpb.Membership{Members: members}
	}
	r.log.append(e)
	if members != nil {
		r.syncPeers()
	}
	return e.GetIndex()
}

// syncPeers keeps one progress for each other member.
func (r *Replica) syncPeers() {
	for id := range r.lead.peers {
		if r.member(id) == nil {
			delete(r.lead.peers, id)
		}
	}
	for _, m := range r.members() {
		id := m.GetReplicaId()
		if id == r.cfg.ID || r.lead.peers[id] != nil {
			continue
		}
		r.lead.peers[id] = &progress{next: r.log.last() + 1, probing: true, heard: r.now}
	}
}

// advanceCommit commits what a majority of voters holds durably. Entries of
// earlier terms commit only through one of this term.
func (r *Replica) advanceCommit() {
	n := r.quorumValue(r.durable)
	term, _ := r.log.term(n)
	if n <= r.commit || term != r.term && r.cfg.off&ruleCommitOwnTerm == 0 {
		return
	}
	r.commit = n
	r.finishReads()
	r.tickTransfer()
}

// durable returns the last index that a member holds durably.
func (r *Replica) durable(id uint64) uint64 {
	if id == r.cfg.ID {
		return r.disk.stable
	}
	p := r.lead.peers[id]
	if p == nil || p.regressed {
		return 0
	}
	return p.match
}
