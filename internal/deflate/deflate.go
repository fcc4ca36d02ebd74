// Package deflate compresses data in memory with DEFLATE.
package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// Compress returns data in compressed form, at the speed of flate.BestSpeed.
func Compress(data []byte) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	return buf.Bytes(), nil
}

// Decompress returns the data that Compress has compressed. It returns an error if
// they cannot be decompressed, and one that satisfies errors.IsNotValid if they have
// more than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress")
	}
	if int64(len(data)) > limit {
		return nil, errors.NotValidf("data of more than %d bytes", limit)
	}
	return data, nil
}
