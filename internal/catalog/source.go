package catalog

import (
	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
)

const (
	// minCompressedBytes is the shortest text of a desired state that is
	// compressed. For shorter ones compression costs more than it saves.
	minCompressedBytes = 1 << 10
	// maxSourceBytes limits the text of a desired state, because a log entry must
	// fit into one RPC between control VMs.
	maxSourceBytes = 64 << 20
)

// Source is the text of a desired state, either compressed or as the operator
// sent it.
type Source struct {
	plain, compressed []byte
}

// CompressSource returns a copy of state whose text is compressed and which shares
// its items, or state itself if its text is short. Each change sends the whole
// desired state to every control VM, and its text is highly repetitive.
func CompressSource(state *catalogpb.DesiredState) (*catalogpb.DesiredState, error) {
	if len(state.GetSource()) < minCompressedBytes {
		return state, nil
	}
	packed, err := deflate.Compress(state.Source)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &catalogpb.DesiredState{
		Version:      state.Version,
		Routes:       state.Routes,
		Pools:        state.Pools,
		Limits:       state.Limits,
		PackedSource: packed,

		Organisations: state.Organisations,
	}, nil
}

// Text returns the text as the operator sent it. It returns an error if a
// compressed text cannot be decompressed, and one that satisfies
// errors.IsNotValid if it is longer than a desired state may be.
func (s Source) Text() ([]byte, error) {
	if s.compressed == nil {
		return s.plain, nil
	}
	plain, err := deflate.Decompress(s.compressed, maxSourceBytes)
	return plain, errors.Annotate(err, "source of the desired state")
}
