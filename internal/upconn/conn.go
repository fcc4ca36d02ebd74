// Package upconn keeps the connections of an entry VM to upstreams and carries
// one request at a time over each.
//
// It differs from the client of net/http where upstreams are not to be
// trusted: it never sends a request twice, it tells whether a byte of a
// request may have left, it passes over answers that belong to another
// request, and it can ask an upstream for its load on the very connection that
// then carries the request.
package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// bufferBytes is the size of the buffers of a connection.
	bufferBytes = 4 << 10
	// longBody is the length from which on a body is written beside the reading
	// of the answer: an upstream may answer before it has read all of it.
	longBody = 32 << 10
	// strayAnswers bounds the answers to other requests that are passed over.
	strayAnswers = 3
	// maxDiscard bounds the body of an answer that is passed over.
	maxDiscard = 1 << 20
	// idleMargin is the time before an upstream's idle timeout at which a
	// connection is no longer used: the upstream may be about to close it.
	idleMargin = 2 * time.Second
	// defaultIdle is how long a connection is kept when the upstream states no
	// idle timeout; the shortest one stated by operators is 10 s.
	defaultIdle = 8 * time.Second
)

// Conn is a connection to an upstream. One goroutine uses it at a time.
type Conn struct {
	Address string
	// Reused is set when the connection has carried an exchange before.
	Reused bool

	raw       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	keepFor   time.Duration
	idleSince time.Time
	broken    bool
}

// Request is a request for an upstream.
type Request struct {
	Method string
	// Target is the path and query as they are sent.
	Target string
	Host   string
	Header http.Header
	// Body is the body; nil means none.
	Body []byte
	// Rest follows Body when the body did not fit in memory. Length is then the
	// length of both together, or -1 when it is not known.
	Rest   io.Reader
	Length int64
	// Belongs reports whether an answer with this header belongs to the request;
	// nil takes every answer.
	Belongs func(http.Header) bool
}

// Exchange is one request on its way.
type Exchange struct {
	// MayHaveRun is set once a byte of the request may have left.
	MayHaveRun bool
	// Response is the answer, whose body must be read by Conn's user.
	Response *http.Response

	// written is closed when a body that is written beside the reading of the
	// answer has ended; writeErr says how. It is nil for other requests.
	written  chan struct{}
	writeErr error
}

// ErrStray reports that only answers to other requests arrived.
var ErrStray = errors.New("answers to other requests")

// Do sends r and reads the head of its answer. ctx bounds the exchange up to
// the release of the connection. After an error the connection is closed.
func (c *Conn) Do(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{}
	if err := ctx.Err(); err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	if c.reader.Buffered() > 0 {
		// Bytes that arrived after the last answer belong to no request.
		c.Close()
		return x, errors.New("bytes without a request")
	}
	x.MayHaveRun = true
	err := c.send(x, r)
	if err == nil || answered(err) {
		err = c.receive(x, r, err)
	}
	if err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	return x, nil
}

// answered reports whether an answer may be waiting although the request could
// not be written to its end.
func answered(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

func (c *Conn) send(x *Exchange, r *Request) error {
	c.writeHead(r)
	if len(r.Body) < longBody && r.Rest == nil {
		_, _ = c.writer.Write(r.Body)
		return c.writer.Flush()
	}
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		x.writeErr = c.writeBody(r)
	}()
	return nil
}

func (c *Conn) writeHead(r *Request) {
	w := c.writer
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	switch {
	case r.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

func (c *Conn) writeBody(r *Request) error {
	body := io.Reader(bytes.NewReader(r.Body))
	if r.Rest != nil {
		body = io.MultiReader(body, r.Rest)
	}
	if r.Length >= 0 {
		n, err := io.Copy(c.writer, io.LimitReader(body, r.Length))
		if err == nil && n < r.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		return c.writer.Flush()
	}
	chunks := &chunkWriter{c.writer}
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	return chunks.end()
}

// receive reads answers until one that belongs to r. sendErr is the error of
// the writing, which counts if no answer comes.
func (c *Conn) receive(x *Exchange, r *Request, sendErr error) error {
	asked := &http.Request{Method: r.Method}
	for range strayAnswers {
		resp, err := c.readFinal(asked)
		if err != nil {
			if sendErr != nil {
				return sendErr
			}
			return err
		}
		if r.Belongs == nil || r.Belongs(resp.Header) {
			x.Response = resp
			c.note(resp)
			return nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDiscard); err != io.EOF {
			return ErrStray
		}
		if resp.Close || !framed(resp) {
			return ErrStray
		}
	}
	return ErrStray
}

// readFinal reads an answer and passes over interim ones.
func (c *Conn) readFinal(asked *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unasked change of protocol")
		}
	}
}

// note keeps what the answer says of the connection.
func (c *Conn) note(resp *http.Response) {
	if resp.Close || !framed(resp) {
		c.broken = true
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			c.keepFor = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// framed reports whether the end of the answer is known without the end of the
// connection.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// sentWhole reports whether the request has been written to its end.
func (x *Exchange) sentWhole() bool {
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	c.broken = true
	_ = c.raw.Close()
}

// Watch interrupts the connection when ctx ends, until the returned function
// is called.
func (c *Conn) Watch(ctx context.Context) (stop func()) {
	release := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if release() {
			return
		}
		// The deadline has been or will be set: the connection cannot be used.
		c.broken = true
	}
}
