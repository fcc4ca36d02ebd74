package catalog

import (
	"cmp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// TestUnchangedItemsOfDesiredStateAreShared guards against incident inc2:
// every comparison of two configurations looked into all routes, although a change
// concerns few of them.
func TestUnchangedItemsOfDesiredStateAreShared(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	m.putState(testState(1, "a", "b", "c"))
	before := m.Config()
	state := testState(2, "d", "c", "b")
	state.Routes[1].Priority = 3
	m.putState(state)
	after := m.Config()
	assert.DeepEqual(t, keysOf(routes, after.Routes), []string{"b", "c", "d"})
	assert.Assert(t, after.Routes[0] == before.Routes[1])
	assert.Assert(t, after.Routes[1] != before.Routes[2])
	assert.Equal(t, after.Routes[1].Priority, uint32(3))
	assert.Assert(t, after.Pools[0] == before.Pools[0])
}

// TestSharedSlicesAreNotSearched guards against incident inc2: each
// announcement of an upstream compared all routes on every control VM.
func TestSharedSlicesAreNotSearched(t *testing.T) {
	// A search would call key.
	noKey := table[*catalogpb.Pool]{func(*catalogpb.Pool) string { panic("the items are compared") }}
	items := []*catalogpb.Pool{{Name: "a"}, {Name: "b"}}
	put, deleted := noKey.compare(items, items)
	assert.Equal(t, len(put)+len(deleted), 0)
	assert.Assert(t, sameItems(items, items))
	put, deleted = pools.compare(items, items[:1])
	assert.Equal(t, len(put), 0)
	assert.DeepEqual(t, keysOf(pools, deleted), []string{"b"})
}

// TestDiffFormatsOnlyLinesThatAreShown guards against incident inc2: all
// control VMs formatted a line for each route when they applied a change.
func TestDiffFormatsOnlyLinesThatAreShown(t *testing.T) {
	cost := func(n int) float64 {
		next := &catalogpb.Config{StateVersion: 1, Routes: largeState(1, n).Routes}
		return testing.AllocsPerRun(3, func() {
			assert.Equal(t, len(StateDiff(&catalogpb.Config{}, next)), maxDiffLines+1)
		})
	}
	small, large := cost(10*maxDiffLines), cost(100*maxDiffLines)
	assert.Assert(t, large < 2*small, "%v allocations, %v for a tenth of the routes", large, small)
}

// mergeReference is the definition of table.merge.
func mergeReference(base, put []*catalogpb.Pool, deletedKeys []string) []*catalogpb.Pool {
	items := make(map[string]*catalogpb.Pool)
	for _, b := range base {
		items[b.Name] = b
	}
	for _, key := range deletedKeys {
		delete(items, key)
	}
	for _, p := range put {
		items[p.Name] = p
	}
	var merged []*catalogpb.Pool
	for _, item := range items {
		merged = append(merged, item)
	}
	slices.SortFunc(merged, func(a, b *catalogpb.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return merged
}

func TestProofMergeAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.StringMatching("[a-f]"), 0, 8)
		draw := func(label string) []*catalogpb.Pool {
			var items []*catalogpb.Pool
			for _, key := range keys.Draw(t, label) {
				items = append(items, &catalogpb.Pool{Name: key})
			}
			return items
		}
		base, put, deleted := mergeReference(nil, draw("base"), nil), draw("put"), keys.Draw(t, "deleted")
		got := pools.merge(base, put, deleted)
		want := mergeReference(base, put, deleted)
		assert.Assert(t, slices.Equal(got, want), "got %v, want %v", got, want)
		replaced := pools.replace(base, put)
		assert.DeepEqual(t, keysOf(pools, replaced), keysOf(pools, mergeReference(nil, put, nil)))
	})
}
