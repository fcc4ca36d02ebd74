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
)

// newCopyingUpstream starts an upstream that answers the first request on each
// connection with the path of the request, and sends that answer once more when the
// next request has arrived, before the answer to it. frame writes an answer.
func newCopyingUpstream(t *testing.T, frame func(w io.Writer, id, body string)) string {
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
				reader := bufio.NewReader(conn)
				var last func()
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if last != nil {
						last()
					}
					id, path := r.Header.Get("Balsam-Request-Id"), r.URL.Path
					last = func() { frame(conn, id, path) }
					last()
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestLateCopyOfAnswerIsNotTakenForTheNext guards against a caller that gets the answer
// to another request: the upstream sends it a second time, late, on a connection that
// is in use again. The caller gets its own answer, or is told that it got none.
func TestLateCopyOfAnswerIsNotTakenForTheNext(t *testing.T) {
	for name, frame := range map[string]func(w io.Writer, id, body string){
		"with a length": func(w io.Writer, id, body string) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
		"without an ID": func(w io.Writer, _, body string) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"chunked": func(w io.Writer, id, body string) {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
		},
		"after an interim answer": func(w io.Writer, id, body string) {
			fmt.Fprintf(w, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
		"not modified": func(w io.Writer, id, body string) {
			fmt.Fprintf(w, "HTTP/1.1 304 Not Modified\r\nBalsam-Request-Id: %s\r\nEtag: %s\r\n\r\n", id, strings.TrimPrefix(body, "/s/"))
		},
	} {
		for _, method := range []string{"POST", "GET"} {
			t.Run(name+" "+method, func(t *testing.T) {
				fx := newFixture(t, newCopyingUpstream(t, frame))
				for i := range 6 {
					path := fmt.Sprint("/s/", i)
					resp, body := sendRequest(t, method, fx.front.URL+path, "", "")
					if resp.StatusCode == http.StatusNotModified {
						body = "/s/" + resp.Header.Get("Etag")
					}
					if resp.StatusCode != http.StatusBadGateway {
						assert.Equal(t, body, path, "status %d", resp.StatusCode)
					}
				}
			})
		}
	}
}

// TestBrokenOffAnswerIsNotKept breaks off the answers to requests with a key, small ones
// and streamed ones. The record that answers resends must not hold a part as the whole.
func TestBrokenOffAnswerIsNotKept(t *testing.T) {
	streamed := strings.Repeat("y", 2*maxBufferedResponseBytes)
	for name, response := range map[string]string{
		"length":             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"length, streamed":   fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(streamed)+1, streamed),
		"chunked":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"chunked, streamed":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(streamed), streamed),
		"neither nor length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, newRawUpstream(t, response))
			for range 2 {
				r, err := http.NewRequest(http.MethodPost, fx.front.URL+"/s/x", strings.NewReader("b"))
				assert.NilError(t, err)
				r.Header.Set("Idempotency-Key", "k")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				assert.Assert(t, err != nil || resp.StatusCode != http.StatusOK, "a part was passed on as complete")
			}
			assert.Assert(t, fx.claims.stateOf("k") != "finished")
		})
	}
}
