package claim

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxChanges bounds the earlier epochs that an epoch describes.
const maxChanges = 32

// NextEpoch returns the epoch that follows prev with the given members, or prev
// itself when the members are the same processes or there are none. It is
// deterministic, so that every control replica derives the same epoch. prev is
// nil before the first epoch.
func NextEpoch(prev *catalogpb.ClaimEpoch, members []*catalogpb.ClaimMember) *catalogpb.ClaimEpoch {
	if len(members) == 0 {
		return prev
	}
	next := slices.Clone(members)
	slices.SortFunc(next, func(a, b *catalogpb.ClaimMember) int { return cmp.Compare(a.Id, b.Id) })
	change := &catalogpb.ClaimEpochChange{
		Epoch:  prev.GetEpoch() + 1,
		Left:   without(prev.GetPlaced(), next),
		Joined: without(next, prev.GetPlaced()),
	}
	if prev != nil && len(change.Left) == 0 && len(change.Joined) == 0 {
		return prev
	}
	changes := append(slices.Clone(prev.GetChanges()), change)
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	ids := make([]string, len(next))
	for i, m := range next {
		ids[i] = m.Id
	}
	return &catalogpb.ClaimEpoch{Epoch: change.Epoch, Members: ids, Placed: next, Changes: changes}
}

// without returns the members of a that are not in b.
func without(a, b []*catalogpb.ClaimMember) []*catalogpb.ClaimMember {
	var rest []*catalogpb.ClaimMember
	for _, m := range a {
		same := func(o *catalogpb.ClaimMember) bool { return memberOf(o) == memberOf(m) }
		if !slices.ContainsFunc(b, same) {
			rest = append(rest, m)
		}
	}
	return rest
}

// epoch is the members over which partitions are placed for a while.
type epoch struct {
	number  uint64
	members []Member
}

// epochsOf returns the epochs that ce describes, oldest first, and whether the
// oldest is the first epoch there ever was.
func epochsOf(ce *catalogpb.ClaimEpoch) ([]epoch, bool) {
	members := make([]Member, 0, len(ce.Placed))
	for _, m := range ce.Placed {
		members = append(members, memberOf(m))
	}
	epochs := []epoch{{ce.Epoch, members}}
	for i := len(ce.Changes) - 1; i >= 0 && ce.Changes[i].Epoch > 1; i-- {
		members = undo(members, ce.Changes[i])
		epochs = append(epochs, epoch{ce.Changes[i].Epoch - 1, members})
	}
	slices.Reverse(epochs)
	return epochs, epochs[0].number == 1
}

// undo returns the members before the change.
func undo(members []Member, c *catalogpb.ClaimEpochChange) []Member {
	before := make([]Member, 0, len(members))
	for _, m := range members {
		joined := func(o *catalogpb.ClaimMember) bool { return memberOf(o) == m }
		if !slices.ContainsFunc(c.Joined, joined) {
			before = append(before, m)
		}
	}
	for _, m := range c.Left {
		before = append(before, memberOf(m))
	}
	return before
}
