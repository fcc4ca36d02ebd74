package gateway

import (
	"io"
	"sync/atomic"

	"balsamcourse.example/balsamcourse/internal/httpnet"
)

const (
	// maxBufferedResponse is the size up to which a response body is read to its
	// end before the first byte is sent to the caller, so that the request can
	// still be retried or refused if the response breaks off.
	maxBufferedResponse = 1 << 20
	// smallResponse is the size up to which a response is buffered without taking
	// from the response buffers.
	smallResponse = 32 << 10
	// responseBufferBytes bounds the response bodies that one gateway buffers at a
	// time, small ones excepted. Its VM may have 240 MB of memory.
	responseBufferBytes = 32 << 20
)

// responseBuffers counts the bytes that may still be used to buffer responses.
type responseBuffers struct {
	left atomic.Int64
	// budget bounds them together with what else is held for callers.
	budget *httpnet.Budget
}

func newResponseBuffers() *responseBuffers {
	b := &responseBuffers{}
	b.left.Store(responseBufferBytes)
	return b
}

// acquire takes n bytes and reports whether there were as many.
func (b *responseBuffers) acquire(n int64) bool {
	if b.left.Add(-n) >= 0 {
		return true
	}
	b.left.Add(n)
	return false
}

func (b *responseBuffers) release(n int64) { b.left.Add(n) }

// bufferedResponse is the part of a response body that has been read.
type bufferedResponse struct {
	body []byte
	// complete is set if body is the whole response body.
	complete bool
	release  func()
}

// read reads a response body of the stated length, -1 if unknown, to its end or
// until no more of it may be buffered. Of one that is too long it reads a small part. The caller must call release when the
// bytes are no longer needed.
func (b *responseBuffers) read(body io.Reader, length int64) (bufferedResponse, error) {
	r := bufferedResponse{release: func() {}}
	var err error
	r.body, err = io.ReadAll(io.LimitReader(body, smallResponse+1))
	if err != nil || len(r.body) <= smallResponse {
		r.complete = err == nil
		return r, err
	}
	r.release = b.budget.Transfer()
	if length > maxBufferedResponse {
		return r, nil
	}
	need := int64(maxBufferedResponse)
	if length >= 0 {
		need = min(need, length)
	}
	if !b.acquire(need) {
		return r, nil
	}
	held, ok := b.budget.Hold(need)
	if !ok {
		b.release(need)
		return r, nil
	}
	transfer := r.release
	r.release = func() {
		transfer()
		held()
		b.release(need)
	}
	rest, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse+1-int64(len(r.body))))
	r.body = append(r.body, rest...)
	r.complete = err == nil && len(r.body) <= maxBufferedResponse
	return r, err
}
