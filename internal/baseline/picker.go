// Package baseline implements well-known load balancing policies for comparison
// with dispatch by cells. With these policies, each entry VM chooses upstreams on
// its own.
package baseline

import (
	"math/rand/v2"
	"slices"
)

// Policy is a load balancing policy.
type Policy string

// Policies, under their names in the settings.
const (
	// Random picks an upstream at random.
	Random Policy = "random"
	// P2C (power of two choices) picks the less loaded of two random upstreams,
	// by the requests that this entry VM has in flight.
	P2C Policy = "p2c"
	// P2CShared is P2C that also counts the requests in flight that other entry
	// VMs last reported.
	P2CShared Policy = "p2c_shared"
)

// Target is an upstream that can be picked.
type Target struct {
	ID    string
	Slots int
	// LocalInFlight is the number of requests in flight from this entry VM.
	LocalInFlight int
	// RemoteInFlight is the number of requests in flight from other entry VMs,
	// as last reported by them.
	RemoteInFlight int
}

// Picker picks upstreams by a policy. It is not safe for concurrent use.
type Picker struct {
	policy Policy
	rng    *rand.Rand
}

// NewPicker returns a picker for a policy. seed is the seed of its random
// choices.
func NewPicker(policy Policy, seed uint64) *Picker {
	return &Picker{policy: policy, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of a target whose ID is not in avoid, or -1 if there is
// none.
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
	if p.utilization(targets[b]) < p.utilization(targets[a]) {
		return b
	}
	return a
}

// utilization returns the known requests in flight at t per slot.
func (p *Picker) utilization(t *Target) float64 {
	n := t.LocalInFlight
	if p.policy == P2CShared {
		n += t.RemoteInFlight
	}
	return float64(n) / float64(max(1, t.Slots))
}
