package httpnet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shutDown begins a shutdown of the server and returns a channel with its result.
func shutDown(s *Server) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	return ended
}

// TestRequestOnNewConnectionIsAnsweredDuringShutdown sends the first request of a
// connection after the shutdown has begun. The server has accepted the connection and
// reads the request, so it must answer it.
func TestRequestOnNewConnectionIsAnsweredDuringShutdown(t *testing.T) {
	s := listen(t, respondOK, Limits{})
	conn := dial(t, s)
	// The server has accepted the first connection once it answers on the second.
	assert.Equal(t, requestStatus(dial(t, s), "Connection: close\r\n"), http.StatusOK)
	ended := shutDown(s)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, requestStatus(conn, "Connection: close\r\n"), http.StatusOK)
	assert.NilError(t, <-ended)
}

// TestPartialHeadIsCompletedDuringShutdown sends the first part of a request head before
// the shutdown and the rest after it has begun, on a connection that is no longer new and
// on one that was idle. The server reads the whole request, so it must answer it.
func TestPartialHeadIsCompletedDuringShutdown(t *testing.T) {
	s := listen(t, respondOK, Limits{})
	first, kept := dial(t, s), dial(t, s)
	assert.Equal(t, requestStatus(kept, ""), http.StatusOK)
	for _, conn := range []net.Conn{first, kept} {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
		assert.NilError(t, err)
	}
	time.Sleep(newConnGrace + 50*time.Millisecond)
	ended := shutDown(s)
	time.Sleep(50 * time.Millisecond)
	for _, conn := range []net.Conn{first, kept} {
		_, err := io.WriteString(conn, "Connection: close\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
	assert.NilError(t, <-ended)
}

// TestUnusedConnectionsEndWithShutdown guards against a shutdown that waits for callers
// that have connected and send nothing.
func TestUnusedConnectionsEndWithShutdown(t *testing.T) {
	s := listen(t, respondOK, Limits{})
	unused, idle := dial(t, s), dial(t, s)
	assert.Equal(t, requestStatus(idle, ""), http.StatusOK)
	assert.NilError(t, <-shutDown(s))
	for _, conn := range []net.Conn{unused, idle} {
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
}

// TestRequestThatRunsIsAnsweredDuringShutdown lets callers use kept connections all the
// time until the shutdown has closed them. Each request that the server runs must be
// answered: an unread one may be lost with its connection.
func TestRequestThatRunsIsAnsweredDuringShutdown(t *testing.T) {
	var ran, answered atomic.Int64
	s := listen(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) }, Limits{})
	var callers sync.WaitGroup
	for range 64 {
		conn := dial(t, s)
		callers.Go(func() {
			for requestStatus(conn, "") == http.StatusOK {
				answered.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, <-shutDown(s))
	callers.Wait()
	assert.Assert(t, ran.Load() > 64)
	assert.Equal(t, answered.Load(), ran.Load())
}

// TestListenerThatStopsKnowsItsBacklog guards against a listener that is closed, and
// resets the connections in its backlog, because its process did not run for longer than
// backlogWait.
func TestListenerThatStopsKnowsItsBacklog(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	l := newLimitedListener(tcp, 8)
	defer func() { _ = l.Close() }()
	assert.Assert(t, !l.hasBacklog())
	const callers = 3
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
	}
	assert.Assert(t, l.hasBacklog())
	l.stop()
	for range callers {
		conn, err := l.Accept()
		assert.NilError(t, err)
		_ = conn.Close()
	}
	assert.Assert(t, !l.hasBacklog())
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
