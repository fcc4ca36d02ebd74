package claim

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxEpochChanges is the number of membership changes that an epoch carries.
const maxEpochChanges = 32

// NextEpoch returns the epoch that follows prev with the given members, or prev
// itself if there are no members, or they are the same processes in the same
// zones. prev is nil before the first epoch. The result is deterministic, so that all control
// replicas compute the same epoch.
func NextEpoch(prev *catalogpb.ClaimEpoch, members []*catalogpb.ClaimMember) *catalogpb.ClaimEpoch {
	if len(members) == 0 {
		return prev
	}
	next := slices.Clone(members)
	slices.SortFunc(next, func(a, b *catalogpb.ClaimMember) int { return cmp.Compare(a.Id, b.Id) })
	change := &catalogpb.ClaimEpochChange{
		Epoch:  prev.GetEpoch() + 1,
		Left:   difference(prev.GetPlaced(), next),
		Joined: difference(next, prev.GetPlaced()),
	}
	if prev != nil && len(change.Left) == 0 && len(change.Joined) == 0 {
		return prev
	}
	changes := append(slices.Clone(prev.GetChanges()), change)
	if len(changes) > maxEpochChanges {
		changes = changes[len(changes)-maxEpochChanges:]
	}
	ids := make([]string, len(next))
	for i, m := range next {
		ids[i] = m.Id
	}
	return &catalogpb.ClaimEpoch{Epoch: change.Epoch, Members: ids, Placed: next, Changes: changes}
}

// difference returns the members of a that are not in b.
func difference(a, b []*catalogpb.ClaimMember) []*catalogpb.ClaimMember {
	var rest []*catalogpb.ClaimMember
	for _, m := range a {
		same := func(o *catalogpb.ClaimMember) bool { return memberFromProto(o) == memberFromProto(m) }
		if !slices.ContainsFunc(b, same) {
			rest = append(rest, m)
		}
	}
	return rest
}

// epoch is one version of the member set.
type epoch struct {
	number  uint64
	members []Member
}

// expandEpochs returns ce and the earlier epochs that its changes describe,
// oldest first, and whether the oldest is epoch 1.
func expandEpochs(ce *catalogpb.ClaimEpoch) ([]epoch, bool) {
	members := make([]Member, 0, len(ce.Placed))
	for _, m := range ce.Placed {
		members = append(members, memberFromProto(m))
	}
	epochs := []epoch{{ce.Epoch, members}}
	for i := len(ce.Changes) - 1; i >= 0 && ce.Changes[i].Epoch > 1; i-- {
		members = revertChange(members, ce.Changes[i])
		epochs = append(epochs, epoch{ce.Changes[i].Epoch - 1, members})
	}
	slices.Reverse(epochs)
	return epochs, epochs[0].number == 1
}

// revertChange returns the member set before the change was applied.
func revertChange(members []Member, c *catalogpb.ClaimEpochChange) []Member {
	before := make([]Member, 0, len(members))
	for _, m := range members {
		joined := func(o *catalogpb.ClaimMember) bool { return memberFromProto(o) == m }
		if !slices.ContainsFunc(c.Joined, joined) {
			before = append(before, m)
		}
	}
	for _, m := range c.Left {
		before = append(before, memberFromProto(m))
	}
	return before
}
