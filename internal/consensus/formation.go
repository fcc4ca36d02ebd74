package consensus

import (
	"slices"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// formation is the protocol by which the replicas of a new group agree on their
// disk ids. Each replica durably records the first disk id that it receives
// from every other replica, and sends the others what it has recorded. A replica
// takes part in the group once every other one has recorded the same disk ids for
// all members as itself, or once a member that takes part names its disk id: that
// member has seen the same records. So a member that takes part can let in each
// of the others, also when a third one is lost meanwhile. A replica that loses its
// disk finds the earlier disk id recorded under its replica id and never takes part
// again under that id.
type formation struct {
	// members is the new group with the disk ids recorded so far.
	members []*catalogpb.ControlMember
	dirty   bool
	// recordedBy holds what the other replicas have recorded, by replica id.
	recordedBy map[uint64][]*catalogpb.ControlMember
	// admitted is set when a member that takes part has named this replica's
	// disk id.
	admitted bool
	nextSend time.Duration
	// diskMismatch is set when another replica has recorded a different disk id
	// for this replica.
	diskMismatch bool
}

// startFormation begins with the members in saved, or with Config.Bootstrap if
// saved is nil.
func (r *Replica) startFormation(saved *clusterpb.Membership) {
	r.formation.recordedBy = map[uint64][]*catalogpb.ControlMember{}
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
	r.completeIfAgreed()
	if r.role != Forming || r.now < r.formation.nextSend {
		return
	}
	r.formation.nextSend = r.now + r.cfg.HeartbeatInterval
	r.sendFormationToAll()
}

func (r *Replica) sendFormationToAll() {
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
		r.formation.nextSend = r.now
	}
	own := findMember(m.GetFormation().GetMembers(), r.cfg.ID).GetDiskId()
	switch {
	case own != 0 && own != r.cfg.DiskID:
		r.formation.diskMismatch = true
	case peer.GetDiskId() != m.GetFromDisk():
	case m.GetFormed():
		r.formation.admitted = r.formation.admitted || own == r.cfg.DiskID
	default:
		r.formation.recordedBy[m.GetFrom()] = m.GetFormation().GetMembers()
	}
	r.completeIfAgreed()
}

// replyWithMembership sends the membership to a member that is still forming
// the group.
func (r *Replica) replyWithMembership(m *clusterpb.ConsensusMessage) {
	if !m.GetFormed() && r.member(m.GetFrom()) != nil && r.role != Learner {
		r.sendFormation(m.GetFrom(), r.members())
	}
}

// completeIfAgreed starts the group once this replica may take part.
func (r *Replica) completeIfAgreed() {
	if r.formation.diskMismatch || findMember(r.formation.members, r.cfg.ID) == nil || !r.formation.recordedAll() {
		return
	}
	if r.formation.admitted || r.formation.agreed(r.cfg.ID) {
		r.completeFormation()
	}
}

// recordedAll reports whether the disk ids of all members are recorded.
func (f *formation) recordedAll() bool {
	return !slices.ContainsFunc(f.members, func(m *catalogpb.ControlMember) bool { return m.GetDiskId() == 0 })
}

// agreed reports whether all replicas but self have recorded the same disk ids as
// this one.
func (f *formation) agreed(self uint64) bool {
	for _, peer := range f.members {
		if peer.GetReplicaId() != self && !f.agrees(peer.GetReplicaId()) {
			return false
		}
	}
	return true
}

// agrees reports whether the replica with the given id has recorded the same disk ids as
// this one.
func (f *formation) agrees(id uint64) bool {
	recorded := f.recordedBy[id]
	for _, m := range f.members {
		if findMember(recorded, m.GetReplicaId()).GetDiskId() != m.GetDiskId() {
			return false
		}
	}
	return true
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
	// The others need not wait until they send their records again.
	r.sendFormationToAll()
}
