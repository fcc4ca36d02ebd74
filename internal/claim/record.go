package claim

import (
	"cmp"
	"slices"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Digest is a hash of the content of a request.
type Digest [32]byte

// scopedKey is an Idempotency-Key with the service that it belongs to.
type scopedKey struct {
	service string
	key     string
}

// record is the state of one attempt at a key as one member knows it.
type record struct {
	digest   Digest
	owner    string
	attempt  uint64
	state    clusterpb.ClaimState
	response *clusterpb.KeptAnswer
	// changedAt is the time of the last state change.
	changedAt time.Duration
}

// holdsKey reports whether the record prevents other attempts at its key from
// being granted.
func (r *record) holdsKey() bool { return r.state != clusterpb.ClaimState_CLAIM_STATE_RELEASED }

// inProgress reports whether the attempt has not been reported as ended.
func (r *record) inProgress() bool {
	return r.state == clusterpb.ClaimState_CLAIM_STATE_CLAIMED || r.state == clusterpb.ClaimState_CLAIM_STATE_RUNNING
}

func (r *record) belongsTo(owner string, attempt uint64) bool {
	return r.owner == owner && r.attempt == attempt
}

// toProto converts the record to its message, with its age at now.
func (r *record) toProto(id scopedKey, now time.Duration) *clusterpb.ClaimRecord {
	return &clusterpb.ClaimRecord{
		Service: id.service,
		Key:     id.key,
		Digest:  r.digest[:],
		Owner:   r.owner,
		Attempt: r.attempt,
		State:   r.state,
		Answer:  r.response,
		AgeMs:   uint64(max(now-r.changedAt, 0) / time.Millisecond),
	}
}

// stateRank orders the states of an attempt. A record only changes to a state of
// higher rank, so that late or repeated messages cannot undo a change.
func stateRank(s clusterpb.ClaimState) int {
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

// findAttempt returns the record of the attempt, or nil if there is none.
func findAttempt(records []*record, owner string, attempt uint64) *record {
	for _, r := range records {
		if r.belongsTo(owner, attempt) {
			return r
		}
	}
	return nil
}

// competingRecord returns the record of another attempt that holds the key, the
// one with the highest stateRank if there are several, or nil.
func competingRecord(records []*record, owner string, attempt uint64) *record {
	var best *record
	for _, r := range records {
		if !r.holdsKey() || r.belongsTo(owner, attempt) {
			continue
		}
		if best == nil || cmp.Compare(stateRank(r.state), stateRank(best.state)) > 0 {
			best = r
		}
	}
	return best
}

// deleteRecords removes the records for which shouldDelete returns true.
func deleteRecords(records []*record, shouldDelete func(*record) bool) []*record {
	return slices.DeleteFunc(records, shouldDelete)
}
