package claim

import (
	"cmp"
	"slices"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Digest identifies the content of a request.
type Digest [32]byte

// keyID is an Idempotency-Key within its service.
type keyID struct {
	service string
	key     string
}

// record is what a member knows of one attempt at a key.
type record struct {
	digest  Digest
	owner   string
	attempt uint64
	state   clusterpb.ClaimState
	answer  *clusterpb.KeptAnswer
	// since is the time of the last change of state.
	since time.Duration
}

// live reports whether the record keeps other attempts from being granted.
func (r *record) live() bool { return r.state != clusterpb.ClaimState_CLAIM_STATE_RELEASED }

// open reports whether the attempt may still be running.
func (r *record) open() bool {
	return r.state == clusterpb.ClaimState_CLAIM_STATE_CLAIMED || r.state == clusterpb.ClaimState_CLAIM_STATE_RUNNING
}

func (r *record) is(owner string, attempt uint64) bool {
	return r.owner == owner && r.attempt == attempt
}

// wire returns the record as a message.
func (r *record) wire(id keyID, now time.Duration) *clusterpb.ClaimRecord {
	return &clusterpb.ClaimRecord{
		Service: id.service,
		Key:     id.key,
		Digest:  r.digest[:],
		Owner:   r.owner,
		Attempt: r.attempt,
		State:   r.state,
		Answer:  r.answer,
		AgeMs:   uint64(max(now-r.since, 0) / time.Millisecond),
	}
}

// rank orders states by how much they say about an attempt.
func rank(s clusterpb.ClaimState) int {
	switch s {
	case clusterpb.ClaimState_CLAIM_STATE_CLAIMED:
		return 1
	case clusterpb.ClaimState_CLAIM_STATE_RUNNING:
		return 2
	case clusterpb.ClaimState_CLAIM_STATE_UNKNOWN:
		return 3
	case clusterpb.ClaimState_CLAIM_STATE_FINISHED:
		return 4
	case clusterpb.ClaimState_CLAIM_STATE_RELEASED:
		return 5
	default:
		return 0
	}
}

// find returns the record of the attempt, or nil.
func find(records []*record, owner string, attempt uint64) *record {
	for _, r := range records {
		if r.is(owner, attempt) {
			return r
		}
	}
	return nil
}

// rival returns the live record of another attempt that says most, or nil.
func rival(records []*record, owner string, attempt uint64) *record {
	var best *record
	for _, r := range records {
		if !r.live() || r.is(owner, attempt) {
			continue
		}
		if best == nil || cmp.Compare(rank(r.state), rank(best.state)) > 0 {
			best = r
		}
	}
	return best
}

// drop removes the records for which gone reports true.
func drop(records []*record, gone func(*record) bool) []*record {
	return slices.DeleteFunc(records, gone)
}
