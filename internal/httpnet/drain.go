package httpnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// drainPollInterval is the time between two looks at the connections that are
	// still open during a shutdown.
	drainPollInterval = 5 * time.Millisecond
	// newConnGrace is the time for which a connection that has just been accepted may
	// wait for its first byte during a shutdown. The request of a caller that has
	// connected arrives one network delay later.
	newConnGrace = 500 * time.Millisecond
	// partialHeadMargin is the time before the end of a shutdown at which the rest of a
	// request head is no longer awaited, so that a request that is read is also
	// answered.
	partialHeadMargin = 300 * time.Millisecond
)

// maxPartialWait bounds the wait for the rest of request heads in a shutdown that has no
// end of its own.
const maxPartialWait = 5 * time.Second

// openConns are the open HTTP/1 connections of a server. http.Server.Shutdown drops each
// request that is read after it has begun, and the connection with it: before, drain ends
// the connections in such a way that all requests that are read are answered. It is safe
// for concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns map[*limitedConn]*openConn
}

// openConn is the state of a connection.
type openConn struct {
	state http.ConnState
	since time.Time
	// readClosed is set once no further request is awaited on the connection.
	readClosed bool
}

func newOpenConns() *openConns { return &openConns{conns: make(map[*limitedConn]*openConn)} }

// record is the ConnState hook of the server.
func (o *openConns) record(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*limitedConn)
	if !ok {
		// HTTP/2, whose connections tell callers which requests are not processed.
		return
	}
	if state == http.StateIdle {
		c.endRequest()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(o.conns, c)
	case http.StateNew:
		o.conns[c] = &openConn{state: state, since: time.Now()}
	default:
		if state == http.StateIdle {
			c.hasRead.Store(false)
		}
		if known := o.conns[c]; known != nil {
			known.state = state
		}
	}
}

// drain ends the connections as their requests have been answered. It returns when none
// is left but those of HTTP/2, or when ctx ends. The server must not accept any more.
func (o *openConns) drain(ctx context.Context) {
	partialUntil := time.Now().Add(maxPartialWait)
	if end, ok := ctx.Deadline(); ok {
		partialUntil = end.Add(-partialHeadMargin)
	}
	for o.closeUnused(time.Now(), partialUntil) {
		if !wait.For(ctx, drainPollInterval) {
			return
		}
	}
}

// closeUnused ends the reads of connections that carry no request, and reports whether
// any connections are left to wait for. A request whose first byte has arrived by then is
// still read and answered if its head is complete by partialUntil; only one that crosses
// the end of its connection is not.
func (o *openConns) closeUnused(now, partialUntil time.Time) (left bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, known := range o.conns {
		if c.http2.Load() {
			continue
		}
		left = true
		unused := false
		switch partial := c.hasRead.Load(); {
		case known.state != http.StateNew && known.state != http.StateIdle:
		case partial:
			unused = now.After(partialUntil)
		case known.state == http.StateNew:
			unused = now.Sub(known.since) > newConnGrace
		default:
			unused = true
		}
		if unused && !known.readClosed {
			known.readClosed = true
			// An error means that the connection is closed already.
			_ = c.closeRead()
		}
	}
	return left
}
