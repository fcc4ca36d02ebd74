package control

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

func TestConfigsInQuickSuccessionArePackedOnce(t *testing.T) {
	h := &history{}
	first := &catalogpb.Config{Revision: 1, Zones: []*catalogpb.Zone{{Name: "a"}}}
	second := &catalogpb.Config{Revision: 2, Zones: []*catalogpb.Zone{{Name: "a"}, {Name: "b"}}}
	third := &catalogpb.Config{Revision: 3, Zones: second.Zones}
	for _, cfg := range []*catalogpb.Config{first, second, third} {
		h.add(0, cfg)
	}
	packedFirst, delta, err := h.pack(0, first)
	assert.NilError(t, err)
	assert.Assert(t, delta == nil)
	packed, delta, err := h.pack(packInterval-1, second)
	assert.NilError(t, err)
	assert.DeepEqual(t, packed, packedFirst)
	base, err := catalog.UnpackConfig(packed)
	assert.NilError(t, err)
	got, err := catalog.Patch(base, delta)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, second))
	packed, delta, err = h.pack(packInterval, third)
	assert.NilError(t, err)
	assert.Assert(t, delta == nil)
	base, err = catalog.UnpackConfig(packed)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(base, third))
}
