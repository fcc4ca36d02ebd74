package lookup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// Selection holds the criteria of SelectAddresses.
type Selection struct {
	// Zone is the availability zone of the caller.
	Zone string
	// EntriesPerZone is the number of entry VMs per zone that all callers share;
	// with 0, callers are spread over all entry VMs.
	EntriesPerZone int
	// Caller identifies the caller. It is used only if EntriesPerZone is 0.
	Caller string
	// Usable reports whether the entry VM accepts callers at present.
	Usable func(*catalogpb.Entry) bool
}

const (
	// minSubsetLinkMbps is the link speed in Mbit/s and minSubsetCPUShare the part
	// of a core below which a few VMs cannot carry the calls of a zone. Systems of
	// 20 VMs have 750 Mbit/s and 0.24 cores per VM; systems of 190 VMs have
	// 1.5 Mbit/s and 0.11 cores.
	minSubsetLinkMbps = 100
	minSubsetCPUShare = 0.2
)

// EntriesPerZone returns the Selection.EntriesPerZone for VMs with the given link
// speed in Mbit/s and part of a core. It returns wanted if a few such VMs can carry
// the calls of a zone, and 0 otherwise. A linkMbps or cpuShare of 0 means unlimited.
func EntriesPerZone(wanted int, linkMbps, cpuShare float64) int {
	if linkMbps > 0 && linkMbps < minSubsetLinkMbps || cpuShare > 0 && cpuShare < minSubsetCPUShare {
		return 0
	}
	return wanted
}

// otherZoneSpares is the number of entry VMs of other zones that are added to those
// of the caller's zone, so that a caller whose zone fails can reach another before
// the failure is detected. More are added if the caller's zone has too few.
const otherZoneSpares = 2

// spreadEntriesPerZone is the number of entry VMs of its zone that a caller gets if
// callers are spread: enough to tolerate the loss of some, few enough to reuse
// connections.
const spreadEntriesPerZone = 4

// SelectAddresses returns the addresses that a caller should use. If
// EntriesPerZone is set, all entry VMs with the same configuration return the same
// few, which carry the calls of their zone. Otherwise each caller gets its own
// subset: if all callers used the first entry VMs in order, small VMs would be
// overloaded. The subset is stable, because a caller whose addresses change drops
// its connections.
func SelectAddresses(entries []*catalogpb.Entry, p Selection) []string {
	usable := make([]*catalogpb.Entry, 0, len(entries))
	for _, e := range entries {
		if p.Usable(e) {
			usable = append(usable, e)
		}
	}
	perZone := p.EntriesPerZone
	if perZone == 0 {
		perZone = spreadEntriesPerZone
		sortByRendezvousHash(p.Caller, usable)
	}
	byZone := make(map[string][]string)
	for _, e := range usable {
		if len(byZone[e.Zone]) < perZone {
			byZone[e.Zone] = append(byZone[e.Zone], e.CallerAddress)
		}
	}
	own := byZone[p.Zone]
	spareCount := otherZoneSpares + max(0, perZone-len(own))
	spares := roundRobinOtherZones(byZone, p, spareCount)
	if p.EntriesPerZone == 0 {
		spares = firstOfOtherZones(usable, p.Zone, spareCount)
	}
	addresses := slices.Concat(own, spares)
	return addresses[:min(len(addresses), maxAddresses)]
}

// sortByRendezvousHash sorts entry VMs by a hash of the caller and the entry VM
// (rendezvous hashing). If an entry VM fails, only its own callers get a
// replacement.
func sortByRendezvousHash(caller string, entries []*catalogpb.Entry) {
	weights := make(map[string]uint64, len(entries))
	for _, e := range entries {
		weights[e.Id] = xxhash.Sum64String(caller + "\x00" + e.Id)
	}
	slices.SortFunc(entries, func(a, b *catalogpb.Entry) int { return cmp.Compare(weights[a.Id], weights[b.Id]) })
}

// firstOfOtherZones returns the addresses of the first n entries outside zone.
func firstOfOtherZones(entries []*catalogpb.Entry, zone string, n int) []string {
	var out []string
	for _, e := range entries {
		if e.Zone != zone && len(out) < n {
			out = append(out, e.CallerAddress)
		}
	}
	return out
}

// maxAddresses bounds the addresses that SelectAddresses returns.
const maxAddresses = 64

// roundRobinOtherZones returns up to n addresses outside the caller's zone. It takes
// one per zone in turn, in the order of the zones' names, from the zone that
// follows the caller's.
func roundRobinOtherZones(byZone map[string][]string, p Selection, n int) []string {
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
