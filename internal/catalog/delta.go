package catalog

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Delta returns what turns base into next.
func Delta(base, next *catalogpb.Config) *catalogpb.ConfigDelta {
	d := &catalogpb.ConfigDelta{
		BaseRevision:     base.Revision,
		Revision:         next.Revision,
		OperatorRevision: next.OperatorRevision,
		SetRevision:      next.SetRevision,
	}
	var goneServices []*catalogpb.Service
	d.PutServices, goneServices = services.compare(base.Services, next.Services)
	d.DeletedServices = keys(services, goneServices)
	var goneZones []*catalogpb.Zone
	d.PutZones, goneZones = zones.compare(base.Zones, next.Zones)
	d.DeletedZones = keys(zones, goneZones)
	var goneEntries []*catalogpb.Entry
	d.PutEntries, goneEntries = entries.compare(base.Entries, next.Entries)
	d.DeletedEntries = keys(entries, goneEntries)
	var goneRules []*catalogpb.Rule
	d.PutRules, goneRules = rules.compare(base.Rules, next.Rules)
	for _, r := range goneRules {
		d.DeletedRules = append(d.DeletedRules, &catalogpb.RuleName{Service: r.Service, Name: r.Name})
	}
	var goneCells []*catalogpb.Cell
	d.PutCells, goneCells = cells.compare(base.Cells, next.Cells)
	for _, c := range goneCells {
		d.DeletedCells = append(d.DeletedCells, &catalogpb.Cell{Service: c.Service, Zone: c.Zone, Shard: c.Shard})
	}
	deltaState(d, base, next)
	if !proto.Equal(base.ClaimEpoch, next.ClaimEpoch) {
		d.ClaimEpoch = next.ClaimEpoch
	}
	if base.SetRevision != next.SetRevision {
		d.PreviousSet = next.PreviousSet
	}
	return d
}

// deltaState adds the differences in the desired state and the upstreams.
func deltaState(d *catalogpb.ConfigDelta, base, next *catalogpb.Config) {
	d.StateVersion = next.StateVersion
	if base.StateVersion != next.StateVersion {
		var goneRoutes []*catalogpb.Route
		d.PutRoutes, goneRoutes = routes.compare(base.Routes, next.Routes)
		d.DeletedRoutes = keys(routes, goneRoutes)
		var gonePools []*catalogpb.Pool
		d.PutPools, gonePools = pools.compare(base.Pools, next.Pools)
		d.DeletedPools = keys(pools, gonePools)
		if !proto.Equal(base.CallerLimits, next.CallerLimits) {
			d.CallerLimits = next.CallerLimits
		}
	}
	var goneUpstreams []*catalogpb.Upstream
	d.PutUpstreams, goneUpstreams = upstreams.compare(base.Upstreams, next.Upstreams)
	d.DeletedUpstreams = keys(upstreams, goneUpstreams)
}

// patchState makes the changes of deltaState in next.
func patchState(next, base *catalogpb.Config, d *catalogpb.ConfigDelta) {
	next.StateVersion = d.StateVersion
	next.Routes = routes.merge(base.Routes, d.PutRoutes, d.DeletedRoutes)
	next.Pools = pools.merge(base.Pools, d.PutPools, d.DeletedPools)
	next.Upstreams = upstreams.merge(base.Upstreams, d.PutUpstreams, d.DeletedUpstreams)
	if d.CallerLimits != nil {
		next.CallerLimits = d.CallerLimits
	}
}

// Patch returns the configuration that d makes of base. It refuses a delta
// over another revision with an error that satisfies errors.IsNotValid.
func Patch(base *catalogpb.Config, d *catalogpb.ConfigDelta) (*catalogpb.Config, error) {
	if d.BaseRevision != base.Revision {
		return nil, errors.NotValidf("delta over revision %d for revision %d", d.BaseRevision, base.Revision)
	}
	next := draft(base)
	next.Revision = d.Revision
	next.OperatorRevision = d.OperatorRevision
	next.Services = services.merge(base.Services, d.PutServices, d.DeletedServices)
	next.Zones = zones.merge(base.Zones, d.PutZones, d.DeletedZones)
	next.Entries = entries.merge(base.Entries, d.PutEntries, d.DeletedEntries)
	next.Rules = rules.merge(base.Rules, d.PutRules, ruleNames(d.DeletedRules))
	next.Cells = cells.merge(base.Cells, d.PutCells, keys(cells, d.DeletedCells))
	patchState(next, base, d)
	if d.ClaimEpoch != nil {
		next.ClaimEpoch = d.ClaimEpoch
	}
	if d.SetRevision != base.SetRevision {
		next.SetRevision = d.SetRevision
		next.PreviousSet = d.PreviousSet
	}
	return next, nil
}

func ruleNames(names []*catalogpb.RuleName) []string {
	list := make([]string, len(names))
	for i, n := range names {
		list[i] = ruleKey(n.Service, n.Name)
	}
	return list
}
