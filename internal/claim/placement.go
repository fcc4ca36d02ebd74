// Package claim decides which attempt at a request owns its Idempotency-Key.
//
// Keys are hashed to partitions, and each partition is kept in memory by a
// group of entry VMs. An attempt may proceed when a majority of the group has
// stored its claim. An era of a partition is a run of consecutive epochs over
// which its group is the same; a member votes only in the current era, and
// only once it is covered: once it holds every record that earlier eras can
// have granted, or those records are past their retention.
//
// The package is pure: it has no clock, socket or goroutine. Times are
// durations on the monotonic clock of the caller.
package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

const (
	// partitions is the number of partitions that keys are hashed to. All entry
	// VMs must agree on it.
	partitions = 1024
	// maxGroup bounds the members that keep one partition.
	maxGroup = 5
	// smallGroup is the group size where there are fewer entry VMs than maxGroup.
	smallGroup = 3
)

// Member is one entry VM process that keeps claims. A restarted process is
// another member, because it has lost its memory.
type Member struct {
	ID          string
	Incarnation uint64
	Zone        string
}

// Name identifies the process.
func (m Member) Name() string { return ProcessName(m.ID, m.Incarnation) }

// ProcessName identifies one start of an entry VM process.
func ProcessName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// Group is the members that keep one partition, in order of id.
type Group []Member

// Quorum is the number of members that must store a claim.
func (g Group) Quorum() int { return len(g)/2 + 1 }

// ReadQuorum is the number of members that intersects every quorum.
func (g Group) ReadQuorum() int { return len(g) - g.Quorum() + 1 }

// Has reports whether the process is in the group.
func (g Group) Has(m Member) bool {
	return slices.ContainsFunc(g, func(o Member) bool { return sameProcess(o, m) })
}

func (g Group) equal(o Group) bool { return slices.EqualFunc(g, o, sameProcess) }

func sameProcess(a, b Member) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }

// hashOf returns the hash that places a key. Keys are scoped by service.
func hashOf(service, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// placer places partitions on the members of one epoch.
type placer struct {
	members []Member
	hashes  []uint64
	order   []int
	scores  []uint64
}

func newPlacer(members []Member) *placer {
	p := &placer{
		members: members,
		hashes:  make([]uint64, len(members)),
		order:   make([]int, len(members)),
		scores:  make([]uint64, len(members)),
	}
	for i, m := range members {
		p.hashes[i] = xxhash.Sum64String(m.ID)
	}
	return p
}

// group returns the members with the highest scores, spread evenly over the
// availability zones. The score does not depend on the incarnation.
func (p *placer) group(partition uint32) Group {
	for i, h := range p.hashes {
		p.order[i] = i
		p.scores[i] = mix(h + uint64(partition)*0x9e3779b97f4a7c15)
	}
	slices.SortFunc(p.order, func(a, b int) int { return cmp.Compare(p.scores[b], p.scores[a]) })
	size := groupSize(len(p.members))
	g := make(Group, 0, size)
	taken := make(map[string]int, size)
	for perZone := 1; len(g) < size; perZone++ {
		for _, i := range p.order {
			m := p.members[i]
			if len(g) == size || taken[m.Zone] >= perZone || g.Has(m) {
				continue
			}
			taken[m.Zone]++
			g = append(g, m)
		}
	}
	slices.SortFunc(g, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return g
}

// groupSize is odd where it can be: an even group survives no more losses than
// the odd one below it.
func groupSize(members int) int {
	switch {
	case members >= maxGroup:
		return maxGroup
	case members >= smallGroup:
		return smallGroup
	default:
		return members
	}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func memberOf(m *catalogpb.ClaimMember) Member {
	return Member{ID: m.Id, Incarnation: m.Incarnation, Zone: m.Zone}
}
