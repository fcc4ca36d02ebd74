package storage

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// mergeRecord applies update, a later record, to rec. An update with a disk id
// discards the entries of rec and sets a new base. mergeRecord returns
// ErrCorrupt if the entries of update do not continue those of rec.
func mergeRecord(rec, update *clusterpb.LogRecord) error {
	if update.GetDiskId() != 0 {
		rec.DiskId = update.GetDiskId()
		rec.BaseIndex, rec.BaseTerm = update.GetBaseIndex(), update.GetBaseTerm()
		rec.Entries = nil
	}
	if update.GetState() != nil {
		rec.State = update.GetState()
	}
	if update.GetSnapshot() != nil {
		rec.Snapshot = update.GetSnapshot()
	}
	if update.GetFormation() != nil {
		rec.Formation = update.GetFormation()
	}
	return mergeEntries(rec, update.GetEntries())
}

// mergeEntries appends entries to rec, in place of earlier ones from the same
// index on.
func mergeEntries(rec *clusterpb.LogRecord, entries []*clusterpb.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].GetIndex()
	last := rec.GetBaseIndex() + uint64(len(rec.GetEntries()))
	if first <= rec.GetBaseIndex() || first > last+1 {
		return errors.Annotatef(ErrCorrupt, "record starts at entry %d, expected one from %d to %d", first, rec.GetBaseIndex()+1, last+1)
	}
	for i, e := range entries {
		if e.GetIndex() != first+uint64(i) {
			return errors.Annotatef(ErrCorrupt, "entry has index %d, expected %d", e.GetIndex(), first+uint64(i))
		}
	}
	rec.Entries = append(rec.Entries[:first-rec.GetBaseIndex()-1], entries...)
	return nil
}
