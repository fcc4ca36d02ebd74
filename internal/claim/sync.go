package claim

import (
	"maps"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// syncRetryDelay is the shortest delay before an unanswered sync request is
	// sent again.
	syncRetryDelay = 100 * time.Millisecond
	// expectedSyncTime is the upper bound of a normal sync. A member that takes
	// longer tells coordinators to retry when the retention has passed.
	expectedSyncTime = 2 * time.Second
	// lateGrantMargin is added to the retention for claims that are granted in an
	// earlier interval after the member has learned of the next one.
	lateGrantMargin = 10 * time.Second
)

// syncState tracks whether a member holds the records of a partition that were
// granted before an interval.
type syncState struct {
	complete  bool
	startedAt time.Duration
	// nextRequestAt is the time of the next sync requests, 0 before the first.
	nextRequestAt time.Duration
	// receivedFrom holds the members of the preceding interval that have sent
	// their records, by ProcessName.
	receivedFrom map[string]bool
}

// UpdateHistory switches the store to a newer history. From then on the store
// votes only in the current intervals of that history. An older history is
// ignored.
func (s *Store) UpdateHistory(now time.Duration, h *PlacementHistory) {
	if h.Epoch() <= s.Epoch() {
		return
	}
	s.history = h
	if s.partitions == nil {
		s.partitions = make([]partition, len(h.intervals))
	}
	for p := range s.partitions {
		s.trackIntervals(now, uint32(p))
	}
}

// trackIntervals adds a syncState for each interval of the partition that has the
// store in its group, and removes those of intervals no longer in the history.
func (s *Store) trackIntervals(now time.Duration, p uint32) {
	part := &s.partitions[p]
	oldest := s.history.intervals[p][0].First
	maps.DeleteFunc(part.syncs, func(first uint64, _ *syncState) bool { return first < oldest })
	for _, interval := range s.history.intervals[p] {
		if !interval.Group.Has(s.self) || part.syncs[interval.First] != nil {
			continue
		}
		if part.syncs == nil {
			part.syncs = make(map[uint64]*syncState)
		}
		part.syncs[interval.First] = &syncState{startedAt: now}
	}
	s.markSynced(p)
}

// markSynced updates which intervals of the partition are synced, oldest first,
// because a synced interval can make the next one synced.
func (s *Store) markSynced(p uint32) {
	for _, interval := range s.history.intervals[p] {
		state := s.partitions[p].syncs[interval.First]
		if state == nil || state.complete {
			continue
		}
		state.complete = interval.Initial || s.inheritsSync(p, interval) || s.receivedReadQuorum(p, interval, state)
	}
}

// inheritsSync reports whether the store needs no sync because it had synced the
// preceding interval. This is safe if the quorum and the read quorum of the
// interval are both at least as large as the read quorum of the preceding one:
// even if all members of such a quorum have inherited their sync, one of them
// belongs to each quorum that granted a claim in the preceding interval.
func (s *Store) inheritsSync(p uint32, interval Interval) bool {
	prev, ok := s.history.Preceding(p, interval.First)
	if !ok || !s.syncedIn(p, prev) {
		return false
	}
	minQuorum := min(interval.Group.Quorum(), interval.Group.ReadQuorum())
	return minQuorum >= prev.Group.ReadQuorum() || s.disabled.quorumOverlap
}

// syncedIn reports whether the store was a synced member in the interval.
func (s *Store) syncedIn(p uint32, interval Interval) bool {
	state := s.partitions[p].syncs[interval.First]
	return state != nil && state.complete
}

// receivedReadQuorum reports whether the store holds the records of a read quorum
// of the preceding interval. It counts itself if it was a synced member there.
func (s *Store) receivedReadQuorum(p uint32, interval Interval, state *syncState) bool {
	prev, ok := s.history.Preceding(p, interval.First)
	if !ok || len(prev.Group) == 0 {
		return false
	}
	n := 0
	for _, m := range prev.Group {
		if state.receivedFrom[m.Name()] || (sameProcess(m, s.self) && s.syncedIn(p, prev)) {
			n++
		}
	}
	return n >= prev.Group.ReadQuorum() || (s.disabled.syncFromReadQuorum && n > 0)
}

// syncWait returns the time after which the partition may be synced, or 0 if it
// is synced.
func (s *Store) syncWait(now time.Duration, p uint32) time.Duration {
	state := s.partitions[p].syncs[s.history.Current(p).First]
	s.completeAfterRetention(now, state)
	switch {
	case state.complete:
		return 0
	case now-state.startedAt < expectedSyncTime:
		return syncRetryDelay
	default:
		return state.startedAt + s.grantLifetime() - now
	}
}

