package catalog

import (
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// maxTargetOverTimeoutMs is the distance by which the target latency of a
// route may lie above its timeout. Operators use longer targets to say that
// any answer within the timeout is of full use; a minute more is a mistake.
const maxTargetOverTimeoutMs = 60_000

// CheckState validates a whole desired state. The error names the item and the
// field.
func CheckState(state *catalogpb.DesiredState) *fault.Error {
	if state.GetVersion() == 0 {
		return invalid("version must be above 0")
	}
	if len(state.Source) > maxText {
		return invalid("the text is %d bytes long, above %d", len(state.Source), maxText)
	}
	pools := make(map[string]bool, len(state.Pools))
	for _, p := range state.Pools {
		if err := checkPool(p); err != nil {
			return err
		}
		if pools[p.Name] {
			return invalid("pool %q is listed twice", p.Name)
		}
		pools[p.Name] = true
	}
	names := make(map[string]bool, len(state.Routes))
	places := make(map[string]string, len(state.Routes))
	for _, r := range state.Routes {
		if err := checkRoute(r, pools); err != nil {
			return err
		}
		if names[r.Name] {
			return invalid("route %q is listed twice", r.Name)
		}
		names[r.Name] = true
		place := strings.ToLower(r.Host) + r.PathPrefix
		if other, taken := places[place]; taken {
			return invalid("routes %q and %q have the same host and path prefix", other, r.Name)
		}
		places[place] = r.Name
	}
	return nil
}

func checkPool(p *catalogpb.Pool) *fault.Error {
	switch {
	case p.Name == "":
		return invalid("a pool has no name")
	case !strings.HasPrefix(p.HealthPath, "/"):
		return invalid("pool %q: the health path must begin with /", p.Name)
	case p.ColdPerS < 0 || math.IsNaN(p.ColdPerS) || math.IsInf(p.ColdPerS, 0):
		return invalid("pool %q: the rate in cold start must not be below 0", p.Name)
	}
	return nil
}

func checkRoute(r *catalogpb.Route, pools map[string]bool) *fault.Error {
	switch {
	case r.Name == "":
		return invalid("a route has no name")
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return invalid("route %q: the path prefix must begin with /", r.Name)
	case r.Kind == catalogpb.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("route %q has no kind", r.Name)
	case r.MaxAttempts == 0:
		return invalid("route %q allows no attempt", r.Name)
	case r.TimeoutMs == 0:
		return invalid("route %q has no timeout", r.Name)
	case uint64(r.TargetLatencyMs) >= uint64(r.TimeoutMs)+maxTargetOverTimeoutMs:
		return invalid("route %q: the target latency lies a minute or more above the timeout", r.Name)
	}
	return checkShares(r, pools)
}

func checkShares(r *catalogpb.Route, pools map[string]bool) *fault.Error {
	sum := 0.0
	for _, s := range r.Shares {
		if !pools[s.Pool] {
			return invalid("route %q names the unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			return invalid("route %q: the weight of pool %q must not be below 0", r.Name, s.Pool)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

// putState brings a desired state into force. A version that is not above the
// one held changes nothing and is no error, so that a change may be sent again
// after its answer was lost.
func (c *Catalog) putState(index uint64, state *catalogpb.DesiredState) any {
	cfg := c.Config()
	result := &catalogpb.DesiredStateResult{HeldVersion: cfg.StateVersion, Revision: cfg.Revision}
	if state.Version <= cfg.StateVersion {
		return result
	}
	if err := CheckState(state); err != nil {
		return c.refuse(err)
	}
	next := draft(cfg)
	setState(next, state)
	result.Diff = StateDiff(cfg, next)
	c.publish(index, next)
	c.source = Source{plain: state.Source, packed: state.PackedSource}
	result.HeldVersion, result.Applied, result.Revision = state.Version, true, c.Config().Revision
	return result
}

func setState(next *catalogpb.Config, state *catalogpb.DesiredState) {
	next.StateVersion = state.Version
	next.Routes = routes.merge(nil, state.Routes, nil)
	next.Pools = pools.merge(nil, state.Pools, nil)
	next.CallerLimits = state.Limits
}

// StateDryRun returns the result that state would have now, and changes
// nothing.
func (c *Catalog) StateDryRun(state *catalogpb.DesiredState) (*catalogpb.DesiredStateResult, *fault.Error) {
	cfg := c.Config()
	result := &catalogpb.DesiredStateResult{HeldVersion: cfg.StateVersion, Revision: cfg.Revision}
	if err := CheckState(state); err != nil {
		return nil, err
	}
	if state.Version <= cfg.StateVersion {
		return result, nil
	}
	next := draft(cfg)
	setState(next, state)
	result.Applied = true
	result.Diff = StateDiff(cfg, next)
	return result, nil
}

// StateSource returns the version of the desired state in force and its text.
func (c *Catalog) StateSource() (uint64, Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Config().StateVersion, c.source
}

// StateDiff returns the difference between two desired states in the form of
// Diff.
func StateDiff(base, next *catalogpb.Config) []string {
	lines := describe(pools, "pool", base.Pools, next.Pools)
	lines = append(lines, describe(routes, "route", base.Routes, next.Routes)...)
	if !proto.Equal(base.CallerLimits, next.CallerLimits) {
		lines = append(lines, "~ caller limits")
	}
	return shorten(lines)
}

// setZoneOut records whether an availability zone takes new work. It is
// idempotent, and makes the zone known if it was not.
func setZoneOut(next *catalogpb.Config, set *catalogpb.SetZoneOut) *fault.Error {
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
		next.Zones = zones.put(next.Zones, &catalogpb.Zone{Name: set.Zone, State: state})
		return nil
	}
	if isOut(old.State) == set.Out {
		return nil
	}
	moved := proto.CloneOf(old)
	moved.State = state
	next.Zones = zones.put(next.Zones, moved)
	return nil
}

// isOut reports whether a zone in this state takes no new work.
func isOut(state catalogpb.ZoneState) bool {
	return state == catalogpb.ZoneState_ZONE_STATE_OUT || state == catalogpb.ZoneState_ZONE_STATE_LEAVING
}
