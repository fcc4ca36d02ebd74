package catalog

import (
	"slices"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// EntryKeys returns the keys of the registered entry VMs.
func EntryKeys(cfg *catalogpb.Config) []*catalogpb.EntryKey {
	set := make([]*catalogpb.EntryKey, len(cfg.Entries))
	for i, e := range cfg.Entries {
		set[i] = &catalogpb.EntryKey{Id: e.Id, ClusterAddress: e.ClusterAddress, Region: e.Region}
	}
	return set
}

// registerEntry adds or updates an entry VM. An older incarnation is refused. A
// restarted member for claims opens a new claim epoch.
func registerEntry(next *catalogpb.Config, index uint64, cmd *catalogpb.RegisterEntry) *fault.Error {
	e := cmd.Entry
	if err := checkEntry(next, e); err != nil {
		return err
	}
	if changesSet(next, e) {
		if err := changeSet(next, index, cmd.SetRevision, EntryKeys(next)); err != nil {
			return err
		}
	}
	putEntry(next, e)
	return nil
}

// registerEntries adds or updates gateways. One that cannot be registered does
// not keep the others out.
func registerEntries(next *catalogpb.Config, index uint64, cmd *catalogpb.RegisterEntries) *fault.Error {
	previous, changed := EntryKeys(next), false
	for _, e := range cmd.Entries {
		if !e.GetServesStale() || checkEntry(next, e) != nil {
			continue
		}
		changed = changed || changesSet(next, e)
		putEntry(next, e)
	}
	if !changed {
		return nil
	}
	return changeSet(next, index, cmd.SetRevision, previous)
}

// CheckEntry validates the description of an entry VM by itself.
func CheckEntry(e *catalogpb.Entry) *fault.Error {
	if err := checkName("entry VM", e.GetId()); err != nil {
		return err
	}
	if e.ClusterAddress == "" {
		return invalid("entry VM %q has no cluster address", e.Id)
	}
	return nil
}

func checkEntry(cfg *catalogpb.Config, e *catalogpb.Entry) *fault.Error {
	if err := CheckEntry(e); err != nil {
		return err
	}
	if old, known := entries.get(cfg.Entries, e.Id); known && e.Incarnation < old.Incarnation {
		return fault.New(fault.StaleRevision, "entry VM %q has a newer incarnation", e.Id)
	}
	return nil
}

// changesSet reports whether registering e changes the set of entry VMs.
func changesSet(cfg *catalogpb.Config, e *catalogpb.Entry) bool {
	old, known := entries.get(cfg.Entries, e.Id)
	return !known || old.ClusterAddress != e.ClusterAddress || old.Region != e.Region
}

func putEntry(next *catalogpb.Config, e *catalogpb.Entry) {
	next.Entries = entries.put(next.Entries, e)
	if slices.Contains(next.ClaimEpoch.GetMembers(), e.Id) {
		next.ClaimEpoch = claimEpoch(next, next.ClaimEpoch.Members)
	}
}

// removeEntry removes an entry VM, its cells and its place among the members
// for claims. One whose process has ended is left out of the previous set, so
// that nobody waits for it; this is possible while an earlier change of the set
// is pending, whose previous set is then kept.
func removeEntry(next *catalogpb.Config, index uint64, cmd *catalogpb.RemoveEntry) *fault.Error {
	if _, ok := entries.get(next.Entries, cmd.Id); !ok {
		return fault.New(fault.NotFound, "no entry VM %q", cmd.Id)
	}
	if cmd.Pending && !cmd.Ended {
		return invalid("the last change of the set of entry VMs is not accepted")
	}
	previous := EntryKeys(next)
	if cmd.Pending {
		previous = slices.Clone(next.PreviousSet)
	}
	if cmd.Ended {
		previous = slices.DeleteFunc(previous, func(k *catalogpb.EntryKey) bool { return k.Id == cmd.Id })
	}
	if err := changeSet(next, index, cmd.SetRevision, previous); err != nil {
		return err
	}
	next.Entries = entries.remove(next.Entries, func(e *catalogpb.Entry) bool { return e.Id == cmd.Id })
	next.Cells = cells.remove(next.Cells, func(c *catalogpb.Cell) bool { return c.Entry == cmd.Id })
	if members := next.ClaimEpoch.GetMembers(); slices.Contains(members, cmd.Id) {
		remaining := slices.DeleteFunc(slices.Clone(members), func(id string) bool { return id == cmd.Id })
		next.ClaimEpoch = claimEpoch(next, remaining)
	}
	return nil
}

// changeSet records the set before a change to it. Only one such change can be
// made on each set revision.
func changeSet(next *catalogpb.Config, index, expected uint64, previous []*catalogpb.EntryKey) *fault.Error {
	if expected != next.SetRevision {
		return fault.New(fault.StaleRevision, "the set of entry VMs has changed")
	}
	next.PreviousSet = previous
	next.SetRevision = index
	return nil
}

// assignCells replaces assignments. One that names an unknown service,
// availability zone, shard or incarnation is left out.
func assignCells(next *catalogpb.Config, index uint64, cmd *catalogpb.AssignCells) *fault.Error {
	put := make([]*catalogpb.Cell, 0, len(cmd.Cells))
	for _, given := range cmd.Cells {
		if !assignable(next, given) {
			continue
		}
		c := proto.CloneOf(given)
		c.Epoch = index
		put = append(put, c)
	}
	next.Cells = cells.merge(next.Cells, put, nil)
	return nil
}

func assignable(cfg *catalogpb.Config, c *catalogpb.Cell) bool {
	s, ok := services.get(cfg.Services, c.Service)
	if !ok || c.Shard >= s.Shards {
		return false
	}
	if _, ok := zones.get(cfg.Zones, c.Zone); !ok {
		return false
	}
	e, ok := entries.get(cfg.Entries, c.Entry)
	return ok && e.Incarnation == c.Incarnation
}

// setClaimEpoch replaces the members over which claims are placed.
func setClaimEpoch(next *catalogpb.Config, cmd *catalogpb.SetClaimEpoch) *fault.Error {
	members := slices.DeleteFunc(slices.Clone(cmd.ClaimEpoch.GetMembers()), func(id string) bool {
		_, ok := entries.get(next.Entries, id)
		return !ok
	})
	slices.Sort(members)
	next.ClaimEpoch = claimEpoch(next, slices.Compact(members))
	return nil
}

// claimEpoch returns the epoch with the given entry VMs as members. It differs
// from the one before when a member has joined, left or restarted: a restarted
// process has lost its claims and counts as another member.
func claimEpoch(cfg *catalogpb.Config, ids []string) *catalogpb.ClaimEpoch {
	placed := make([]*catalogpb.ClaimMember, 0, len(ids))
	for _, id := range ids {
		e, ok := entries.get(cfg.Entries, id)
		if ok {
			placed = append(placed, &catalogpb.ClaimMember{Id: id, Incarnation: e.Incarnation, Zone: e.Zone})
		}
	}
	return claim.NextEpoch(cfg.ClaimEpoch, placed)
}
