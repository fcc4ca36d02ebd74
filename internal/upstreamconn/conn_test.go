package upstreamconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// startScriptedUpstream starts an upstream that answers each request on a
// connection with the next text of the script and closes the connection after the
// last one. It returns a pool, the address and the requests as they arrive.
func startScriptedUpstream(t *testing.T, script ...string) (*Pool, string, <-chan *http.Request) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	seen := make(chan *http.Request, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, script, seen)
		}
	}()
	return NewPool(nil), l.Addr().String(), seen
}

func serveScript(conn net.Conn, script []string, seen chan<- *http.Request) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range script {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		seen <- r
		_, _ = io.WriteString(conn, text)
	}
}

func newGet(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a?b=%20c", Host: "host.example", Header: http.Header{"Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// itoa formats n, which must lie between 0 and 99, with two digits.
func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func getConn(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address, 0)
	assert.NilError(t, err)
	return c
}

func TestConnectionIsReusedForNextRequest(t *testing.T) {
	p, address, seen := startScriptedUpstream(t, response("1", "one"), response("2", "two"))
	opened := 0
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		opened++
		return dialTCP(ctx, address)
	}
	for i, id := range []string{"1", "2"} {
		c := getConn(t, p, address)
		assert.Equal(t, c.Reused, i > 0)
		x, err := c.Do(context.Background(), newGet(id))
		assert.NilError(t, err)
		body, err := io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), []string{"one", "two"}[i])
		r := <-seen
		assert.Equal(t, r.RequestURI, "/a?b=%20c")
		assert.Equal(t, r.Host, "host.example")
		p.Release(c, x)
	}
	assert.Equal(t, opened, 1)
}

// TestConnectionIsReusableAfterLongBody calls PrepareReuse more than once after a
// body that was written while the response was read. In an earlier version the
// first call consumed the signal that the body was written, so that the second
// one closed the connection.
func TestConnectionIsReusableAfterLongBody(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("1", "one"))
	c := getConn(t, p, address)
	r := newGet("1")
	r.Method, r.Body, r.ContentLength = http.MethodPost, make([]byte, concurrentWriteBytes), concurrentWriteBytes
	x, err := c.Do(context.Background(), r)
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	<-x.bodyWritten
	assert.Assert(t, p.PrepareReuse(c, x))
	p.Release(c, x)
	assert.Equal(t, getConn(t, p, address), c)
}

// TestDuplicateOfEarlierResponseIsSkipped connects to an upstream that answers the
// first request twice, the second time before the response to the next request.
func TestDuplicateOfEarlierResponseIsSkipped(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("1", "one"), response("1", "again")+response("2", "two"))
	c := getConn(t, p, address)
	x, err := c.Do(context.Background(), newGet("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	p.Release(c, x)
	c = getConn(t, p, address)
	x, err = c.Do(context.Background(), newGet("2"))
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "two")
}

// TestBufferedExtraResponsePreventsReuse connects to an upstream that sends a
// second response directly after the first. The connection must not be reused.
func TestBufferedExtraResponsePreventsReuse(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("1", "one")+response("1", "again"))
	c := getConn(t, p, address)
	x, err := c.Do(context.Background(), newGet("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Assert(t, !p.PrepareReuse(c, x))
}

// TestBytesAfterResponsePreventNextRequest connects to upstreams that send bytes, or
// close the connection, after the connection has become idle. The next request
// must not be sent on it.
func TestBytesAfterResponsePreventNextRequest(t *testing.T) {
	cases := []struct {
		name  string
		after func(net.Conn)
		want  error
	}{
		{"bytes", func(c net.Conn) { _, _ = io.WriteString(c, response("2", "forged")) }, ErrBytesBeforeRequest},
		{"end", func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }, io.EOF},
	}
	for _, tc := range cases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		idle, arrived := make(chan struct{}), make(chan struct{})
		second := make(chan error, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(conn, response("1", "one"))
			<-idle
			tc.after(conn)
			close(arrived)
			_, err = http.ReadRequest(reader)
			second <- err
		}()
		p := NewPool(nil)
		c := getConn(t, p, l.Addr().String())
		x, err := c.Do(t.Context(), newGet("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		p.Release(c, x)
		close(idle)
		<-arrived
		c = getConn(t, p, l.Addr().String())
		assert.Assert(t, c.Reused, tc.name)
		x, err = c.Do(t.Context(), newGet("2"))
		assert.ErrorIs(t, err, tc.want, tc.name)
		assert.Assert(t, !x.MayHaveRun, tc.name)
		assert.Assert(t, <-second != nil, "%s: a request was sent", tc.name)
	}
}

func TestRequestFailsWhenNoResponseMatches(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("9", "x")+response("9", "x")+response("9", "x")+response("9", "x"))
	x, err := getConn(t, p, address).Do(context.Background(), newGet("1"))
	assert.ErrorIs(t, err, ErrNoMatchingResponse)
	assert.Assert(t, x.MayHaveRun)
}

