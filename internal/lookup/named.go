package lookup

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Preference says which entry VMs a caller should use.
type Preference struct {
	// Zone is the availability zone of the caller.
	Zone string
	// PerZone is the number of entry VMs of a zone to name; 0 names all.
	PerZone int
	// Usable reports whether the entry VM takes callers at present.
	Usable func(*catalogpb.Entry) bool
}

const (
	// smallLink is the link in Mbit/s, smallCPU the part of a core, below which a
	// few VMs cannot carry the calls of a zone: the sites of 20 VMs have 750
	// and 0.24, those of 190 have 1.5 and 0.11.
	smallLink = 100
	smallCPU  = 0.2
)

// PerZone returns how many entry VMs of a zone to name when wanted are to be
// named on VMs that are large enough, for VMs with the given link in Mbit/s and
// part of a core; 0 for either means that it does not bind.
func PerZone(wanted int, linkMbps, cpuShare float64) int {
	if linkMbps > 0 && linkMbps < smallLink || cpuShare > 0 && cpuShare < smallCPU {
		return 0
	}
	return wanted
}

// spares is the number of entry VMs of other zones that are named beside those
// of the caller's zone, so that a caller whose zone goes dark finds one that
// answers before the loss is noticed.
const spares = 2

// Named returns the addresses that a caller should use. All entry VMs that
// hold the same configuration name the same ones, so that few of them carry
// the calls of a zone.
func Named(entries []*catalogpb.Entry, p Preference) []string {
	byZone := make(map[string][]string)
	for _, e := range entries {
		if p.Usable(e) && (p.PerZone == 0 || len(byZone[e.Zone]) < p.PerZone) {
			byZone[e.Zone] = append(byZone[e.Zone], e.CallerAddress)
		}
	}
	named := byZone[p.Zone]
	more := spares + max(0, p.PerZone-len(named))
	if p.PerZone == 0 {
		// Where all carry calls, a few of another zone would be overrun by those
		// of a zone that has none.
		more = len(entries)
	}
	named = append(slices.Clone(named), others(byZone, p, more)...)
	return named[:min(len(named), maxNamed)]
}

// maxNamed bounds the addresses in an answer.
const maxNamed = 64

// others returns n addresses of zones other than the caller's, taking zones in
// turn, from the one that follows the caller's by name.
func others(byZone map[string][]string, p Preference, n int) []string {
	var zones []string
	for z := range byZone {
		if z != p.Zone {
			zones = append(zones, z)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		if (a > p.Zone) != (b > p.Zone) {
			if a > p.Zone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a, b)
	})
	var out []string
	for i := 0; len(out) < n; i++ {
		found := false
		for _, z := range zones {
			if i < len(byZone[z]) && len(out) < n {
				out = append(out, byZone[z][i])
				found = true
			}
		}
		if !found {
			return out
		}
	}
	return out
}
