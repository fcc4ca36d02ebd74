package consensus

import (
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// formation is how the replicas of a new group agree on their disks. Each
// records, durably, the first disk that it hears of for every other replica
// and tells them so. A replica takes part in the group once all others have
// recorded its own disk. One that lost its disk afterwards finds another disk
// recorded in its place and never takes part again under its id.
type formation struct {
	// members is the new group with the disks recorded so far.
	members []*catalogpb.ControlMember
	dirty   bool
	// confirmed holds the replicas that have recorded this one's disk.
	confirmed map[uint64]bool
	next      time.Duration
	// refused is set when another disk is recorded for this replica's id.
	refused bool
}

func (r *Replica) startFormation(saved *clusterpb.Membership) {
	r.formation.confirmed = map[uint64]bool{}
	r.formation.next = r.now
	r.formation.members = cloneAll(r.cfg.Bootstrap)
	if saved != nil {
		r.formation.members = saved.GetMembers()
	}
	slices.SortFunc(r.formation.members, func(a, b *catalogpb.ControlMember) int {
		return int(a.GetReplicaId()) - int(b.GetReplicaId())
	})
	if self := find(r.formation.members, r.cfg.ID); self != nil {
		self.DiskId = r.cfg.DiskID
		r.formation.dirty = true
	}
	if r.cfg.off&ruleDiskIdentity != 0 {
		r.formed()
	}
}

// tickFormation tells the other replicas which disks are recorded here.
func (r *Replica) tickFormation() {
	r.checkFormed()
	if r.role != Forming || r.now < r.formation.next {
		return
	}
	r.formation.next = r.now + r.cfg.HeartbeatInterval
	for _, m := range r.formation.members {
		if m.GetReplicaId() != r.cfg.ID {
			r.sendForm(m.GetReplicaId(), r.formation.members)
		}
	}
}

func (r *Replica) sendForm(to uint64, members []*catalogpb.ControlMember) {
	r.sendSynced(&clusterpb.ConsensusMessage{
		Kind:      clusterpb.MessageKind_MESSAGE_KIND_FORM,
		To:        to,
		Formation: &clusterpb.Membership{Members: cloneAll(members)},
		Formed:    r.role != Forming,
	})
}

// handleForm records the sender's disk. A replica that has its group answers
// with the membership instead.
func (r *Replica) handleForm(m *clusterpb.ConsensusMessage) {
	if r.role != Forming {
		r.answerForm(m)
		return
	}
	peer := find(r.formation.members, m.GetFrom())
	if peer == nil {
		return
	}
	if peer.GetDiskId() == 0 {
		peer.DiskId = m.GetFromDisk()
		r.formation.dirty = true
	}
	own := find(m.GetFormation().GetMembers(), r.cfg.ID).GetDiskId()
	switch {
	case own != 0 && own != r.cfg.DiskID:
		r.formation.refused = true
	case own == r.cfg.DiskID && peer.GetDiskId() == m.GetFromDisk():
		r.formation.confirmed[m.GetFrom()] = true
	}
	r.checkFormed()
}

// answerForm tells a sender that still forms which disks the group knows.
func (r *Replica) answerForm(m *clusterpb.ConsensusMessage) {
	if !m.GetFormed() && r.member(m.GetFrom()) != nil && r.role != Learner {
		r.sendForm(m.GetFrom(), r.members())
	}
}

// checkFormed starts the group once every other replica has confirmed.
func (r *Replica) checkFormed() {
	if r.formation.refused || find(r.formation.members, r.cfg.ID) == nil {
		return
	}
	if len(r.formation.confirmed) == len(r.formation.members)-1 {
		r.formed()
	}
}

func (r *Replica) formed() {
	r.log.install(&clusterpb.ConsensusSnapshot{
		Members: &clusterpb.Membership{Members: r.formation.members},
	})
	r.disk.replace = true
	r.formation.dirty = false
	r.fire("formed")
	r.syncRole()
}
