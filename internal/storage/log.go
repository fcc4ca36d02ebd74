package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// logFileName is the name of the log in the data directory.
const logFileName = "replica.log"

// Log is the durable record of one replica. It is not safe for concurrent use.
type Log struct {
	fs   FS
	dir  string
	file File
	buf  []byte
	// failed is the first error; after it all writes are rejected.
	failed error
}

// OpenResult describes the log that Open has opened.
type OpenResult struct {
	// Record is the content of the log, merged into one record.
	Record *clusterpb.LogRecord
	// Created is set if the directory held no log.
	Created bool
	// TruncatedBytes is the size of the incomplete frame that was removed; 0 if
	// there was none.
	TruncatedBytes int
}

// Open opens the log in dir, or creates one with newDiskID as its disk id. It
// returns ErrCorrupt if the content is damaged, and other errors if the file
// system fails.
func Open(fs FS, dir string, newDiskID uint64) (*Log, OpenResult, error) {
	l := &Log{fs: fs, dir: dir}
	data, err := fs.ReadFile(l.path(logFileName))
	if errors.Is(err, os.ErrNotExist) {
		return l.create(newDiskID)
	}
	if err != nil {
		return nil, OpenResult{}, errors.Annotate(err, "read log")
	}
	rec, end, err := readLog(data, readFrame)
	if err != nil {
		return nil, OpenResult{}, err
	}
	cut := len(data) - end
	return l, OpenResult{Record: rec, TruncatedBytes: cut}, l.openForAppend(end, cut)
}

// create writes a new log and syncs the parent directory, so that the data directory
// itself is durable.
func (l *Log) create(diskID uint64) (*Log, OpenResult, error) {
	rec := &clusterpb.LogRecord{DiskId: diskID}
	if err := l.Replace(rec); err != nil {
		return nil, OpenResult{}, err
	}
	err := l.recordFailure(errors.Annotate(l.fs.SyncDir(filepath.Dir(l.dir)), "sync parent directory"))
	return l, OpenResult{Record: rec, Created: true}, err
}

// readLog merges the records in data. It also returns the end of the last
// complete frame. An incomplete first frame is an error: Replace syncs that frame
// before it gives the file its name.
func readLog(data []byte, read readFrameFunc) (*clusterpb.LogRecord, int, error) {
	rec := &clusterpb.LogRecord{}
	offset := 0
	for offset < len(data) {
		payload, next, err := read(data, offset)
		if errors.Is(err, errIncompleteFrame) && offset > 0 {
			return rec, offset, nil
		}
		if err != nil {
			return nil, 0, errors.Annotatef(ErrCorrupt, "invalid frame at byte %d", offset)
		}
		var part clusterpb.LogRecord
		if err := proto.Unmarshal(payload, &part); err != nil {
			return nil, 0, errors.Annotatef(ErrCorrupt, "cannot decode record at byte %d", offset)
		}
		if err := mergeRecord(rec, &part); err != nil {
			return nil, 0, errors.Annotatef(err, "record at byte %d", offset)
		}
		offset = next
	}
	if rec.GetDiskId() == 0 {
		return nil, 0, errors.Annotate(ErrCorrupt, "log has no disk id")
	}
	return rec, offset, nil
}

// openForAppend opens the file for appending, truncates it to end unless cut is 0, and
// makes it durable: a process that was killed may have left a write or a rename that
// no sync covers.
func (l *Log) openForAppend(end, cut int) error {
	file, err := l.fs.Append(l.path(logFileName))
	if err != nil {
		return l.recordFailure(errors.Annotate(err, "open log"))
	}
	l.file = file
	if cut != 0 {
		if err := file.Truncate(int64(end)); err != nil {
			return l.recordFailure(errors.Annotate(err, "truncate log"))
		}
	}
	if err := file.Sync(); err != nil {
		return l.recordFailure(errors.Annotate(err, "sync log"))
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.recordFailure(errors.Annotate(err, "sync directory"))
	}
	return l.recordFailure(errors.Annotate(l.fs.SyncDir(filepath.Dir(l.dir)), "sync parent directory"))
}

// Append makes rec durable after all earlier records. After an error, rec may
// or may not be durable and the log is unusable.
func (l *Log) Append(rec *clusterpb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.encodeFrame(rec); err != nil {
		return l.recordFailure(err)
	}
	return l.recordFailure(writeSync(l.file, l.buf))
}

// Replace atomically makes rec the whole content: after a crash, the log holds
// either the old content or rec. After an error, either may be the case and the
// log is unusable.
func (l *Log) Replace(rec *clusterpb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.encodeFrame(rec); err != nil {
		return l.recordFailure(err)
	}
	return l.recordFailure(l.replaceFile())
}

func (l *Log) replaceFile() error {
	file, err := ReplaceFile(l.fs, l.path(logFileName), l.buf)
	old := l.file
	if file != nil {
		l.file = file
	}
	if err != nil {
		return err
	}
	if old != nil {
		return errors.Annotate(old.Close(), "close old log")
	}
	return nil
}

// encodeFrame encodes rec as a frame into the buffer.
func (l *Log) encodeFrame(rec *clusterpb.LogRecord) error {
	payload, err := proto.Marshal(rec)
	if err != nil {
		return errors.Annotate(err, "encode record")
	}
	if len(payload) > maxPayloadBytes {
		return errors.Errorf("record of %d bytes exceeds the limit of %d bytes", len(payload), maxPayloadBytes)
	}
	l.buf = appendFrame(l.buf[:0], payload)
	return nil
}

// writeSync writes data and makes it durable.
func writeSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return errors.Annotate(err, "write file")
	}
	return errors.Annotate(file.Sync(), "sync file")
}

// recordFailure keeps the first error, which makes the log unusable, and
// returns err.
func (l *Log) recordFailure(err error) error {
	if l.failed == nil {
		l.failed = err
	}
	return err
}

// Close closes the file. Everything acknowledged is durable already.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }
