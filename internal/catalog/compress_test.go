package catalog

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
)

// TestPackedConfigIsReadBackAndShort packs a configuration with as many gateways and
// upstreams as the largest deployments have today.
func TestPackedConfigIsReadBackAndShort(t *testing.T) {
	cfg := &catalogpb.Config{Revision: 7}
	for i := range 191 {
		address := fmt.Sprintf("10.%d.0.%d", i%4, i/4)
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{
			Id: fmt.Sprintf("edge-%d-%d", i%4, i/4), Zone: "jm-south-a", Region: "jm-south",
			CallerAddress: address + ":8144", ClusterAddress: address + ":7500", Incarnation: 1_764_800_000_000_000_000 + uint64(i*i*7919), ServesStale: true,
		})
	}
	for i := range 358 {
		cfg.Upstreams = append(cfg.Upstreams, &catalogpb.Upstream{
			Id: fmt.Sprintf("i-%010x", i*i*104_729), StartedMs: 1_764_800_000_000 + uint64(i*31), Sequence: uint64(i % 40),
			Address: fmt.Sprintf("10.%d.64.%d:8462", i%4, i/4), Zone: "jm-south-a", Pool: "booking", Slots: 2,
			State: catalogpb.UpstreamState_UPSTREAM_STATE_READY,
		})
	}
	packed, err := PackConfig(cfg)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < proto.Size(cfg)/2, "%d bytes of %d", len(packed), proto.Size(cfg))
	got, err := UnpackConfig(packed)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, cfg))
}

func TestInvalidPackedConfigIsAnError(t *testing.T) {
	packed, err := PackConfig(&catalogpb.Config{Revision: 7, Zones: []*catalogpb.Zone{{Name: "a"}}})
	assert.NilError(t, err)
	_, err = UnpackConfig(packed[:len(packed)-1])
	assert.Assert(t, err != nil)
	undecodable, err := deflate.Compress([]byte{0xff})
	assert.NilError(t, err)
	_, err = UnpackConfig(undecodable)
	assert.Assert(t, err != nil)
	_, err = deflate.Decompress(packed, 3)
	assert.Assert(t, errors.Is(err, errors.NotValid))
}
