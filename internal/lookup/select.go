package lookup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Selection says which entry VMs a caller should use.
type Selection struct {
	// Zone is the availability zone of the caller.
	Zone string
	// EntriesPerZone is the number of entry VMs of a zone to name, the same to all
	// callers; 0 spreads the callers over all.
	EntriesPerZone int
	// Caller identifies the caller. It matters only where callers are spread.
	Caller string
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

// EntriesPerZone returns Preference.EntriesPerZone when wanted entry VMs of a zone are to be
// named on VMs that are large enough, for VMs with the given link in Mbit/s and
// part of a core; 0 for either means that it does not bind.
func EntriesPerZone(wanted int, linkMbps, cpuShare float64) int {
	if linkMbps > 0 && linkMbps < smallLink || cpuShare > 0 && cpuShare < smallCPU {
		return 0
	}
	return wanted
}

// spares is the number of entry VMs of other zones that are named beside those
// of the caller's zone, so that a caller whose zone goes dark finds one that
// answers before the loss is noticed.
const spares = 2

// spreadPerZone is the number of entry VMs of its zone that a caller is named
// where callers are spread: enough to go on when some are lost, few enough to
// keep connections.
const spreadPerZone = 4

// SelectAddresses returns the addresses that a caller should use. With PerZone set, all
// entry VMs that hold the same configuration name the same ones, so that few
// carry the calls of a zone. Otherwise each caller is named its own few, always
// the same ones while they last: small VMs that all callers were named by their
// order would be overrun, and a caller whose names change gives up connections.
func SelectAddresses(entries []*catalogpb.Entry, p Selection) []string {
	usable := make([]*catalogpb.Entry, 0, len(entries))
	for _, e := range entries {
		if p.Usable(e) {
			usable = append(usable, e)
		}
	}
	perZone := p.EntriesPerZone
	if perZone == 0 {
		perZone = spreadPerZone
		sortFor(p.Caller, usable)
	}
	byZone := make(map[string][]string)
	for _, e := range usable {
		if len(byZone[e.Zone]) < perZone {
			byZone[e.Zone] = append(byZone[e.Zone], e.CallerAddress)
		}
	}
	own := byZone[p.Zone]
	more := spares + max(0, perZone-len(own))
	far := others(byZone, p, more)
	if p.EntriesPerZone == 0 {
		far = firstOthers(usable, p.Zone, more)
	}
	named := slices.Concat(own, far)
	return named[:min(len(named), maxNamed)]
}

// sortFor orders entry VMs by a weight that each has for the caller alone
// (rendezvous hashing): when one goes, only its callers get another in its place.
func sortFor(caller string, entries []*catalogpb.Entry) {
	weights := make(map[string]uint64, len(entries))
	for _, e := range entries {
		weights[e.Id] = xxhash.Sum64String(caller + "\x00" + e.Id)
	}
	slices.SortFunc(entries, func(a, b *catalogpb.Entry) int { return cmp.Compare(weights[a.Id], weights[b.Id]) })
}

// firstOthers returns the addresses of the first n entries of other zones.
func firstOthers(entries []*catalogpb.Entry, zone string, n int) []string {
	var out []string
	for _, e := range entries {
		if e.Zone != zone && len(out) < n {
			out = append(out, e.CallerAddress)
		}
	}
	return out
}

// maxNamed bounds the addresses in an answer.
const maxNamed = 64

// others returns n addresses of zones other than the caller's, taking zones in
// turn, from the one that follows the caller's by name.
func others(byZone map[string][]string, p Selection, n int) []string {
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
