package catalog

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/deflate"
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
	return deflate.Compress(data)
}

// UnpackConfig returns the configuration that PackConfig has packed. It returns an
// error if packed cannot be decompressed or decoded, and one that satisfies
// errors.IsNotValid if it is larger than a configuration may be.
func UnpackConfig(packed []byte) (*catalogpb.Config, error) {
	data, err := deflate.Decompress(packed, maxConfigBytes)
	if err != nil {
		return nil, errors.Annotate(err, "unpack configuration")
	}
	cfg := &catalogpb.Config{}
	if err := proto.Unmarshal(data, cfg); err != nil {
		return nil, errors.Annotate(err, "decode configuration")
	}
	return cfg, nil
}
