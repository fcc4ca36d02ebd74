package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// zoneChart is the state chart of an availability zone.
var zoneChart = charts.MustLoad("zone")

// zoneStates maps the zone states of the protobuf schema to those of zoneChart.
var zoneStates = map[catalogpb.ZoneState]statechart.State{
	catalogpb.ZoneState_ZONE_STATE_IN:        "in",
	catalogpb.ZoneState_ZONE_STATE_LEAVING:   "leaving",
	catalogpb.ZoneState_ZONE_STATE_OUT:       "out",
	catalogpb.ZoneState_ZONE_STATE_RETURNING: "returning",
}

// zoneEvents maps a requested zone state to the event that leads to it.
var zoneEvents = map[catalogpb.ZoneState]statechart.Event{
	catalogpb.ZoneState_ZONE_STATE_IN:        "settled",
	catalogpb.ZoneState_ZONE_STATE_LEAVING:   "take_out",
	catalogpb.ZoneState_ZONE_STATE_OUT:       "cut_off",
	catalogpb.ZoneState_ZONE_STATE_RETURNING: "bring_back",
}

func initialZoneState() catalogpb.ZoneState {
	for state, name := range zoneStates {
		if name == zoneChart.Initial() {
			return state
		}
	}
	return catalogpb.ZoneState_ZONE_STATE_UNSPECIFIED
}

func putZone(next *catalogpb.Config, given *catalogpb.Zone) *fault.Error {
	if err := checkName("availability zone", given.Name); err != nil {
		return err
	}
	state, outRevision := initialZoneState(), uint64(0)
	if old, ok := zones.get(next.Zones, given.Name); ok {
		state, outRevision = old.State, old.OutRevision
	}
	z := proto.CloneOf(given)
	z.OutRevision = outRevision
	if z.State == catalogpb.ZoneState_ZONE_STATE_UNSPECIFIED {
		z.State = state
	}
	if z.State != state {
		return invalid("availability zone %q: put_zone cannot change its state from %v to %v; use set_zone_state", z.Name, state, z.State)
	}
	next.Zones = zones.put(next.Zones, z)
	return nil
}

func deleteZone(next *catalogpb.Config, name string) *fault.Error {
	z, ok := zones.get(next.Zones, name)
	if !ok {
		return invalid("availability zone %q does not exist", name)
	}
	if z.State != catalogpb.ZoneState_ZONE_STATE_OUT {
		return invalid("availability zone %q is %s; only a zone that is out can be deleted", name, zoneStates[z.State])
	}
	next.Zones = zones.remove(next.Zones, func(z *catalogpb.Zone) bool { return z.Name == name })
	next.Cells = cells.remove(next.Cells, func(c *catalogpb.Cell) bool { return c.Zone == name })
	return nil
}

func setZoneState(next *catalogpb.Config, set *catalogpb.SetZoneState) *fault.Error {
	z, ok := zones.get(next.Zones, set.Zone)
	if !ok {
		return invalid("availability zone %q does not exist", set.Zone)
	}
	if z.State == set.State {
		return nil
	}
	event, ok := zoneEvents[set.State]
	if !ok {
		return invalid("availability zone %q: unknown state %v", set.Zone, set.State)
	}
	from := zoneStates[z.State]
	to, _, ok := zoneChart.Next(from, event)
	if !ok || to != zoneStates[set.State] {
		return invalid("availability zone %q cannot go from %s to %s", z.Name, from, zoneStates[set.State])
	}
	updated := proto.CloneOf(z)
	updated.State = set.State
	next.Zones = zones.put(next.Zones, updated)
	return nil
}

// setZoneOut records whether an availability zone takes new work. It is
// idempotent. An unknown zone is added only if it is to take no new work. The revision
// is recorded only for a command with a base revision: without one, the command must
// have the same effect as in builds that do not know the field.
func setZoneOut(next *catalogpb.Config, index uint64, set *catalogpb.SetZoneOut) *fault.Error {
	if err := checkName("availability zone", set.Zone); err != nil {
		return err
	}
	state := catalogpb.ZoneState_ZONE_STATE_RETURNING
	if set.Out {
		state = catalogpb.ZoneState_ZONE_STATE_OUT
	}
	old, known := zones.get(next.Zones, set.Zone)
	if !known {
		if !set.Out {
			return nil
		}
		added := &catalogpb.Zone{Name: set.Zone, State: state}
		if set.BaseRevision != 0 {
			added.OutRevision = index
		}
		next.Zones = zones.put(next.Zones, added)
		return nil
	}
	if closedToNewWork(old.State) == set.Out {
		return nil
	}
	updated := proto.CloneOf(old)
	updated.State = state
	if set.BaseRevision != 0 {
		updated.OutRevision = index
	}
	next.Zones = zones.put(next.Zones, updated)
	return nil
}

// closedToNewWork reports whether a zone in the given state takes no new work.
func closedToNewWork(state catalogpb.ZoneState) bool {
	return state == catalogpb.ZoneState_ZONE_STATE_OUT || state == catalogpb.ZoneState_ZONE_STATE_LEAVING
}