func TestMalformedOrTruncatedResponseFails(t *testing.T) {
	cases := []struct{ name, text string }{
		{"nothing", ""},
		{"not HTTP", "\x00\x01garbage\r\n\r\n"},
		{"head cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-"},
		{"body cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nfive."},
		{"chunk cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n"},
	}
	for _, c := range cases {
		p, address, _ := startScriptedUpstream(t, c.text)
		x, err := getConn(t, p, address).Do(context.Background(), newGet("1"))
		if err == nil {
			_, err = io.ReadAll(x.Response.Body)
		}
		assert.Assert(t, err != nil, c.name)
		assert.Assert(t, x.MayHaveRun, c.name)
	}
}

// TestResponseWithoutLengthPreventsReuse reads a response whose end is marked only
// by the upstream closing the connection.
func TestResponseWithoutLengthPreventsReuse(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end")
	c := getConn(t, p, address)
	x, err := c.Do(context.Background(), newGet("1"))
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "to the end")
	assert.Assert(t, !p.PrepareReuse(c, x))
}

// TestResetDuringResponseBodyIsAnError resets the connection during a response
// whose end is marked only by the upstream closing the connection. The part read
// so far must not be taken for the whole response.
func TestResetDuringResponseBodyIsAnError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	half := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		<-half
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	c := getConn(t, NewPool(nil), l.Addr().String())
	x, err := c.Do(context.Background(), newGet("1"))
	assert.NilError(t, err)
	_, err = io.ReadFull(x.Response.Body, make([]byte, 4))
	assert.NilError(t, err)
	close(half)
	_, err = io.ReadAll(x.Response.Body)
	assert.Assert(t, err != nil)
}

// TestEarlyResponseIsReadAndPreventsReuse connects to an upstream that responds
// before it has read a long body. The response must be returned and the connection
// not reused.
func TestEarlyResponseIsReadAndPreventsReuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReaderSize(conn, 16).ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 2\r\n\r\nno")
	}()
	p := NewPool(nil)
	c := getConn(t, p, l.Addr().String())
	r := newGet("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	r.ContentLength = int64(len(r.Body))
	x, err := c.Do(context.Background(), r)
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "no")
	assert.Assert(t, !p.PrepareReuse(c, x))
}

func TestRequestBodiesArriveUnchanged(t *testing.T) {
	p, address, seen := startScriptedUpstream(t, response("1", "ok"))
	cases := []struct {
		name string
		edit func(*Request)
		want string
	}{
		{"short", func(r *Request) { r.Body, r.ContentLength = []byte("short"), 5 }, "short"},
		{"long", func(r *Request) {
			r.Body = bytes.Repeat([]byte("x"), 2*concurrentWriteBytes)
			r.ContentLength = int64(len(r.Body))
		}, strings.Repeat("x", 2*concurrentWriteBytes)},
		{"rest", func(r *Request) { r.Body, r.BodyRest, r.ContentLength = []byte("he"), strings.NewReader("ad"), 4 }, "head"},
		{"chunks", func(r *Request) { r.Body, r.BodyRest, r.ContentLength = []byte("he"), strings.NewReader("ad"), -1 }, "head"},
	}
	for _, c := range cases {
		r := newGet("1")
		r.Method = http.MethodPost
		c.edit(r)
		x, err := getConn(t, p, address).Do(context.Background(), r)
		assert.NilError(t, err, c.name)
		assert.Equal(t, x.Response.StatusCode, http.StatusOK, c.name)
		got, err := io.ReadAll((<-seen).Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), c.want, c.name)
	}
}

func TestInterruptOnDoneStopsExchange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p := NewPool(nil)
	c := getConn(t, p, l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	stop := c.InterruptOnDone(ctx)
	x, err := c.Do(ctx, newGet("1"))
	stop()
	assert.Assert(t, err != nil)
	assert.Assert(t, x.MayHaveRun)
	assert.Assert(t, !p.PrepareReuse(c, x))
}

// TestContextOfEarlierExchangeDoesNotInterruptNext ends the context of an exchange
// after its connection has gone to the next one, as when a response is still being
// written to its caller. The next exchange must not fail with a timeout.
func TestContextOfEarlierExchangeDoesNotInterruptNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		go serveScript(far, []string{response("1", "one"), response("2", "two")}, make(chan *http.Request, 2))
		p := NewPool(func(context.Context, string) (net.Conn, error) { return near, nil })
		first, cancel := context.WithCancel(t.Context())
		c := getConn(t, p, "upstream")
		stop := c.InterruptOnDone(first)
		x, err := c.Do(first, newGet("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		p.Release(c, x)

		next := getConn(t, p, "upstream")
		assert.Equal(t, next, c)
		defer next.InterruptOnDone(t.Context())()
		cancel()
		synctest.Wait()
		stop()
		x, err = next.Do(t.Context(), newGet("2"))
		assert.NilError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		assert.Assert(t, p.PrepareReuse(next, x))
		next.Close()
	})
}

