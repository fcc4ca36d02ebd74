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
	"os"
	"strconv"
	"strings"
	"sync"
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
	// maxHeadBytes bounds the status lines and headers that are read in one
	// exchange, including those of interim responses and of responses to other
	// requests.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses (status 1xx) that are read
	// in one exchange.
	maxInterimResponses = 16
	// maxErrorTextBytes bounds the text of an error that quotes what the upstream
	// has sent.
	maxErrorTextBytes = 256
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
	// Reused is set if the connection has carried an exchange before and may
	// carry another one.
	Reused bool
	// Carried is set if the connection has carried a request whose response may come
	// a second time.
	Carried bool

	raw net.Conn
	// limit is what reader reads from.
	limit       *limitedReader
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration
	idleSince   time.Time
	// interrupts holds the functions that stop the interrupts of the connection.
	interrupts []func()
	// unusable is set if the connection must not carry another exchange.
	unusable bool
	// detached is set if a late response is awaited on raw, which is closed after
	// that.
	detached bool
	// onClose is called when the connection is closed, once.
	onClose func()
	pool    *Pool
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
	// OnLate is called, in a goroutine of its own, with the status and header of the
	// response if that arrives within LateFor after the end of ctx by its deadline
	// has interrupted Do; nil means that the connection is closed at once.
	OnLate  func(status int, h http.Header)
	LateFor time.Duration
}

// Exchange is one request and its response.
type Exchange struct {
	// MayHaveRun is set once a byte of the request may have been sent.
	MayHaveRun bool
	// ResponseBegun is set if the exchange failed after a part of a response had
	// arrived, but not all of it.
	ResponseBegun bool
	// Response is the response. Its body must be read by the caller of Conn.Do.
	Response *http.Response
	// headLeft is the rest of maxHeadBytes, interim the number of interim responses
	// so far.
	headLeft int64
	interim  int

	// bodyWritten is closed when a body that is written while the response is read
	// has been written or has failed with writeErr. It is nil for other requests.
	bodyWritten chan struct{}
	writeErr    error
	// bodyErr is the error of reading the body of the request, set before bodyWritten is
	// closed.
	bodyErr error
}

// RequestBroken returns the error with which the body of the request broke off, nil if it
// did not.
func (x *Exchange) RequestBroken() error {
	if x.bodyWritten == nil {
		return nil
	}
	select {
	case <-x.bodyWritten:
		return x.bodyErr
	default:
		return nil
	}
}

// Errors of an upstream that sends too many bytes.
var (
	// ErrBytesBeforeRequest means that bytes arrived after the end of the last
	// response and before the next request was sent.
	ErrBytesBeforeRequest = errors.New("upstream sent bytes before a request was sent")
	// ErrHeadTooLong means that status lines and headers exceed maxHeadBytes.
	ErrHeadTooLong = errors.Errorf("upstream sent more than %d KiB of status lines and headers", maxHeadBytes>>10)
	// ErrBodyTooLong means that a body that is not forwarded has not ended within
	// its limit.
	ErrBodyTooLong = errors.New("response body is longer than what is read of it")
	// ErrTooManyInterim means that more than maxInterimResponses arrived before a
	// final response.
	ErrTooManyInterim = errors.Errorf("upstream sent more than %d interim responses", maxInterimResponses)
)

// ErrNoMatchingResponse means that only responses to other requests arrived.
var ErrNoMatchingResponse = errors.New("connection carried only responses to other requests")

// Do sends r and reads the header of its response. It sends nothing if ctx has
// ended already; use InterruptOnDone to interrupt a running exchange. After an
// error the connection is closed, or will be once a late response has been awaited.
// The returned exchange is never nil.
func (c *Conn) Do(ctx context.Context, r *Request) (*Exchange, error) {
	x := &Exchange{headLeft: maxHeadBytes}
	if err := ctx.Err(); err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	if err := c.checkQuiet(); err != nil {
		c.Close()
		return x, errors.Trace(err)
	}
	x.MayHaveRun = true
	err := c.send(x, r)
	if err == nil || responseMayBeWaiting(err) {
		err = c.receive(x, r, err)
	}
	if err != nil {
		if r.OnLate != nil && ctx.Err() == context.DeadlineExceeded && errors.Is(err, os.ErrDeadlineExceeded) && !x.ResponseBegun && x.fullySent() {
			c.awaitLate(r)
		}
		c.Close()
		return x, errors.Trace(boundText(err))
	}
	return x, nil
}

// awaitLate reads the response in a goroutine and closes the connection after that.
// It does nothing if another late response of the upstream is awaited. The connection
// no longer counts as open, so that it takes no place from requests.
func (c *Conn) awaitLate(r *Request) {
	if !c.pool.beginLate(c.Address) {
		return
	}
	late := &Conn{raw: c.raw, limit: c.limit, reader: c.reader}
	c.detached = true
	go func() {
		defer c.pool.endLate(c.Address)
		defer late.Close()
		x := &Exchange{headLeft: maxHeadBytes}
		if late.raw.SetDeadline(time.Now().Add(r.LateFor)) == nil && late.receive(x, r, nil) == nil {
			r.OnLate(x.Response.StatusCode, x.Response.Header)
		}
	}()
}

// boundText returns err, or an error with the start of its text if that is
// longer than maxErrorTextBytes. Errors of net/http quote the malformed line.
func boundText(err error) error {
	text := err.Error()
	if len(text) <= maxErrorTextBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxErrorTextBytes], "") + "...")
}

