package claim

import catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"

// maxEras bounds the eras that are remembered for a partition.
const maxEras = 16

// Era is a run of epochs over which the group of a partition is the same.
type Era struct {
	First uint64
	Last  uint64
	Group Group
	// Opening is set on the first era there ever was: no earlier one can have
	// granted a claim.
	Opening bool
}

func (e Era) contains(epoch uint64) bool { return e.First <= epoch && epoch <= e.Last }

// Timeline holds the eras of every partition. It is immutable.
type Timeline struct {
	epoch   uint64
	members map[string]Member
	eras    [][]Era
}

// NewTimeline returns the timeline that ce describes. It keeps what old knows
// of earlier epochs; old may be nil. It returns old when ce is not newer.
func NewTimeline(old *Timeline, ce *catalogpb.ClaimEpoch) *Timeline {
	return newTimeline(old, ce, partitions)
}

func newTimeline(old *Timeline, ce *catalogpb.ClaimEpoch, parts int) *Timeline {
	if ce == nil || len(ce.Placed) == 0 || old.Epoch() >= ce.Epoch {
		return old
	}
	epochs, complete := epochsOf(ce)
	t := &Timeline{epoch: ce.Epoch, members: make(map[string]Member, len(ce.Placed)), eras: make([][]Era, parts)}
	for _, m := range ce.Placed {
		t.members[m.Id] = memberOf(m)
	}
	if old != nil && epochs[0].number <= old.epoch+1 {
		copy(t.eras, old.eras)
		complete = false
	}
	for _, e := range epochs {
		if e.number > old.Epoch() || t.eras[0] == nil {
			t.extend(e, complete && e.number == 1)
		}
	}
	return t
}

func (t *Timeline) extend(e epoch, opening bool) {
	p := newPlacer(e.members)
	for i := range t.eras {
		t.eras[i] = appendEra(t.eras[i], Era{First: e.number, Last: e.number, Group: p.group(uint32(i)), Opening: opening})
	}
}

func appendEra(eras []Era, next Era) []Era {
	grown := make([]Era, len(eras), len(eras)+1)
	copy(grown, eras)
	if n := len(grown); n > 0 && grown[n-1].Group.equal(next.Group) {
		grown[n-1].Last = next.Last
		return grown
	}
	grown = append(grown, next)
	if len(grown) > maxEras {
		grown = grown[1:]
	}
	return grown
}

// Epoch returns the newest epoch; 0 for a nil timeline.
func (t *Timeline) Epoch() uint64 {
	if t == nil {
		return 0
	}
	return t.epoch
}

// partitionOf returns the partition of a key.
func (t *Timeline) partitionOf(id keyID) uint32 {
	return uint32(hashOf(id.service, id.key) % uint64(len(t.eras)))
}

// Member returns the process that keeps claims under the id.
func (t *Timeline) Member(id string) (Member, bool) {
	m, ok := t.members[id]
	return m, ok
}

// Alive reports whether the named process keeps claims in the newest epoch.
func (t *Timeline) Alive(process string) bool {
	for _, m := range t.members {
		if m.Name() == process {
			return true
		}
	}
	return false
}

// Current returns the current era of a partition.
func (t *Timeline) Current(partition uint32) Era {
	eras := t.eras[partition]
	return eras[len(eras)-1]
}

// Before returns the era that ended where the era with the given first epoch
// began.
func (t *Timeline) Before(partition uint32, first uint64) (Era, bool) {
	for _, e := range t.eras[partition] {
		if e.Last+1 == first {
			return e, true
		}
	}
	return Era{}, false
}
