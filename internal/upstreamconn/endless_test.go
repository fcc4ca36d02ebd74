package upstreamconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proptest"
)

const (
	// endlessCap is where a stand-in stops that sends without end, so that a test
	// that fails does not use up the memory of the machine.
	endlessCap = 8 << 20
	// exchangeTimeout is the deadline of the exchanges of these tests.
	exchangeTimeout = 2 * time.Second
)

// endlessUpstream sends first after the head of a request, and then repeat again
// and again until the connection is closed.
type endlessUpstream struct {
	first, repeat string
	// pause is the time between two repeats.
	pause time.Duration
}

func (u endlessUpstream) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	text := u.first + u.repeat
	for sent := 0; sent < endlessCap; sent += len(text) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(u.pause)
		text = u.repeat
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// endlessResult is the outcome of one exchange with an upstream that sends
// without end.
type endlessResult struct {
	headErr, bodyErr error
	read             int64
	took             time.Duration
	reused           bool
}

// exchangeWith makes one exchange with an upstream in virtual time, reads at most
// maxDiscardedBody of the body, releases the connection and waits until the
// upstream has seen it closed. It must be called in a bubble of synctest.
func exchangeWith(serve func(net.Conn), r *Request) endlessResult {
	near, far := net.Pipe()
	counting := &countingConn{Conn: near}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		serve(far)
	}()
	p := NewPool(func(context.Context, string) (net.Conn, error) { return counting, nil })
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	start := time.Now()
	c, err := p.Get(ctx, "upstream", 0)
	if err != nil {
		return endlessResult{headErr: err}
	}
	stop := c.InterruptOnDone(ctx)
	x, err := c.Do(ctx, r)
	result := endlessResult{headErr: err}
	if err == nil {
		result.bodyErr = x.DiscardBody(maxDiscardedBody)
		if result.bodyErr != nil {
			c.Close()
		}
	}
	stop()
	p.Release(c, x)
	result.took = time.Since(start)
	result.read = counting.read.Load()
	if idle := p.popIdle("upstream"); idle != nil {
		result.reused = true
		idle.Close()
	}
	<-ended
	return result
}

