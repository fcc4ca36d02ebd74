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
	// recorded holds what has been read while recording is set.
	recorded  []byte
	recording bool
}

// record starts to keep what is read, after the given bytes.
func (l *limitedReader) record(before []byte) {
	l.recorded, l.recording = append(l.recorded[:0], before...), true
}

// stopRecording returns what has been kept. It is valid until the next call of record.
func (l *limitedReader) stopRecording() []byte {
	l.recording = false
	return l.recorded
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.r.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	if l.recording {
		l.recorded = append(l.recorded, b[:n]...)
	}
	return n, err
}
