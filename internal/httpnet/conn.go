package httpnet

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
)

const (
	// readBufferBytes is the size of the read buffer of a connection. A longer head is
	// held in more memory.
	readBufferBytes = 4 << 10
	// headSlackBytes is the number of bytes that are read beyond the limit of a head, as
	// net/http does: a part of the body may have been read with it.
	headSlackBytes = 4 << 10
	// refusalDelay is the time for which a refused head is not closed, so that unread bytes
	// do not reset the connection before the client has read the refusal.
	refusalDelay = 500 * time.Millisecond
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

// connState is what a connection is used for.
type connState int32

const (
	// stateHead is the state in which the head of a request is awaited or read.
	stateHead connState = iota
	stateRunning
	// stateIdle is the state after the answer to a request.
	stateIdle
	// stateHTTP2 is the state of a connection of HTTP/2, which has limits of its own.
	stateHTTP2
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// http2Preface is the start of a connection of HTTP/2.
var http2Preface = []byte("PRI ")

// limitedConn releases its slot of the listener when it is closed, and applies limits that
// change while it is open.
type limitedConn struct {
	net.Conn
	// closeRead ends reads once the bytes that have arrived are read.
	closeRead func() error
	// hasRead is set once a byte has been read since the connection was opened or became
	// idle.
	hasRead atomic.Bool
	// begun is set once a byte has been read, and http2 if the connection then began with
	// the preface of HTTP/2.
	begun, http2 atomic.Bool
	once         sync.Once
	release      func()

	budget *Budget
	client *clientbudget.Client
	// current returns the limits in force; nil means those of the server.
	current func() Limits

	mu    sync.Mutex
	state connState
	// headStart is the time since which a head is awaited, headBytes what has been read of
	// it, and largeHead is set while it is charged as a large one.
	headStart time.Time
	headBytes int
	largeHead bool
	// sendingBody is set while the body of a request over HTTP/1 is awaited, writing while
	// an answer is written.
	sendingBody, writing bool
	// streams is the number of requests that run over HTTP/2, awaited the number of those
	// whose clients are waited for.
	streams, awaited int
}

// unwatched reports whether no limits apply to the connection that the server does not
// apply itself.
func (c *limitedConn) unwatched() bool { return c.budget == nil && c.current == nil }

// watch lets the budget watch the connection, which has just been accepted.
func (c *limitedConn) watch(b *Budget, client *clientbudget.Client, tcp *net.TCPConn) {
	c.budget, c.client = b, client
	// It fails only if the connection is gone.
	_ = tcp.SetReadBuffer(SocketBufferBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	client.Drop = func() { c.drop(tcp) }
	b.ledger.Enter(b.now(), client, clientbudget.SendingHead)
}

// drop closes the connection. An idle one still answers a request that has arrived, a request
// whose body is awaited is refused, and one whose client has just gone on is still answered.
// For others, what the kernel holds of answers is discarded.
func (c *limitedConn) drop(tcp *net.TCPConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == stateIdle || c.state == stateHTTP2 && c.streams == 0 && !c.writing:
		// An error means that the connection is closed already.
		_ = c.closeRead()
		return
	case c.state == stateRunning && c.sendingBody:
		// Makes the pending read of the body fail.
		_ = c.Conn.SetReadDeadline(past)
		return
	case c.state == stateRunning && !c.writing:
		// endRequest closes it.
		return
	}
	_ = tcp.SetLinger(0)
	_ = tcp.Close()
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	watched := !c.unwatched()
	if watched {
		var err error
		if b, err = c.beforeRead(b); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		first := !c.begun.Swap(true)
		if first && bytes.HasPrefix(b[:n], http2Preface) {
			c.http2.Store(true)
			if c.budget != nil && !c.chargeHTTP2() {
				return 0, io.EOF
			}
		}
		c.hasRead.Store(true)
		if watched {
			c.afterRead(b[:n])
		}
	}
	return n, err
}

// chargeHTTP2 charges a connection that begins to speak HTTP/2. It reports false if there is
// no room for it.
func (c *limitedConn) chargeHTTP2() bool {
	c.enter(clientbudget.Running)
	return c.budget.reserve(context.Background(), c.client, clientbudget.HTTP2Bytes, clientbudget.Large)
}

// beforeRead returns the part of b that may be read into. It fails if the head of a request
// is too long.
func (c *limitedConn) beforeRead(b []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateHead {
		return b, nil
	}
	if c.current != nil {
		left := c.current().MaxHeaderBytes + headSlackBytes - c.headBytes
		if left <= 0 {
			c.mu.Unlock()
			c.refuseHead()
			c.mu.Lock()
			return nil, io.EOF
		}
		b = b[:min(len(b), left)]
	}
	if c.budget != nil && c.headBytes >= readBufferBytes && !c.largeHead {
		if !c.budget.charge(c.client, clientbudget.LargeHeadBytes, clientbudget.Small) {
			c.budget.refuse()
			return nil, io.EOF
		}
		c.largeHead = true
	}
	return b, nil
}

// refuseHead answers a head that is too long.
func (c *limitedConn) refuseHead() {
	// An error means that the client is gone.
	_, _ = io.WriteString(c.Conn, headTooLarge)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.Sleep(refusalDelay)
}

func (c *limitedConn) afterRead(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateIdle {
		c.beginHead()
	}
	if c.state != stateHead {
		return
	}
	if c.headBytes == 0 && bytes.HasPrefix(b, http2Preface) {
		c.state = stateHTTP2
		c.enter(clientbudget.Idle)
		return
	}
	c.headBytes += len(b)
}

// beginHead starts the wait for the head of the next request. c.mu must be held.
func (c *limitedConn) beginHead() {
	c.state, c.headStart, c.headBytes = stateHead, time.Now(), 0
	c.enter(clientbudget.SendingHead)
}

// beginRequest is called when the head of a request has been read.
func (c *limitedConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateHTTP2 {
		c.streams++
		c.enterHTTP2()
		return
	}
	c.state, c.sendingBody = stateRunning, false
	c.enter(clientbudget.Running)
}

// awaitClient is called when a request begins to wait for its client.
func (c *limitedConn) awaitClient(p clientbudget.Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case stateRunning:
		c.sendingBody = p != clientbudget.ReadingAnswer
		c.enter(p)
	case stateHTTP2:
		c.awaited++
		c.enterHTTP2()
	}
}

// clientMoved is called when n bytes have moved after that.
func (c *limitedConn) clientMoved(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case stateRunning:
		c.sendingBody = false
		c.move(n)
	case stateHTTP2:
		c.awaited--
		c.move(n)
		c.enterHTTP2()
	}
}

