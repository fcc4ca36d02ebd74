package control

import (
	"testing"
	"time"

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
	packedFirst, update, err := h.pack(0, first, true)
	assert.NilError(t, err)
	assert.Assert(t, update.delta == nil)
	packed, update, err := h.pack(packInterval-1, second, true)
	assert.NilError(t, err)
	assert.DeepEqual(t, packed, packedFirst)
	base, err := catalog.UnpackConfig(packed)
	assert.NilError(t, err)
	got, err := catalog.Patch(base, update.delta)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, second))
	packed, update, err = h.pack(packInterval, third, true)
	assert.NilError(t, err)
	assert.Assert(t, update.delta == nil)
	base, err = catalog.UnpackConfig(packed)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(base, third))
}

// TestConfigIsAddedWhileDeltasAreComputed guards against incident inc2: the
// goroutine that applies commands and sends heartbeats waited for the deltas of a
// large change.
func TestConfigIsAddedWhileDeltasAreComputed(t *testing.T) {
	h := &history{}
	h.mu.Lock()
	defer h.mu.Unlock()
	added := make(chan struct{})
	go func() {
		h.add(0, &catalogpb.Config{Revision: 1})
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(10 * time.Second):
		t.Fatal("add waits for the lock that is held while deltas are computed")
	}
}
