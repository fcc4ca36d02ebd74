package claim

import (
	"maps"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// syncRetry is the time after which an unanswered sync is asked again.
	syncRetry = 100 * time.Millisecond
	// syncSoon is how long a sync normally takes at most; a member that is
	// uncovered for longer tells coordinators to wait out the retention.
	syncSoon = 2 * time.Second
	// staleMargin covers claims that were granted in an earlier era after the
	// member had learned of the next one.
	staleMargin = 10 * time.Second
)

// coverage says how far a member holds the records of a partition that were
// granted before an era.
type coverage struct {
	done  bool
	since time.Duration
	// askAt is when the members that have not answered are asked next; 0
	// before the first time.
	askAt time.Duration
	// heard holds the members of the era before that have sent their records.
	heard map[string]bool
}

// Adopt moves the store to a newer timeline. From then on it votes only in the
// eras of that timeline.
func (s *Store) Adopt(now time.Duration, t *Timeline) {
	if t.Epoch() <= s.Epoch() {
		return
	}
	s.timeline = t
	if s.parts == nil {
		s.parts = make([]partition, len(t.eras))
	}
	for p := range s.parts {
		s.trackEras(now, uint32(p))
	}
}

// trackEras starts the coverage of each era that has the store in its group.
func (s *Store) trackEras(now time.Duration, p uint32) {
	part := &s.parts[p]
	oldest := s.timeline.eras[p][0].First
	maps.DeleteFunc(part.coverage, func(first uint64, _ *coverage) bool { return first < oldest })
	for _, e := range s.timeline.eras[p] {
		if !e.Group.Has(s.self) || part.coverage[e.First] != nil {
			continue
		}
		if part.coverage == nil {
			part.coverage = make(map[uint64]*coverage)
		}
		part.coverage[e.First] = &coverage{since: now}
	}
	s.settle(p)
}

// settle marks the eras whose coverage is complete, oldest first, because an
// era can complete the next one.
func (s *Store) settle(p uint32) {
	for _, e := range s.timeline.eras[p] {
		c := s.parts[p].coverage[e.First]
		if c == nil || c.done {
			continue
		}
		c.done = e.Opening || s.carries(p, e) || s.heardEnough(p, e, c)
	}
}

// carries reports whether coverage passes over from the era before. It does
// when as many members as decide in the new era, or hand it over, include one
// of every quorum of the era before.
func (s *Store) carries(p uint32, e Era) bool {
	prev, ok := s.timeline.Before(p, e.First)
	if !ok || !s.coveredIn(p, prev) {
		return false
	}
	deciding := min(e.Group.Quorum(), e.Group.ReadQuorum())
	return deciding >= prev.Group.ReadQuorum() || s.rules.alwaysCarry
}

// coveredIn reports whether the store has been a covered member of the era.
func (s *Store) coveredIn(p uint32, e Era) bool {
	c := s.parts[p].coverage[e.First]
	return c != nil && c.done
}

// heardEnough reports whether the records of a read quorum of the era before
// have arrived; the store counts itself if it was one of them.
func (s *Store) heardEnough(p uint32, e Era, c *coverage) bool {
	prev, ok := s.timeline.Before(p, e.First)
	if !ok || len(prev.Group) == 0 {
		return false
	}
	n := 0
	for _, m := range prev.Group {
		if c.heard[m.Name()] || (sameProcess(m, s.self) && s.coveredIn(p, prev)) {
			n++
		}
	}
	return n >= prev.Group.ReadQuorum() || (s.rules.readOne && n > 0)
}

// uncovered returns the time until the partition may be covered; 0 if it is.
func (s *Store) uncovered(now time.Duration, p uint32) time.Duration {
	c := s.parts[p].coverage[s.timeline.Current(p).First]
	s.outlive(now, c)
	switch {
	case c.done:
		return 0
	case now-c.since < syncSoon:
		return syncRetry
	default:
		return c.since + s.outliveAfter() - now
	}
}

// outlive completes a coverage when all claims of earlier eras are past their
// retention.
func (s *Store) outlive(now time.Duration, c *coverage) {
	c.done = c.done || now-c.since >= s.outliveAfter()
}

func (s *Store) outliveAfter() time.Duration { return s.limits.Retention + staleMargin }

// Pulls returns the sync messages that are due.
func (s *Store) Pulls(now time.Duration) []*clusterpb.ClaimMessage {
	var out []*clusterpb.ClaimMessage
	for p := range s.parts {
		for first, c := range s.parts[p].coverage {
			s.outlive(now, c)
			if c.done || now < c.askAt {
				continue
			}
			out = append(out, s.pull(uint32(p), first, c)...)
			c.askAt = now + max(syncRetry, (now-c.since)/4)
		}
	}
	return out
}

// pull asks members of the era before that have not answered yet: at first as
// many as are needed, then all.
func (s *Store) pull(p uint32, first uint64, c *coverage) []*clusterpb.ClaimMessage {
	prev, ok := s.timeline.Before(p, first)
	if !ok {
		return nil
	}
	var out []*clusterpb.ClaimMessage
	for _, m := range prev.Group {
		if c.heard[m.Name()] || m.ID == s.self.ID {
			continue
		}
		if c.askAt == 0 && len(out) == prev.Group.ReadQuorum() {
			break
		}
		out = append(out, s.syncRequest(m, p, first))
	}
	return out
}

func (s *Store) syncRequest(to Member, p uint32, first uint64) *clusterpb.ClaimMessage {
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

// sync hands over a partition to a member of the era that begins with the
// epoch of the message. The answer is complete only when the store has left
// the era before and was covered in it.
func (s *Store) sync(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	p := m.Partition
	r := &clusterpb.ClaimMessage{Partition: p, Refusal: refusalStale}
	if int(p) >= len(s.parts) || s.Epoch() < m.Epoch {
		return r
	}
	prev, ok := s.timeline.Before(p, m.Epoch)
	if !ok || !s.coveredIn(p, prev) {
		r.Refusal = refusalUncovered
		return r
	}
	r.Granted, r.Refusal = true, ""
	for id, records := range s.parts[p].keys {
		for _, rec := range records {
			r.Records = append(r.Records, rec.wire(id, now))
		}
	}
	return r
}

// synced takes in the records of a member of the era before. The request id
// is the first epoch of the era that is being covered.
func (s *Store) synced(now time.Duration, m *clusterpb.ClaimMessage) {
	if !m.Granted || int(m.Partition) >= len(s.parts) || s.timeline == nil {
		return
	}
	for _, w := range m.Records {
		s.merge(m.Partition, keyID{w.Service, w.Key}, s.recordOf(now, w))
	}
	c := s.parts[m.Partition].coverage[m.RequestId]
	if c == nil {
		return
	}
	if c.heard == nil {
		c.heard = make(map[string]bool)
	}
	c.heard[ProcessName(m.From, m.Incarnation)] = true
	s.settle(m.Partition)
}

// Pending returns the number of partitions in which the store does not vote
// yet.
func (s *Store) Pending(now time.Duration) int {
	n := 0
	for p := range s.parts {
		if s.timeline != nil && s.timeline.Current(uint32(p)).Group.Has(s.self) && s.uncovered(now, uint32(p)) > 0 {
			n++
		}
	}
	return n
}
