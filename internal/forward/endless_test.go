package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// endlessCap is where a stand-in stops that sends without end, so that a test that
// fails does not use up the memory of the machine.
const endlessCap = 32 << 20

// maxTaken bounds what may have been taken from it: the buffers of the operating
// system hold up to 10 MiB.
const maxTaken = 16 << 20

// newEndlessUpstream starts a server that answers each connection with first and
// then with repeat, with a pause before each, until the connection is closed. It
// returns the address and the numbers of bytes sent on each connection.
func newEndlessUpstream(t *testing.T, first, repeat string, pause time.Duration) (string, <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	taken := make(chan int, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				sent, err := io.WriteString(conn, first)
				for err == nil && sent < endlessCap {
					time.Sleep(pause)
					var n int
					n, err = io.WriteString(conn, repeat)
					sent += n
				}
				taken <- sent
			}()
		}
	}()
	return l.Addr().String(), taken
}

// TestAnswersWithoutEndBecomeBadGateway sends requests to upstreams whose bytes never
// end. The caller must get an honest refusal, with a short text.
func TestAnswersWithoutEndBecomeBadGateway(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	block := strings.Repeat("x", 1<<10)
	cases := []struct{ name, first, repeat string }{
		{"no line", "", block},
		{"status line", "HTTP/1.1 200 ", block},
		{"long line that is no status line", strings.Repeat("x", 60<<10) + "\r\n", block},
		{"header lines", ok, "A: b\r\n"},
		{"header line", ok + "A: ", block},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		{"body without length", ok + "\r\n", block},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, taken := newEndlessUpstream(t, tc.first, tc.repeat, 0)
			fx := newFixture(t, address)
			resp, body := sendRequest(t, "POST", fx.front.URL+"/s/x", "", "b")
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
			assert.Assert(t, len(body) < 4<<10, "error response has %d bytes", len(body))
			n := <-taken
			assert.Assert(t, n < maxTaken, "%d bytes taken", n)
		})
	}
}

// TestShedWithoutEndIsRetriedElsewhere sends a request to an upstream that refuses
// it without running it, with a body that trickles without end.
func TestShedWithoutEndIsRetriedElsewhere(t *testing.T) {
	shed := "HTTP/1.1 503 X\r\n" + fault.HeaderRun + ": " + string(fault.NotRun) + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	address, taken := newEndlessUpstream(t, shed, "1\r\nx\r\n", 5*time.Millisecond)
	good := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	fx := newFixture(t, address, good)
	resp, body := sendRequest(t, "POST", fx.front.URL+"/s/x", "", "b")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "whole")
	n := <-taken
	// 4 KiB, the most that is read of such a body, would arrive after 20 s.
	assert.Assert(t, n < len(shed)+maxDrainBytes, "%d bytes taken", n)
}

// TestInterimAnswerAfterTheEndIsDropped lets a transport report an interim answer
// after its attempt has failed. It must not touch the answer to the caller, which
// may be being written at the time.
func TestInterimAnswerAfterTheEndIsDropped(t *testing.T) {
	fx := newFakes("unused")
	var late *httptrace.ClientTrace
	f := newForwarder(fx)
	f.opts.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
		late = httptrace.ContextClientTrace(r.Context())
		late.GotConn(httptrace.GotConnInfo{})
		return nil, io.ErrUnexpectedEOF
	})
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest("POST", "/s/x", strings.NewReader("b")))
	assert.Equal(t, w.Code, http.StatusBadGateway)
	assert.NilError(t, late.Got1xxResponse(http.StatusEarlyHints, textproto.MIMEHeader{"Link": {"late"}}))
	assert.Equal(t, w.Header().Get("Link"), "")
}

// roundTripper is a function that implements http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestPartOfAnswerIsNotWholeToHTTP10Caller sends a request of HTTP/1.0, in which the end
// of the connection ends an answer without a length. One without end must not be
// forwarded in part.
func TestPartOfAnswerIsNotWholeToHTTP10Caller(t *testing.T) {
	chunk := "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"
	address, taken := newEndlessUpstream(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk, 0)
	fx := newFixture(t, address)
	caller, err := net.Dial("tcp", fx.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "POST /s/x HTTP/1.0\r\nHost: x\r\nContent-Length: 1\r\n\r\nb")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	n := <-taken
	assert.Assert(t, n < maxTaken, "%d bytes taken", n)
}
