package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBrokenOffAnswerNeverLooksComplete breaks answers off in all framings, small ones
// that are buffered and large ones that are streamed, at a gateway and over a relay to
// another one. The caller gets an error of the gateway or an answer that does not end
// as it should, never a complete success.
func TestBrokenOffAnswerNeverLooksComplete(t *testing.T) {
	part := strings.Repeat("x", 700)
	streamed := strings.Repeat("y", 2*maxBufferedResponse)
	for _, tc := range []struct {
		name, head, body string
		// reset breaks the connection off by a reset instead of an end.
		reset bool
	}{
		{"length", "Content-Length: 1000\r\n", part, false},
		{"length, reset", "Content-Length: 1000\r\n", part, true},
		{"length, streamed", fmt.Sprintf("Content-Length: %d\r\n", len(streamed)+1), streamed, false},
		{"chunked", "Transfer-Encoding: chunked\r\n", "2bc\r\n" + part + "\r\n", false},
		{"chunked, within a chunk", "Transfer-Encoding: chunked\r\n", "3e8\r\n" + part, false},
		{"chunked, streamed", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(streamed), streamed), false},
		{"chunked, without the end of trailers", "Transfer-Encoding: chunked\r\nTrailer: A\r\n", "2bc\r\n" + part + "\r\n0\r\nA: b\r\n", false},
		{"until close, reset", "", part, true},
		{"until close, streamed, reset", "", streamed, true},
		{"head alone", "Content-Length: 1000\r\n", "", false},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s relayed %v", tc.name, relayed), func(t *testing.T) {
				s := startFakeUpstream(t, "u1", func(w io.Writer, r *http.Request) bool {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nBalsam-Request-Id: %s\r\n%s%s\r\n%s", r.Header.Get("Balsam-Request-Id"), servedByHeader, tc.head, tc.body)
					if tc.reset {
						_ = w.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				var resp *http.Response
				var err error
				if relayed {
					r := startRelayGateways(t, 2, 1, s)[0].request(t, http.MethodPost, "/unsafe/x", nil)
					resp, err = http.DefaultClient.Do(r)
				} else {
					r, reqErr := http.NewRequest(http.MethodPost, startForwarder(t, newConfig(s)).server.URL+"/unsafe/x", nil)
					assert.NilError(t, reqErr)
					r.Host = "host.example"
					r.Header.Set("Balsam-Request-Id", "r1")
					resp, err = http.DefaultClient.Do(r)
				}
				if err != nil {
					return
				}
				defer resp.Body.Close()
				if _, err = io.Copy(io.Discard, resp.Body); err == nil {
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				}
				assert.Equal(t, len(s.requests()), 1)
			})
		}
	}
}
