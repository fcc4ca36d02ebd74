package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

func sendRequest(t *testing.T, method, url, key, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(got)
}

func TestForwardsRequestAndReturnsCompleteResponse(t *testing.T) {
	// The connection to an upstream that has not repeated an ID yet is not kept.
	connection := "close"
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		assert.Check(t, r.Header.Get("Connection") == connection)
		assert.Check(t, r.Header.Get("X-Hop") == "")
		assert.Check(t, r.Header.Get(HeaderTimeoutMs) != "")
		w.Header().Set("X-Answer", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	})
	fx := newFixture(t, up)
	for _, connection = range []string{"close", ""} {
		req, _ := http.NewRequest("POST", fx.front.URL+"/s/x?q=1", strings.NewReader("hello"))
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "1")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		got, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusCreated)
		assert.Equal(t, resp.Header.Get("X-Answer"), "yes")
		assert.Equal(t, resp.Header.Get(headerRequestID), "")
		assert.Equal(t, string(got), "POST /s/x?q=1 hello")
	}
}

func TestResponsesWithoutBodyAreForwarded(t *testing.T) {
	for _, code := range []int{http.StatusNoContent, http.StatusNotModified} {
		up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
		resp, body := sendRequest(t, "GET", newFixture(t, up).front.URL+"/s/x", "", "")
		assert.Equal(t, resp.StatusCode, code)
		assert.Equal(t, body, "")
	}
}

func TestHeadResponseKeepsContentLength(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "700000") })
	resp, body := sendRequest(t, "HEAD", newFixture(t, up).front.URL+"/s/x", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.ContentLength, int64(700000))
	assert.Equal(t, body, "")
}

func TestTrailersAreForwarded(t *testing.T) {
	up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "data")
		w.(http.Flusher).Flush()
		w.Header().Set("X-Sum", "42")
	})
	resp, body := sendRequest(t, "GET", newFixture(t, up).front.URL+"/s/x", "", "")
	assert.Equal(t, body, "data")
	assert.Equal(t, resp.Trailer.Get("X-Sum"), "42")
}

func TestRefusalsReportKindAndNotRun(t *testing.T) {
	fx := newFixture(t)
	cases := []struct {
		name, method, path string
		header             http.Header
		kind               fault.Kind
	}{
		{"unknown service", "GET", "/other", nil, fault.UnknownService},
		{"upgrade", "GET", "/s/x", http.Header{"Upgrade": {"websocket"}, "Connection": {"Upgrade"}}, fault.UpgradeRefused},
		{"key required", "POST", "/s/pay/7", nil, fault.KeyRequired},
		{"no upstream", "GET", "/s/x", nil, fault.NoUpstream},
		{"bad deadline", "GET", "/s/x", http.Header{HeaderTimeoutMs: {"soon"}}, fault.BadRequest},
		{"long key", "POST", "/s/x", http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}, fault.TooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			req, _ := http.NewRequest(tc.method, fx.front.URL+tc.path, nil)
			for k, v := range tc.header {
				req.Header[k] = v
			}
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, resp.Header.Get(fault.HeaderKind), string(tc.kind))
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "not run")
			assert.Equal(t, resp.StatusCode, fault.ResponseFor(tc.kind).Status)
		})
	}
}

func TestRequestIsNotSentWhenConfigurationTurnsStaleAfterGrant(t *testing.T) {
	var runs atomic.Int64
	up := newUpstream(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	fx := newFixture(t, up)
	fx.slots.onAcquire = fx.source.setStale
	resp, _ := sendRequest(t, "POST", fx.front.URL+"/s/x", "k1", "")
	assert.Equal(t, resp.Header.Get(fault.HeaderKind), string(fault.NotFresh))
	assert.Equal(t, runs.Load(), int64(0))
	assert.Equal(t, fx.claims.stateOf("k1"), "")
	assert.DeepEqual(t, fx.slots.releasedOutcomes(), []clusterpb.Outcome{clusterpb.Outcome_OUTCOME_UNUSED})
}

// A request that is refused before its Idempotency-Key has been looked up
// may be a resend of one that ran. Its refusal must not report "not run".
func TestRefusalBeforeKeyLookupReportsRunUnknown(t *testing.T) {
	fx := newFixture(t)
	fx.source.setStale()
	resp, _ := sendRequest(t, "POST", fx.front.URL+"/s/x", "k", "b")
	assert.Equal(t, resp.Header.Get(fault.HeaderKind), string(fault.NotFresh))
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
	resp, _ = sendRequest(t, "POST", fx.front.URL+"/s/x", "", "b")
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), "not run")
	resp, _ = sendRequest(t, "POST", newFixture(t).front.URL+"/s/x", "k", "b")
	assert.Equal(t, resp.Header.Get(fault.HeaderKind), string(fault.NoUpstream))
	assert.Equal(t, resp.Header.Get(fault.HeaderRun), "not run")
}

