package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

// TestDeltaForManyGatewaysIsEncodedOnce guards against a leader whose processor time
// goes into encoding the same changes for each gateway.
func TestDeltaForManyGatewaysIsEncodedOnce(t *testing.T) {
	var e encodings
	delta := &catalogpb.ConfigDelta{BaseRevision: 1, Revision: 2}
	for range 100 {
		delta.PutUpstreams = append(delta.PutUpstreams, &catalogpb.Upstream{Id: "u", Address: "10.0.0.1:8000", Zone: "a", Pool: "p", Slots: 2})
	}
	var first []byte
	for lease := range uint32(3) {
		resp := &clusterpb.RenewResponse{LeaseMs: lease, Revision: 2, Delta: delta}
		want, err := proto.Marshal(resp)
		assert.NilError(t, err)
		e.share(resp, false)
		field := []byte(resp.ProtoReflect().GetUnknown())
		if first == nil {
			first = field
		}
		assert.Assert(t, &field[0] == &first[0], "encoded again")
		data, err := proto.Marshal(resp)
		assert.NilError(t, err)
		var got, expected clusterpb.RenewResponse
		assert.NilError(t, proto.Unmarshal(data, &got))
		assert.NilError(t, proto.Unmarshal(want, &expected))
		assert.Assert(t, proto.Equal(&got, &expected))
	}
}

// TestDeltaForManyGatewaysIsSentPacked guards against the links and the processor time
// that the same changes take for each gateway of a large system.
func TestDeltaForManyGatewaysIsSentPacked(t *testing.T) {
	const gateways, maxShare = 20, 0.5
	var e encodings
	delta := &catalogpb.ConfigDelta{BaseRevision: 1, Revision: 2}
	for i := range 100 {
		delta.PutUpstreams = append(delta.PutUpstreams, &catalogpb.Upstream{Id: fmt.Sprint("upstream-", i), Address: "10.0.0.1:8000", Zone: "jm-south-a", Pool: "p", Slots: 2})
	}
	plain, sent := 0, 0
	for range gateways {
		resp := &clusterpb.RenewResponse{Delta: delta}
		plain += proto.Size(resp)
		e.share(resp, true)
		data, err := proto.Marshal(resp)
		assert.NilError(t, err)
		sent += len(data)
		var got clusterpb.RenewResponse
		assert.NilError(t, proto.Unmarshal(data, &got))
		if got.Delta == nil {
			got.Delta, err = catalog.UnpackDelta(got.PackedDelta)
			assert.NilError(t, err)
		}
		assert.Assert(t, proto.Equal(got.Delta, delta))
	}
	assert.Assert(t, float64(sent) <= maxShare*float64(plain), "%d bytes are sent, %d are %d times the delta", sent, plain, gateways)
}

// BenchmarkAnswer measures the encoding of an answer with 100 changed upstreams.
func BenchmarkAnswer(b *testing.B) {
	delta := &catalogpb.ConfigDelta{BaseRevision: 1, Revision: 2}
	for range 100 {
		delta.PutUpstreams = append(delta.PutUpstreams, &catalogpb.Upstream{Id: "i-0123456789", Address: "10.1.64.32:8724", Zone: "jm-south-a", Pool: "deti47a", Slots: 2, StartedMs: 1 << 40, Sequence: 1})
	}
	for _, shared := range []bool{false, true} {
		name := map[bool]string{false: "each", true: "shared"}[shared]
		b.Run(name, func(b *testing.B) {
			var e encodings
			b.ReportAllocs()
			for b.Loop() {
				resp := &clusterpb.RenewResponse{LeaseMs: 3000, Revision: 2, Delta: delta}
				if shared {
					e.share(resp, false)
				}
				if _, err := proto.Marshal(resp); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
