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

func TestNamed(t *testing.T) {
	all := entriesIn(4, "a", "b", "c")
	cases := []struct {
		name, zone string
		perZone    int
		dark       string
		want       string
	}{
		{"own zone first, spares of the next", "a", 2, "", "a1 a2 b1 c1"},
		{"the zone after the last is the first", "c", 2, "", "c1 c2 a1 b1"},
		{"the next of the zone takes the place of one that is gone", "a", 2, "a1", "a2 a3 b1 c1"},
		{"a zone that is gone is stood in for", "a", 2, "a1 a2 a3 a4", "b1 c1 b2 c2"},
		{"one of the zone is left", "b", 2, "b1 b2 b3", "b4 c1 a1 c2"},
		{"unknown zone", "x", 2, "", "a1 b1 c1 a2"},
	}
	for _, c := range cases {
		got := SelectAddresses(all, Selection{Zone: c.zone, EntriesPerZone: c.perZone, Usable: func(e *catalogpb.Entry) bool {
			return !strings.Contains(" "+c.dark+" ", " "+e.Id+" ")
		}})
		assert.Equal(t, strings.Join(got, " "), c.want, c.name)
	}
	none := SelectAddresses(all, Selection{Zone: "a", EntriesPerZone: 2, Usable: func(*catalogpb.Entry) bool { return false }})
	assert.Equal(t, len(none), 0)
	many := SelectAddresses(entriesIn(80, "a", "b"), Selection{Zone: "a", EntriesPerZone: maxNamed, Usable: func(*catalogpb.Entry) bool { return true }})
	assert.Equal(t, len(many), maxNamed)
}

// TestCallersAreSpreadOverAll names small entry VMs to the callers of a zone:
// each is named to about as many as any other of its zone, and those of other
// zones share the rest. A caller keeps its names while others go.
func TestCallersAreSpreadOverAll(t *testing.T) {
	all := entriesIn(50, "a", "b", "c")
	named := func(caller int, dark string) []string {
		return SelectAddresses(all, Selection{Zone: "a", Caller: fmt.Sprint("100.64.0.", caller), Usable: func(e *catalogpb.Entry) bool { return e.Id != dark }})
	}
	const callers = 250
	times := make(map[string]int)
	for c := range callers {
		names := named(c, "")
		assert.Equal(t, len(names), spreadPerZone+spares)
		for i, n := range names {
			assert.Equal(t, n[0] == 'a', i < spreadPerZone, "own zone first")
			times[n]++
		}
	}
	assert.Equal(t, len(times), len(all), "all carry calls")
	own := callers * spreadPerZone / 50
	for _, e := range all {
		most := 2 * own
		if e.Zone != "a" {
			most = own
		}
		assert.Assert(t, times[e.Id] <= most, "%s is named %d times", e.Id, times[e.Id])
	}
	for c := range callers {
		before := named(c, "")
		after := named(c, "a7")
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

func TestAllAreNamedOnSmallVMs(t *testing.T) {
	for _, c := range []struct {
		link, cpu float64
		want      int
	}{{0, 0, 2}, {750, 0.24, 2}, {1.5, 0.24, 0}, {750, 0.112, 0}, {0, 0.112, 0}, {1.5, 0, 0}} {
		assert.Equal(t, EntriesPerZone(2, c.link, c.cpu), c.want, "%v", c)
	}
}