// newRawUpstream starts a server that answers the first request on each
// connection with fixed bytes and then closes it.
func newRawUpstream(t *testing.T, response string) string {
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
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

func TestIncompleteResponsesBecomeBadGateway(t *testing.T) {
	cases := []struct{ name, response string }{
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc"},
		{"no response", ""},
		{"truncated header", "HTTP/1.1 200 OK\r\nConte"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fx := newFixture(t, newRawUpstream(t, tc.response))
			resp, _ := sendRequest(t, "POST", fx.front.URL+"/s/x", "", "b")
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), "unknown")
			assert.Equal(t, fx.quarantine.crashCount(), 1)
		})
	}
}

// TestTimeoutOfUpstreamClearsNoSuspicion guards against a crashing request that is
// cleared because an upstream has given up on it before it could end.
func TestTimeoutOfUpstreamClearsNoSuspicion(t *testing.T) {
	for status, completed := range map[int]int{200: 1, 404: 1, 500: 1, 504: 0} {
		fx := newFixture(t, newRawUpstream(t, fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)))
		resp, _ := sendRequest(t, "POST", fx.front.URL+"/s/x", "", "b")
		assert.Equal(t, resp.StatusCode, status)
		assert.Equal(t, fx.quarantine.completedCount(), completed, "status %d", status)
	}
}

func TestBrokenStreamAbortsCallerConnection(t *testing.T) {
	response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo"
	fx := newFixture(t, newRawUpstream(t, response))
	resp, err := http.Get(fx.front.URL + "/s/x")
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil)
}

func TestResendWithSameKeyReturnsKeptAnswer(t *testing.T) {
	var runs atomic.Int64
	up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	})
	fx := newFixture(t, up)
	_, first := sendRequest(t, "POST", fx.front.URL+"/s/pay/1", "k", "x")
	resp, second := sendRequest(t, "POST", fx.front.URL+"/s/pay/1", "k", "x")
	assert.Equal(t, first, "run 1")
	assert.Equal(t, second, first)
	assert.Equal(t, resp.Header.Get(headerReplayed), "true")
	resp, _ = sendRequest(t, "POST", fx.front.URL+"/s/pay/1", "k", "other")
	assert.Equal(t, resp.Header.Get(fault.HeaderKind), string(fault.KeyConflict))
}

func TestKeyedRequestCompletesAfterCallerDisconnects(t *testing.T) {
	started := make(chan struct{})
	proceed := make(chan struct{})
	up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-proceed
		_, _ = io.WriteString(w, "paid")
	})
	fx := newFixture(t, up)
	conn, err := net.Dial("tcp", fx.front.Listener.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(conn, "POST /s/pay/1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nx")
	<-started
	_ = conn.Close()
	close(proceed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fx.claims.stateOf("k") == "finished" {
			return poll.Success()
		}
		return poll.Continue("state %q", fx.claims.stateOf("k"))
	}, poll.WithTimeout(10*time.Second))
}

func TestUnkeyedRequestIsCancelledWhenCallerDisconnects(t *testing.T) {
	started := make(chan struct{})
	ended := make(chan struct{})
	up := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	fx := newFixture(t, up)
	conn, err := net.Dial("tcp", fx.front.Listener.Addr().String())
	assert.NilError(t, err)
	_, _ = io.WriteString(conn, "GET /s/x HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("upstream request was not cancelled within 10 s of the caller's disconnect")
	}
}

// A request with ambiguous or invalid framing must not be forwarded with two
// framings: its body could otherwise pass for a second request.
func TestAmbiguousFramingDoesNotSmuggleRequests(t *testing.T) {
	cases := []struct{ name, raw string }{
		{"length and chunked", "POST /s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s/evil HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"two lengths", "POST /s/x HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"},
		{"unknown transfer coding", "POST /s/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
		{"space before colon", "POST /s/x HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd"},
		{"signed length", "POST /s/x HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var doublyFramed atomic.Int64
			up := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
				if len(r.TransferEncoding) > 0 && r.ContentLength > 0 {
					doublyFramed.Add(1)
				}
			})
			fx := newFixture(t, up)
			conn, err := net.Dial("tcp", fx.front.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, tc.raw)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			if tc.name != "length and chunked" {
				assert.Assert(t, resp.StatusCode >= 400)
			}
			assert.Equal(t, doublyFramed.Load(), int64(0))
		})
	}
}

func TestLargeRequestBodyIsStreamed(t *testing.T) {
	const size = 20 << 20
	up := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(w, "%d", n)
	})
	fx := newFixture(t, up)
	body := io.LimitReader(zeroReader{}, size)
	resp, err := http.Post(fx.front.URL+"/s/photos", "image/jpeg", body)
	assert.NilError(t, err)
	got, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	assert.Equal(t, string(got), fmt.Sprint(size))
}

func TestLargeResponseArrivesComplete(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
	up := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) })
	_, got := sendRequest(t, "GET", newFixture(t, up).front.URL+"/s/x", "", "")
	assert.Assert(t, got == string(want))
}

// zeroReader reads an endless stream of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}
