package claim

import "time"

// sweepParts is the number of partitions that one Expire call examines.
const sweepParts = 4

// Expire forgets records past their retention in some of the partitions.
// Calls in a row go through all of them.
func (s *Store) Expire(now time.Duration) {
	for range min(sweepParts, len(s.parts)) {
		s.expirePartition(now, s.sweepNext)
		s.sweepNext = (s.sweepNext + 1) % len(s.parts)
	}
}

func (s *Store) expirePartition(now time.Duration, p int) {
	keys := s.parts[p].keys
	for id, records := range keys {
		kept := drop(records, func(r *record) bool { return s.expired(now, r) })
		if len(kept) == 0 {
			delete(keys, id)
			continue
		}
		keys[id] = kept
	}
}

// expired reports whether a record is past its retention, and takes it off the
// totals if so.
func (s *Store) expired(now time.Duration, r *record) bool {
	limit := s.limits.Retention
	if r.open() {
		limit = s.limits.InProgressRetention
	}
	if now-r.since < limit {
		return false
	}
	s.claims--
	s.answerBytes -= len(r.answer.GetBody())
	return true
}