// TestUpstreamThatSendsWithoutEnd exchanges a request with upstreams whose bytes
// never end. The exchange must read a bounded number of bytes, end by its
// deadline and close the connection, and an answer must not look complete before
// its end. The bubble of synctest fails if a goroutine stays behind.
func TestUpstreamThatSendsWithoutEnd(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nId: 1\r\n"
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
		other   = "HTTP/1.1 200 OK\r\nId: 9\r\n"
		// Buffers may hold some bytes more than what is taken from them.
		headBound = maxHeadBytes + bufferSizeBytes
		bodyBound = maxDiscardedBody + headBound
	)
	block := strings.Repeat("x", 1<<10)
	head := func(r *Request) *Request { r.Method = http.MethodHead; return r }
	long := func(r *Request) *Request {
		r.Method, r.Body, r.ContentLength = http.MethodPost, make([]byte, 8*concurrentWriteBytes), 8*concurrentWriteBytes
		return r
	}
	cases := []struct {
		name          string
		first, repeat string
		pause         time.Duration
		edit          func(*Request) *Request
		// complete is set if the answer itself has an end before the bytes that
		// follow it.
		complete bool
		bound    int64
	}{
		{name: "no line", repeat: block, bound: headBound},
		{name: "status line", first: "HTTP/1.1 200 ", repeat: block, bound: headBound},
		{name: "empty lines", repeat: "\r\n", bound: headBound},
		{name: "header lines", first: ok, repeat: "A: b\r\n", bound: headBound},
		{name: "header line", first: ok + "A: ", repeat: block, bound: headBound},
		{name: "header name", first: ok, repeat: block, bound: headBound},
		{name: "interim answers", repeat: "HTTP/1.1 100 Continue\r\n\r\n", bound: headBound},
		{name: "interim answers with long heads", repeat: "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n", bound: headBound},
		{name: "interim answers, slowly", repeat: "HTTP/1.1 100 Continue\r\n\r\n", pause: time.Millisecond, bound: headBound},
		{name: "answers to other requests", repeat: other + "Content-Length: 1\r\n\r\nx", bound: headBound},
		{name: "answers to other requests with long heads", repeat: other + "A: " + strings.Repeat(block, 30) + "\r\nContent-Length: 1\r\n\r\nx", bound: headBound},
		{name: "body of an answer to another request", first: other + "Transfer-Encoding: chunked\r\n\r\n", repeat: "400\r\n" + block + "\r\n", bound: bodyBound + bodyBound/64},
		{name: "head of an early answer", first: ok, repeat: "A: b\r\n", edit: long, bound: headBound},
		{name: "body of an early answer", first: ok + "\r\n", repeat: block, edit: long, bound: bodyBound},
		{name: "chunks", first: chunked, repeat: "400\r\n" + block + "\r\n", bound: bodyBound + bodyBound/64},
		{name: "chunk extensions", first: chunked, repeat: "1;" + block + "\r\nx\r\n", bound: headBound},
		{name: "chunk extension", first: chunked + "1;", repeat: block, bound: headBound},
		{name: "chunk size", first: chunked, repeat: "0", bound: headBound},
		{name: "trailers", first: chunked + "0\r\n", repeat: "A: b\r\n", bound: headBound},
		{name: "trailer", first: chunked + "0\r\nA: ", repeat: block, bound: headBound},
		{name: "body without length", first: ok + "\r\n", repeat: block, bound: bodyBound},
		{name: "bytes after the body", first: ok + "Content-Length: 2\r\n\r\nok", repeat: block, complete: true, bound: headBound},
		{name: "bytes after chunks", first: chunked + "2\r\nok\r\n0\r\n\r\n", repeat: block, complete: true, bound: headBound},
		{name: "bytes after 204", first: "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", repeat: block, complete: true, bound: headBound},
		{name: "bytes after 304", first: "HTTP/1.1 304 Not Modified\r\nId: 1\r\n\r\n", repeat: block, complete: true, bound: headBound},
		{name: "bytes after the answer to HEAD", first: ok + "Content-Length: 9\r\n\r\n", repeat: block, edit: head, complete: true, bound: headBound},
		{name: "status line, byte by byte", first: "HTTP/1.1 200 ", repeat: "x", pause: time.Millisecond, bound: headBound},
		{name: "header line, byte by byte", first: ok + "A: ", repeat: "x", pause: time.Millisecond, bound: headBound},
		{name: "body without length, byte by byte", first: ok + "\r\n", repeat: "x", pause: time.Millisecond, bound: headBound},
		{name: "chunks, one by one", first: chunked, repeat: "1\r\nx\r\n", pause: time.Millisecond, bound: headBound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newGet("1")
				if c.edit != nil {
					r = c.edit(r)
				}
				got := exchangeWith(endlessUpstream{c.first, c.repeat, c.pause}.serve, r)
				failed := got.headErr != nil || got.bodyErr != nil
				assert.Check(t, failed != c.complete, "head: %v, body: %v", got.headErr, got.bodyErr)
				assert.Check(t, got.read <= c.bound, "read %d bytes, bound is %d", got.read, c.bound)
				assert.Check(t, got.took <= exchangeTimeout, "took %v", got.took)
				assert.Check(t, !got.reused)
				for _, err := range []error{got.headErr, got.bodyErr} {
					assert.Check(t, err == nil || len(err.Error()) <= 2*maxErrorTextBytes, "%v", err)
				}
			})
		})
	}
}

// TestBytesReadAreBounded draws what an upstream sends: pieces of answers, in
// any order, the last ones without end. No exchange may read more than its bound
// of heads and the largest bodies that are discarded, nor keep a connection whose
// answer did not end.
func TestBytesReadAreBounded(t *testing.T) {
	pieces := []string{
		"HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 204 X\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 101 X\r\n",
		"Id: 1\r\n", "Id: 9\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n", "Content-Length: 99999999999\r\n",
		"Connection: close\r\n", "\r\n", "5\r\nhello\r\n", "hello", "0\r\n", "1;x\r\n", " ", "\x00", strings.Repeat("y", 5000),
	}
	const bound = maxHeadBytes + maxUnmatchedResponses*(maxDiscardedBody+maxDiscardedBody/2) + bufferSizeBytes
	proptest.Check(t, func(rt *rapid.T) {
		first := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(rt, "first"), "")
		repeat := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 4).Draw(rt, "repeat"), "")
		r := newGet("1")
		r.Method = rapid.SampledFrom([]string{http.MethodGet, http.MethodHead}).Draw(rt, "method")
		var got endlessResult
		synctest.Test(t, func(*testing.T) { got = exchangeWith(endlessUpstream{first: first, repeat: repeat}.serve, r) })
		assert.Check(rt, got.read <= bound, "read %d bytes, bound is %d", got.read, bound)
		assert.Check(rt, got.took <= exchangeTimeout, "took %v", got.took)
		assert.Check(rt, !got.reused || got.headErr == nil && got.bodyErr == nil)
	})
}
