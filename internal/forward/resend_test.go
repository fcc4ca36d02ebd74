package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

func TestShedRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.HeaderRun, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	fx := newFixture(t, shed, good)
	resp, body := sendRequest(t, "POST", fx.front.URL+"/s/x", "k", "abc")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "abc")
	assert.Equal(t, fx.claims.stateOf("k"), "finished")
}

// Once an attempt may have run, no refusal may report "not run", whatever
// the outcome of later attempts.
func TestRefusalAfterBrokenAttemptReportsRunUnknown(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.HeaderRun, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	fx := newFixture(t, newRawUpstream(t, ""), shed, shed)
	resp, _ := sendRequest(t, "POST", fx.front.URL+"/s/search", "", "q")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
}

func TestUnreachableUpstreamIsRetriedOnAnother(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	fx := newFixture(t, l.Addr().String(), good)
	resp, body := sendRequest(t, "POST", fx.front.URL+"/s/x", "", "abc")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "abc")
}

// newClosingUpstream starts a server that answers the first request on each
// connection, and closes the connection after reading the second. It counts
// the requests it has read.
func newClosingUpstream(t *testing.T, requests *atomic.Int64) string {
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
			go serveOneThenClose(conn, requests)
		}
	}()
	return l.Addr().String()
}

func serveOneThenClose(conn net.Conn, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if i == 0 {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", headerRequestID, req.Header.Get(headerRequestID))
		}
	}
}

// http.Transport resends some requests by itself when a reused connection
// fails. A request that is not repeatable could then run twice.
func TestTransportDoesNotResendOnDeadConnection(t *testing.T) {
	cases := []struct{ name, method, path, key, body string }{
		{"delete", "DELETE", "/s/x", "", ""},
		{"key without body", "POST", "/s/x", "k2", ""},
		{"key with body", "POST", "/s/x", "k2", "pay"},
		{"put with key", "PUT", "/s/x", "k2", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			fx := newFixture(t, newClosingUpstream(t, &requests))
			// The first request shows that the upstream repeats IDs, the second one
			// opens the connection that is used again.
			sendRequest(t, tc.method, fx.front.URL+tc.path, "first", tc.body)
			sendRequest(t, tc.method, fx.front.URL+tc.path, "second", tc.body)
			resp, _ := sendRequest(t, tc.method, fx.front.URL+tc.path, tc.key, tc.body)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
			assert.Equal(t, requests.Load(), int64(3))
		})
	}
}

// http.Transport also resends a GET by itself. The test uses the transport
// alone, because the forwarder itself may retry a GET.
func TestTransportDoesNotResendGetOnDeadConnection(t *testing.T) {
	var requests atomic.Int64
	addr := newClosingUpstream(t, &requests)
	tr := NewTransport(nil)
	defer tr.CloseIdleConnections()
	send := func() error {
		out, _ := http.NewRequest("GET", "http://"+addr+"/", nil)
		out.Header.Set("Idempotency-Key", "k")
		disableTransportRetry(out)
		resp, err := tr.RoundTrip(out)
		if err == nil {
			drainAndClose(resp.Body)
		}
		return err
	}
	assert.NilError(t, send())
	assert.Assert(t, send() != nil)
	assert.Equal(t, requests.Load(), int64(2))
}
