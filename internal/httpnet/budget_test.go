package httpnet

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
)

// listenWith starts a server whose limits are those that limits holds.
func listenWith(t *testing.T, h http.HandlerFunc, limits *atomic.Pointer[Limits]) *Server {
	t.Helper()
	return listen(t, h, Limits{MaxHeaderBytes: 64 << 10, Budget: NewBudget(64<<20, 4096), Current: func() Limits { return *limits.Load() }})
}

// TestLimitsInForceBindOpenConnections guards against limits that bind only connections
// which are opened after a change.
func TestLimitsInForceBindOpenConnections(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{MaxHeaderBytes: 16 << 10, ReadHeaderTimeout: ioTimeout, IdleTimeout: ioTimeout})
	s := listenWith(t, respondOK, &limits)
	head := "X: " + strings.Repeat("x", 30<<10) + "\r\n"
	kept, other := dial(t, s), dial(t, s)
	assert.Equal(t, requestStatus(kept, ""), http.StatusOK)
	assert.Equal(t, requestStatus(other, head), http.StatusRequestHeaderFieldsTooLarge)
	limits.Store(&Limits{MaxHeaderBytes: 32 << 10, ReadHeaderTimeout: ioTimeout, IdleTimeout: ioTimeout})
	assert.Equal(t, requestStatus(kept, head), http.StatusOK)
	// The shorter time binds from the next head or the next wait on.
	limits.Store(&Limits{MaxHeaderBytes: 32 << 10, ReadHeaderTimeout: 50 * time.Millisecond, IdleTimeout: 400 * time.Millisecond})
	assert.Equal(t, requestStatus(kept, ""), http.StatusOK)
	time.Sleep(150 * time.Millisecond)
	assert.Equal(t, requestStatus(kept, ""), http.StatusOK, "an idle connection ended with the time for heads")
	start := time.Now()
	assertCloses(t, kept)
	assert.Assert(t, time.Since(start) > 200*time.Millisecond, "an idle connection was closed after %v", time.Since(start))
	slow := dial(t, s)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	assertCloses(t, slow)
}

func assertCloses(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := io.Copy(io.Discard, conn)
	timeout, ok := err.(net.Error)
	assert.Assert(t, !ok || !timeout.Timeout(), "the server did not close the connection: %v", err)
}

// TestBodiesAreChargedUntilTheirRequestsEnd reads bodies of both kinds at once while the
// budget is short, and checks that all charges are returned.
func TestBodiesAreChargedUntilTheirRequestsEnd(t *testing.T) {
	b := NewBudget(64<<20, 4096)
	h := LimitBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		assert.Check(t, b.Stats().Bytes >= n)
	}), 4<<20, 2)
	s, err := Listen("127.0.0.1:0", h, Limits{Budget: b})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	done := make(chan int, 64)
	for i := range cap(done) {
		go func() {
			body := io.Reader(bytes.NewReader(make([]byte, 3<<20+i)))
			if i%2 == 0 {
				// Hides the length.
				body = io.MultiReader(body)
			}
			resp, err := NewHTTP1Client(nil).Post("http://"+s.Address(), "", body)
			if err != nil {
				done <- 0
				return
			}
			_ = resp.Body.Close()
			done <- resp.StatusCode
		}()
	}
	counts := map[int]int{}
	for range cap(done) {
		counts[<-done]++
	}
	assert.Assert(t, counts[http.StatusOK] > 0 && counts[http.StatusBadRequest] == 0, "%v", counts)
	// An idle connection has its own charge, and so has the listener.
	for end := time.Now().Add(ioTimeout); ; time.Sleep(time.Millisecond) {
		stats := b.Stats()
		if stats.Bytes == int64(stats.Connections)*20<<10 {
			break
		}
		assert.Assert(t, time.Now().Before(end), "%+v", stats)
	}
	resp, err := http.Post("http://"+s.Address(), "", io.MultiReader(bytes.NewReader(make([]byte, 5<<20))))
	if err == nil {
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
		_ = resp.Body.Close()
	}
}

// TestHTTP2ConnectionsAreCharged opens connections over HTTP/2 for which there is no room in
// the end, and checks that requests on the others are served and that all charges end.
func TestHTTP2ConnectionsAreCharged(t *testing.T) {
	b := NewBudget(64<<20, 0)
	s := listen(t, respondOK, Limits{Budget: b})
	served := 0
	clients := make([]*http.Client, 40)
	for i := range clients {
		clients[i] = NewClient(nil)
		resp, err := clients[i].Get("http://" + s.Address())
		if err != nil {
			continue
		}
		served++
		_ = resp.Body.Close()
		stats := b.Stats()
		assert.Assert(t, stats.Bytes <= stats.Limits.LargeBytes+int64(stats.Connections)*clientbudget.ConnectionBytes, "%+v", stats)
	}
	assert.Equal(t, served, len(clients), "idle connections give way")
	for _, c := range clients {
		c.CloseIdleConnections()
	}
	for end := time.Now().Add(ioTimeout); b.Stats().Bytes > clientbudget.ConnectionBytes; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%+v", b.Stats())
	}
}

// TestStalledBodyGivesWayToAConnection fills all connections with bodies that stop. The next
// client must be served, and those that are dropped must be told that their requests have
// not run.
func TestStalledBodyGivesWayToAConnection(t *testing.T) {
	b := NewBudget(64<<20, 4)
	s := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r.Body, ClientBody(r), r.ContentLength, 1<<10, 1); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}, Limits{Budget: b})
	stalled := make([]net.Conn, b.Stats().Limits.Connections)
	for i := range stalled {
		stalled[i] = dial(t, s)
		_, err := io.WriteString(stalled[i], "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n12345678")
		assert.NilError(t, err)
	}
	assert.Equal(t, requestStatus(dial(t, s), ""), http.StatusOK)
	refused := 0
	for _, conn := range stalled {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			refused++
		}
	}
	assert.Assert(t, refused > 0)
}
