package control

import (
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// maxEncodings bounds the encoded deltas that are kept. Gateways that are answered
// together hold few different revisions.
const maxEncodings = 32

// encodings holds the encoded form of deltas, so that one that goes to many gateways is
// encoded once. It is safe for concurrent use.
type encodings struct {
	mu     sync.Mutex
	fields map[*catalogpb.ConfigDelta][]byte
}

// deltaField is the number of RenewResponse.delta.
var deltaField = (&clusterpb.RenewResponse{}).ProtoReflect().Descriptor().Fields().ByName("delta").Number()

// share replaces the delta in the response by its encoded field, which reads the same
// on the wire. The delta must not be changed any more. It leaves a response alone whose
// delta cannot be encoded: then the response cannot, either.
func (e *encodings) share(resp *clusterpb.RenewResponse) {
	if resp.GetDelta() == nil {
		return
	}
	field := e.field(resp.Delta)
	if field == nil {
		return
	}
	resp.Delta = nil
	resp.ProtoReflect().SetUnknown(field)
}

func (e *encodings) field(d *catalogpb.ConfigDelta) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if field := e.fields[d]; field != nil {
		return field
	}
	data, err := proto.Marshal(d)
	if err != nil {
		return nil
	}
	field := protowire.AppendBytes(protowire.AppendTag(nil, deltaField, protowire.BytesType), data)
	if e.fields == nil || len(e.fields) >= maxEncodings {
		e.fields = make(map[*catalogpb.ConfigDelta][]byte)
	}
	e.fields[d] = field
	return field
}
