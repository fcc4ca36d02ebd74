package forward

import (
	"bytes"
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// maxBufferedBodyBytes bounds the part of a request body that is read before
// a slot is requested. A shorter body is buffered completely and can be sent
// again.
const maxBufferedBodyBytes = 64 << 10

// requestBody is the body of a call: a buffered part and, for a large body,
// the rest still to be read from the caller.
type requestBody struct {
	buffered []byte
	rest     io.Reader
	// digest is the SHA-256 of the buffered part.
	digest [sha256.Size]byte
	// length is the length of the whole body, or -1 if it is unknown.
	length int64
	// sent is set once an attempt has opened the body.
	sent bool
}

// readBody buffers the start of the body. It fails when the caller sends too
// slowly, or when the body is truncated or larger than MaxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request, opts Options) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &requestBody{}, nil
	}
	client := httpnet.ClientBody(r)
	body := http.MaxBytesReader(w, r.Body, opts.MaxBodyBytes)
	src := NewBodyReader(w, body, opts.BodyIdleTimeout)
	buffered, err := httpnet.ReadBody(src, client, r.ContentLength, maxBufferedBodyBytes, 1)
	if err != nil {
		return nil, BodyReadError(err)
	}
	b := &requestBody{buffered: buffered, digest: sha256.Sum256(buffered), length: r.ContentLength}
	if len(buffered) < maxBufferedBodyBytes {
		b.length = int64(len(buffered))
		src.Stop()
		return b, nil
	}
	b.rest = src
	return b, nil
}

// BodyReadError returns the refusal for a request whose body could not be
// read: TooLarge for an *http.MaxBytesError, Overloaded for httpnet.ErrBudget, otherwise
// BadRequest.
func BodyReadError(err error) *fault.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.New(fault.TooLarge, "request body exceeds %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, httpnet.ErrBudget) {
		return fault.New(fault.Overloaded, "%v", err)
	}
	return fault.New(fault.BadRequest, "reading request body: %v", err)
}

// canResend reports whether the body can be sent from its start.
func (b *requestBody) canResend() bool { return b.rest == nil || !b.sent }

// open returns the body for one attempt. The reader is never nil and never
// of a type that net/http can rewind: http.Transport must not resend a
// request on its own.
func (b *requestBody) open() io.ReadCloser {
	b.sent = true
	if b.rest == nil {
		return unrewindableReader{bytes.NewReader(b.buffered)}
	}
	return unrewindableReader{io.MultiReader(bytes.NewReader(b.buffered), b.rest)}
}

// unrewindableReader hides the concrete type of its reader from net/http.
type unrewindableReader struct{ io.Reader }

// Close does nothing; the server closes the caller's body.
func (unrewindableReader) Close() error { return nil }

// BodyReader reads a request body with a time limit on each read.
type BodyReader struct {
	r           io.Reader
	controller  *http.ResponseController
	idleTimeout time.Duration
	// deadline is the time by which the body must have arrived; zero means no bound.
	deadline time.Time

	// mu guards the fields below and orders the changes of the read deadline.
	mu                   sync.Mutex
	interrupted, stopped bool
}

// EndBy makes reads fail after the deadline.
func (r *BodyReader) EndBy(deadline time.Time) { r.deadline = deadline }

// nextDeadline returns the time by which the next bytes must have arrived, zero for none.
func (r *BodyReader) nextDeadline() time.Time {
	next := r.deadline
	if r.idleTimeout > 0 {
		if idle := time.Now().Add(r.idleTimeout); next.IsZero() || idle.Before(next) {
			next = idle
		}
	}
	return next
}

// errBodyInterrupted is the error of a read after Interrupt.
const errBodyInterrupted = errors.ConstError("the reading of the request body was interrupted")

// NewBodyReader returns a reader of body, the body of the request that w
// answers. A read fails when no bytes arrive within idle; 0 means no limit.
func NewBodyReader(w http.ResponseWriter, body io.Reader, idle time.Duration) *BodyReader {
	return &BodyReader{r: body, controller: http.NewResponseController(w), idleTimeout: idle}
}

// Read implements io.Reader.
func (r *BodyReader) Read(b []byte) (int, error) {
	if !r.beginRead() {
		return 0, errBodyInterrupted
	}
	n, err := r.r.Read(b)
	if err == io.EOF {
		r.Stop()
	}
	return n, err
}

// beginRead sets the deadline of a read. It reports false after Interrupt.
func (r *BodyReader) beginRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupted {
		return false
	}
	if next := r.nextDeadline(); !next.IsZero() {
		_ = r.controller.SetReadDeadline(next)
	}
	return true
}

// Interrupt makes the read in progress and later ones fail, unless Stop was called.
func (r *BodyReader) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.interrupted = true
		// It fails only for writers that have no connection.
		_ = r.controller.SetReadDeadline(time.Now())
	}
}

// Interrupted reports whether Interrupt has ended the reading.
func (r *BodyReader) Interrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.interrupted
}

// Stop clears the read deadline, so that it does not expire while the
// response is awaited.
func (r *BodyReader) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	if r.idleTimeout > 0 || !r.deadline.IsZero() || r.interrupted {
		_ = r.controller.SetReadDeadline(time.Time{})
	}
}

// contentDigest returns a digest of the method, path, query and Content-Type of
// r and of body, the SHA-256 of its buffered body. A resend with the same
// Idempotency-Key and another digest is a conflict.
func contentDigest(r *http.Request, body [sha256.Size]byte) [32]byte {
	h := sha256.New()
	hashField(h, r.Method)
	hashField(h, r.URL.Path)
	hashField(h, r.URL.RawQuery)
	hashField(h, r.Header.Get("Content-Type"))
	h.Write(body[:])
	var sum [32]byte
	h.Sum(sum[:0])
	return sum
}

// hashField adds s and a terminating zero byte, so that adjacent fields
// cannot be shifted into each other.
func hashField(h hash.Hash, s string) {
	_, _ = io.WriteString(h, s)
	h.Write([]byte{0})
}
