// Package baseline holds well-known balancing policies that the dispatch by
// cells is compared with. Each entry VM decides for itself.
package baseline

import (
	"math/rand/v2"
	"slices"
)

// Policy names a way to pick an upstream.
type Policy string

// The policies.
const (
	// Random picks any upstream.
	Random Policy = "random"
	// P2C picks the less loaded of two, by the requests that this entry VM has
	// in flight.
	P2C Policy = "p2c"
	// P2CShared counts also what the other entry VMs last reported.
	P2CShared Policy = "p2c_shared"
)

// Target is an upstream that may be picked.
type Target struct {
	ID    string
	Slots int
	// Own is the number of requests of this entry VM in flight.
	Own int
	// Others is the number that other entry VMs last reported.
	Others int
}

// Picker picks upstreams. It is not safe for concurrent use.
type Picker struct {
	policy Policy
	rng    *rand.Rand
}

// NewPicker returns a picker for a policy.
func NewPicker(policy Policy, seed uint64) *Picker {
	return &Picker{policy: policy, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of a target whose id is not in avoid, or -1.
func (p *Picker) Pick(targets []*Target, avoid []string) int {
	var usable []int
	for i, t := range targets {
		if !slices.Contains(avoid, t.ID) {
			usable = append(usable, i)
		}
	}
	n := len(usable)
	if n == 0 {
		return -1
	}
	first := p.rng.IntN(n)
	if n == 1 || p.policy == Random {
		return usable[first]
	}
	second := (first + 1 + p.rng.IntN(n-1)) % n
	a, b := usable[first], usable[second]
	if p.load(targets[b]) < p.load(targets[a]) {
		return b
	}
	return a
}

// load returns the share of the slots of t in use as far as is known.
func (p *Picker) load(t *Target) float64 {
	n := t.Own
	if p.policy == P2CShared {
		n += t.Others
	}
	return float64(n) / float64(max(1, t.Slots))
}
