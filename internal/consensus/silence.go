package consensus

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// silenceTable holds when members last answered a leader, as far as this replica knows,
// by replica id. A leader tells the others in its heartbeats who is silent, so that
// the time that a member may be silent does not begin anew with each leader.
type silenceTable map[uint64]time.Duration

// silences returns the members that are silent, for a heartbeat. What an earlier leader
// told of them is passed on at once: this one may lead for a moment only.
func (r *Replica) silences() []*clusterpb.MemberSilence {
	var list []*clusterpb.MemberSilence
	for _, m := range r.members() {
		id := m.GetReplicaId()
		p := r.leaderState.peers[id]
		if p == nil {
			continue
		}
		if silence := r.now - p.heardAt; silence >= r.cfg.ElectionTimeout {
			list = append(list, &clusterpb.MemberSilence{ReplicaId: id, SilentMs: uint64(silence.Milliseconds())})
		}
	}
	return list
}

// recordSilences records what a leader tells of the other members. That it speaks itself
// is recorded too.
func (r *Replica) recordSilences(m *clusterpb.ConsensusMessage) {
	r.answeredAt = silenceTable{m.GetFrom(): r.now}
	for _, s := range m.GetSilences() {
		r.answeredAt[s.GetReplicaId()] = r.now - time.Duration(s.GetSilentMs())*time.Millisecond
	}
}

// lastAnswer returns when a member last answered a leader; a member of which nothing is
// known counts as having answered now.
func (r *Replica) lastAnswer(id uint64) time.Duration {
	if at, known := r.answeredAt[id]; known {
		return at
	}
	return r.now
}
