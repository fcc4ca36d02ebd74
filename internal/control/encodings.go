package control

import (
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
)

const (
	// maxEncodings bounds the encoded deltas that are kept. Gateways that are answered
	// together hold few different revisions.
	maxEncodings = 32
	// packAfterUses is the number of gateways that get a delta before it is compressed:
	// for fewer, compression costs more processor time than it saves.
	packAfterUses = 4
	// minPackedDelta is the size in bytes from which on a delta is compressed.
	minPackedDelta = 1 << 10
)

// encodings holds the encoded form of deltas, so that one that goes to many gateways is
// encoded once. It is safe for concurrent use.
type encodings struct {
	mu     sync.Mutex
	deltas map[*catalogpb.ConfigDelta]*encodedDelta
}

// encodedDelta is a delta as a field of a RenewResponse.
type encodedDelta struct {
	uses int
	// plain is the field delta. packed is the field packed_delta, nil if it has not been
	// made.
	plain, packed []byte
}

var (
	renewResponseFields = (&clusterpb.RenewResponse{}).ProtoReflect().Descriptor().Fields()
	deltaField          = renewResponseFields.ByName("delta").Number()
	packedDeltaField    = renewResponseFields.ByName("packed_delta").Number()
)

// share replaces the delta in the response by its encoded field, compressed if
// acceptsPacked is set and that saves processor time. On the wire the field reads like
// one that was set. The delta must not be changed any more. A response whose delta
// cannot be encoded is left alone: it cannot be encoded, either.
func (e *encodings) share(resp *clusterpb.RenewResponse, acceptsPacked bool) {
	if resp.GetDelta() == nil {
		return
	}
	field := e.field(resp.Delta, acceptsPacked)
	if field == nil {
		return
	}
	resp.Delta = nil
	resp.ProtoReflect().SetUnknown(field)
}

func (e *encodings) field(d *catalogpb.ConfigDelta, acceptsPacked bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.deltas[d]
	if known == nil {
		data, err := proto.Marshal(d)
		if err != nil {
			return nil
		}
		if e.deltas == nil || len(e.deltas) >= maxEncodings {
			e.deltas = make(map[*catalogpb.ConfigDelta]*encodedDelta)
		}
		known = &encodedDelta{plain: encodeField(deltaField, data)}
		e.deltas[d] = known
	}
	known.uses++
	if !acceptsPacked || len(known.plain) < minPackedDelta || known.uses <= packAfterUses {
		return known.plain
	}
	if known.packed == nil {
		packed, err := catalog.PackDelta(d)
		if err != nil {
			return known.plain
		}
		known.packed = encodeField(packedDeltaField, packed)
	}
	return known.packed
}

func encodeField(number protowire.Number, data []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(nil, number, protowire.BytesType), data)
}
