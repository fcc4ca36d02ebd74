package upstreamconn

import (
	"io"
	"math"
)

// unlimited is the limit of a limitedReader that has none.
const unlimited = math.MaxInt64

// limitedReader reads from r until left bytes have been read, and then fails with
// ErrHeadTooLong.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}
