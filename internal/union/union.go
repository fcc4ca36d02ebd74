// Package union joins short lists without repeating an item.
package union

import "slices"

// Of returns a followed by what only b has. It compares each item with all
// before it, which suits the addresses and keys of a group of VMs.
func Of[T comparable](a, b []T) []T {
	all := slices.Clone(a)
	for _, item := range b {
		if !slices.Contains(all, item) {
			all = append(all, item)
		}
	}
	return all
}
