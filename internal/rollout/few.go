package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minFew is the least number of new upstreams that get the share, if there are as many.
// With three, one slow VM is told from a slow version.
const minFew = 3

// Candidate is an upstream of the new version that may get requests.
type Candidate struct{ ID, Zone string }

// Few chooses the upstreams of the new version that get the share of the requests before
// the verdict: as many as run as full with it as the old upstreams, of which there are
// oldUpstreams, and at least minFew. All gateways that know the same upstreams choose the
// same ones, spread over the zones.
func Few(candidates []Candidate, oldUpstreams int, share float64) map[string]bool {
	n := max(minFew, int(math.Ceil(share*float64(oldUpstreams))))
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	// The n-th upstream of each zone comes before the next one of any zone.
	seen := make(map[string]int)
	turn := make(map[string]int, len(ordered))
	for _, c := range ordered {
		turn[c.ID] = seen[c.Zone]
		seen[c.Zone]++
	}
	slices.SortStableFunc(ordered, func(a, b Candidate) int { return cmp.Compare(turn[a.ID], turn[b.ID]) })
	few := make(map[string]bool, n)
	for _, c := range ordered[:min(n, len(ordered))] {
		few[c.ID] = true
	}
	return few
}
