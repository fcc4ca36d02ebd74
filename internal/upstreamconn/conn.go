// Package upstreamconn is an HTTP/1.1 client with a pool of connections from an entry
// VM to upstreams. Each connection carries one request at a time.
//
// It differs from the client of net/http because upstreams cannot be trusted: it
// never sends a request twice, it reports whether a byte of a request may have
// been sent, it skips responses that belong to another request, and it lets the
// caller choose the connection, so that a load probe and the request after it can
// use the same one.
package upstreamconn

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
	// bufferSizeBytes is the size of the read buffer and of the write buffer of a
	// connection.
	bufferSizeBytes = 4 << 10
	// concurrentWriteBytes is the length from which a body is written while the
	// response is read: an upstream may respond before it has read the whole body.
	concurrentWriteBytes = 32 << 10
	// maxUnmatchedResponses bounds the responses to other requests that are read
	// before the exchange fails.
	maxUnmatchedResponses = 3
	// maxDiscardedBody bounds the body of a response that is skipped.
	maxDiscardedBody = 1 << 20
	// idleMargin is how long before the idle timeout of the upstream a connection
	// is no longer used, since the upstream may be about to close it.
	idleMargin = 2 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// states no idle timeout. The shortest one that operators have stated is 10 s.
	defaultIdleTimeout = 8 * time.Second
)

// Conn is a connection to an upstream. It is not safe for concurrent use.
type Conn struct {
	Address string
	// Reused is set if the connection has carried an exchange before.
	Reused bool

	raw         net.Conn
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration
	idleSince   time.Time
	// unusable is set if the connection must not carry another exchange.
	unusable bool
	// onClose is called when the connection is closed, once.
	onClose func()
}

// Request is a request for an upstream.
type Request struct {
	Method string
	// Target is the path and query in the request line.
	Target string
	Host   string
	Header http.Header
	// Body is the body, or its first part if BodyRest is set; nil means none.
	Body []byte
	// BodyRest is the part of the body after Body; nil means none. ContentLength is
	// the length of both together, or -1 if it is not known.
	BodyRest      io.Reader
	ContentLength int64
	// MatchesResponse reports whether a response with this header belongs to the
	// request; nil accepts every response.
	MatchesResponse func(http.Header) bool
	// OnInterim is called with the status and header of each interim response
	// (status 1xx); nil means that nothing is called.
	OnInterim func(status int, h http.Header)
}

// Exchange is one request and its response.
type Exchange struct {
	// MayHaveRun is set once a byte of the request may have been sent.
	MayHaveRun bool
	// Response is the response. Its body must be read by the caller of Conn.Do.
	Response *http.Response

	// bodyWritten is closed when a body that is written while the response is read
	// has been written or has failed with writeErr. It is nil for other requests.
	bodyWritten chan struct{}
	writeErr    error
}

// ErrNoMatchingResponse means that only responses to other requests arrived.
var ErrNoMatchingResponse = errors.New("connection carried only responses to other requests")

// Do sends r and reads the header of its response. It sends nothing if ctx has
// ended already; use InterruptOnDone to interrupt a running exchange. After an
// error the connection is closed. The returned exchange is never nil.
func (c *Conn) Do(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{}
	if err := ctx.Err(); err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	if c.reader.Buffered() > 0 {
		// Bytes that arrived after the last response belong to no request.
		c.Close()
		return x, errors.New("upstream sent bytes before a request was sent")
	}
	x.MayHaveRun = true
	err := c.send(x, r)
	if err == nil || responseMayBeWaiting(err) {
		err = c.receive(x, r, err)
	}
	if err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	return x, nil
}

// responseMayBeWaiting reports whether a response may have arrived although
// writing the request failed with err.
func responseMayBeWaiting(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

func (c *Conn) send(x *Exchange, r *Request) error {
	c.writeHeader(r)
	if len(r.Body) < concurrentWriteBytes && r.BodyRest == nil {
		_, _ = c.writer.Write(r.Body)
		return c.writer.Flush()
	}
	x.bodyWritten = make(chan struct{})
	go func() {
		defer close(x.bodyWritten)
		x.writeErr = c.writeBody(r)
	}()
	return nil
}

func (c *Conn) writeHeader(r *Request) {
	w := c.writer
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	switch {
	case r.ContentLength < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.ContentLength > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

func (c *Conn) writeBody(r *Request) error {
	body := io.Reader(bytes.NewReader(r.Body))
	if r.BodyRest != nil {
		body = io.MultiReader(body, r.BodyRest)
	}
	if r.ContentLength >= 0 {
		n, err := io.Copy(c.writer, io.LimitReader(body, r.ContentLength))
		if err == nil && n < r.ContentLength {
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
	return chunks.finish()
}

// receive reads responses until one belongs to r. If none arrives, it returns
// sendErr, the error of writing the request, if that is not nil.
func (c *Conn) receive(x *Exchange, r *Request, sendErr error) error {
	sent := &http.Request{Method: r.Method}
	for range maxUnmatchedResponses {
		resp, err := c.readFinal(sent, r.OnInterim)
		if err != nil {
			if sendErr != nil {
				return sendErr
			}
			return err
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp.Header) {
			x.Response = resp
			c.updateReuse(resp)
			return nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBody); err != io.EOF {
			return ErrNoMatchingResponse
		}
		if resp.Close || !selfDelimited(resp) {
			return ErrNoMatchingResponse
		}
	}
	return ErrNoMatchingResponse
}

// readFinal reads a response. It skips interim ones (status 1xx), with which it
// calls onInterim unless that is nil.
func (c *Conn) readFinal(sent *http.Request, onInterim func(int, http.Header)) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, sent)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if onInterim != nil {
			onInterim(resp.StatusCode, resp.Header)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstream switched protocols without being asked to")
		}
	}
}

// updateReuse records whether and for how long the connection may be reused
// after the response.
func (c *Conn) updateReuse(resp *http.Response) {
	if resp.Close || !selfDelimited(resp) {
		c.unusable = true
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// selfDelimited reports whether the end of the response can be told without the
// end of the connection.
func selfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// fullySent reports whether the whole request has been written.
func (x *Exchange) fullySent() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case <-x.bodyWritten:
		return x.writeErr == nil
	default:
		return false
	}
}

// Close closes the connection at once.
func (c *Conn) Close() {
	c.unusable = true
	_ = c.raw.Close()
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
}

// InterruptOnDone makes reads and writes of the connection fail when ctx ends,
// until stop is called. A connection that was interrupted cannot be reused.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func()) {
	release := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	return func() {
		if release() {
			return
		}
		// The deadline has been set or is about to be set.
		c.unusable = true
	}
}
