package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Guards against commands without need: reports of several entry VMs about one request make
// one command, at most one a second, and what is recorded is not proposed again.
func TestConvictionsAreCollectedIntoFewCommands(t *testing.T) {
	wall := time.UnixMilli(1_000_000)
	b := newConvictionBatch()
	report := &clusterpb.ConvictionReport{Service: "s", Fingerprint: "f", CrashAgeMs: 1000, LeftMs: 60_000}
	later := &clusterpb.ConvictionReport{Service: "s", Fingerprint: "f", CrashAgeMs: 900, LeftMs: 60_000}
	empty := &catalogpb.Config{}
	assert.Assert(t, b.command(0, wall, empty) == nil)
	b.record(wall, empty, []*clusterpb.ConvictionReport{report})
	b.record(wall, empty, []*clusterpb.ConvictionReport{later})
	put := b.command(0, wall, empty).GetUpdateConvictions().Put
	assert.Equal(t, len(put), 1)
	assert.Equal(t, put[0].UntilMs, uint64(1_060_000))

	b.record(wall, empty, []*clusterpb.ConvictionReport{report})
	assert.Assert(t, b.command(convictionInterval-1, wall, empty) == nil, "less than convictionInterval after the command before")
	assert.Assert(t, b.command(convictionInterval, wall, empty) != nil)

	recorded := &catalogpb.Config{Convictions: put}
	b.record(wall, recorded, []*clusterpb.ConvictionReport{report})
	assert.Assert(t, b.command(time.Hour, wall, recorded) == nil)

	released := &clusterpb.ConvictionReport{Service: "s", Fingerprint: "f", Released: true, ReleasedCrashedMs: put[0].CrashedMs}
	b.record(wall, recorded, []*clusterpb.ConvictionReport{released})
	assert.Equal(t, len(b.command(time.Hour, wall, recorded).GetUpdateConvictions().Remove), 1)
	outdated := &clusterpb.ConvictionReport{Service: "s", Fingerprint: "f", Released: true, ReleasedCrashedMs: put[0].CrashedMs - 1}
	b.record(wall, recorded, []*clusterpb.ConvictionReport{outdated})
	assert.Assert(t, b.command(2*time.Hour, wall, recorded) == nil, "the release of an earlier conviction")

	assert.Equal(t, len(b.command(3*time.Hour, wall.Add(time.Minute), recorded).GetUpdateConvictions().Remove), 1, "expired")
	assert.Equal(t, len(b.command(4*time.Hour, wall.Add(-48*time.Hour), recorded).GetUpdateConvictions().Remove), 1, "recorded while the time of day was wrong")
}
