package lookup

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// entriesIn returns n entry VMs in each zone, with addresses such as "a1".
func entriesIn(n int, zones ...string) []*catalogpb.Entry {
	var list []*catalogpb.Entry
	for _, z := range zones {
		for i := range n {
			name := fmt.Sprint(z, i+1)
			list = append(list, &catalogpb.Entry{Id: name, Zone: z, CallerAddress: name})
		}
	}
	return list
}

func TestSelectAddressesPrefersOwnZoneAndAddsSpares(t *testing.T) {
	all := entriesIn(4, "a", "b", "c")
	cases := []struct {
		name, zone string
		perZone    int
		unusable   string
		want       string
	}{
		{"own zone first, then one spare of each following zone", "a", 2, "", "a1 a2 b1 c1"},
		{"order of zones wraps around", "c", 2, "", "c1 c2 a1 b1"},
		{"next entry VM of the zone replaces an unusable one", "a", 2, "a1", "a2 a3 b1 c1"},
		{"other zones replace an unusable zone", "a", 2, "a1 a2 a3 a4", "b1 c1 b2 c2"},
		{"other zones replace missing entry VMs of a zone", "b", 2, "b1 b2 b3", "b4 c1 a1 c2"},
		{"unknown zone", "x", 2, "", "a1 b1 c1 a2"},
	}
	for _, c := range cases {
		got := SelectAddresses(all, Selection{Zone: c.zone, EntriesPerZone: c.perZone, Usable: func(e *catalogpb.Entry) bool {
			return !strings.Contains(" "+c.unusable+" ", " "+e.Id+" ")
		}})
		assert.Equal(t, strings.Join(got, " "), c.want, c.name)
	}
	none := SelectAddresses(all, Selection{Zone: "a", EntriesPerZone: 2, Usable: func(*catalogpb.Entry) bool { return false }})
	assert.Equal(t, len(none), 0)
	many := SelectAddresses(entriesIn(80, "a", "b"), Selection{Zone: "a", EntriesPerZone: maxAddresses, Usable: func(*catalogpb.Entry) bool { return true }})
	assert.Equal(t, len(many), maxAddresses)
}

// TestSpreadCallersUseAllEntriesAndKeepTheirAddresses guards against overloaded
// small entry VMs and against dropped connections. The callers of one zone must be
// spread evenly over its entry VMs, with their spares spread over those of other
// zones, and the loss of an entry VM must change only the addresses of its callers.
func TestSpreadCallersUseAllEntriesAndKeepTheirAddresses(t *testing.T) {
	all := entriesIn(50, "a", "b", "c")
	addressesFor := func(caller int, unusable string) []string {
		return SelectAddresses(all, Selection{Zone: "a", Caller: fmt.Sprint("100.64.0.", caller), Usable: func(e *catalogpb.Entry) bool { return e.Id != unusable }})
	}
	const callers = 250
	selections := make(map[string]int)
	for c := range callers {
		addresses := addressesFor(c, "")
		assert.Equal(t, len(addresses), spreadEntriesPerZone+otherZoneSpares)
		for i, n := range addresses {
			assert.Equal(t, n[0] == 'a', i < spreadEntriesPerZone, "own zone first")
			selections[n]++
		}
	}
	assert.Equal(t, len(selections), len(all), "every entry VM is selected")
	own := callers * spreadEntriesPerZone / 50
	for _, e := range all {
		most := 2 * own
		if e.Zone != "a" {
			most = own
		}
		assert.Assert(t, selections[e.Id] <= most, "%s is selected %d times", e.Id, selections[e.Id])
	}
	for c := range callers {
		before := addressesFor(c, "")
		after := addressesFor(c, "a7")
		if !slices.Contains(before, "a7") {
			assert.DeepEqual(t, after, before)
			continue
		}
		kept := 0
		for _, n := range after {
			if slices.Contains(before, n) {
				kept++
			}
		}
		assert.Equal(t, kept, len(before)-1)
	}
}

func TestSmallVMsSpreadCallersOverAllEntries(t *testing.T) {
	for _, c := range []struct {
		link, cpu float64
		want      int
	}{{0, 0, 2}, {750, 0.24, 2}, {1.5, 0.24, 0}, {750, 0.112, 0}, {0, 0.112, 0}, {1.5, 0, 0}} {
		assert.Equal(t, EntriesPerZone(2, c.link, c.cpu), c.want, "%v", c)
	}
}
