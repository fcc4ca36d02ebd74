package claim

import "time"

// partitionsPerExpire is the number of partitions that one Expire call scans.
const partitionsPerExpire = 4

// Expire deletes the records past their retention from the next few partitions.
// Successive calls cover all partitions in turn.
func (s *Store) Expire(now time.Duration) {
	for range min(partitionsPerExpire, len(s.partitions)) {
		s.expirePartition(now, s.nextToExpire)
		s.nextToExpire = (s.nextToExpire + 1) % len(s.partitions)
	}
}

func (s *Store) expirePartition(now time.Duration, p int) {
	byKey := s.partitions[p].records
	for id, records := range byKey {
		kept := deleteRecords(records, func(r *record) bool { return s.expireRecord(now, r) })
		if len(kept) == 0 {
			delete(byKey, id)
			continue
		}
		byKey[id] = kept
	}
}

// expireRecord reports whether a record is past its retention, and if so
// subtracts it from the totals of the store. The caller deletes the record.
func (s *Store) expireRecord(now time.Duration, r *record) bool {
	limit := s.limits.Retention
	if r.inProgress() {
		limit = s.limits.InProgressRetention
	}
	if now-r.changedAt < limit {
		return false
	}
	s.recordCount--
	s.responseBytes -= len(r.response.GetBody())
	return true
}
