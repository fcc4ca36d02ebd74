package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

func TestShedIsRetriedElsewhere(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.HeaderRun, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	rig := newRig(t, shed, good)
	resp, body := do(t, "POST", rig.front.URL+"/s/x", "k", "abc")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "abc")
	assert.Equal(t, rig.claims.stateOf("k"), "finished")
}

// A request whose first attempt may have run is never said not to have run,
// whatever becomes of the later attempts.
func TestRefusalAfterBrokenAttemptSaysUnknown(t *testing.T) {
	shed := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.HeaderRun, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	rig := newRig(t, rawUpstream(t, ""), shed, shed)
	resp, _ := do(t, "POST", rig.front.URL+"/s/search", "", "q")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
}

func TestUnreachableIsRetriedElsewhere(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	good := newUpstream(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	rig := newRig(t, l.Addr().String(), good)
	resp, body := do(t, "POST", rig.front.URL+"/s/x", "", "abc")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "abc")
}

// dyingServer accepts connections, answers the first request on each, and
// closes the connection on the second after it has read it.
func dyingServer(t *testing.T, requests *atomic.Int64) string {
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
			go serveTwo(conn, requests)
		}
	}()
	return l.Addr().String()
}

func serveTwo(conn net.Conn, requests *atomic.Int64) {
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
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// http.Transport repeats some requests by itself when a reused connection
// dies; the data path must not let it.
func TestTransportNeverRepeats(t *testing.T) {
	cases := []struct{ name, method, path, key, body string }{
		{"delete", "DELETE", "/s/x", "", ""},
		{"key without body", "POST", "/s/x", "k2", ""},
		{"key with body", "POST", "/s/x", "k2", "pay"},
		{"put with key", "PUT", "/s/x", "k2", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			rig := newRig(t, dyingServer(t, &requests))
			do(t, tc.method, rig.front.URL+tc.path, "first", tc.body)
			resp, _ := do(t, tc.method, rig.front.URL+tc.path, tc.key, tc.body)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
			assert.Equal(t, requests.Load(), int64(2))
		})
	}
}

// The same for GET, by the round trip alone, as the forwarder itself may
// repeat it.
func TestRoundTripNeverRepeatsGet(t *testing.T) {
	var requests atomic.Int64
	addr := dyingServer(t, &requests)
	tr := NewTransport(nil)
	defer tr.CloseIdleConnections()
	send := func() error {
		out, _ := http.NewRequest("GET", "http://"+addr+"/", nil)
		out.Header.Set("Idempotency-Key", "k")
		hideFromReplay(out)
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
