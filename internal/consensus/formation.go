package consensus

import (
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// formation is the protocol by which the replicas of a new group agree on their
// disk ids. Each replica durably records the first disk id that it receives
// from every other replica, and confirms it to that replica. A replica takes
// part in the group once all others have confirmed its disk id. A replica that loses its
// disk afterwards finds the earlier disk id recorded under its replica id and
// never takes part again under that id.
type formation struct {
	// members is the new group with the disk ids recorded so far.
	members []*catalogpb.ControlMember
	dirty   bool
	// confirmedBy holds the replicas that have recorded this replica's disk id.
	confirmedBy map[uint64]bool
	nextSend    time.Duration
	// diskMismatch is set when another replica has recorded a different disk id
	// for this replica.
	diskMismatch bool
}

// startFormation begins with the members in saved, or with Config.Bootstrap if
// saved is nil.
func (r *Replica) startFormation(saved *clusterpb.Membership) {
	r.formation.confirmedBy = map[uint64]bool{}
	r.formation.nextSend = r.now
	r.formation.members = cloneMemberList(r.cfg.Bootstrap)
	if saved != nil {
		r.formation.members = saved.GetMembers()
	}
	slices.SortFunc(r.formation.members, func(a, b *catalogpb.ControlMember) int {
		return int(a.GetReplicaId()) - int(b.GetReplicaId())
	})
	if self := findMember(r.formation.members, r.cfg.ID); self != nil {
		self.DiskId = r.cfg.DiskID
		r.formation.dirty = true
	}
	if r.cfg.disabledRules&ruleDiskIdentity != 0 {
		r.completeFormation()
	}
}

// tickFormation periodically sends the recorded disk ids to the other replicas.
func (r *Replica) tickFormation() {
	r.completeIfConfirmed()
	if r.role != Forming || r.now < r.formation.nextSend {
		return
	}
	r.formation.nextSend = r.now + r.cfg.HeartbeatInterval
	for _, m := range r.formation.members {
		if m.GetReplicaId() != r.cfg.ID {
			r.sendFormation(m.GetReplicaId(), r.formation.members)
		}
	}
}

func (r *Replica) sendFormation(to uint64, members []*catalogpb.ControlMember) {
	r.sendAfterSync(&clusterpb.ConsensusMessage{
		Kind:      clusterpb.MessageKind_MESSAGE_KIND_FORM,
		To:        to,
		Formation: &clusterpb.Membership{Members: cloneMemberList(members)},
		Formed:    r.role != Forming,
	})
}

// handleFormation records the sender's disk id. A replica that has already
// joined the group replies with the group's membership instead.
func (r *Replica) handleFormation(m *clusterpb.ConsensusMessage) {
	if r.role != Forming {
		r.replyWithMembership(m)
		return
	}
	peer := findMember(r.formation.members, m.GetFrom())
	if peer == nil {
		return
	}
	if peer.GetDiskId() == 0 {
		peer.DiskId = m.GetFromDisk()
		r.formation.dirty = true
	}
	own := findMember(m.GetFormation().GetMembers(), r.cfg.ID).GetDiskId()
	switch {
	case own != 0 && own != r.cfg.DiskID:
		r.formation.diskMismatch = true
	case own == r.cfg.DiskID && peer.GetDiskId() == m.GetFromDisk():
		r.formation.confirmedBy[m.GetFrom()] = true
	}
	r.completeIfConfirmed()
}

// replyWithMembership sends the membership to a member that is still forming
// the group.
func (r *Replica) replyWithMembership(m *clusterpb.ConsensusMessage) {
	if !m.GetFormed() && r.member(m.GetFrom()) != nil && r.role != Learner {
		r.sendFormation(m.GetFrom(), r.members())
	}
}

// completeIfConfirmed starts the group once every other replica has confirmed
// this replica's disk id.
func (r *Replica) completeIfConfirmed() {
	if r.formation.diskMismatch || findMember(r.formation.members, r.cfg.ID) == nil {
		return
	}
	if len(r.formation.confirmedBy) == len(r.formation.members)-1 {
		r.completeFormation()
	}
}

// completeFormation makes the agreed members the first membership of the log.
func (r *Replica) completeFormation() {
	r.log.installSnapshot(&clusterpb.ConsensusSnapshot{
		Members: &clusterpb.Membership{Members: r.formation.members},
	})
	r.disk.rewrite = true
	r.formation.dirty = false
	r.fire("formed")
	r.updateRole()
}
