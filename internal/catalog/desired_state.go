package catalog

import (
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// maxTargetExcessMs is the excess of a route's target latency over its timeout
// from which the target is rejected. Operators set a target above the timeout
// when any response within the timeout is equally useful; an excess of a minute
// or more is a mistake.
const maxTargetExcessMs = 60_000

// CheckState validates a desired state. It returns nil, or an error of kind
// fault.InvalidChange that names the invalid item and field.
func CheckState(state *catalogpb.DesiredState) *fault.Error {
	if state.GetVersion() == 0 {
		return invalid("version of the desired state is 0, expected at least 1")
	}
	if len(state.Source) > maxSourceBytes {
		return invalid("source of the desired state has %d bytes, expected at most %d", len(state.Source), maxSourceBytes)
	}
	if bad := CheckOrganisations(state.Organisations); bad != nil {
		return invalid("%s %s", bad.path(), bad.Reason)
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
	routesByHostPath := make(map[string]string, len(state.Routes))
	for _, r := range state.Routes {
		if err := checkRoute(r, pools); err != nil {
			return err
		}
		if names[r.Name] {
			return invalid("route %q is listed twice", r.Name)
		}
		names[r.Name] = true
		hostPath := strings.ToLower(r.Host) + r.PathPrefix
		if other, taken := routesByHostPath[hostPath]; taken {
			return invalid("routes %q and %q have the same host and path prefix", other, r.Name)
		}
		routesByHostPath[hostPath] = r.Name
	}
	return nil
}

func checkPool(p *catalogpb.Pool) *fault.Error {
	switch {
	case p.Name == "":
		return invalid("pool has no name")
	case !strings.HasPrefix(p.HealthPath, "/"):
		return invalid("pool %q: health path %q must begin with /", p.Name, p.HealthPath)
	case p.ColdPerS < 0 || math.IsNaN(p.ColdPerS) || math.IsInf(p.ColdPerS, 0):
		return invalid("pool %q: cold-start rate is %v per second, expected a finite number of at least 0", p.Name, p.ColdPerS)
	}
	return nil
}

func checkRoute(r *catalogpb.Route, pools map[string]bool) *fault.Error {
	switch {
	case r.Name == "":
		return invalid("route has no name")
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return invalid("route %q: path prefix %q must begin with /", r.Name, r.PathPrefix)
	case r.Kind == catalogpb.RouteKind_ROUTE_KIND_UNSPECIFIED:
		return invalid("route %q has no kind", r.Name)
	case r.MaxAttempts == 0:
		return invalid("route %q: maximum number of attempts is 0, expected at least 1", r.Name)
	case r.TimeoutMs == 0:
		return invalid("route %q has no timeout", r.Name)
	case uint64(r.TargetLatencyMs) >= uint64(r.TimeoutMs)+maxTargetExcessMs:
		return invalid("route %q: target latency of %d ms must be less than %d ms above the timeout of %d ms", r.Name, r.TargetLatencyMs, maxTargetExcessMs, r.TimeoutMs)
	}
	return checkShares(r, pools)
}

func checkShares(r *catalogpb.Route, pools map[string]bool) *fault.Error {
	sum := 0.0
	for _, s := range r.Shares {
		if !pools[s.Pool] {
			return invalid("route %q refers to unknown pool %q", r.Name, s.Pool)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			return invalid("route %q: weight of pool %q is %v, expected a finite number of at least 0", r.Name, s.Pool, s.Weight)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return invalid("route %q: the weights of its pools add up to 0, expected more than 0", r.Name)
	}
	return nil
}

// putState replaces the current desired state with one of a higher version. A
// version that is not higher changes nothing and is no error, so that a client
// whose response was lost can send the desired state again.
func (c *Catalog) putState(index uint64, state *catalogpb.DesiredState) any {
	cfg := c.Config()
	result := &catalogpb.DesiredStateResult{HeldVersion: cfg.StateVersion, Revision: cfg.Revision}
	if state.Version <= cfg.StateVersion {
		return result
	}
	if err := CheckState(state); err != nil {
		return c.reject(err)
	}
	next := shallowCopy(cfg)
	setState(next, state)
	result.Diff = StateDiff(cfg, next)
	c.publish(index, next)
	c.source = Source{plain: state.Source, compressed: state.PackedSource}
	result.HeldVersion, result.Applied, result.Revision = state.Version, true, c.Config().Revision
	return result
}

// setState replaces the desired state in next, which is a copy of the current
// configuration.
func setState(next *catalogpb.Config, state *catalogpb.DesiredState) {
	next.StateVersion = state.Version
	next.Routes = routes.replace(next.Routes, state.Routes)
	next.Pools = pools.replace(next.Pools, state.Pools)
	next.CallerLimits = state.Limits
	next.Organisations = organisations.replace(next.Organisations, state.Organisations)
}

// StateDryRun returns the result that applying state would have now, without
// applying it. It returns an error of kind fault.InvalidChange if state is
// invalid.
func (c *Catalog) StateDryRun(state *catalogpb.DesiredState) (*catalogpb.DesiredStateResult, *fault.Error) {
	cfg := c.Config()
	result := &catalogpb.DesiredStateResult{HeldVersion: cfg.StateVersion, Revision: cfg.Revision}
	if err := CheckState(state); err != nil {
		return nil, err
	}
	if state.Version <= cfg.StateVersion {
		return result, nil
	}
	next := shallowCopy(cfg)
	setState(next, state)
	result.Applied = true
	result.Diff = StateDiff(cfg, next)
	return result, nil
}

// StateSource returns the version of the current desired state and its text.
func (c *Catalog) StateSource() (uint64, Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Config().StateVersion, c.source
}

// StateDiff returns the differences between the desired states of base and next
// in the format of Diff. Caller limits are only reported as changed.
func StateDiff(base, next *catalogpb.Config) []string {
	var d diffText
	addDiff(&d, pools, "pool", base.Pools, next.Pools)
	addDiff(&d, routes, "route", base.Routes, next.Routes)
	addOrganisationDiff(&d, base.Organisations, next.Organisations)
	if !proto.Equal(base.CallerLimits, next.CallerLimits) {
		d.add(func() string { return "~ caller limits" })
	}
	return d.text()
}
