package httpnet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// ioTimeout is the deadline of reads and writes on test connections.
const ioTimeout = 20 * time.Second

func listen(t *testing.T, h http.HandlerFunc, limits Limits) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", h, limits)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(ioTimeout)))
	return conn
}

func respondOK(http.ResponseWriter, *http.Request) {}

// requestStatus sends a request on conn and returns the status code of the
// response, or 0 if there is none.
func requestStatus(conn net.Conn, header string) int {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+header+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func TestHeadersOverLimitAreRejected(t *testing.T) {
	const limit, slack = 2 << 10, 4 << 10
	s := listen(t, respondOK, Limits{MaxHeaderBytes: limit})
	cases := []struct {
		name  string
		bytes int
		want  int
	}{
		{"within", limit / 2, http.StatusOK},
		{"over", limit + 2*slack, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := requestStatus(dial(t, s), "X: "+strings.Repeat("x", tc.bytes)+"\r\n")
			assert.Equal(t, got, tc.want)
		})
	}
}

func TestSlowHeaderClosesConnection(t *testing.T) {
	s := listen(t, respondOK, Limits{ReadHeaderTimeout: 50 * time.Millisecond})
	conn := dial(t, s)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n")
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, conn)
	var timeout net.Error
	assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the server did not close the connection: %v", err)
}

// A connection over the limit must be served only after another one has closed.
func TestConnectionOverLimitWaitsForClose(t *testing.T) {
	s := listen(t, respondOK, Limits{MaxConnections: 1})
	first := dial(t, s)
	assert.Equal(t, requestStatus(first, ""), http.StatusOK)
	second := dial(t, s)
	served := make(chan int, 1)
	go func() { served <- requestStatus(second, "") }()
	select {
	case <-served:
		t.Fatal("a connection over the limit was served")
	case <-time.After(100 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	assert.Equal(t, <-served, http.StatusOK)
}

func TestCloseAtConnectionLimitIsNotAFailure(t *testing.T) {
	s := listen(t, respondOK, Limits{MaxConnections: 1})
	assert.Equal(t, requestStatus(dial(t, s), ""), http.StatusOK)
	assert.NilError(t, s.Close())
	select {
	case err := <-s.Failed():
		t.Fatalf("Failed reports %v after Close", err)
	default:
	}
}

// startBlockedCall starts a call whose handler blocks until release is closed.
func startBlockedCall(t *testing.T) (s *Server, release chan struct{}, status chan int) {
	t.Helper()
	entered := make(chan struct{})
	release, status = make(chan struct{}), make(chan int, 1)
	s = listen(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}, Limits{})
	client := NewClient(nil)
	go func() {
		resp, err := client.Get("http://" + s.Address())
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-entered
	return s, release, status
}

func TestShutdownWaitsForCalls(t *testing.T) {
	s, release, status := startBlockedCall(t)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case err := <-ended:
		t.Fatalf("Shutdown returned with a call in flight: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	assert.NilError(t, <-ended)
	assert.Equal(t, <-status, http.StatusOK)
}

func TestShutdownClosesConnectionsWhenContextEnds(t *testing.T) {
	s, release, status := startBlockedCall(t)
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, s.Shutdown(ctx), context.Canceled)
	assert.Equal(t, <-status, 0)
}

// TestSlowBodyEndsAtTheTimeLimit sends bodies that never end to a handler that reads
// its body and to one that leaves it. Both must end, and the connection with them.
func TestSlowBodyEndsAtTheTimeLimit(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"reads the body": func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		},
		"leaves the body": respondOK,
	}
	for name, h := range handlers {
		t.Run(name, func(t *testing.T) {
			s := listen(t, LimitReadTime(h, 100*time.Millisecond).ServeHTTP, Limits{})
			conn := dial(t, s)
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
			assert.NilError(t, err)
			go func() {
				for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
					_, err = io.WriteString(conn, "1\r\nx\r\n")
				}
			}()
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the server did not close the connection: %v", err)
		})
	}
}

// TestReadTimeLimitDoesNotCancelNextRequest sends a second request on a connection
// after the time limit of the first has passed.
func TestReadTimeLimitDoesNotCancelNextRequest(t *testing.T) {
	const limit = 50 * time.Millisecond
	s := listen(t, LimitReadTime(http.HandlerFunc(respondOK), limit).ServeHTTP, Limits{})
	conn := dial(t, s)
	assert.Equal(t, requestStatus(conn, ""), http.StatusOK)
	time.Sleep(2 * limit)
	assert.Equal(t, requestStatus(conn, ""), http.StatusOK)
}
