package catalog

import (
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// sameContent reports whether a and b are equal. Configurations share the slices and
// the items that have not changed, so that few items are compared field by field.
func sameContent(a, b *catalogpb.Config) bool {
	return a.Revision == b.Revision &&
		a.OperatorRevision == b.OperatorRevision &&
		a.SetRevision == b.SetRevision &&
		a.StateVersion == b.StateVersion &&
		sameItems(a.Services, b.Services) &&
		sameItems(a.Zones, b.Zones) &&
		sameItems(a.Rules, b.Rules) &&
		sameItems(a.Entries, b.Entries) &&
		sameItems(a.Cells, b.Cells) &&
		sameItems(a.PreviousSet, b.PreviousSet) &&
		sameItems(a.Routes, b.Routes) &&
		sameItems(a.Pools, b.Pools) &&
		sameItems(a.Upstreams, b.Upstreams) &&
		sameItems(a.Organisations, b.Organisations) &&
		sameItems(a.Rollouts, b.Rollouts) &&
		sameItems(a.PoolSoftware, b.PoolSoftware) &&
		sameItems(a.Convictions, b.Convictions) &&
		proto.Equal(a.ClaimEpoch, b.ClaimEpoch) &&
		proto.Equal(a.CallerLimits, b.CallerLimits)
}

func sameItems[T proto.Message](a, b []T) bool {
	if len(a) != len(b) {
		return false
	}
	if sameSlice(a, b) {
		return true
	}
	for i := range a {
		// proto.Equal returns at once for identical pointers.
		if !proto.Equal(a[i], b[i]) {
			return false
		}
	}
	return true
}

// sameSlice reports whether a and b share their items, as the slices of successive
// configurations do that have not changed.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
