// Package claim implements the quorum protocol that decides which attempt at a
// request owns its Idempotency-Key. A claim is the exclusive right of one
// attempt to send the request.
//
// Keys are hashed to partitions. The members are the entry VM processes that
// store claims, and each partition is replicated in memory on a group of them.
// An attempt is granted its claim once a majority of the group has stored it.
// The member set is versioned by epochs. An interval of a partition is a range
// of consecutive epochs with the same group. A member votes only in the current
// interval, and only after it has synced the partition: it then holds the record
// of every claim that can have been granted in earlier intervals, except those
// past their retention.
//
// The package does no I/O, starts no goroutines and reads no clock. Times are
// readings of the caller's monotonic clock.
package claim

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

const (
	// partitionCount is the number of partitions that keys are hashed to. It must
	// be the same on all entry VMs.
	partitionCount = 1024
	// maxGroupSize is the largest number of members that replicate a partition.
	maxGroupSize = 5
	// smallGroupSize is the group size if there are fewer than maxGroupSize entry
	// VMs, but enough for a group of this size.
	smallGroupSize = 3
)

// Member is one entry VM process that stores claims. A restarted process is a
// different member, because it has lost its records.
type Member struct {
	ID          string
	Incarnation uint64
	Zone        string
}

// Name returns the ProcessName of the member.
func (m Member) Name() string { return ProcessName(m.ID, m.Incarnation) }

// ProcessName returns a name for one run of an entry VM process, unique across
// restarts.
func ProcessName(id string, incarnation uint64) string {
	return id + "/" + strconv.FormatUint(incarnation, 10)
}

// Group is the set of members that replicate one partition, sorted by ID.
type Group []Member

// Quorum returns the number of members that must store a claim to grant it.
func (g Group) Quorum() int { return len(g)/2 + 1 }

// ReadQuorum returns the smallest number n such that any n members of the group
// include a member of every quorum.
func (g Group) ReadQuorum() int { return len(g) - g.Quorum() + 1 }

// Has reports whether the group contains the process m.
func (g Group) Has(m Member) bool {
	return slices.ContainsFunc(g, func(o Member) bool { return sameProcess(o, m) })
}

func (g Group) equal(o Group) bool { return slices.EqualFunc(g, o, sameProcess) }

func sameProcess(a, b Member) bool { return a.ID == b.ID && a.Incarnation == b.Incarnation }

// hashKey returns the hash that selects the partition of a key in its service.
func hashKey(service, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// placer assigns partitions to the members of one epoch by rendezvous hashing.
// It reuses its buffers and is not safe for concurrent use.
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

// group returns the members with the highest scores for the partition, spread
// evenly over the availability zones. Scores do not depend on the incarnation,
// so a restarted entry VM stays in the same groups.
func (p *placer) group(partition uint32) Group {
	for i, h := range p.hashes {
		p.order[i] = i
		p.scores[i] = splitMix64(h + uint64(partition)*0x9e3779b97f4a7c15)
	}
	slices.SortFunc(p.order, func(a, b int) int { return cmp.Compare(p.scores[b], p.scores[a]) })
	size := groupSize(len(p.members))
	g := make(Group, 0, size)
	chosenInZone := make(map[string]int, size)
	for zoneLimit := 1; len(g) < size; zoneLimit++ {
		for _, i := range p.order {
			m := p.members[i]
			if len(g) == size || chosenInZone[m.Zone] >= zoneLimit || g.Has(m) {
				continue
			}
			chosenInZone[m.Zone]++
			g = append(g, m)
		}
	}
	slices.SortFunc(g, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return g
}

// groupSize returns the group size for a number of members. It is odd where
// possible: a group of even size tolerates no more failures than one with one
// member fewer.
func groupSize(members int) int {
	switch {
	case members >= maxGroupSize:
		return maxGroupSize
	case members >= smallGroupSize:
		return smallGroupSize
	default:
		return members
	}
}

// splitMix64 is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func memberFromProto(m *catalogpb.ClaimMember) Member {
	return Member{ID: m.Id, Incarnation: m.Incarnation, Zone: m.Zone}
}
