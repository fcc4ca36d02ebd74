package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// members returns the latest membership, whether committed or not.
func (r *Replica) members() []*catalogpb.ControlMember { return r.log.latestMembership().members }

func findMember(members []*catalogpb.ControlMember, id uint64) *catalogpb.ControlMember {
	for _, m := range members {
		if m.GetReplicaId() == id {
			return m
		}
	}
	return nil
}

// cloneMemberList returns deep copies. The result is never nil.
func cloneMemberList(members []*catalogpb.ControlMember) []*catalogpb.ControlMember {
	clones := make([]*catalogpb.ControlMember, len(members))
	for i, m := range members {
		clones[i] = proto.CloneOf(m)
	}
	return clones
}

func (r *Replica) member(id uint64) *catalogpb.ControlMember { return findMember(r.members(), id) }

// Member returns the member with the given id from the latest membership, or
// nil if there is none. It must not be modified.
func (r *Replica) Member(id uint64) *catalogpb.ControlMember { return r.member(id) }

// isVoter reports whether the latest membership lists this replica, with this
// disk, as a voter.
func (r *Replica) isVoter() bool {
	m := r.member(r.cfg.ID)
	return m != nil && !m.GetLearner() && r.diskMatches(m.GetDiskId(), r.cfg.DiskID)
}

// diskMatches reports whether disk is the recorded disk id, or whether none is
// recorded yet.
func (r *Replica) diskMatches(recorded, disk uint64) bool {
	return recorded == 0 || recorded == disk || r.cfg.disabledRules&ruleDiskIdentity != 0
}

// voters returns the replica ids of the voters in the latest membership.
func (r *Replica) voters() []uint64 {
	var ids []uint64
	for _, m := range r.members() {
		if !m.GetLearner() {
			ids = append(ids, m.GetReplicaId())
		}
	}
	return ids
}

// majorityValue returns the highest value that a majority of voters has
// reached.
func (r *Replica) majorityValue(value func(id uint64) uint64) uint64 {
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

// hasQuorum reports whether satisfied returns true for a majority of voters.
func (r *Replica) hasQuorum(satisfied func(id uint64) bool) bool {
	n := r.majorityValue(func(id uint64) uint64 {
		if satisfied(id) {
			return 1
		}
		return 0
	})
	return n == 1
}

// minVoters is the number of voters that the group needs to bear the tolerated losses.
func (r *Replica) minVoters() int { return 2*max(r.cfg.ToleratedLosses, 1) + 1 }
