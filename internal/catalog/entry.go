package catalog

import (
	"slices"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/claim"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// EntryKeys returns the keys of the entry VMs that are registered in cfg.
func EntryKeys(cfg *catalogpb.Config) []*catalogpb.EntryKey {
	set := make([]*catalogpb.EntryKey, len(cfg.Entries))
	for i, e := range cfg.Entries {
		set[i] = &catalogpb.EntryKey{Id: e.Id, ClusterAddress: e.ClusterAddress, Region: e.Region}
	}
	return set
}

// registerEntry adds or updates an entry VM. It rejects an incarnation older
// than the registered one. A restart of a member of the claim epoch begins a new
// claim epoch.
func registerEntry(next *catalogpb.Config, index uint64, cmd *catalogpb.RegisterEntry) *fault.Error {
	e := cmd.Entry
	if err := checkEntry(next, e); err != nil {
		return err
	}
	if changesEntrySet(next, e) {
		if err := recordSetChange(next, index, cmd.SetRevision, EntryKeys(next)); err != nil {
			return err
		}
	}
	putEntry(next, e)
	return nil
}

// registerEntries adds or updates gateways, which are the entries with
// ServesStale set. It skips other entries and invalid ones, so that they do not
// prevent the registration of the rest.
func registerEntries(next *catalogpb.Config, index uint64, cmd *catalogpb.RegisterEntries) *fault.Error {
	previous, changed := EntryKeys(next), false
	for _, e := range cmd.Entries {
		if !e.GetServesStale() || checkEntry(next, e) != nil {
			continue
		}
		changed = changed || changesEntrySet(next, e)
		putEntry(next, e)
	}
	if !changed {
		return nil
	}
	return recordSetChange(next, index, cmd.SetRevision, previous)
}

// CheckEntry validates the fields of e without reference to a configuration. It
// returns an error of kind fault.InvalidChange, or nil.
func CheckEntry(e *catalogpb.Entry) *fault.Error {
	if err := checkName("entry VM", e.GetId()); err != nil {
		return err
	}
	if e.ClusterAddress == "" {
		return invalid("entry VM %q has no cluster address", e.Id)
	}
	return nil
}

// checkEntry validates e and rejects an incarnation older than the one
// registered in cfg.
func checkEntry(cfg *catalogpb.Config, e *catalogpb.Entry) *fault.Error {
	if err := CheckEntry(e); err != nil {
		return err
	}
	if old, known := entries.get(cfg.Entries, e.Id); known && e.Incarnation < old.Incarnation {
		return fault.New(fault.StaleRevision, "entry VM %q: incarnation %d is older than the registered %d", e.Id, e.Incarnation, old.Incarnation)
	}
	return nil
}

// changesEntrySet reports whether registering e changes the set of entry VMs.
func changesEntrySet(cfg *catalogpb.Config, e *catalogpb.Entry) bool {
	old, known := entries.get(cfg.Entries, e.Id)
	return !known || old.ClusterAddress != e.ClusterAddress || old.Region != e.Region
}

// putEntry adds or replaces e and, if e is a member of the claim epoch, updates
// the epoch to its incarnation.
func putEntry(next *catalogpb.Config, e *catalogpb.Entry) {
	next.Entries = entries.put(next.Entries, e)
	if slices.Contains(next.ClaimEpoch.GetMembers(), e.Id) {
		next.ClaimEpoch = claimEpoch(next, next.ClaimEpoch.Members)
	}
}

// removeEntry removes an entry VM, its cells and its membership in the claim
// epoch. If its process has ended, the entry VM is also left out of the previous
// set, so that the change does not wait for its acknowledgement. While an earlier
// change of the set is pending, only an entry VM whose process has ended can be
// removed; the other entry VMs of the previous set are then kept.
func removeEntry(next *catalogpb.Config, index uint64, cmd *catalogpb.RemoveEntry) *fault.Error {
	if _, ok := entries.get(next.Entries, cmd.Id); !ok {
		return fault.New(fault.NotFound, "entry VM %q is not registered", cmd.Id)
	}
	if cmd.Pending && !cmd.Ended {
		return invalid("entry VM %q cannot be removed: the last change of the set of entry VMs is not accepted yet", cmd.Id)
	}
	previous := EntryKeys(next)
	if cmd.Pending {
		previous = slices.Clone(next.PreviousSet)
	}
	if cmd.Ended {
		previous = slices.DeleteFunc(previous, func(k *catalogpb.EntryKey) bool { return k.Id == cmd.Id })
	}
	if err := recordSetChange(next, index, cmd.SetRevision, previous); err != nil {
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

// recordSetChange records the set of entry VMs before a change of the set and
// makes index the new set revision. It rejects a change that was made for
// another set revision than the current one.
func recordSetChange(next *catalogpb.Config, index, expected uint64, previous []*catalogpb.EntryKey) *fault.Error {
	if expected != next.SetRevision {
		return fault.New(fault.StaleRevision, "expected revision %d of the set of entry VMs, current is %d", expected, next.SetRevision)
	}
	next.PreviousSet = previous
	next.SetRevision = index
	return nil
}

// assignCells assigns cells to entry VMs. It skips those that refer to an
// unknown service, availability zone, shard, entry VM or incarnation.
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

// setClaimEpoch begins a claim epoch with the given members, without those that
// are not registered.
func setClaimEpoch(next *catalogpb.Config, cmd *catalogpb.SetClaimEpoch) *fault.Error {
	members := slices.DeleteFunc(slices.Clone(cmd.ClaimEpoch.GetMembers()), func(id string) bool {
		_, ok := entries.get(next.Entries, id)
		return !ok
	})
	slices.Sort(members)
	next.ClaimEpoch = claimEpoch(next, slices.Compact(members))
	return nil
}

// claimEpoch returns the claim epoch with the given entry VMs as members. It
// differs from the current one if a member has joined, left or restarted: a
// restarted process has lost its claims and counts as another member.
func claimEpoch(cfg *catalogpb.Config, ids []string) *catalogpb.ClaimEpoch {
	members := make([]*catalogpb.ClaimMember, 0, len(ids))
	for _, id := range ids {
		e, ok := entries.get(cfg.Entries, id)
		if ok {
			members = append(members, &catalogpb.ClaimMember{Id: id, Incarnation: e.Incarnation, Zone: e.Zone})
		}
	}
	return claim.NextEpoch(cfg.ClaimEpoch, members)
}
