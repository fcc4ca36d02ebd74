package upconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scripted is an upstream that answers each request on a connection with the
// next text of its script; after the last one it closes the connection.
func scripted(t *testing.T, script ...string) (*Pool, string, <-chan *http.Request) {
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
			go play(conn, script, seen)
		}
	}()
	return NewPool(nil), l.Addr().String(), seen
}

func play(conn net.Conn, script []string, seen chan<- *http.Request) {
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

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a?b=%20c", Host: "host.example", Header: http.Header{"Id": {id}},
		Belongs: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func open(t *testing.T, p *Pool, address string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), address)
	assert.NilError(t, err)
	return c
}

func TestExchangeAndReuse(t *testing.T) {
	p, address, seen := scripted(t, answer("1", "one"), answer("2", "two"))
	opened := 0
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		opened++
		return dialNetwork(ctx, address)
	}
	for i, id := range []string{"1", "2"} {
		c := open(t, p, address)
		assert.Equal(t, c.Reused, i > 0)
		x, err := c.Do(context.Background(), get(id))
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

// TestLongBodyKeepsItsConnection asks more than once whether a connection may be
// used again after a body that was written beside the reading of the answer.
func TestLongBodyKeepsItsConnection(t *testing.T) {
	p, address, _ := scripted(t, answer("1", "one"))
	c := open(t, p, address)
	r := get("1")
	r.Method, r.Body, r.Length = http.MethodPost, make([]byte, longBody), longBody
	x, err := c.Do(context.Background(), r)
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	<-x.written
	assert.Assert(t, p.Reusable(c, x))
	p.Release(c, x)
	assert.Equal(t, open(t, p, address), c)
}

// TestLateExtraAnswer replays an upstream that answers the first request
// twice, the second time where the answer to the next request is due.
func TestLateExtraAnswer(t *testing.T) {
	p, address, _ := scripted(t, answer("1", "one"), answer("1", "again")+answer("2", "two"))
	c := open(t, p, address)
	x, err := c.Do(context.Background(), get("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	p.Release(c, x)
	c = open(t, p, address)
	x, err = c.Do(context.Background(), get("2"))
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "two")
}

// TestExtraAnswerAtOnce replays one that comes right behind the first: the
// connection is not used again.
func TestExtraAnswerAtOnce(t *testing.T) {
	p, address, _ := scripted(t, answer("1", "one")+answer("1", "again"))
	c := open(t, p, address)
	x, err := c.Do(context.Background(), get("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Assert(t, !p.Reusable(c, x))
}

func TestOnlyStrayAnswers(t *testing.T) {
	p, address, _ := scripted(t, answer("9", "x")+answer("9", "x")+answer("9", "x")+answer("9", "x"))
	x, err := open(t, p, address).Do(context.Background(), get("1"))
	assert.ErrorIs(t, err, ErrStray)
	assert.Assert(t, x.MayHaveRun)
}

func TestBrokenAnswers(t *testing.T) {
	cases := []struct{ name, text string }{
		{"nothing", ""},
		{"no answer in the protocol", "\x00\x01garbage\r\n\r\n"},
		{"head cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-"},
		{"body cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nfive."},
		{"chunk cut off", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n"},
	}
	for _, c := range cases {
		p, address, _ := scripted(t, c.text)
		x, err := open(t, p, address).Do(context.Background(), get("1"))
		if err == nil {
			_, err = io.ReadAll(x.Response.Body)
		}
		assert.Assert(t, err != nil, c.name)
		assert.Assert(t, x.MayHaveRun, c.name)
	}
}

// TestAnswerWithoutLength replays one that ends with its connection.
func TestAnswerWithoutLength(t *testing.T) {
	p, address, _ := scripted(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end")
	c := open(t, p, address)
	x, err := c.Do(context.Background(), get("1"))
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "to the end")
	assert.Assert(t, !p.Reusable(c, x))
}

// TestResetIsNoEnd replays a reset in place of the end of the connection.
func TestResetIsNoEnd(t *testing.T) {
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
	c := open(t, NewPool(nil), l.Addr().String())
	x, err := c.Do(context.Background(), get("1"))
	assert.NilError(t, err)
	_, err = io.ReadFull(x.Response.Body, make([]byte, 4))
	assert.NilError(t, err)
	close(half)
	_, err = io.ReadAll(x.Response.Body)
	assert.Assert(t, err != nil)
}

// TestEarlyAnswer replays an upstream that answers before it has read a long
// body: the answer counts, the connection carries nothing else.
func TestEarlyAnswer(t *testing.T) {
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
	c := open(t, p, l.Addr().String())
	r := get("1")
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	r.Length = int64(len(r.Body))
	x, err := c.Do(context.Background(), r)
	assert.NilError(t, err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "no")
	assert.Assert(t, !p.Reusable(c, x))
}

func TestBodies(t *testing.T) {
	p, address, seen := scripted(t, answer("1", "ok"))
	cases := []struct {
		name string
		edit func(*Request)
		want string
	}{
		{"short", func(r *Request) { r.Body, r.Length = []byte("short"), 5 }, "short"},
		{"long", func(r *Request) {
			r.Body = bytes.Repeat([]byte("x"), 2*longBody)
			r.Length = int64(len(r.Body))
		}, strings.Repeat("x", 2*longBody)},
		{"rest", func(r *Request) { r.Body, r.Rest, r.Length = []byte("he"), strings.NewReader("ad"), 4 }, "head"},
		{"chunks", func(r *Request) { r.Body, r.Rest, r.Length = []byte("he"), strings.NewReader("ad"), -1 }, "head"},
	}
	for _, c := range cases {
		r := get("1")
		r.Method = http.MethodPost
		c.edit(r)
		x, err := open(t, p, address).Do(context.Background(), r)
		assert.NilError(t, err, c.name)
		assert.Equal(t, x.Response.StatusCode, http.StatusOK, c.name)
		got, err := io.ReadAll((<-seen).Body)
		assert.NilError(t, err)
		assert.Equal(t, string(got), c.want, c.name)
	}
}

func TestWatchInterrupts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	p := NewPool(nil)
	c := open(t, p, l.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	stop := c.Watch(ctx)
	x, err := c.Do(ctx, get("1"))
	stop()
	assert.Assert(t, err != nil)
	assert.Assert(t, x.MayHaveRun)
	assert.Assert(t, !p.Reusable(c, x))
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	p, address, seen := scripted(t, answer("1", "x"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x, err := open(t, p, address).Do(ctx, get("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !x.MayHaveRun)
	assert.Equal(t, len(seen), 0)
}

func TestIdleConnectionsEndBeforeTheUpstreamClosesThem(t *testing.T) {
	p, address, _ := scripted(t, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n", answer("1", "x"))
	c := open(t, p, address)
	x, err := c.Do(context.Background(), get("1"))
	assert.NilError(t, err)
	p.Release(c, x)
	assert.Assert(t, !open(t, p, address).Reused)
}

func TestSweep(t *testing.T) {
	p, address, _ := scripted(t, answer("1", "x"))
	c := open(t, p, address)
	p.Release(c, nil)
	p.Sweep(func(string) bool { return true })
	assert.Assert(t, open(t, p, address).Reused)
	p.Release(c, nil)
	p.Sweep(func(string) bool { return false })
	assert.Assert(t, !open(t, p, address).Reused)
}
