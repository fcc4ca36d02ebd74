package claim

import catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"

// maxIntervals is the number of intervals kept for a partition.
const maxIntervals = 16

// Interval is a range of consecutive epochs, First to Last inclusive, in which
// a partition has the same Group.
type Interval struct {
	First uint64
	Last  uint64
	Group Group
	// Initial is set if the interval starts at epoch 1, so that no earlier
	// interval can have granted a claim.
	Initial bool
}

func (i Interval) contains(epoch uint64) bool { return i.First <= epoch && epoch <= i.Last }

// PlacementHistory holds the intervals of every partition. It is immutable.
type PlacementHistory struct {
	epoch     uint64
	members   map[string]Member
	intervals [][]Interval
}

// NewPlacementHistory returns the history up to the epoch ce, including the
// earlier epochs that old holds. old may be nil. It returns old if ce is nil,
// has no members or is not newer than old.
func NewPlacementHistory(old *PlacementHistory, ce *catalogpb.ClaimEpoch) *PlacementHistory {
	return newPlacementHistory(old, ce, partitionCount)
}

func newPlacementHistory(old *PlacementHistory, ce *catalogpb.ClaimEpoch, partitions int) *PlacementHistory {
	if ce == nil || len(ce.Placed) == 0 || old.Epoch() >= ce.Epoch {
		return old
	}
	epochs, complete := expandEpochs(ce)
	h := &PlacementHistory{epoch: ce.Epoch, members: make(map[string]Member, len(ce.Placed)), intervals: make([][]Interval, partitions)}
	for _, m := range ce.Placed {
		h.members[m.Id] = memberFromProto(m)
	}
	if old != nil && epochs[0].number <= old.epoch+1 {
		copy(h.intervals, old.intervals)
		complete = false
	}
	for _, e := range epochs {
		if e.number > old.Epoch() || h.intervals[0] == nil {
			h.extend(e, complete && e.number == 1)
		}
	}
	return h
}

// extend adds an epoch to the intervals of all partitions.
func (h *PlacementHistory) extend(e epoch, initial bool) {
	p := newPlacer(e.members)
	for i := range h.intervals {
		h.intervals[i] = appendInterval(h.intervals[i], Interval{First: e.number, Last: e.number, Group: p.group(uint32(i)), Initial: initial})
	}
}

// appendInterval returns a copy of intervals that includes next. If the group is
// unchanged, the last interval is extended instead.
func appendInterval(intervals []Interval, next Interval) []Interval {
	updated := make([]Interval, len(intervals), len(intervals)+1)
	copy(updated, intervals)
	if n := len(updated); n > 0 && updated[n-1].Group.equal(next.Group) {
		updated[n-1].Last = next.Last
		return updated
	}
	updated = append(updated, next)
	if len(updated) > maxIntervals {
		updated = updated[1:]
	}
	return updated
}

// Epoch returns the number of the newest epoch, or 0 for a nil history.
func (h *PlacementHistory) Epoch() uint64 {
	if h == nil {
		return 0
	}
	return h.epoch
}

// partitionOf returns the partition of a key.
func (h *PlacementHistory) partitionOf(id scopedKey) uint32 {
	return uint32(hashKey(id.service, id.key) % uint64(len(h.intervals)))
}

// Member returns the member of the newest epoch with the given entry VM ID.
func (h *PlacementHistory) Member(id string) (Member, bool) {
	m, ok := h.members[id]
	return m, ok
}

// IsMember reports whether the process with the given ProcessName is a member
// in the newest epoch.
func (h *PlacementHistory) IsMember(process string) bool {
	for _, m := range h.members {
		if m.Name() == process {
			return true
		}
	}
	return false
}

// Current returns the newest interval of a partition.
func (h *PlacementHistory) Current(partition uint32) Interval {
	intervals := h.intervals[partition]
	return intervals[len(intervals)-1]
}

// Preceding returns the interval before the one that starts at the epoch first,
// and whether the history still holds it.
func (h *PlacementHistory) Preceding(partition uint32, first uint64) (Interval, bool) {
	for _, i := range h.intervals[partition] {
		if i.Last+1 == first {
			return i, true
		}
	}
	return Interval{}, false
}