func TestRequestIsNotSentAfterContextEnds(t *testing.T) {
	p, address, seen := startScriptedUpstream(t, response("1", "x"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x, err := getConn(t, p, address).Do(ctx, newGet("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !x.MayHaveRun)
	assert.Equal(t, len(seen), 0)
}

func TestIdleConnectionIsDroppedBeforeUpstreamTimeout(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", response("1", "x"))
	c := getConn(t, p, address)
	x, err := c.Do(context.Background(), newGet("1"))
	assert.NilError(t, err)
	p.Release(c, x)
	assert.Assert(t, !getConn(t, p, address).Reused)
}

func TestCloseStaleClosesConnectionsNotKept(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("1", "x"))
	c := getConn(t, p, address)
	p.Release(c, nil)
	p.CloseStale(func(string) bool { return true })
	assert.Assert(t, getConn(t, p, address).Reused)
	p.Release(c, nil)
	p.CloseStale(func(string) bool { return false })
	assert.Assert(t, !getConn(t, p, address).Reused)
}

func TestOpenConnectionsAreBoundedByAddress(t *testing.T) {
	p, address, _ := startScriptedUpstream(t, response("1", "one"))
	first := getConn(t, p, address)
	second, err := p.Open(t.Context(), address, 2)
	assert.NilError(t, err)
	_, err = p.Open(t.Context(), address, 2)
	assert.ErrorIs(t, err, ErrTooManyConnections)
	p.PutIdle(first)
	_, err = p.Open(t.Context(), address, 2)
	assert.ErrorIs(t, err, ErrTooManyConnections, "idle connections are open")
	reused, err := p.Get(t.Context(), address, 2)
	assert.NilError(t, err)
	reused.Close()
	reused.Close()
	third, err := p.Open(t.Context(), address, 2)
	assert.NilError(t, err)
	_, err = p.Open(t.Context(), address, 2)
	assert.ErrorIs(t, err, ErrTooManyConnections, "a connection that is closed twice counts once")
	second.Close()
	third.Close()
	assert.Equal(t, len(p.open), 0)

	_, err = NewPool(nil).Open(t.Context(), "127.0.0.1:0", 1)
	assert.Assert(t, err != nil)
}

// TestLateResponseIsReadAfterDeadline lets a response arrive after Do has returned:
// its head must be passed on if the deadline has passed, not if the caller has
// cancelled, and the connection must be closed in any case.
func TestLateResponseIsReadAfterDeadline(t *testing.T) {
	const wait, lateFor = 20 * time.Millisecond, 100 * time.Millisecond
	cases := []struct {
		name     string
		response string
		after    time.Duration
		cancel   bool
		want     int
	}{
		{"in time for what it says", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 50 * time.Millisecond, false, 503},
		{"too late", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 200 * time.Millisecond, false, 0},
		{"cancelled", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 50 * time.Millisecond, true, 0},
		{"after an interim response", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", 50 * time.Millisecond, false, 200},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				closed := make(chan struct{})
				go func() {
					defer close(closed)
					_, _ = http.ReadRequest(bufio.NewReader(far))
					time.Sleep(tc.after)
					_, _ = io.WriteString(far, tc.response)
					_, _ = io.Copy(io.Discard, far)
					_ = far.Close()
				}()
				pool := NewPool(func(context.Context, string) (net.Conn, error) { return near, nil })
				conn, err := pool.Open(t.Context(), "u1", 1)
				assert.NilError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), wait)
				if tc.cancel {
					time.AfterFunc(wait/2, cancel)
				}
				defer cancel()
				defer conn.InterruptOnDone(ctx)()
				got := 0
				_, err = conn.Do(ctx, &Request{Method: "GET", Target: "/", LateFor: lateFor, OnLate: func(status int, _ http.Header) { got = status }})
				assert.Assert(t, err != nil)
				assert.Equal(t, len(pool.open), 0)
				conn.Close()
				<-closed
				synctest.Wait()
				assert.Equal(t, got, tc.want)
				assert.Equal(t, len(pool.late), 0)
			})
		})
	}
}

// slowDeadlineConn delays the return of SetDeadline, whose effect comes first: a reader
// that it wakes runs before the caller of SetDeadline.
type slowDeadlineConn struct{ net.Conn }

func (c slowDeadlineConn) SetDeadline(t time.Time) error {
	err := c.Conn.SetDeadline(t)
	time.Sleep(100 * time.Millisecond)
	return err
}

// TestBrokenRequestIsReportedWithTheError guards against an exchange that ends because the
// body of its request broke off, but does not say so yet.
func TestBrokenRequestIsReportedWithTheError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}()
	p := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return slowDeadlineConn{conn}, err
	})
	c := getConn(t, p, l.Addr().String())
	broken := errors.New("the caller has left")
	rest := io.MultiReader(strings.NewReader(strings.Repeat("x", concurrentWriteBytes)), iotest.ErrReader(broken))
	x, err := c.Do(context.Background(), &Request{Method: http.MethodPost, Target: "/", Host: "host.example", Header: http.Header{}, BodyRest: rest, ContentLength: -1})
	assert.ErrorContains(t, err, "timeout")
	assert.ErrorIs(t, x.RequestBroken(), broken)
}
