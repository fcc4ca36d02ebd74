package catalog

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

func (m *testMachine) updateConvictions(u *catalogpb.UpdateConvictions) {
	m.command(&catalogpb.Command{Kind: &catalogpb.Command_UpdateConvictions{UpdateConvictions: u}})
}

// Guards against a record of crashing requests that grows without bound, or from which an
// older message removes what a newer one has recorded.
func TestConvictionsAreBoundedAndReplacedByNewerOnes(t *testing.T) {
	m := &testMachine{t: t, Catalog: New()}
	conviction := func(fingerprint string, crashed uint64) *catalogpb.Conviction {
		return &catalogpb.Conviction{Service: "s", Fingerprint: fingerprint, CrashedMs: crashed, UntilMs: crashed + 1000}
	}
	put := func(c *catalogpb.Conviction) {
		m.updateConvictions(&catalogpb.UpdateConvictions{Put: []*catalogpb.Conviction{c}})
	}
	remove := func(c *catalogpb.Conviction) {
		m.updateConvictions(&catalogpb.UpdateConvictions{Remove: []*catalogpb.Conviction{c}})
	}
	crashed := func(fingerprint string) uint64 {
		return FindConviction(m.Config().Convictions, "s", fingerprint).GetCrashedMs()
	}

	put(conviction("f", 20))
	revision := m.Config().Revision
	put(conviction("f", 10))
	assert.Equal(t, crashed("f"), uint64(20))
	remove(conviction("f", 10))
	assert.Equal(t, crashed("f"), uint64(20), "an older conviction was released")
	assert.Equal(t, m.Config().Revision, revision, "nothing has changed")
	put(conviction("f", 30))
	remove(conviction("f", 30))
	assert.Equal(t, len(m.Config().Convictions), 0)

	put(&catalogpb.Conviction{Service: "s", Fingerprint: strings.Repeat("f", maxConvictionTextBytes), CrashedMs: 1})
	assert.Equal(t, len(m.Config().Convictions), 0, "too long")
	base := m.Config()
	for i := range uint64(2 * MaxConvictions) {
		put(conviction(fmt.Sprint("f", i), 100+i))
	}
	assert.Equal(t, len(m.Config().Convictions), MaxConvictions)
	assert.Equal(t, crashed("f0"), uint64(0))
	assert.Equal(t, crashed(fmt.Sprint("f", 2*MaxConvictions-1)), uint64(100+2*MaxConvictions-1))

	patched, err := Patch(base, Delta(base, m.Config()))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(patched, m.Config()))
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	assert.Assert(t, proto.Equal(restored.Config(), m.Config()))
}