// enterHTTP2 enters the phase of a connection of HTTP/2. Its client is waited for if it does
// not read, or if all requests wait for it. c.mu must be held.
func (c *limitedConn) enterHTTP2() {
	switch {
	case c.writing:
		c.enter(clientbudget.ReadingAnswer)
	case c.streams == 0:
		c.enter(clientbudget.Idle)
	case c.awaited >= c.streams:
		c.enter(clientbudget.SendingBody)
	default:
		c.enter(clientbudget.Running)
	}
}

// endStream is called when the handler of a request has returned. The end of other
// requests than those of HTTP/2 follows with endRequest.
func (c *limitedConn) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateHTTP2 {
		return
	}
	c.streams--
	c.enterHTTP2()
}

// endRequest is called when a request has been answered and the next one is awaited.
func (c *limitedConn) endRequest() {
	if c.unwatched() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.largeHead {
		c.largeHead = false
		c.budget.release(c.client, clientbudget.LargeHeadBytes)
	}
	if c.state == stateHTTP2 {
		return
	}
	c.state = stateIdle
	c.enter(clientbudget.Idle)
	if c.budget != nil && c.budget.isDropped(c.client) {
		// The client went on just before it was dropped.
		_ = c.closeRead()
	}
}

func (c *limitedConn) enter(p clientbudget.Phase) {
	if c.budget != nil {
		c.budget.enter(c.client, p)
	}
}

// move records that n bytes have moved and that the client is no longer waited for.
func (c *limitedConn) move(n int) {
	if c.budget != nil {
		c.budget.moved(c.client, n)
	}
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	if c.budget == nil || !c.beginWrite() {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b)
	c.endWrite(n)
	return n, err
}

// beginWrite reports whether the client is waited for to read what is written now.
func (c *limitedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case stateRunning:
		c.sendingBody, c.writing = false, true
		c.enter(clientbudget.ReadingAnswer)
	case stateHTTP2:
		c.writing = true
		c.enterHTTP2()
	default:
		return false
	}
	return true
}

func (c *limitedConn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.move(n)
	if c.state == stateHTTP2 {
		c.enterHTTP2()
	}
}

// SetReadDeadline implements net.Conn. While a head or the next request is awaited, the
// limits in force determine the deadline rather than those with which the server was
// started.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if c.current == nil {
		return c.Conn.SetReadDeadline(t)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case t.IsZero() && c.state == stateIdle:
		// The server has seen the first bytes of the next request.
		c.beginHead()
	case t.Before(now):
		// No deadline, or one that ends a pending read.
	case c.state == stateHead:
		t = c.headStart.Add(c.current().ReadHeaderTimeout)
	case c.state == stateIdle:
		t = now.Add(c.current().IdleTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
