package catalog

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Delta returns the difference that Patch applies to base to obtain next.
func Delta(base, next *catalogpb.Config) *catalogpb.ConfigDelta {
	d := &catalogpb.ConfigDelta{
		BaseRevision:     base.Revision,
		Revision:         next.Revision,
		OperatorRevision: next.OperatorRevision,
		SetRevision:      next.SetRevision,
	}
	var deletedServices []*catalogpb.Service
	d.PutServices, deletedServices = services.compare(base.Services, next.Services)
	d.DeletedServices = keysOf(services, deletedServices)
	var deletedZones []*catalogpb.Zone
	d.PutZones, deletedZones = zones.compare(base.Zones, next.Zones)
	d.DeletedZones = keysOf(zones, deletedZones)
	var deletedEntries []*catalogpb.Entry
	d.PutEntries, deletedEntries = entries.compare(base.Entries, next.Entries)
	d.DeletedEntries = keysOf(entries, deletedEntries)
	var deletedRules []*catalogpb.Rule
	d.PutRules, deletedRules = rules.compare(base.Rules, next.Rules)
	for _, r := range deletedRules {
		d.DeletedRules = append(d.DeletedRules, &catalogpb.RuleName{Service: r.Service, Name: r.Name})
	}
	var deletedCells []*catalogpb.Cell
	d.PutCells, deletedCells = cells.compare(base.Cells, next.Cells)
	for _, c := range deletedCells {
		d.DeletedCells = append(d.DeletedCells, &catalogpb.Cell{Service: c.Service, Zone: c.Zone, Shard: c.Shard})
	}
	addStateDelta(d, base, next)
	if !proto.Equal(base.ClaimEpoch, next.ClaimEpoch) {
		d.ClaimEpoch = next.ClaimEpoch
	}
	if base.SetRevision != next.SetRevision {
		d.PreviousSet = next.PreviousSet
	}
	return d
}

// addStateDelta adds the differences in the desired state and the upstreams to
// d.
func addStateDelta(d *catalogpb.ConfigDelta, base, next *catalogpb.Config) {
	d.StateVersion = next.StateVersion
	if base.StateVersion != next.StateVersion {
		var deletedRoutes []*catalogpb.Route
		d.PutRoutes, deletedRoutes = routes.compare(base.Routes, next.Routes)
		d.DeletedRoutes = keysOf(routes, deletedRoutes)
		var deletedPools []*catalogpb.Pool
		d.PutPools, deletedPools = pools.compare(base.Pools, next.Pools)
		d.DeletedPools = keysOf(pools, deletedPools)
		if !proto.Equal(base.CallerLimits, next.CallerLimits) {
			d.CallerLimits = next.CallerLimits
		}
	}
	var deletedUpstreams []*catalogpb.Upstream
	d.PutUpstreams, deletedUpstreams = upstreams.compare(base.Upstreams, next.Upstreams)
	d.DeletedUpstreams = keysOf(upstreams, deletedUpstreams)
}

// applyStateDelta sets the desired state and the upstreams of next to those of
// base with the differences in d applied.
func applyStateDelta(next, base *catalogpb.Config, d *catalogpb.ConfigDelta) {
	next.StateVersion = d.StateVersion
	next.Routes = routes.merge(base.Routes, d.PutRoutes, d.DeletedRoutes)
	next.Pools = pools.merge(base.Pools, d.PutPools, d.DeletedPools)
	next.Upstreams = upstreams.merge(base.Upstreams, d.PutUpstreams, d.DeletedUpstreams)
	if d.CallerLimits != nil {
		next.CallerLimits = d.CallerLimits
	}
}

// Patch returns base with the delta d applied. If d was made from another
// revision than that of base, it returns an error that satisfies
// errors.IsNotValid.
func Patch(base *catalogpb.Config, d *catalogpb.ConfigDelta) (*catalogpb.Config, error) {
	if d.BaseRevision != base.Revision {
		return nil, errors.NotValidf("delta from revision %d applied to revision %d", d.BaseRevision, base.Revision)
	}
	next := shallowCopy(base)
	next.Revision = d.Revision
	next.OperatorRevision = d.OperatorRevision
	next.Services = services.merge(base.Services, d.PutServices, d.DeletedServices)
	next.Zones = zones.merge(base.Zones, d.PutZones, d.DeletedZones)
	next.Entries = entries.merge(base.Entries, d.PutEntries, d.DeletedEntries)
	next.Rules = rules.merge(base.Rules, d.PutRules, ruleKeys(d.DeletedRules))
	next.Cells = cells.merge(base.Cells, d.PutCells, keysOf(cells, d.DeletedCells))
	applyStateDelta(next, base, d)
	if d.ClaimEpoch != nil {
		next.ClaimEpoch = d.ClaimEpoch
	}
	if d.SetRevision != base.SetRevision {
		next.SetRevision = d.SetRevision
		next.PreviousSet = d.PreviousSet
	}
	return next, nil
}

func ruleKeys(names []*catalogpb.RuleName) []string {
	list := make([]string, len(names))
	for i, n := range names {
		list[i] = ruleKey(n.Service, n.Name)
	}
	return list
}
