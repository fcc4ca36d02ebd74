package claim

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Refusals of a member that stored no claim.
const (
	refusalNotMember = "not_member"
	refusalStale     = "stale_epoch"
	refusalUncovered = "uncovered"
	refusalReleased  = "released"
	refusalFull      = "full"
)

// Limits bounds the state of a member.
type Limits struct {
	// Retention is how long the record of an ended attempt is kept.
	Retention time.Duration
	// InProgressRetention is how long the record of an attempt is kept that has not
	// been reported as ended. It must not be below Retention.
	InProgressRetention time.Duration
	// MaxClaims bounds the records; a claim above it is refused.
	MaxClaims int
	// MaxResponseBytes bounds the bodies of kept answers taken together; an
	// answer above it is remembered without its body.
	MaxResponseBytes int
}

// Store is the state of one member over all its partitions. It is not safe for
// concurrent use.
type Store struct {
	self     Member
	limits   Limits
	timeline *Timeline
	parts    []partition

	claims      int
	answerBytes int
	names       map[string]string
	sweepNext   int
	rules       rules
}

// partition is the records of one partition and how far they are complete.
type partition struct {
	keys     map[keyID][]*record
	coverage map[uint64]*coverage
}

// rules switches single rules off, to show that the proofs notice.
type rules struct {
	grantUncovered bool
	voteInOldEra   bool
	forgetRivals   bool
	alwaysCarry    bool
	readOne        bool
}

// NewStore returns the empty store of a process that has just started.
func NewStore(self Member, limits Limits) *Store {
	return &Store{self: self, limits: limits, names: make(map[string]string)}
}

// Claims returns the number of records held.
func (s *Store) Claims() int { return s.claims }

// AnswerBytes returns the size of the kept bodies.
func (s *Store) AnswerBytes() int { return s.answerBytes }

// Epoch returns the newest epoch that the store knows.
func (s *Store) Epoch() uint64 { return s.timeline.Epoch() }

// Handle answers one message. A message that needs no answer gets nil.
func (s *Store) Handle(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	switch m.Kind {
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM:
		return s.reply(m, s.claim(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE:
		return s.reply(m, s.update(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC:
		return s.reply(m, s.sync(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY:
		s.synced(now, m)
	}
	return nil
}

// reply fills the fields that every answer has. Kinds of answers follow the
// kinds that they answer.
func (s *Store) reply(to, r *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	r.Kind = to.Kind + 1
	r.From = s.self.ID
	r.To = to.From
	r.Incarnation = s.self.Incarnation
	r.Epoch = s.Epoch()
	r.RequestId = to.RequestId
	return r
}

// claim stores an attempt unless another one holds the key.
func (s *Store) claim(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if m.Record == nil || s.timeline == nil {
		return &clusterpb.ClaimMessage{Refusal: refusalNotMember}
	}
	id := keyID{m.Record.Service, m.Record.Key}
	p := s.timeline.partitionOf(id)
	if refusal := s.mayVote(p, m.Epoch); refusal != "" {
		return &clusterpb.ClaimMessage{Refusal: refusal}
	}
	records := s.parts[p].keys[id]
	if r := rival(records, m.Record.Owner, m.Record.Attempt); r != nil {
		return &clusterpb.ClaimMessage{Record: r.wire(id, now)}
	}
	if wait := s.uncovered(now, p); wait > 0 && !s.rules.grantUncovered {
		return &clusterpb.ClaimMessage{Refusal: refusalUncovered, RetryAfterMs: uint32(wait / time.Millisecond)}
	}
	if own := find(records, m.Record.Owner, m.Record.Attempt); own != nil {
		return &clusterpb.ClaimMessage{Granted: own.live(), Refusal: refusalOf(own)}
	}
	if s.claims >= s.limits.MaxClaims {
		return &clusterpb.ClaimMessage{Refusal: refusalFull}
	}
	s.insert(p, id, s.recordOf(now, m.Record))
	return &clusterpb.ClaimMessage{Granted: true}
}

func refusalOf(own *record) string {
	if own.live() {
		return ""
	}
	return refusalReleased
}

// mayVote checks that the store is in the group of p, and that the era of the
// coordinator has not ended. A coordinator with a newer epoch checks by itself
// whether the vote belongs to its era.
func (s *Store) mayVote(p uint32, epoch uint64) string {
	if !s.timeline.Current(p).Group.Has(s.self) {
		return refusalNotMember
	}
	if epoch < s.Epoch() && !s.timeline.Current(p).contains(epoch) && !s.rules.voteInOldEra {
		return refusalStale
	}
	return ""
}

// update records what the owner says of its attempt.
func (s *Store) update(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if m.Record == nil || s.timeline == nil {
		return &clusterpb.ClaimMessage{Refusal: refusalNotMember}
	}
	id := keyID{m.Record.Service, m.Record.Key}
	s.merge(s.timeline.partitionOf(id), id, s.recordOf(now, m.Record))
	return &clusterpb.ClaimMessage{Granted: true}
}

// merge adds a record, or advances the one of the same attempt.
func (s *Store) merge(p uint32, id keyID, r *record) {
	old := find(s.parts[p].keys[id], r.owner, r.attempt)
	if old == nil {
		s.insert(p, id, r)
		return
	}
	if rank(r.state) <= rank(old.state) {
		return
	}
	s.answerBytes -= len(old.answer.GetBody())
	old.state, old.since, old.answer = r.state, r.since, s.keep(r.answer)
}

func (s *Store) insert(p uint32, id keyID, r *record) {
	part := &s.parts[p]
	if part.keys == nil {
		part.keys = make(map[keyID][]*record)
	}
	if s.rules.forgetRivals {
		part.keys[id] = nil
	}
	id.service = s.intern(id.service)
	r.answer = s.keep(r.answer)
	part.keys[id] = append(part.keys[id], r)
	s.claims++
}

// keep charges an answer to the budget, or cuts its body.
func (s *Store) keep(a *clusterpb.KeptAnswer) *clusterpb.KeptAnswer {
	if a == nil {
		return nil
	}
	if s.answerBytes+len(a.Body) > s.limits.MaxResponseBytes {
		return &clusterpb.KeptAnswer{Status: a.Status, Truncated: true}
	}
	s.answerBytes += len(a.Body)
	return a
}

func (s *Store) recordOf(now time.Duration, w *clusterpb.ClaimRecord) *record {
	r := &record{
		owner:   s.intern(w.Owner),
		attempt: w.Attempt,
		state:   w.State,
		answer:  w.Answer,
		since:   now - time.Duration(w.AgeMs)*time.Millisecond,
	}
	copy(r.digest[:], w.Digest)
	return r
}

// intern returns one copy of a string that many records share.
func (s *Store) intern(name string) string {
	if kept, ok := s.names[name]; ok {
		return kept
	}
	s.names[name] = name
	return name
}
