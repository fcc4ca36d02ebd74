package route

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func singleShare(pool string) []*catalogpb.RouteShare {
	return []*catalogpb.RouteShare{{Pool: pool, Weight: 1}}
}

func TestLookupReturnsLongestMatchingPrefixOfHost(t *testing.T) {
	table := NewTable(&catalogpb.Config{Routes: []*catalogpb.Route{
		{Name: "a", Host: "one.example", PathPrefix: "/a/", Shares: singleShare("p")},
		{Name: "ab", Host: "one.example", PathPrefix: "/a/b/", Shares: singleShare("p")},
		{Name: "other", Host: "two.example", PathPrefix: "/a/b/c/", Shares: singleShare("p")},
	}}, 0)
	cases := []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"one.example", "/a/b/x", "ab"},
		{"one.example", "/a/b/c/x", "ab"},
		{"ONE.example:8080", "/a/x", "a"},
		{"one.example", "/a", ""},
		{"one.example", "/b/", ""},
		{"three.example", "/a/", ""},
		{"two.example", "/a/b/c/d", "other"},
	}
	for _, c := range cases {
		got := ""
		if r := table.Lookup(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// TestProofLookupAgreesWithReference compares the index with a search through all
// routes.
func TestProofLookupAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := &catalogpb.Config{}
		for _, prefix := range rapid.SliceOfNDistinct(rapid.StringMatching("(/[ab]{1,2}){0,3}/"), 0, 12, rapid.ID).Draw(t, "prefixes") {
			cfg.Routes = append(cfg.Routes, &catalogpb.Route{Name: prefix, Host: "h", PathPrefix: prefix, Shares: singleShare("p")})
		}
		path := rapid.StringMatching("(/[ab]{0,2}){0,4}").Draw(t, "path")
		want := ""
		for _, r := range cfg.Routes {
			if strings.HasPrefix(path, r.PathPrefix) && len(r.PathPrefix) > len(want) {
				want = r.PathPrefix
			}
		}
		got := ""
		if r := NewTable(cfg, 0).Lookup("h", path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, want)
	})
}

// TestLookupDoesNotSearchAllRoutes guards against incident inc2: each call
// was compared with all routes of its host.
func TestLookupDoesNotSearchAllRoutes(t *testing.T) {
	table := NewTable(largeConfig(2000), 0)
	assert.Equal(t, len(table.hosts["h.example"].lengths), 1)
}

// Each of several entry VMs handles only a few of a route's requests. Their
// total must still follow the weights.
func TestNextPoolFollowsWeightsAcrossEntryVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(1, 99).Draw(t, "weight")
		vms := rapid.IntRange(1, 22).Draw(t, "vms")
		first, total := 0, 0
		for range vms {
			r := newRoute(&catalogpb.Route{Shares: []*catalogpb.RouteShare{
				{Pool: "a", Weight: weight}, {Pool: "none", Weight: 0}, {Pool: "b", Weight: 100 - weight},
			}}, rapid.Float64Range(0, 0.999).Draw(t, "phase"))
			for range 300/vms + 20 {
				pool := r.NextPool()
				assert.Assert(t, pool != "none")
				if pool == "a" {
					first++
				}
				total++
			}
		}
		share := float64(first) / float64(total)
		assert.Assert(t, math.Abs(share-weight/100) < 0.1, "share %f for weight %f", share, weight)
	})
}
