package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// hash returns the hash of a report ID. The XOR of the hashes of a set of IDs
// identifies the set.
func (id reportID) hash() uint64 {
	return xxhash.Sum64String(id.entry + "\x00" + strconv.FormatUint(id.sequence, 10))
}

// Hash returns a hash of the set of known reports. Equal sets have equal
// hashes.
func (d *Detector) Hash() uint64 { return d.hash }

// Reports returns all known reports, oldest first, with their ages.
func (d *Detector) Reports(now time.Duration) []*clusterpb.CrashReport {
	out := make([]*clusterpb.CrashReport, 0, len(d.reports))
	for id, r := range d.reports {
		out = append(out, &clusterpb.CrashReport{
			Service:     r.request.Service,
			Fingerprint: r.request.Fingerprint,
			Upstream:    r.crash.Upstream,
			Incarnation: r.crash.Incarnation,
			Entry:       id.entry,
			Sequence:    id.sequence,
			AgeMs:       uint32((now - r.at) / time.Millisecond),
			Released:    r.released,
		})
	}
	slices.SortFunc(out, func(a, b *clusterpb.CrashReport) int {
		return cmp.Or(cmp.Compare(b.AgeMs, a.AgeMs), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Sequence, b.Sequence))
	})
	return out
}
