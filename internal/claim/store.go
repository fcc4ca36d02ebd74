package claim

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Reasons for which a member refuses a message, as sent on the wire.
const (
	refusalNotMember  = "not_member"
	refusalStaleEpoch = "stale_epoch"
	refusalUnsynced   = "uncovered"
	refusalReleased   = "released"
	refusalFull       = "full"
)

// Limits bounds the records that a member stores.
type Limits struct {
	// Retention is how long the record of an ended attempt is kept after its
	// last state change.
	Retention time.Duration
	// InProgressRetention is the same for an attempt that has not been reported
	// as ended. It must be at least Retention.
	InProgressRetention time.Duration
	// MaxClaims is the number of records at which new claims are refused.
	// Records that owners report or members sync are stored regardless.
	MaxClaims int
	// MaxResponseBytes bounds the total size of stored response bodies. Responses
	// that exceed it are stored without their body.
	MaxResponseBytes int
}

// Store holds the records of one member for all its partitions. It is not safe
// for concurrent use.
type Store struct {
	self       Member
	limits     Limits
	history    *PlacementHistory
	partitions []partition

	recordCount   int
	responseBytes int
	interned      map[string]string
	nextToExpire  int
	disabled      disabledRules
}

// partition holds the records of one partition.
type partition struct {
	records map[scopedKey][]*record
	// syncs holds the sync state of each interval that has the store in its
	// group, by the first epoch of the interval.
	syncs map[uint64]*syncState
}

// disabledRules disables safety rules of the protocol. Each field disables the
// rule in its comment. Tests set single fields to verify that the simulation
// detects the resulting violation; all are false otherwise.
type disabledRules struct {
	// A member votes only in partitions that it has synced.
	syncBeforeVote bool
	// Only votes of the current interval are counted towards a quorum.
	votesOfOneInterval bool
	// A member stores all attempts at a key, not only the last one.
	keepAllAttempts bool
	// A sync is inherited only if quorums of the two intervals overlap.
	quorumOverlap bool
	// A sync needs the records of a read quorum of the preceding interval.
	syncFromReadQuorum bool
}

// NewStore returns the empty store of the member self, which has just started.
func NewStore(self Member, limits Limits) *Store {
	return &Store{self: self, limits: limits, interned: make(map[string]string)}
}

// RecordCount returns the number of records in the store.
func (s *Store) RecordCount() int { return s.recordCount }

// ResponseBytes returns the total size of the stored response bodies.
func (s *Store) ResponseBytes() int { return s.responseBytes }

// Epoch returns the number of the newest epoch known to the store, or 0.
func (s *Store) Epoch() uint64 { return s.history.Epoch() }

