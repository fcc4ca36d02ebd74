package storage

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proptest"
)

const testDir = "/data/control"

// drawRecord draws a record that continues rec.
func drawRecord(t *rapid.T, rec *clusterpb.LogRecord) *clusterpb.LogRecord {
	last := rec.GetBaseIndex() + uint64(len(rec.GetEntries()))
	first := rapid.Uint64Range(rec.GetBaseIndex()+1, last+1).Draw(t, "first")
	part := &clusterpb.LogRecord{}
	for i := range rapid.IntRange(0, 3).Draw(t, "entries") {
		data := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 900).Draw(t, "data")
		part.Entries = append(part.Entries, &clusterpb.LogEntry{Index: first + uint64(i), Term: 3, Data: data})
	}
	if rapid.Bool().Draw(t, "state") {
		part.State = &clusterpb.HardState{Term: rapid.Uint64().Draw(t, "term")}
	}
	return part
}

// snapshotRecord returns a record that replaces the entries of rec by a
// snapshot.
func snapshotRecord(rec *clusterpb.LogRecord) *clusterpb.LogRecord {
	last := rec.GetBaseIndex() + uint64(len(rec.GetEntries()))
	return &clusterpb.LogRecord{
		DiskId:    rec.GetDiskId(),
		State:     rec.GetState(),
		BaseIndex: last,
		Snapshot:  &clusterpb.ConsensusSnapshot{Index: last, Data: []byte("state")},
	}
}

// drawCrashEffect draws what of an unsynced write reached the disk: its
// beginning, or all sectors except some.
func drawCrashEffect(t *rapid.T) func([]byte, int) []byte {
	return func(rest []byte, at int) []byte {
		if rapid.Bool().Draw(t, "short") {
			return rest[:rapid.IntRange(0, len(rest)).Draw(t, "cut")]
		}
		for start := 0; start < len(rest); {
			stop := min(start+sectorBytes-(at+start)%sectorBytes, len(rest))
			if rapid.Bool().Draw(t, "unwritten") {
				clear(rest[start:stop])
			}
			start = stop
		}
		return rest
	}
}

// crashTest writes to a log with crashes and compares its content with what was
// acknowledged.
type crashTest struct {
	fs   *memoryFS
	log  *Log
	want *clusterpb.LogRecord
	// uncertain is the content in place of want if a failed write has become
	// durable.
	uncertain *clusterpb.LogRecord
}

func newCrashTest(t *rapid.T, skipSync bool) *crashTest {
	c := &crashTest{fs: newMemoryFS(), want: &clusterpb.LogRecord{DiskId: 7}}
	log, _, err := Open(c.fs, testDir, 7)
	assert.NilError(t, err)
	c.log = log
	c.fs.skipSync = skipSync
	return c
}

func (c *crashTest) crash(t *rapid.T) {
	c.fs.crash(drawCrashEffect(t))
	log, found, err := Open(c.fs, testDir, 8)
	assert.NilError(t, err)
	if c.uncertain != nil && proto.Equal(found.Record, c.uncertain) {
		c.want = c.uncertain
	}
	assert.Assert(t, proto.Equal(found.Record, c.want))
	c.log, c.uncertain = log, nil
}

func (c *crashTest) write(t *rapid.T, part *clusterpb.LogRecord, do func(*clusterpb.LogRecord) error) {
	next := proto.CloneOf(c.want)
	assert.NilError(t, mergeRecord(next, proto.CloneOf(part)))
	if do(part) == nil {
		c.want = next
		return
	}
	c.uncertain = next
	assert.Assert(t, c.log.Append(part) != nil, "append succeeded after a failed write")
	c.crash(t)
}

func (c *crashTest) append(t *rapid.T)  { c.write(t, drawRecord(t, c.want), c.log.Append) }
func (c *crashTest) replace(t *rapid.T) { c.write(t, snapshotRecord(c.want), c.log.Replace) }

func (c *crashTest) injectFault(t *rapid.T) {
	fs := c.fs
	*rapid.SampledFrom([]*bool{&fs.failWrite, &fs.failSync, &fs.failRename, &fs.failSyncDir}).Draw(t, "call") = true
}

