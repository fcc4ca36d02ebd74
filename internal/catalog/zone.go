package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// zoneChart holds the states of an availability zone.
var zoneChart = charts.MustLoad("zone")

// zoneStates maps the states of the schema to those of the chart.
var zoneStates = map[catalogpb.ZoneState]chart.State{
	catalogpb.ZoneState_ZONE_STATE_IN:        "in",
	catalogpb.ZoneState_ZONE_STATE_LEAVING:   "leaving",
	catalogpb.ZoneState_ZONE_STATE_OUT:       "out",
	catalogpb.ZoneState_ZONE_STATE_RETURNING: "returning",
}

// zoneEvents maps a requested state to the event that leads there.
var zoneEvents = map[catalogpb.ZoneState]chart.Event{
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
	state := initialZoneState()
	if old, ok := zones.get(next.Zones, given.Name); ok {
		state = old.State
	}
	z := proto.CloneOf(given)
	if z.State == catalogpb.ZoneState_ZONE_STATE_UNSPECIFIED {
		z.State = state
	}
	if z.State != state {
		return invalid("the state of an availability zone is changed by set_zone_state")
	}
	next.Zones = zones.put(next.Zones, z)
	return nil
}

func deleteZone(next *catalogpb.Config, name string) *fault.Error {
	z, ok := zones.get(next.Zones, name)
	if !ok {
		return invalid("no availability zone %q", name)
	}
	if z.State != catalogpb.ZoneState_ZONE_STATE_OUT {
		return invalid("availability zone %q is not out", name)
	}
	next.Zones = zones.remove(next.Zones, func(z *catalogpb.Zone) bool { return z.Name == name })
	next.Cells = cells.remove(next.Cells, func(c *catalogpb.Cell) bool { return c.Zone == name })
	return nil
}

func setZoneState(next *catalogpb.Config, set *catalogpb.SetZoneState) *fault.Error {
	z, ok := zones.get(next.Zones, set.Zone)
	if !ok {
		return invalid("no availability zone %q", set.Zone)
	}
	if z.State == set.State {
		return nil
	}
	on, ok := zoneEvents[set.State]
	if !ok {
		return invalid("unknown state of an availability zone")
	}
	from := zoneStates[z.State]
	to, _, ok := zoneChart.Next(from, on)
	if !ok || to != zoneStates[set.State] {
		return invalid("availability zone %q cannot go from %s to %s", z.Name, from, zoneStates[set.State])
	}
	moved := proto.CloneOf(z)
	moved.State = set.State
	next.Zones = zones.put(next.Zones, moved)
	return nil
}
