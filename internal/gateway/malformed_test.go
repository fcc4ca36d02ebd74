package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// TestMalformedAnswerNeverReachesCaller lets an upstream send heads that no HTTP answer
// has. The caller gets an error of the gateway, at once.
func TestMalformedAnswerNeverReachesCaller(t *testing.T) {
	const length, chunks = "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"
	for _, tc := range []struct{ name, status, head, body string }{
		{"status 000", "000 X", length, "whole"},
		{"status 000 without a reason", "000", length, "whole"},
		{"status 99", "99 X", length, "whole"},
		{"status 099", "099 X", length, "whole"},
		{"status 600", "600 X", length, "whole"},
		{"status 999", "999 X", length, "whole"},
		{"status 1000", "1000 X", length, "whole"},
		{"negative status", "-20 X", length, "whole"},
		{"204 with a length", "204 X", length, "whole"},
		{"204 with chunks", "204 X", chunks, "5\r\nwhole\r\n0\r\n\r\n"},
		{"two lengths", "200 X", length + "Content-Length: 4\r\n", "whole"},
		{"list of lengths", "200 X", "Content-Length: 5, 4\r\n", "whole"},
		{"negative length", "200 X", "Content-Length: -5\r\n", "whole"},
		{"length and chunks", "200 X", length + chunks, "5\r\nwhole\r\n0\r\n\r\n"},
		{"chunks and length", "200 X", chunks + "A: b\r\ncontent-length:5\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
		{"chunk that ends early", "200 X", chunks, "5\r\nwho\r\n0\r\n\r\n"},
		{"chunk longer than its length", "200 X", chunks, "3\r\nwhole\r\n0\r\n\r\n"},
		{"chunks without the last one", "200 X", chunks, "5\r\nwhole\r\n"},
		{"interim answer alone", "103 X", "", ""},
		{"switched protocols", "101 X", "Upgrade: x\r\nConnection: Upgrade\r\n", "whole"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
				fmt.Fprintf(w, "HTTP/1.1 %s\r\nBalsam-Request-Id: %s\r\n%s%s\r\n%s", tc.status, r.Header.Get("Balsam-Request-Id"), servedByHeader, tc.head, tc.body)
				// The connection stays open, unless its end belongs to the case.
				return tc.status != "103 X" && !strings.HasSuffix(tc.name, "last one")
			})
			status, body, _ := startForwarder(t, newConfig(s)).call(t, http.MethodPost, "/unsafe/x", "2000")
			assert.Equal(t, status, http.StatusBadGateway, body)
			assert.Equal(t, len(s.requests()), 1)
		})
	}
}

// startUploadUpstream starts an upstream that calls answer with the connection once it has
// read the head of a request. The body is not read.
func startUploadUpstream(t *testing.T, answer func(*net.TCPConn, *http.Request)) *fakeUpstream {
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
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if r.URL.Path != "/health" {
						answer(conn.(*net.TCPConn), r)
						return
					}
					fmt.Fprint(conn, healthHead+"Balsam-Upstream: u1\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	return &fakeUpstream{id: "u1", address: l.Addr().String()}
}

// TestResetDuringUploadIsNoEnd guards against a part of an answer that is taken for all of
// it: the upstream answers a long upload at once without a length, sends a part and resets
// the connection. The goroutine that writes the upload may be the one that sees the reset;
// the one that reads the answer then sees an end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const runs = 60
	complete := 0
	for run := range runs {
		s := startUploadUpstream(t, func(conn *net.TCPConn, r *http.Request) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\n%s\r\npart", r.Header.Get("Balsam-Request-Id"), servedByHeader)
			time.Sleep(time.Duration(run%6) * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		fx := startForwarder(t, newConfig(s))
		resp, err := upload(fx, make([]byte, 8<<20))
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d answers", runs)
}

// TestCleanEndDuringUploadIsAnEnd guards against a complete answer that is refused: the
// upstream answers an upload early without a length, and ends its side of the connection.
func TestCleanEndDuringUploadIsAnEnd(t *testing.T) {
	s := startUploadUpstream(t, func(conn *net.TCPConn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\n%s\r\nwhole", r.Header.Get("Balsam-Request-Id"), servedByHeader)
		_ = conn.CloseWrite()
		time.Sleep(200 * time.Millisecond)
	})
	resp, err := upload(startForwarder(t, newConfig(s)), make([]byte, 8<<20))
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, string(body), "whole")
}

func upload(fx *fixture, body []byte) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+"/unsafe/x", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	r.Host, r.Header = "host.example", http.Header{"Balsam-Request-Id": {"r1"}, "Balsam-Timeout-Ms": {"5000"}}
	return http.DefaultClient.Do(r)
}

// TestUploadOverLimitEndsItsAttempt guards against an upload in chunks that turns out to be
// over the limit after a part of it has been sent, and then keeps its connection to the
// upstream, which would count as failed, until the deadline.
func TestUploadOverLimitEndsItsAttempt(t *testing.T) {
	s := startUploadUpstream(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.Copy(io.Discard, conn) })
	cfg := newConfig(s)
	cfg.Routes[1].TimeoutMs = 60_000
	cfg.CallerLimits = &catalogpb.CallerLimits{MaxBodyBytes: 2 * maxBufferedBody}
	fx := startForwarder(t, cfg)
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+"/unsafe/x", io.MultiReader(strings.NewReader(strings.Repeat("x", 3*maxBufferedBody))))
	assert.NilError(t, err)
	r.Host, r.Header = "host.example", http.Header{"Balsam-Request-Id": {"r1"}}
	client := &http.Client{Timeout: 10 * time.Second}
	resp, err := client.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), string(fault.RunUnknown))
	assert.Equal(t, fx.heldUpstreams(), 0)
}
