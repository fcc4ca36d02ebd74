package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// members returns the newest membership, committed or not.
func (r *Replica) members() []*catalogpb.ControlMember { return r.log.config().members }

func find(members []*catalogpb.ControlMember, id uint64) *catalogpb.ControlMember {
	for _, m := range members {
		if m.GetReplicaId() == id {
			return m
		}
	}
	return nil
}

// cloneAll returns copies, never nil.
func cloneAll(members []*catalogpb.ControlMember) []*catalogpb.ControlMember {
	clones := make([]*catalogpb.ControlMember, len(members))
	for i, m := range members {
		clones[i] = proto.CloneOf(m)
	}
	return clones
}

func (r *Replica) member(id uint64) *catalogpb.ControlMember { return find(r.members(), id) }

// Member returns a replica of the newest membership; nil when there is none.
func (r *Replica) Member(id uint64) *catalogpb.ControlMember { return r.member(id) }

// isVoter reports whether the newest membership names this replica, with this
// disk, as a voter.
func (r *Replica) isVoter() bool {
	m := r.member(r.cfg.ID)
	return m != nil && !m.GetLearner() && r.sameDisk(m.GetDiskId(), r.cfg.DiskID)
}

// sameDisk reports whether a recorded disk id admits the given one.
func (r *Replica) sameDisk(recorded, disk uint64) bool {
	return recorded == 0 || recorded == disk || r.cfg.off&ruleDiskIdentity != 0
}

// voters returns the ids of the voters in the newest membership.
func (r *Replica) voters() []uint64 {
	var ids []uint64
	for _, m := range r.members() {
		if !m.GetLearner() {
			ids = append(ids, m.GetReplicaId())
		}
	}
	return ids
}

// quorumValue returns the highest value that a majority of voters has reached.
func (r *Replica) quorumValue(value func(id uint64) uint64) uint64 {
	var values []uint64
	for _, id := range r.voters() {
		values = append(values, value(id))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// hasQuorum reports whether a majority of voters satisfies yes.
func (r *Replica) hasQuorum(yes func(id uint64) bool) bool {
	n := r.quorumValue(func(id uint64) uint64 {
		if yes(id) {
			return 1
		}
		return 0
	})
	return n == 1
}
