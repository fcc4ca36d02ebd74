package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// hash returns a hash whose combination over a set identifies the set.
func (id reportID) hash() uint64 {
	return xxhash.Sum64String(id.entry + "\x00" + strconv.FormatUint(id.sequence, 10))
}

// Hash identifies the set of reports held. Equal sets have equal hashes.
func (s *Detector) Hash() uint64 { return s.hash }

// Reports returns all reports, oldest first.
func (s *Detector) Reports(now time.Duration) []*clusterpb.CrashReport {
	out := make([]*clusterpb.CrashReport, 0, len(s.reports))
	for id, r := range s.reports {
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
