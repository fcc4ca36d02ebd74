package storage

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// merge applies part to rec. A record that does not continue the log is
// corrupt.
func merge(rec, part *clusterpb.LogRecord) error {
	if part.GetDiskId() != 0 {
		rec.DiskId = part.GetDiskId()
		rec.BaseIndex, rec.BaseTerm = part.GetBaseIndex(), part.GetBaseTerm()
		rec.Entries = nil
	}
	if part.GetState() != nil {
		rec.State = part.GetState()
	}
	if part.GetSnapshot() != nil {
		rec.Snapshot = part.GetSnapshot()
	}
	if part.GetFormation() != nil {
		rec.Formation = part.GetFormation()
	}
	return mergeEntries(rec, part.GetEntries())
}

func mergeEntries(rec *clusterpb.LogRecord, entries []*clusterpb.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].GetIndex()
	last := rec.GetBaseIndex() + uint64(len(rec.GetEntries()))
	if first <= rec.GetBaseIndex() || first > last+1 {
		return errors.Annotatef(ErrCorrupt, "entry %d after %d", first, last)
	}
	for i, e := range entries {
		if e.GetIndex() != first+uint64(i) {
			return errors.Annotatef(ErrCorrupt, "entry %d in place of %d", e.GetIndex(), first+uint64(i))
		}
	}
	rec.Entries = append(rec.Entries[:first-rec.GetBaseIndex()-1], entries...)
	return nil
}
