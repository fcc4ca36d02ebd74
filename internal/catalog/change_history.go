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
	l := newChangeHistory()
	for _, id := range expired {
		l.expiredThrough[id.Operator] = id.Number
	}
	for _, r := range records {
		l.add(r)
	}
	return l
}

// find returns the record for id, or nil if there is none.
func (l *changeHistory) find(id *catalogpb.ChangeID) *catalogpb.ChangeRecord {
	return l.byID[changeID{id.Operator, id.Number}]
}

// expired reports whether the result for id may have been evicted.
func (l *changeHistory) expired(id *catalogpb.ChangeID) bool {
	return id.Number <= l.expiredThrough[id.Operator]
}

// add appends a record and evicts the oldest one beyond RetainedChanges.
func (l *changeHistory) add(r *catalogpb.ChangeRecord) {
	l.records = append(l.records, r)
	l.byID[changeID{r.Id.Operator, r.Id.Number}] = r
	if len(l.records) <= RetainedChanges {
		return
	}
	l.evict(l.records[0].Id)
	l.records[0] = nil
	l.records = l.records[1:]
}

func (l *changeHistory) evict(id *catalogpb.ChangeID) {
	delete(l.byID, changeID{id.Operator, id.Number})
	l.expiredThrough[id.Operator] = max(l.expiredThrough[id.Operator], id.Number)
}

// highestExpiredIDs returns the id with the highest evicted number of each
// operator, ordered by operator.
func (l *changeHistory) highestExpiredIDs() []*catalogpb.ChangeID {
	ids := make([]*catalogpb.ChangeID, 0, len(l.expiredThrough))
	for operator, number := range l.expiredThrough {
		ids = append(ids, &catalogpb.ChangeID{Operator: operator, Number: number})
	}
	slices.SortFunc(ids, func(a, b *catalogpb.ChangeID) int {
		return cmp.Compare(a.Operator, b.Operator)
	})
	return ids
}
