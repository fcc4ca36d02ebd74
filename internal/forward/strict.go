package forward

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/upstreamconn"
)

// maxStatus is the highest status of an HTTP response.
const maxStatus = 599

var errTwoFramings = errors.New("upstream sent a response with both a length and chunks")

// checkResponseHead returns an error if HTTP does not allow the response, which
// http.Transport has accepted.
func checkResponseHead(resp *http.Response) *fault.Error {
	switch {
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return fault.New(fault.UpstreamBroken, "response with the invalid status %d", resp.StatusCode)
	case resp.StatusCode == http.StatusNoContent && (resp.Header.Get("Content-Length") != "" && resp.Header.Get("Content-Length") != "0" || len(resp.TransferEncoding) > 0):
		return fault.New(fault.UpstreamBroken, "response with status 204 has a body")
	}
	return nil
}

// dialStrict returns a DialFunc whose connections fail if a response has both a length and
// chunks: http.Transport ignores the length.
func dialStrict(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &strictConn{Conn: conn}, nil
	}
}

// strictConn is a connection that checks the heads of responses. It carries one request at
// a time.
type strictConn struct {
	net.Conn

	mu sync.Mutex
	// awaited is set from the choice of the connection for a request until the head of its
	// response has been read. head holds what has been read of it.
	awaited bool
	head    []byte
}

// expectHead is called when the connection has been chosen for a request.
func (c *strictConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.head = true, c.head[:0]
}

var headEnds = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n")}

// Read implements net.Conn.
func (c *strictConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || !c.awaited {
		return n, err
	}
	c.head = append(c.head, b[:n]...)
	for {
		end := headEnd(c.head)
		if end < 0 {
			// http.Transport refuses a longer head.
			c.awaited = len(c.head) <= maxResponseHeaderBytes
			return n, err
		}
		if upstreamconn.HasField(c.head, "content-length") && upstreamconn.HasField(c.head, "transfer-encoding") {
			return 0, errTwoFramings
		}
		if !isInterim(c.head) {
			c.awaited, c.head = false, c.head[:0]
			return n, err
		}
		c.head = c.head[end:]
	}
}

// headEnd returns the length of the head at the start of b, or -1 if it has no end.
func headEnd(b []byte) int {
	first := -1
	for _, end := range headEnds {
		if i := bytes.Index(b, end); i >= 0 && (first < 0 || i+len(end) < first) {
			first = i + len(end)
		}
	}
	return first
}

// isInterim reports whether the head is that of a response with a status 1xx.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	return len(status) > 3 && status[0] == '1' && status[3] == ' '
}
