package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// An order that carries a base revision is bounded: if its object was changed at a
// later revision, the order was given without knowledge of that change. A control VM
// that was frozen or cut off may have held it while the operator ordered the opposite
// elsewhere. Such an order changes nothing; whoever still wants it sends it again.

// outdatedOrder returns the retryable error of an order whose object has changed after
// its base revision.
func outdatedOrder(format string, args ...any) *fault.Error {
	return fault.New(fault.OutdatedOrder, format, args...)
}

// changedAfter reports whether an object that was last changed at the given revision
// was changed after base. A base of 0, as from builds that do not know the field,
// disables the check.
func changedAfter(base, changed uint64) bool { return base != 0 && changed > base }

// run returns the configuration after a command that is neither an operator's change
// nor a desired state. The caller holds mu.
func (c *Catalog) run(index uint64, cmd *catalogpb.Command) (*catalogpb.Config, *fault.Error) {
	next := shallowCopy(c.Config())
	err := runCommand(next, index, cmd)
	inEffect := err == nil && sameContent(next, c.Config())
	if outdated := c.outdatedCommand(cmd); outdated != nil && !inEffect {
		return nil, outdated
	}
	if set := cmd.GetSetZoneOut(); inEffect && set.GetBaseRevision() != 0 {
		confirmZone(next, index, set.Zone)
	}
	return next, err
}

// confirmZone records that an order found the zone in the requested state. That order is
// acknowledged, so that one from before it must not take effect any more.
func confirmZone(next *catalogpb.Config, index uint64, name string) {
	confirmed := &catalogpb.Zone{Name: name, State: initialZoneState()}
	if old, known := zones.get(next.Zones, name); known {
		confirmed = proto.CloneOf(old)
	}
	confirmed.OutRevision = index
	next.Zones = zones.put(next.Zones, confirmed)
}

// outdatedCommand returns an error if the object of a bounded command was changed
// after its base revision.
func (c *Catalog) outdatedCommand(cmd *catalogpb.Command) *fault.Error {
	switch kind := cmd.Kind.(type) {
	case *catalogpb.Command_SetZoneOut:
		return c.outdatedZone(kind.SetZoneOut.Zone, kind.SetZoneOut.BaseRevision)
	case *catalogpb.Command_StartRollout:
		return c.outdatedRollout(kind.StartRollout)
	}
	// DropUpstream is checked in dropUpstream, by the start times.
	return nil
}

func (c *Catalog) outdatedZone(zone string, base uint64) *fault.Error {
	old, _ := zones.get(c.Config().Zones, zone)
	if changedAfter(base, old.GetOutRevision()) {
		return outdatedOrder("availability zone %q was changed at revision %d, after revision %d on which the order is based", zone, old.GetOutRevision(), base)
	}
	if base != 0 && c.changes.changedAfter(zoneObject(zone), base) {
		return outdatedOrder("availability zone %q was changed by an operator after revision %d on which the order is based", zone, base)
	}
	return nil
}

// outdatedRollout returns an error if the newest roll-out of the pool has changed its
// state after the base revision of the order.
func (c *Catalog) outdatedRollout(start *catalogpb.StartRollout) *fault.Error {
	for _, r := range c.Config().Rollouts {
		if r.Pool == start.Pool && changedAfter(start.BaseRevision, r.ChangedRevision) {
			return outdatedOrder("the roll-out of pool %q was changed at revision %d, after revision %d on which the order is based", r.Pool, r.ChangedRevision, start.BaseRevision)
		}
	}
	return nil
}

// outdatedChange returns an error if an operator's change is not in effect already and
// its object was changed after its base revision. A change that expects another operator
// revision is rejected for that reason instead.
func (c *Catalog) outdatedChange(index uint64, change *catalogpb.OperatorChange) *fault.Error {
	base := change.BaseRevision
	if base == 0 {
		return nil
	}
	next, result := evaluate(c.Config(), index, change)
	inEffect := next == nil && result.Outcome == catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED
	if inEffect || result.Outcome == catalogpb.ChangeOutcome_CHANGE_OUTCOME_STALE {
		return nil
	}
	if zone := changedZone(change.Change); zone != "" {
		return c.outdatedZone(zone, base)
	}
	if object := changeObject(change.Change); c.changes.changedAfter(object, base) {
		return outdatedOrder("%s was changed after revision %d on which the change is based", object, base)
	}
	return nil
}

// changeObject names the object of an operator's change. Rules belong to their
// service, because its deletion deletes them.
func changeObject(change *catalogpb.Change) string {
	switch kind := change.GetKind().(type) {
	case *catalogpb.Change_PutService:
		return serviceObject(kind.PutService.GetName())
	case *catalogpb.Change_DeleteService:
		return serviceObject(kind.DeleteService)
	case *catalogpb.Change_PutRule:
		return serviceObject(kind.PutRule.GetService())
	case *catalogpb.Change_DeleteRule:
		return serviceObject(kind.DeleteRule.GetService())
	}
	return zoneObject(changedZone(change))
}

// changedZone returns the zone that a change concerns; "" if it concerns none.
func changedZone(change *catalogpb.Change) string {
	switch kind := change.GetKind().(type) {
	case *catalogpb.Change_PutZone:
		return kind.PutZone.GetName()
	case *catalogpb.Change_DeleteZone:
		return kind.DeleteZone
	case *catalogpb.Change_SetZoneState:
		return kind.SetZoneState.GetZone()
	}
	return ""
}

func serviceObject(name string) string { return "service " + name }
func zoneObject(name string) string    { return "availability zone " + name }

// CheckOrder returns the error of kind fault.OutdatedOrder that the command would get
// if it were applied now, or nil. The leader calls it before it proposes an order, so
// that an outdated one seldom enters the log. Apply checks again, because another order
// may be in the log that is not applied yet.
func (c *Catalog) CheckOrder(cmd *catalogpb.Command) *fault.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.Index() + 1
	if change := cmd.GetOperatorChange(); change != nil {
		if c.resultForID(change) != nil {
			return nil
		}
		return c.outdatedChange(index, change)
	}
	if _, err := c.run(index, cmd); err != nil && err.Kind == fault.OutdatedOrder {
		return err
	}
	return nil
}