// checkQuiet returns ErrBytesBeforeRequest if bytes have arrived that belong to no
// request, and io.EOF if the upstream has closed a connection that was open
// before.
func (c *Conn) checkQuiet() error {
	if c.reader.Buffered() > 0 {
		return ErrBytesBeforeRequest
	}
	if !c.Reused {
		return nil
	}
	return readWithoutWaiting(c.raw)
}

// readWithoutWaiting returns nil if a read of the connection would wait,
// ErrBytesBeforeRequest if it gives bytes, and otherwise its error. It returns
// nil for connections without a file descriptor.
func readWithoutWaiting(conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	switch {
	case err != nil:
		return err
	case n > 0:
		return ErrBytesBeforeRequest
	case readErr == nil:
		return io.EOF
	case errors.Is(readErr, syscall.EAGAIN), errors.Is(readErr, syscall.EINTR):
		return nil
	}
	return readErr
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
		rest := &errorReader{r: r.BodyRest}
		x.writeErr = c.writeBody(r, rest)
		x.bodyErr = rest.err
		// Before the deadline, which ends Do: its caller asks for the error.
		close(x.bodyWritten)
		if rest.err != nil {
			// The upstream waits for a rest that does not come.
			_ = c.raw.SetDeadline(time.Unix(1, 0))
		}
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

// errorReader is a reader that keeps the first error of r other than io.EOF.
type errorReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (e *errorReader) Read(b []byte) (int, error) {
	n, err := e.r.Read(b)
	if err != nil && err != io.EOF && e.err == nil {
		e.err = err
	}
	return n, err
}

// writeBody writes the body; rest reads r.BodyRest.
func (c *Conn) writeBody(r *Request, rest io.Reader) error {
	body := io.Reader(bytes.NewReader(r.Body))
	if r.BodyRest != nil {
		body = io.MultiReader(body, rest)
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
		resp, err := c.readFinal(x, sent, r.OnInterim)
		if err != nil {
			if sendErr != nil {
				return sendErr
			}
			return err
		}
		if r.MatchesResponse == nil || r.MatchesResponse(resp.Header) {
			x.Response = resp
			if !selfDelimited(resp) && resp.Body != http.NoBody {
				resp.Body = &untilCloseBody{ReadCloser: resp.Body, conn: c.raw, x: x}
			}
			c.updateReuse(resp)
			return nil
		}
		if discard(resp.Body, maxDiscardedBody) != nil {
			x.ResponseBegun = true
			return ErrNoMatchingResponse
		}
		if resp.Close || !selfDelimited(resp) {
			return ErrNoMatchingResponse
		}
	}
	return ErrNoMatchingResponse
}

// readFinal reads the head of a response. It skips interim responses, with which it
// calls onInterim unless that is nil.
func (c *Conn) readFinal(x *Exchange, sent *http.Request, onInterim func(int, http.Header)) (*http.Response, error) {
	for {
		resp, err := c.readHead(x, sent)
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
		x.interim++
		if x.interim > maxInterimResponses {
			return nil, ErrTooManyInterim
		}
	}
}

// readHead reads the status line and the header of a response and subtracts
// their length from x.headLeft. It fails with ErrHeadTooLong if nothing is left.
func (c *Conn) readHead(x *Exchange, sent *http.Request) (*http.Response, error) {
	c.limit.left = x.headLeft - int64(c.reader.Buffered())
	// It fails only if nothing is buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.limit.record(buffered)
	resp, err := http.ReadResponse(c.reader, sent)
	raw := c.limit.stopRecording()
	x.ResponseBegun = err != nil && c.limit.left < x.headLeft
	x.headLeft = c.limit.left + int64(c.reader.Buffered())
	c.limit.left = unlimited
	if x.headLeft <= 0 {
		return nil, ErrHeadTooLong
	}
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, raw); err != nil {
		x.ResponseBegun = true
		return nil, err
	}
	return resp, nil
}

// DiscardBody reads the rest of the body of the response. It returns
// ErrBodyTooLong after limit bytes without an end, and the error of the
// connection; the connection must then be closed.
func (x *Exchange) DiscardBody(limit int64) error {
	return discard(x.Response.Body, limit)
}

func discard(body io.Reader, limit int64) error {
	_, err := io.CopyN(io.Discard, body, limit+1)
	if err == io.EOF {
		return nil
	}
	if err == nil {
		return ErrBodyTooLong
	}
	return boundText(err)
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

// PreventReuse makes this exchange the last one of the connection.
func (c *Conn) PreventReuse() { c.unusable = true }

// Close closes the connection at once.
func (c *Conn) Close() {
	c.unusable = true
	if !c.detached {
		_ = c.raw.Close()
	}
	if c.onClose != nil {
		c.onClose()
		c.onClose = nil
	}
}

// InterruptOnDone makes reads and writes of the connection fail when ctx ends,
// until stop is called or the connection is prepared for reuse. A connection that
// was interrupted cannot be reused. Further calls of stop do nothing.
func (c *Conn) InterruptOnDone(ctx context.Context) (stop func()) {
	release := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	var once sync.Once
	stop = func() {
		once.Do(func() {
			if !release() {
				// The deadline has been set or is about to be set.
				c.unusable = true
			}
		})
	}
	c.interrupts = append(c.interrupts, stop)
	return stop
}

// endInterrupts stops all interrupts of the connection.
func (c *Conn) endInterrupts() {
	for _, stop := range c.interrupts {
		stop()
	}
	c.interrupts = c.interrupts[:0]
}
