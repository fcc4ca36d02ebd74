package catalog

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// maxConfigBytes limits the size of an encoded configuration.
const maxConfigBytes = 64 << 20

// PackConfig returns the encoded and compressed configuration. It returns an
// error if cfg cannot be encoded.
func PackConfig(cfg *catalogpb.Config) ([]byte, error) {
	data, err := proto.Marshal(cfg)
	if err != nil {
		return nil, errors.Annotate(err, "encode configuration")
	}
	return compress(data)
}

// UnpackConfig returns the configuration that PackConfig has packed. It returns an
// error if packed cannot be decompressed or decoded, and one that satisfies
// errors.IsNotValid if it is larger than a configuration may be.
func UnpackConfig(packed []byte) (*catalogpb.Config, error) {
	data, err := decompress(packed, maxConfigBytes)
	if err != nil {
		return nil, errors.Annotate(err, "unpack configuration")
	}
	cfg := &catalogpb.Config{}
	if err := proto.Unmarshal(data, cfg); err != nil {
		return nil, errors.Annotate(err, "decode configuration")
	}
	return cfg, nil
}

func compress(data []byte) ([]byte, error) {
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

// decompress returns an error that satisfies errors.IsNotValid if the result has
// more than limit bytes.
func decompress(compressed []byte, limit int64) ([]byte, error) {
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
