package storage

import (
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// logName is the name of the log in the data folder.
const logName = "replica.log"

// Log is the durable record of one replica. It is not safe for concurrent use.
type Log struct {
	fs   FS
	dir  string
	file File
	buf  []byte
	// failed is the first error; the log refuses everything after it.
	failed error
}

// OpenResult is what Open found.
type OpenResult struct {
	// Record is the merged content.
	Record *clusterpb.LogRecord
	// Created is set when the folder held no log.
	Created bool
	// TruncatedBytes is the size of the incomplete frame that was cut.
	TruncatedBytes int
}

// Open reads the log in dir, or creates one that carries newDisk as its disk
// id. It returns ErrCorrupt when the content is damaged.
func Open(fs FS, dir string, newDisk uint64) (*Log, OpenResult, error) {
	l := &Log{fs: fs, dir: dir}
	data, err := fs.ReadFile(l.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return l.create(newDisk)
	}
	if err != nil {
		return nil, OpenResult{}, errors.Annotate(err, "read log")
	}
	rec, end, err := readLog(data, readFrame)
	if err != nil {
		return nil, OpenResult{}, err
	}
	cut := len(data) - end
	return l, OpenResult{Record: rec, TruncatedBytes: cut}, l.resume(end, cut)
}

// create writes a new log and makes the folder itself durable.
func (l *Log) create(disk uint64) (*Log, OpenResult, error) {
	rec := &clusterpb.LogRecord{DiskId: disk}
	if err := l.Replace(rec); err != nil {
		return nil, OpenResult{}, err
	}
	err := l.fail(errors.Annotate(l.fs.SyncDir(filepath.Dir(l.dir)), "sync parent folder"))
	return l, OpenResult{Record: rec, Created: true}, err
}

// readLog merges the records in data. It returns the end of the last complete
// frame.
func readLog(data []byte, read frameReader) (*clusterpb.LogRecord, int, error) {
	rec := &clusterpb.LogRecord{}
	offset := 0
	for offset < len(data) {
		payload, next, err := read(data, offset)
		if errors.Is(err, errTorn) && offset > 0 {
			return rec, offset, nil
		}
		if err != nil {
			return nil, 0, errors.Annotatef(ErrCorrupt, "frame at byte %d", offset)
		}
		var part clusterpb.LogRecord
		if err := proto.Unmarshal(payload, &part); err != nil {
			return nil, 0, errors.Annotatef(ErrCorrupt, "record at byte %d", offset)
		}
		if err := merge(rec, &part); err != nil {
			return nil, 0, errors.Annotatef(err, "record at byte %d", offset)
		}
		offset = next
	}
	if rec.GetDiskId() == 0 {
		return nil, 0, errors.Annotate(ErrCorrupt, "no disk id")
	}
	return rec, offset, nil
}

// resume cuts an incomplete frame and opens the file for appending.
func (l *Log) resume(end, cut int) error {
	file, err := l.fs.Append(l.path(logName))
	if err != nil {
		return l.fail(errors.Annotate(err, "open log"))
	}
	l.file = file
	if cut == 0 {
		return nil
	}
	if err := file.Truncate(int64(end)); err != nil {
		return l.fail(errors.Annotate(err, "cut log"))
	}
	return l.fail(errors.Annotate(file.Sync(), "sync log"))
}

// Append makes rec durable after all earlier records. When it returns an
// error the record may or may not be durable, and the log is unusable.
func (l *Log) Append(rec *clusterpb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.frame(rec); err != nil {
		return l.fail(err)
	}
	return l.fail(writeSync(l.file, l.buf))
}

// Replace makes rec the whole content, atomically: after a crash the log holds
// either the old content or rec.
func (l *Log) Replace(rec *clusterpb.LogRecord) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.frame(rec); err != nil {
		return l.fail(err)
	}
	return l.fail(l.replace())
}

func (l *Log) replace() error {
	file, err := ReplaceFile(l.fs, l.path(logName), l.buf)
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

// frame encodes rec into the buffer.
func (l *Log) frame(rec *clusterpb.LogRecord) error {
	payload, err := proto.Marshal(rec)
	if err != nil {
		return errors.Annotate(err, "encode record")
	}
	if len(payload) > maxFrameSize {
		return errors.Errorf("record of %d bytes is too large", len(payload))
	}
	l.buf = appendFrame(l.buf[:0], payload)
	return nil
}

func writeSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return errors.Annotate(err, "write log")
	}
	return errors.Annotate(file.Sync(), "sync log")
}

// fail keeps the first error.
func (l *Log) fail(err error) error {
	if l.failed == nil {
		l.failed = err
	}
	return err
}

// Close releases the file. Everything acknowledged is durable already.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Trace(l.file.Close())
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }
