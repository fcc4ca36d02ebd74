package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// newResettingUpstream starts a server that calls answer with each connection on which the head
// of a request has arrived, and closes it after that.
func newResettingUpstream(t *testing.T, answer func(conn *net.TCPConn, id string)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r.Header.Get(headerRequestID))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestMalformedAnswerNeverReachesCaller lets an upstream send heads that no HTTP answer
// has. The caller must not get them as an answer.
func TestMalformedAnswerNeverReachesCaller(t *testing.T) {
	const length, chunks = "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"
	for _, tc := range []struct{ name, status, head, body string }{
		{"status 000", "000 X", length, "whole"},
		{"status 99", "99 X", length, "whole"},
		{"status 099", "099 X", length, "whole"},
		{"status 600", "600 X", length, "whole"},
		{"status 1000", "1000 X", length, "whole"},
		{"204 with a length", "204 X", length, "whole"},
		{"204 with chunks", "204 X", chunks, "5\r\nwhole\r\n0\r\n\r\n"},
		{"two lengths", "200 X", length + "Content-Length: 4\r\n", "whole"},
		{"length and chunks", "200 X", length + chunks, "5\r\nwhole\r\n0\r\n\r\n"},
		{"chunks and length after an interim answer", "103 X\r\n\r\nHTTP/1.1 200 X", chunks + "A: b\r\ncontent-length:5\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
		{"chunk that ends early", "200 X", chunks, "5\r\nwho\r\n0\r\n\r\n"},
		{"chunks without the last one", "200 X", chunks, "5\r\nwhole\r\n"},
		{"interim answer alone", "103 X", "", ""},
		{"switched protocols", "101 X", "Upgrade: x\r\nConnection: Upgrade\r\n", "whole"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := newResettingUpstream(t, func(conn *net.TCPConn, id string) {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n%s", tc.status, headerRequestID, id, tc.head, tc.body)
			})
			fx := newFixture(t, address)
			r, err := http.NewRequest(http.MethodPost, fx.front.URL+"/s/x", strings.NewReader("b"))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
		})
	}
}

// TestResetDuringUploadIsNoEnd sends a long upload to an upstream that answers at once
// without a length, sends a part and resets the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for range 20 {
		address := newResettingUpstream(t, func(conn *net.TCPConn, id string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", headerRequestID, id)
			_ = conn.SetLinger(0)
		})
		fx := newFixture(t, address)
		resp, err := http.Post(fx.front.URL+"/s/x", "", strings.NewReader(strings.Repeat("x", 1<<20)))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assert.Assert(t, err != nil || resp.StatusCode >= http.StatusBadRequest, "status %d", resp.StatusCode)
	}
}
