package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

const (
	// packFrom is the length in bytes from which the text of a desired state is
	// compressed; shorter ones gain less than the call costs.
	packFrom = 1 << 10
	// maxText bounds the text of a desired state in bytes: a log entry must fit
	// into a call between control VMs.
	maxText = 64 << 20
)

// Source is the text of a desired state, compressed or as the operator sent it.
type Source struct {
	plain, packed []byte
}

// CompressSource returns state with its text compressed. A whole desired state
// goes to every control VM for each change, and most of it repeats itself.
func CompressSource(state *catalogpb.DesiredState) (*catalogpb.DesiredState, error) {
	if len(state.GetSource()) < packFrom {
		return state, nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(state.Source); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	packed := proto.CloneOf(state)
	packed.Source, packed.PackedSource = nil, buf.Bytes()
	return packed, nil
}

// Text returns the text as the operator sent it.
func (s Source) Text() ([]byte, error) {
	if s.packed == nil {
		return s.plain, nil
	}
	r := flate.NewReader(bytes.NewReader(s.packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxText+1))
	if err != nil {
		return nil, errors.Annotate(err, "text of the desired state")
	}
	if len(plain) > maxText {
		return nil, errors.NotValidf("text of the desired state, above %d bytes,", maxText)
	}
	return plain, nil
}
