package catalog

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// RetainedChanges is the number of change ids whose results are kept. The
// oldest are evicted first; changes with such ids are then rejected as expired.
const RetainedChanges = 4096

// changeID is a ChangeID that can be used as a map key.
type changeID struct {
	operator string
	number   uint64
}

// changeHistory stores the results of the latest operators' changes, so that a
// change that is sent again gets its first result.
type changeHistory struct {
	// records are in the order of execution.
	records []*catalogpb.ChangeRecord
	byID    map[changeID]*catalogpb.ChangeRecord
	// expiredThrough holds, for each operator, the highest evicted number.
	expiredThrough map[string]uint64
}

func newChangeHistory() *changeHistory {
	return &changeHistory{
		byID:           make(map[changeID]*catalogpb.ChangeRecord),
		expiredThrough: make(map[string]uint64),
	}
}

func restoreChangeHistory(records []*catalogpb.ChangeRecord, expired []*catalogpb.ChangeID) *changeHistory {
	h := newChangeHistory()
	for _, id := range expired {
		h.expiredThrough[id.Operator] = id.Number
	}
	for _, r := range records {
		h.add(r)
	}
	return h
}

// find returns the record for id, or nil if there is none.
func (h *changeHistory) find(id *catalogpb.ChangeID) *catalogpb.ChangeRecord {
	return h.byID[changeID{id.Operator, id.Number}]
}

// expired reports whether the result for id may have been evicted.
func (h *changeHistory) expired(id *catalogpb.ChangeID) bool {
	return id.Number <= h.expiredThrough[id.Operator]
}

// add appends a record and evicts the oldest one beyond RetainedChanges.
func (h *changeHistory) add(r *catalogpb.ChangeRecord) {
	h.records = append(h.records, r)
	h.byID[changeID{r.Id.Operator, r.Id.Number}] = r
	if len(h.records) <= RetainedChanges {
		return
	}
	h.evict(h.records[0].Id)
	h.records[0] = nil
	h.records = h.records[1:]
}

func (h *changeHistory) evict(id *catalogpb.ChangeID) {
	delete(h.byID, changeID{id.Operator, id.Number})
	h.expiredThrough[id.Operator] = max(h.expiredThrough[id.Operator], id.Number)
}

// changedAfter reports whether a change of the object was acknowledged after the
// revision base, also one that was in effect already. A change without a recorded
// object counts as one of every object, and so do those that have been evicted.
func (h *changeHistory) changedAfter(object string, base uint64) bool {
	for _, r := range slices.Backward(h.records) {
		// Indexes and revisions are in ascending order.
		if max(r.Index, r.Result.GetRevision()) <= base {
			return false
		}
		if r.Result.GetOutcome() == catalogpb.ChangeOutcome_CHANGE_OUTCOME_APPLIED && (r.Object == object || r.Object == "") {
			return true
		}
	}
	return len(h.expiredThrough) > 0
}

// highestExpiredIDs returns the id with the highest evicted number of each
// operator, ordered by operator.
func (h *changeHistory) highestExpiredIDs() []*catalogpb.ChangeID {
	ids := make([]*catalogpb.ChangeID, 0, len(h.expiredThrough))
	for operator, number := range h.expiredThrough {
		ids = append(ids, &catalogpb.ChangeID{Operator: operator, Number: number})
	}
	slices.SortFunc(ids, func(a, b *catalogpb.ChangeID) int {
		return cmp.Compare(a.Operator, b.Operator)
	})
	return ids
}