// Handle processes one message and returns the reply, or nil for messages
// without one.
func (s *Store) Handle(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	switch m.Kind {
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_CLAIM:
		return s.fillReply(m, s.handleClaim(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_UPDATE:
		return s.fillReply(m, s.handleUpdate(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC:
		return s.fillReply(m, s.handleSync(now, m))
	case clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC_REPLY:
		s.handleSyncReply(now, m)
	}
	return nil
}

// fillReply sets the fields that all replies have. The enum value of each kind
// of reply is one above that of its request.
func (s *Store) fillReply(to, r *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	r.Kind = to.Kind + 1
	r.From = s.self.ID
	r.To = to.From
	r.Incarnation = s.self.Incarnation
	r.Epoch = s.Epoch()
	r.RequestId = to.RequestId
	return r
}

// handleClaim stores the claim of an attempt unless another attempt holds the
// key.
func (s *Store) handleClaim(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if m.Record == nil || s.history == nil {
		return &clusterpb.ClaimMessage{Refusal: refusalNotMember}
	}
	id := scopedKey{m.Record.Service, m.Record.Key}
	p := s.history.partitionOf(id)
	if refusal := s.voteRefusal(p, m.Epoch); refusal != "" {
		return &clusterpb.ClaimMessage{Refusal: refusal}
	}
	records := s.partitions[p].records[id]
	if r := competingRecord(records, m.Record.Owner, m.Record.Attempt); r != nil {
		return &clusterpb.ClaimMessage{Record: r.toProto(id, now)}
	}
	if wait := s.syncWait(now, p); wait > 0 && !s.disabled.syncBeforeVote {
		return &clusterpb.ClaimMessage{Refusal: refusalUnsynced, RetryAfterMs: uint32(wait / time.Millisecond)}
	}
	if own := findAttempt(records, m.Record.Owner, m.Record.Attempt); own != nil {
		return &clusterpb.ClaimMessage{Granted: own.holdsKey(), Refusal: repeatedClaimRefusal(own)}
	}
	if s.recordCount >= s.limits.MaxClaims {
		return &clusterpb.ClaimMessage{Refusal: refusalFull}
	}
	s.insert(p, id, s.recordFromProto(now, m.Record))
	return &clusterpb.ClaimMessage{Granted: true}
}

// repeatedClaimRefusal returns the refusal of a claim whose attempt is already
// stored, or "" if the claim is still granted.
func repeatedClaimRefusal(own *record) string {
	if own.holdsKey() {
		return ""
	}
	return refusalReleased
}

// voteRefusal returns a refusal if the store is not in the group of partition p
// or if the epoch of the coordinator is before the current interval, else "". A
// coordinator with a newer epoch checks itself whether the vote belongs to its
// interval.
func (s *Store) voteRefusal(p uint32, epoch uint64) string {
	if !s.history.Current(p).Group.Has(s.self) {
		return refusalNotMember
	}
	if epoch < s.Epoch() && !s.history.Current(p).contains(epoch) && !s.disabled.votesOfOneInterval {
		return refusalStaleEpoch
	}
	return ""
}

// handleUpdate stores the state of an attempt that its owner reports.
func (s *Store) handleUpdate(now time.Duration, m *clusterpb.ClaimMessage) *clusterpb.ClaimMessage {
	if m.Record == nil || s.history == nil {
		return &clusterpb.ClaimMessage{Refusal: refusalNotMember}
	}
	id := scopedKey{m.Record.Service, m.Record.Key}
	s.merge(s.history.partitionOf(id), id, s.recordFromProto(now, m.Record))
	return &clusterpb.ClaimMessage{Granted: true}
}

// merge adds a record, or advances the stored record of the same attempt to a
// state of higher rank.
func (s *Store) merge(p uint32, id scopedKey, r *record) {
	old := findAttempt(s.partitions[p].records[id], r.owner, r.attempt)
	if old == nil {
		s.insert(p, id, r)
		return
	}
	if stateRank(r.state) <= stateRank(old.state) {
		return
	}
	s.responseBytes -= len(old.response.GetBody())
	old.state, old.changedAt, old.response = r.state, r.changedAt, s.retainResponse(r.response)
}

func (s *Store) insert(p uint32, id scopedKey, r *record) {
	part := &s.partitions[p]
	if part.records == nil {
		part.records = make(map[scopedKey][]*record)
	}
	if s.disabled.keepAllAttempts {
		part.records[id] = nil
	}
	id.service = s.intern(id.service)
	r.response = s.retainResponse(r.response)
	part.records[id] = append(part.records[id], r)
	s.recordCount++
}

// retainResponse counts a response towards MaxResponseBytes, or drops its body
// if that limit would be exceeded.
func (s *Store) retainResponse(response *clusterpb.KeptAnswer) *clusterpb.KeptAnswer {
	if response == nil {
		return nil
	}
	if s.responseBytes+len(response.Body) > s.limits.MaxResponseBytes {
		return &clusterpb.KeptAnswer{Status: response.Status, Truncated: true}
	}
	s.responseBytes += len(response.Body)
	return response
}

// recordFromProto converts a message to a record, whose age is relative to now.
func (s *Store) recordFromProto(now time.Duration, m *clusterpb.ClaimRecord) *record {
	r := &record{
		owner:     s.intern(m.Owner),
		attempt:   m.Attempt,
		state:     m.State,
		response:  m.Answer,
		changedAt: now - time.Duration(m.AgeMs)*time.Millisecond,
	}
	copy(r.digest[:], m.Digest)
	return r
}

// intern returns a shared copy of a string that many records contain.
func (s *Store) intern(name string) string {
	if kept, ok := s.interned[name]; ok {
		return kept
	}
	s.interned[name] = name
	return name
}
