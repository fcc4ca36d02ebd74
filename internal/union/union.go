// Package union computes ordered unions of short slices.
package union

import "slices"

// Of returns a copy of a, followed by the items of b that it does not contain yet,
// each once. The time is quadratic in the length, so it is meant for short slices
// such as the addresses or keys of a group of VMs.
func Of[T comparable](a, b []T) []T {
	all := slices.Clone(a)
	for _, item := range b {
		if !slices.Contains(all, item) {
			all = append(all, item)
		}
	}
	return all
}
