package catalog

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
)

// Delta returns the difference that Patch applies to base to obtain next.
func Delta(base, next *catalogpb.Config) *catalogpb.ConfigDelta {
	return AddStateDelta(DeltaWithoutState(base, next), StateDelta(base, next))
}

// DeltaWithoutState returns the part of Delta that does not concern the desired
// state. AddStateDelta completes it.
func DeltaWithoutState(base, next *catalogpb.Config) *catalogpb.ConfigDelta {
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
	var deletedUpstreams []*catalogpb.Upstream
	d.PutUpstreams, deletedUpstreams = upstreams.compare(base.Upstreams, next.Upstreams)
	d.DeletedUpstreams = keysOf(upstreams, deletedUpstreams)
	var deletedRollouts []*catalogpb.Rollout
	d.PutRollouts, deletedRollouts = rollouts.compare(base.Rollouts, next.Rollouts)
	d.DeletedRollouts = keysOf(rollouts, deletedRollouts)
	var deletedSoftware []*catalogpb.PoolSoftware
	d.PutPoolSoftware, deletedSoftware = poolSoftware.compare(base.PoolSoftware, next.PoolSoftware)
	d.DeletedPoolSoftware = keysOf(poolSoftware, deletedSoftware)
	var deletedConvictions []*catalogpb.Conviction
	d.PutConvictions, deletedConvictions = convictions.compare(base.Convictions, next.Convictions)
	d.DeletedConvictions = keysOf(convictions, deletedConvictions)
	if !proto.Equal(base.ClaimEpoch, next.ClaimEpoch) {
		d.ClaimEpoch = next.ClaimEpoch
	}
	if base.SetRevision != next.SetRevision {
		d.PreviousSet = next.PreviousSet
	}
	return d
}

// StateDelta returns the part of Delta that concerns the desired state. It depends
// on the versions of the desired state of base and next only.
func StateDelta(base, next *catalogpb.Config) *catalogpb.ConfigDelta {
	d := &catalogpb.ConfigDelta{StateVersion: next.StateVersion}
	if base.StateVersion == next.StateVersion {
		return d
	}
	var deletedRoutes []*catalogpb.Route
	d.PutRoutes, deletedRoutes = routes.compare(base.Routes, next.Routes)
	d.DeletedRoutes = keysOf(routes, deletedRoutes)
	var deletedPools []*catalogpb.Pool
	d.PutPools, deletedPools = pools.compare(base.Pools, next.Pools)
	d.DeletedPools = keysOf(pools, deletedPools)
	var deletedOrganisations []*catalogpb.Organisation
	d.PutOrganisations, deletedOrganisations = organisations.compare(base.Organisations, next.Organisations)
	d.DeletedOrganisations = keysOf(organisations, deletedOrganisations)
	if !proto.Equal(base.CallerLimits, next.CallerLimits) {
		d.CallerLimits = next.CallerLimits
		if d.CallerLimits == nil {
			// Without limits, the delta would keep those of base.
			d.CallerLimits = &catalogpb.CallerLimits{}
		}
	}
	return d
}

// AddStateDelta sets the part of d that concerns the desired state to that of
// state and returns d.
func AddStateDelta(d, state *catalogpb.ConfigDelta) *catalogpb.ConfigDelta {
	d.StateVersion = state.StateVersion
	d.PutRoutes, d.DeletedRoutes = state.PutRoutes, state.DeletedRoutes
	d.PutPools, d.DeletedPools = state.PutPools, state.DeletedPools
	d.CallerLimits = state.CallerLimits
	d.PutOrganisations, d.DeletedOrganisations = state.PutOrganisations, state.DeletedOrganisations
	return d
}

// PackStateDelta returns an encoded and compressed StateDelta, or nil if it is so
// small that compression costs more than it saves. It returns an error if state
// cannot be encoded.
func PackStateDelta(state *catalogpb.ConfigDelta) ([]byte, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, errors.Annotate(err, "encode difference in the desired state")
	}
	if len(data) < minCompressedBytes {
		return nil, nil
	}
	return deflate.Compress(data)
}

// AddPackedStateDelta sets the part of d that concerns the desired state to the one
// that PackStateDelta has packed, and returns d. It returns an error if packed
// cannot be decompressed or decoded, and one that satisfies errors.IsNotValid if it
// is longer than a configuration may be.
func AddPackedStateDelta(d *catalogpb.ConfigDelta, packed []byte) (*catalogpb.ConfigDelta, error) {
	data, err := deflate.Decompress(packed, maxConfigBytes)
	if err != nil {
		return nil, errors.Annotate(err, "unpack difference in the desired state")
	}
	state := &catalogpb.ConfigDelta{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, errors.Annotate(err, "decode difference in the desired state")
	}
	return AddStateDelta(d, state), nil
}

// PackDelta returns an encoded and compressed delta. It returns an error if d cannot be
// encoded.
func PackDelta(d *catalogpb.ConfigDelta) ([]byte, error) {
	data, err := proto.Marshal(d)
	if err != nil {
		return nil, errors.Annotate(err, "encode difference")
	}
	return deflate.Compress(data)
}

// UnpackDelta returns the delta that PackDelta has packed. It returns an error if packed
// cannot be decompressed or decoded, and one that satisfies errors.IsNotValid if it is
// longer than a configuration may be.
func UnpackDelta(packed []byte) (*catalogpb.ConfigDelta, error) {
	data, err := deflate.Decompress(packed, maxConfigBytes)
	if err != nil {
		return nil, errors.Annotate(err, "unpack difference")
	}
	d := &catalogpb.ConfigDelta{}
	if err := proto.Unmarshal(data, d); err != nil {
		return nil, errors.Annotate(err, "decode difference")
	}
	return d, nil
}

// applyStateDelta sets the desired state and the upstreams of next to those of
// base with the differences in d applied.
func applyStateDelta(next, base *catalogpb.Config, d *catalogpb.ConfigDelta) {
	next.StateVersion = d.StateVersion
	next.Routes = routes.merge(base.Routes, d.PutRoutes, d.DeletedRoutes)
	next.Pools = pools.merge(base.Pools, d.PutPools, d.DeletedPools)
	next.Organisations = organisations.merge(base.Organisations, d.PutOrganisations, d.DeletedOrganisations)
	next.Upstreams = upstreams.merge(base.Upstreams, d.PutUpstreams, d.DeletedUpstreams)
	if d.CallerLimits != nil {
		next.CallerLimits = d.CallerLimits
	}
	if proto.Size(next.CallerLimits) == 0 {
		next.CallerLimits = nil
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
	next.Rollouts = rollouts.merge(base.Rollouts, d.PutRollouts, d.DeletedRollouts)
	next.PoolSoftware = poolSoftware.merge(base.PoolSoftware, d.PutPoolSoftware, d.DeletedPoolSoftware)
	next.Convictions = convictions.merge(base.Convictions, d.PutConvictions, d.DeletedConvictions)
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
