package lookup

import (
	"fmt"
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
		{"all are named", "b", 0, "c1 c2 c3", "b1 b2 b3 b4 c4 a1 a2 a3 a4"},
	}
	for _, c := range cases {
		got := Named(all, Preference{Zone: c.zone, PerZone: c.perZone, Usable: func(e *catalogpb.Entry) bool {
			return !strings.Contains(" "+c.dark+" ", " "+e.Id+" ")
		}})
		assert.Equal(t, strings.Join(got, " "), c.want, c.name)
	}
	none := Named(all, Preference{Zone: "a", PerZone: 2, Usable: func(*catalogpb.Entry) bool { return false }})
	assert.Equal(t, len(none), 0)
	many := Named(entriesIn(60, "a", "b"), Preference{Zone: "a", Usable: func(*catalogpb.Entry) bool { return true }})
	assert.Equal(t, len(many), maxNamed)
}

func TestAllAreNamedOnSmallVMs(t *testing.T) {
	for _, c := range []struct {
		link, cpu float64
		want      int
	}{{0, 0, 2}, {750, 0.24, 2}, {1.5, 0.24, 0}, {750, 0.112, 0}, {0, 0.112, 0}, {1.5, 0, 0}} {
		assert.Equal(t, PerZone(2, c.link, c.cpu), c.want, "%v", c)
	}
}
