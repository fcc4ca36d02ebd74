package forward

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// bufferedBytes bounds the part of a request body that is read before a slot
// is asked for. A body that fits whole can be sent again.
const bufferedBytes = 64 << 10

// requestBody is the body of a call: a part in memory and, for a large body,
// the rest still to come from the caller.
type requestBody struct {
	head []byte
	rest io.Reader
	// digest covers the head.
	digest [sha256.Size]byte
	length int64
	sent   bool
}

// readBody reads the head of the body. It fails when the caller is too slow or
// the body ends early or is too large.
func readBody(w http.ResponseWriter, r *http.Request, opts Options) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	body := http.MaxBytesReader(w, r.Body, opts.MaxBodyBytes)
	src := NewBodyReader(w, body, opts.BodyIdleTimeout)
	head, err := io.ReadAll(io.LimitReader(src, bufferedBytes))
	if err != nil {
		return nil, BodyReadError(err)
	}
	b := &requestBody{head: head, digest: sha256.Sum256(head), length: r.ContentLength}
	if len(head) < bufferedBytes {
		b.length = int64(len(head))
		src.Stop()
		return b, nil
	}
	b.rest = src
	return b, nil
}

// BodyReadError returns the refusal for a request whose body could not be read.
func BodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "body over %d bytes", tooLarge.Limit)
	}
	return fault.New(fault.BadRequest, "reading the body: %v", err)
}

// replayable reports whether the body can be sent from the start.
func (b *requestBody) replayable() bool { return b.rest == nil || !b.sent }

// open returns the body for one attempt. The reader is never nil and is no
// type that net/http can rewind: http.Transport must not send a request again
// by itself.
func (b *requestBody) open() io.ReadCloser {
	b.sent = true
	if b.rest == nil {
		return onceReader{bytes.NewReader(b.head)}
	}
	return onceReader{io.MultiReader(bytes.NewReader(b.head), b.rest)}
}

// onceReader hides the type of its reader from net/http.
type onceReader struct{ io.Reader }

// Close does nothing; the server closes the caller's body.
func (onceReader) Close() error { return nil }

// BodyReader reads a body and gives up when no bytes come for a while.
type BodyReader struct {
	r       io.Reader
	control *http.ResponseController
	idle    time.Duration
}

// NewBodyReader returns a reader over the body of the request that w answers.
// It gives up when no bytes come for idle; 0 means never.
func NewBodyReader(w http.ResponseWriter, body io.Reader, idle time.Duration) *BodyReader {
	return &BodyReader{r: body, control: http.NewResponseController(w), idle: idle}
}

// Read implements io.Reader.
func (p *BodyReader) Read(b []byte) (int, error) {
	if p.idle > 0 {
		_ = p.control.SetReadDeadline(time.Now().Add(p.idle))
	}
	n, err := p.r.Read(b)
	if err == io.EOF {
		p.Stop()
	}
	return n, err
}

// Stop lifts the deadline so that it does not hit the wait for the answer.
func (p *BodyReader) Stop() {
	if p.idle > 0 {
		_ = p.control.SetReadDeadline(time.Time{})
	}
}

// contentDigest identifies the content of a request: a resend with the same
// key and another digest is a conflict.
func contentDigest(r *http.Request, body [sha256.Size]byte) [32]byte {
	h := sha256.New()
	writeField(h, r.Method)
	writeField(h, r.URL.Path)
	writeField(h, r.URL.RawQuery)
	writeField(h, r.Header.Get("Content-Type"))
	h.Write(body[:])
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

func writeField(h hash.Hash, s string) {
	_, _ = io.WriteString(h, s)
	h.Write([]byte{0})
}
