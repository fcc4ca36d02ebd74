package catalog

import (
	"cmp"
	"slices"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// RetainedChanges is the number of change ids whose results are kept. The
// oldest are forgotten first; their numbers are then refused as expired.
const RetainedChanges = 4096

// changeID is the comparable form of a ChangeID.
type changeID struct {
	operator string
	number   uint64
}

// changeLog remembers the results of changes in the order of their execution.
type changeLog struct {
	order     []*catalogpb.ChangeRecord
	byID      map[changeID]*catalogpb.ChangeRecord
	forgotten map[string]uint64
}

func newChangeLog() *changeLog {
	return &changeLog{
		byID:      make(map[changeID]*catalogpb.ChangeRecord),
		forgotten: make(map[string]uint64),
	}
}

func restoreChangeLog(records []*catalogpb.ChangeRecord, forgotten []*catalogpb.ChangeID) *changeLog {
	l := newChangeLog()
	for _, f := range forgotten {
		l.forgotten[f.Operator] = f.Number
	}
	for _, r := range records {
		l.add(r)
	}
	return l
}

// find returns the record of id, or nil.
func (l *changeLog) find(id *catalogpb.ChangeID) *catalogpb.ChangeRecord {
	return l.byID[changeID{id.Operator, id.Number}]
}

// expired reports whether the result of id may have been forgotten.
func (l *changeLog) expired(id *catalogpb.ChangeID) bool {
	return id.Number <= l.forgotten[id.Operator]
}

// add appends a record and forgets the oldest beyond the retention.
func (l *changeLog) add(r *catalogpb.ChangeRecord) {
	l.order = append(l.order, r)
	l.byID[changeID{r.Id.Operator, r.Id.Number}] = r
	if len(l.order) <= RetainedChanges {
		return
	}
	l.forget(l.order[0].Id)
	l.order[0] = nil
	l.order = l.order[1:]
}

func (l *changeLog) forget(id *catalogpb.ChangeID) {
	delete(l.byID, changeID{id.Operator, id.Number})
	l.forgotten[id.Operator] = max(l.forgotten[id.Operator], id.Number)
}

// forgottenIDs returns the highest forgotten number of each operator.
func (l *changeLog) forgottenIDs() []*catalogpb.ChangeID {
	ids := make([]*catalogpb.ChangeID, 0, len(l.forgotten))
	for operator, number := range l.forgotten {
		ids = append(ids, &catalogpb.ChangeID{Operator: operator, Number: number})
	}
	slices.SortFunc(ids, func(a, b *catalogpb.ChangeID) int {
		return cmp.Compare(a.Operator, b.Operator)
	})
	return ids
}
