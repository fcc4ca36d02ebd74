package configsync

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/configview"
)

func TestConfigOfAnswer(t *testing.T) {
	configs := make([]*catalogpb.Config, 4)
	for i := range configs {
		configs[i] = &catalogpb.Config{Revision: uint64(i)}
	}
	pack := func(cfg *catalogpb.Config) []byte {
		packed, err := catalog.PackConfig(cfg)
		assert.NilError(t, err)
		return packed
	}
	packDelta := func(base, next *catalogpb.Config) []byte {
		packed, err := catalog.PackDelta(catalog.Delta(base, next))
		assert.NilError(t, err)
		return packed
	}
	state, err := catalog.PackStateDelta(&catalogpb.ConfigDelta{StateVersion: 7, DeletedRoutes: []string{strings.Repeat("r", 1<<11)}})
	assert.NilError(t, err)
	for _, tc := range []struct {
		name    string
		resp    *clusterpb.RenewResponse
		want    uint64
		wantErr bool
	}{
		{"nothing new", &clusterpb.RenewResponse{}, 0, false},
		{"whole", &clusterpb.RenewResponse{Config: configs[2]}, 2, false},
		{"delta to the held one", &clusterpb.RenewResponse{Delta: catalog.Delta(configs[1], configs[3])}, 3, false},
		{"delta to another one", &clusterpb.RenewResponse{Delta: catalog.Delta(configs[2], configs[3])}, 0, true},
		{"packed", &clusterpb.RenewResponse{PackedConfig: pack(configs[2])}, 2, false},
		{"packed delta to the held one", &clusterpb.RenewResponse{PackedDelta: packDelta(configs[1], configs[3])}, 3, false},
		{"packed delta to another one", &clusterpb.RenewResponse{PackedDelta: packDelta(configs[2], configs[3])}, 0, true},
		{"packed delta that is damaged", &clusterpb.RenewResponse{PackedDelta: []byte("x")}, 0, true},
		{"packed with packed delta", &clusterpb.RenewResponse{PackedConfig: pack(configs[2]), PackedDelta: packDelta(configs[2], configs[3])}, 3, false},
		{"packed with delta", &clusterpb.RenewResponse{PackedConfig: pack(configs[2]), Delta: catalog.Delta(configs[2], configs[3])}, 3, false},
		{"packed with delta to another one", &clusterpb.RenewResponse{PackedConfig: pack(configs[2]), Delta: catalog.Delta(configs[1], configs[3])}, 0, true},
		{"delta with packed state", &clusterpb.RenewResponse{Delta: catalog.DeltaWithoutState(configs[1], configs[3]), PackedStateDelta: state}, 3, false},
		{"delta with invalid packed state", &clusterpb.RenewResponse{Delta: catalog.DeltaWithoutState(configs[1], configs[3]), PackedStateDelta: []byte{0xff}}, 0, true},
		{"invalid", &clusterpb.RenewResponse{PackedConfig: []byte{0xff}}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &loop{view: configview.New(configs[1])}
			got, err := l.configOf(tc.resp)
			assert.Equal(t, err != nil, tc.wantErr)
			assert.Equal(t, got.GetRevision(), tc.want)
		})
	}
}
