package replica

import (
	"slices"
	"sync"

	"github.com/juju/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
	"balsamcourse.example/balsamcourse/internal/features"
)

const (
	// minPackedBytes is the size of an entry from which it is compressed for other
	// replicas.
	minPackedBytes = 16 << 10
	// maxEntryBytes limits the size of an entry that is decompressed.
	maxEntryBytes = 128 << 20
	// retainedPackedEntries is the number of compressed entries that are kept: an
	// entry is sent to all replicas at about the same time.
	retainedPackedEntries = 4
)

// entryPacker compresses the large entries in messages, each entry once for all
// replicas. It is safe for concurrent use.
type entryPacker struct {
	mu sync.Mutex
	// packed holds the entries that were compressed last, oldest first.
	packed []packedEntry
}

// packedEntry is an entry in both forms.
type packedEntry struct {
	plain, packed *clusterpb.LogEntry
}

// pack returns msgs with large entries compressed. It does not modify msgs. It
// reports false if they contain no large entry.
func (p *entryPacker) pack(msgs []*clusterpb.ConsensusMessage) ([]*clusterpb.ConsensusMessage, bool) {
	isLarge := func(e *clusterpb.LogEntry) bool { return len(e.GetData()) >= minPackedBytes }
	var result []*clusterpb.ConsensusMessage
	for i, m := range msgs {
		if !slices.ContainsFunc(m.GetEntries(), isLarge) {
			continue
		}
		if result == nil {
			result = slices.Clone(msgs)
		}
		entries := slices.Clone(m.GetEntries())
		for j, e := range entries {
			if isLarge(e) {
				entries[j] = p.entry(e)
			}
		}
		result[i] = withEntries(m, entries)
	}
	return result, result != nil
}

// withEntries returns a copy of m with other entries. The copy shares everything
// else with m.
func withEntries(m *clusterpb.ConsensusMessage, entries []*clusterpb.LogEntry) *clusterpb.ConsensusMessage {
	result := &clusterpb.ConsensusMessage{}
	fields := result.ProtoReflect()
	m.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fields.Set(f, v)
		return true
	})
	result.Entries = entries
	return result
}

// entry returns e in compressed form, or e itself if it cannot be compressed.
func (p *entryPacker) entry(e *clusterpb.LogEntry) *clusterpb.LogEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.packed {
		if known.plain == e {
			return known.packed
		}
	}
	data, err := deflate.Compress(e.GetData())
	if err != nil {
		return e
	}
	packed := &clusterpb.LogEntry{Term: e.Term, Index: e.Index, Members: e.Members, PackedData: data}
	if len(p.packed) == retainedPackedEntries {
		p.packed = slices.Delete(p.packed, 0, 1)
	}
	p.packed = append(p.packed, packedEntry{e, packed})
	return packed
}

// messagesOf returns the messages of a batch with all entries decompressed. It
// returns an error if one cannot be decompressed.
func messagesOf(batch *clusterpb.ConsensusBatch) ([]*clusterpb.ConsensusMessage, error) {
	if len(batch.GetPackedMessages()) == 0 {
		return batch.GetMessages(), nil
	}
	for _, m := range batch.GetPackedMessages() {
		for _, e := range m.GetEntries() {
			if len(e.GetPackedData()) == 0 {
				continue
			}
			data, err := deflate.Decompress(e.PackedData, maxEntryBytes)
			if err != nil {
				return nil, errors.Annotatef(err, "entry %d", e.GetIndex())
			}
			e.Data, e.PackedData = data, nil
		}
	}
	return batch.GetPackedMessages(), nil
}

// newBatch returns a batch of messages. Large entries are compressed if the receiver
// accepts that. With the messages of a leader go the features of all members.
func (t *TwirpTransport) newBatch(msgs []*clusterpb.ConsensusMessage, acceptsPacked bool) *clusterpb.ConsensusBatch {
	batch := &clusterpb.ConsensusBatch{From: t.id, Features: uint64(features.Supported)}
	if slices.ContainsFunc(msgs, func(m *clusterpb.ConsensusMessage) bool {
		return m.GetKind() == clusterpb.MessageKind_MESSAGE_KIND_APPEND
	}) {
		batch.MemberFeatures = t.memberFeatures()
	}
	if acceptsPacked {
		if packed, any := t.packer.pack(msgs); any {
			batch.PackedMessages = packed
			return batch
		}
	}
	batch.Messages = msgs
	return batch
}
