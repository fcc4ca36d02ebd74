package storage

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/proof"
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

// image returns a record that replaces rec by a snapshot.
func image(rec *clusterpb.LogRecord) *clusterpb.LogRecord {
	last := rec.GetBaseIndex() + uint64(len(rec.GetEntries()))
	return &clusterpb.LogRecord{
		DiskId:    rec.GetDiskId(),
		State:     rec.GetState(),
		BaseIndex: last,
		Snapshot:  &clusterpb.ConsensusSnapshot{Index: last, Data: []byte("state")},
	}
}

// drawTear draws what of an unsynced write reached the disk: a part, or all
// sectors but some.
func drawTear(t *rapid.T) func([]byte, int) []byte {
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

// crasher runs a log against its oracle: the record that was acknowledged.
type crasher struct {
	disk *memory
	log  *Log
	want *clusterpb.LogRecord
	// maybe is what a failed write may have left in place of want.
	maybe *clusterpb.LogRecord
}

func newCrasher(t *rapid.T, skipSync bool) *crasher {
	c := &crasher{disk: newMemory(), want: &clusterpb.LogRecord{DiskId: 7}}
	log, _, err := Open(c.disk, testDir, 7)
	assert.NilError(t, err)
	c.log = log
	c.disk.skipSync = skipSync
	return c
}

func (c *crasher) crash(t *rapid.T) {
	c.disk.crash(drawTear(t))
	log, found, err := Open(c.disk, testDir, 8)
	assert.NilError(t, err)
	if c.maybe != nil && proto.Equal(found.Record, c.maybe) {
		c.want = c.maybe
	}
	assert.Assert(t, proto.Equal(found.Record, c.want))
	c.log, c.maybe = log, nil
}

func (c *crasher) write(t *rapid.T, part *clusterpb.LogRecord, do func(*clusterpb.LogRecord) error) {
	next := proto.CloneOf(c.want)
	assert.NilError(t, merge(next, proto.CloneOf(part)))
	if do(part) == nil {
		c.want = next
		return
	}
	c.maybe = next
	assert.Assert(t, c.log.Append(part) != nil, "a failed log acknowledges")
	c.crash(t)
}

func (c *crasher) append(t *rapid.T)  { c.write(t, drawRecord(t, c.want), c.log.Append) }
func (c *crasher) replace(t *rapid.T) { c.write(t, image(c.want), c.log.Replace) }

func (c *crasher) fault(t *rapid.T) {
	d := c.disk
	*rapid.SampledFrom([]*bool{&d.failWrite, &d.failSync, &d.failRename, &d.failDir}).Draw(t, "call") = true
}

func runCrashes(t *rapid.T, skipSync bool) {
	c := newCrasher(t, skipSync)
	t.Repeat(map[string]func(*rapid.T){
		"append":  c.append,
		"replace": c.replace,
		"crash":   c.crash,
		"fault":   c.fault,
	})
}

// TestProofCrash checks that whatever was acknowledged survives any crash, and
// that nothing but the write under way may come with it.
func TestProofCrash(t *testing.T) {
	proof.Check(t, func(t *rapid.T) { runCrashes(t, false) })
}

func TestMissingSyncIsSeen(t *testing.T) {
	proof.ExpectFailure(t, "1", func(t *rapid.T) { runCrashes(t, true) })
}

// TestProofAlteredByte checks that no altered byte is skipped in silence.
func TestProofAlteredByte(t *testing.T) {
	proof.Check(t, func(t *rapid.T) { alterByte(t, readFrame) })
}

// TestSkippedDamageIsSeen takes every bad frame for an incomplete one.
func TestSkippedDamageIsSeen(t *testing.T) {
	lenient := func(data []byte, offset int) ([]byte, int, error) {
		payload, next, err := readFrame(data, offset)
		if err != nil {
			err = errTorn
		}
		return payload, next, err
	}
	proof.ExpectFailure(t, "1", func(t *rapid.T) { alterByte(t, lenient) })
}

func alterByte(t *rapid.T, read frameReader) {
	disk := newMemory()
	rec := &clusterpb.LogRecord{DiskId: 7}
	log, _, err := Open(disk, testDir, 7)
	assert.NilError(t, err)
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		part := drawRecord(t, rec)
		assert.NilError(t, log.Append(part))
		assert.NilError(t, merge(rec, proto.CloneOf(part)))
	}
	f := disk.names[testDir+"/"+logName]
	at := rapid.IntRange(0, len(f.data)-1).Draw(t, "offset")
	f.data[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
	_, _, err = readLog(f.data, read)
	assert.Assert(t, errors.Is(err, ErrCorrupt), "byte %d: %v", at, err)
}

func TestFilesOfTheOperatingSystem(t *testing.T) {
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
	assert.NilError(t, log.Replace(image(found.Record)))
	assert.NilError(t, log.Close())
	_, found, err = Open(OSFS{}, dir, 8)
	assert.NilError(t, err)
	assert.Equal(t, found.Record.GetSnapshot().GetIndex(), uint64(1))
}

// FuzzReadLog checks that no content makes the decoder fail in other ways than
// by an error, or accept bytes beyond the content.
func FuzzReadLog(f *testing.F) {
	frame := appendFrame(nil, []byte{8, 7})
	f.Add(frame)
	f.Add(append(frame, frame[:9]...))
	f.Add(appendFrame(frame, make([]byte, 600)))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, end, err := readLog(data, readFrame)
		if err == nil && end > len(data) {
			t.Fatalf("end %d beyond %d", end, len(data))
		}
	})
}
