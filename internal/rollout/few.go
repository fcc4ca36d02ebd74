package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

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
// same ones in the same order, spread over the zones.
func Few(candidates []Candidate, oldUpstreams int, share float64) []string {
	n := max(minFew, width(oldUpstreams, share))
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
	var few []string
	for _, c := range ordered[:min(n, len(ordered))] {
		few = append(few, c.ID)
	}
	return few
}

// FocusPeriod is the time for which the share is placed on the same upstreams. All of the
// few have their turn several times in the duration of a roll-out.
const FocusPeriod = time.Second

// Focus splits the few into those that get the share at the given time and those that get
// it only if these have no room. A pool of ten old upstreams needs one new upstream for a
// share of a tenth: spread over three, the requests would never find one that is loaded,
// and on one alone, a bad VM would pass for a bad version. The clocks of the gateways need
// not agree exactly.
func Focus(few []string, oldUpstreams int, share float64, now time.Time) (focus, rest []string) {
	n := min(width(oldUpstreams, share), len(few))
	if n == 0 {
		return nil, nil
	}
	first := int(now.UnixNano()/int64(FocusPeriod)) * n % len(few)
	turned := slices.Concat(few[first:], few[:first])
	return turned[:n], turned[n:]
}

// widthMargin is the part of an upstream beyond a whole number of them that these bear in
// addition, rather than another one that is hardly loaded.
const widthMargin = 0.25

// width returns the number of upstreams that are about as loaded with the share of the
// requests as the old ones are.
func width(oldUpstreams int, share float64) int {
	return max(1, int(math.Ceil(share*float64(oldUpstreams)-widthMargin)))
}