func runCrashTest(t *rapid.T, skipSync bool) {
	c := newCrashTest(t, skipSync)
	t.Repeat(map[string]func(*rapid.T){
		"append":  c.append,
		"replace": c.replace,
		"crash":   c.crash,
		"fault":   c.injectFault,
	})
}

// TestProofAcknowledgedRecordsSurviveCrashes checks that every acknowledged
// record survives any crash, and that at most the record of the write in
// progress is found in addition.
func TestProofAcknowledgedRecordsSurviveCrashes(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) { runCrashTest(t, false) })
}

// TestSkippedSyncIsDetected checks that the crash test fails if syncs have no
// effect.
func TestSkippedSyncIsDetected(t *testing.T) {
	proptest.ExpectFailure(t, "1", func(t *rapid.T) { runCrashTest(t, true) })
}

// TestProofAlteredByteIsReportedAsCorruption checks that a log with an altered
// byte is never read without an error.
func TestProofAlteredByteIsReportedAsCorruption(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) { checkAlteredByte(t, readFrame) })
}

// TestIgnoredCorruptionIsDetected checks that the test of altered bytes fails
// if every invalid frame is taken for an incomplete one.
func TestIgnoredCorruptionIsDetected(t *testing.T) {
	lenient := func(data []byte, offset int) ([]byte, int, error) {
		payload, next, err := readFrame(data, offset)
		if err != nil {
			err = errIncompleteFrame
		}
		return payload, next, err
	}
	proptest.ExpectFailure(t, "1", func(t *rapid.T) { checkAlteredByte(t, lenient) })
}

func checkAlteredByte(t *rapid.T, read readFrameFunc) {
	fs := newMemoryFS()
	rec := &clusterpb.LogRecord{DiskId: 7}
	log, _, err := Open(fs, testDir, 7)
	assert.NilError(t, err)
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		part := drawRecord(t, rec)
		assert.NilError(t, log.Append(part))
		assert.NilError(t, mergeRecord(rec, proto.CloneOf(part)))
	}
	f := fs.files[testDir+"/"+logFileName]
	at := rapid.IntRange(0, len(f.data)-1).Draw(t, "offset")
	f.data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
	_, _, err = readLog(f.data, read)
	assert.Assert(t, errors.Is(err, ErrCorrupt), "altered byte %d: %v", at, err)
}

func TestLogIsReadBackFromDisk(t *testing.T) {
	dir := t.TempDir() + "/control"
	log, found, err := Open(OSFS{}, dir, 7)
	assert.NilError(t, err)
	assert.Assert(t, found.Created)
	entry := &clusterpb.LogEntry{Index: 1, Term: 1, Data: []byte("x")}
	assert.NilError(t, log.Append(&clusterpb.LogRecord{Entries: []*clusterpb.LogEntry{entry}}))
	assert.NilError(t, log.Close())
	log, found, err = Open(OSFS{}, dir, 8)
	assert.NilError(t, err)
	assert.Equal(t, found.Record.GetDiskId(), uint64(7))
	assert.Equal(t, len(found.Record.GetEntries()), 1)
	assert.NilError(t, log.Replace(snapshotRecord(found.Record)))
	assert.NilError(t, log.Close())
	_, found, err = Open(OSFS{}, dir, 8)
	assert.NilError(t, err)
	assert.Equal(t, found.Record.GetSnapshot().GetIndex(), uint64(1))
}

// FuzzReadLog checks that, for any content, readLog returns an error or an end
// within the content.
func FuzzReadLog(f *testing.F) {
	frame := appendFrame(nil, []byte{8, 7})
	f.Add(frame)
	f.Add(append(frame, frame[:9]...))
	f.Add(appendFrame(frame, make([]byte, 600)))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, end, err := readLog(data, readFrame)
		if err == nil && end > len(data) {
			t.Fatalf("end %d is beyond the %d bytes of the log", end, len(data))
		}
	})
}