// completeAfterRetention marks the sync as complete if all claims granted in
// earlier intervals are past their retention.
func (s *Store) completeAfterRetention(now time.Duration, state *syncState) {
	state.complete = state.complete || now-state.startedAt >= s.grantLifetime()
}

// grantLifetime returns the time from the start of an interval until all claims
// granted before it are past their retention.
func (s *Store) grantLifetime() time.Duration { return s.limits.Retention + lateGrantMargin }

// SyncRequests returns the sync messages that are due, and schedules their
// retries. The delay between retries grows with the age of the sync.
func (s *Store) SyncRequests(now time.Duration) []*clusterpb.ClaimMessage {
	var out []*clusterpb.ClaimMessage
	for p := range s.partitions {
		for first, state := range s.partitions[p].syncs {
			s.completeAfterRetention(now, state)
			if state.complete || now < state.nextRequestAt {
				continue
			}
			out = append(out, s.syncRequestsFor(uint32(p), first, state)...)
			state.nextRequestAt = now + max(syncRetryDelay, (now-state.startedAt)/4)
		}
	}
	return out
}

// syncRequestsFor returns sync requests to members of the preceding interval that
// have not answered yet: to a read quorum at first, then to all.
func (s *Store) syncRequestsFor(p uint32, first uint64, state *syncState) []*clusterpb.ClaimMessage {
	prev, ok := s.history.Preceding(p, first)
	if !ok {
		return nil
	}
	var out []*clusterpb.ClaimMessage
	for _, m := range prev.Group {
		if state.receivedFrom[m.Name()] || m.ID == s.self.ID {
			continue
		}
		if state.nextRequestAt == 0 && len(out) == prev.Group.ReadQuorum() {
			break
		}
		out = append(out, s.newSyncRequest(m, p, first))
	}
	return out
}

// newSyncRequest returns a sync request for the interval that starts at the epoch
// first.
func (s *Store) newSyncRequest(to Member, p uint32, first uint64) *clusterpb.ClaimMessage {
	return &clusterpb.ClaimMessage{
		Kind:        clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC,
		From:        s.self.ID,
		To:          to.ID,
		Epoch:       first,
		RequestId:   first,
		Incarnation: s.self.Incarnation,
		Partition:   p,
	}
}

// handleSync returns the records of a partition to a member of the interval that
// starts at the epoch of the message. It refuses unless the store was synced in
// the preceding interval and no longer votes there, as later votes would be
// missing from the reply.
func (s *Store) handleSync(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	p := m.Partition
	r := &clusterpb.ClaimMessage{Partition: p, Refusal: refusalStaleEpoch}
	if int(p) >= len(s.partitions) || s.Epoch() < m.Epoch {
		return r
	}
	prev, ok := s.history.Preceding(p, m.Epoch)
	if !ok || !s.syncedIn(p, prev) {
		r.Refusal = refusalUnsynced
		return r
	}
	r.Granted, r.Refusal = true, ""
	for id, records := range s.partitions[p].records {
		for _, rec := range records {
			r.Records = append(r.Records, rec.toProto(id, now))
		}
	}
	return r
}

// handleSyncReply merges the records of a member of the preceding interval. The
// request ID is the first epoch of the interval that is being synced.
func (s *Store) handleSyncReply(now time.Duration, m *clusterpb.ClaimMessage) {
	if !m.Granted || int(m.Partition) >= len(s.partitions) || s.history == nil {
		return
	}
	for _, w := range m.Records {
		s.merge(m.Partition, scopedKey{w.Service, w.Key}, s.recordFromProto(now, w))
	}
	state := s.partitions[m.Partition].syncs[m.RequestId]
	if state == nil {
		return
	}
	if state.receivedFrom == nil {
		state.receivedFrom = make(map[string]bool)
	}
	state.receivedFrom[ProcessName(m.From, m.Incarnation)] = true
	s.markSynced(m.Partition)
}

// UnsyncedPartitions returns the number of partitions that the store replicates
// but has not synced, and so does not vote in.
func (s *Store) UnsyncedPartitions(now time.Duration) int {
	n := 0
	for p := range s.partitions {
		if s.history != nil && s.history.Current(uint32(p)).Group.Has(s.self) && s.syncWait(now, uint32(p)) > 0 {
			n++
		}
	}
	return n
}
