package gateway

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestResponsesAreBufferedWithinTheirBounds reads bodies of different lengths.
func TestResponsesAreBufferedWithinTheirBounds(t *testing.T) {
	for _, size := range []int{0, 1, smallResponse, smallResponse + 1, maxBufferedResponse, maxBufferedResponse + 1, 3 * maxBufferedResponse} {
		for _, stated := range []int64{int64(size), -1} {
			b := newResponseBuffers()
			body := bytes.NewReader(bytes.Repeat([]byte("x"), size))
			r, err := b.read(body, stated)
			assert.NilError(t, err)
			assert.Equal(t, r.complete, size <= maxBufferedResponse, "%d", size)
			assert.Assert(t, len(r.body) <= maxBufferedResponse+1)
			assert.Equal(t, len(r.body)+body.Len(), size)
			r.release()
			assert.Equal(t, b.left.Load(), int64(responseBufferBytes))
		}
	}
}

// TestBuffersOfAllResponsesAreBounded buffers many responses without end at the same
// time.
func TestBuffersOfAllResponsesAreBounded(t *testing.T) {
	const calls = 200
	b := newResponseBuffers()
	held := 0
	var responses []bufferedResponse
	for range calls {
		r, err := b.read(endlessReader{}, -1)
		assert.NilError(t, err)
		assert.Assert(t, !r.complete)
		held += len(r.body)
		responses = append(responses, r)
	}
	assert.Assert(t, held <= responseBufferBytes+calls*(smallResponse+1), "%d bytes held", held)
	for _, r := range responses {
		r.release()
	}
	assert.Equal(t, b.left.Load(), int64(responseBufferBytes))
}

// endlessReader reads zeros without end.
type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// TestResponseIsForwardedWholeWithoutBuffers gives a gateway whose response buffers
// are used up an answer that would be buffered otherwise.
func TestResponseIsForwardedWholeWithoutBuffers(t *testing.T) {
	long := strings.Repeat("long answer ", smallResponse)
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(200, servedByHeader, long)
	fx := startForwarder(t, newConfig(s))
	assert.Assert(t, fx.forwarder.buffers.acquire(responseBufferBytes))
	status, body, h := fx.call(t, "POST", "/unsafe/x", "")
	assert.Equal(t, status, 200)
	assert.Assert(t, body == long)
	assert.Assert(t, h.Get("Content-Length") != "")
	assert.Equal(t, fx.forwarder.buffers.left.Load(), int64(0))
}

// A response whose stated length shows that it cannot be buffered must take nothing
// from the buffers while it is streamed.
func TestTooLongResponseTakesNoBuffers(t *testing.T) {
	b := newResponseBuffers()
	r, err := b.read(strings.NewReader(strings.Repeat("x", 2<<20)), 100<<20)
	assert.NilError(t, err)
	assert.Assert(t, !r.complete)
	assert.Equal(t, b.left.Load(), int64(responseBufferBytes))
}
