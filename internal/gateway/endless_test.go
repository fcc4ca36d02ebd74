package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/explain"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// healthHead is the head of a health response, without its end.
const healthHead = "HTTP/1.1 200 OK\r\nBalsam-Load: 0 0 2 100\r\n"

// TestBytesAfterHealthResponseKeepRequestsAway connects to an upstream that sends an
// answer to a request that it has not been sent. The request must not be sent
// there, and the refusal must say that it did not run.
func TestBytesAfterHealthResponseKeepRequestsAway(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n" + servedByHeader + "Content-Length: 6\r\n\r\nforged"
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.respondHealth = func(w io.Writer) bool {
		_, err := io.WriteString(w, healthHead+"Content-Length: 0\r\n\r\n"+forged)
		return err == nil
	}
	fx := startForwarder(t, newConfig(s))
	status, body, h := fx.call(t, http.MethodPost, "/unsafe/x", "300")
	assert.Equal(t, status, 503, body)
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	assert.Equal(t, len(s.requests()), 0)
}

// TestHealthBodyIsNotTakenForAnAnswer connects to an upstream that sends the rest of
// a long health body only when it is sent a request. The
// caller must not get that rest as its answer.
func TestHealthBodyIsNotTakenForAnAnswer(t *testing.T) {
	const firstPart = 4 << 10
	forged := "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n" + servedByHeader + "Content-Length: 6\r\n\r\nforged"
	s := startFakeUpstream(t, "u1", func(w io.Writer, _ *http.Request) bool {
		_, err := io.WriteString(w, forged)
		return err == nil
	})
	s.respondHealth = func(w io.Writer) bool {
		_, err := io.WriteString(w, healthHead+"Content-Length: "+strconv.Itoa(firstPart+len(forged))+"\r\n\r\n"+strings.Repeat("x", firstPart))
		return err == nil
	}
	fx := startForwarder(t, newConfig(s))
	status, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "300")
	assert.Equal(t, status, 503, body)
	assert.Equal(t, len(s.requests()), 0)
}

const (
	// endlessCap is where a stand-in stops that sends without end, so that a test
	// that fails does not use up the memory of the machine.
	endlessCap = 32 << 20
	// maxTaken bounds what may have been taken from a stand-in that sends without
	// end: the buffers of the operating system hold up to 10 MiB.
	maxTaken = 16 << 20
)

// sendEndlessly writes first and then repeat, with a pause before each, until the
// connection is closed or endlessCap is reached. It returns the number of bytes
// written.
func sendEndlessly(w io.Writer, first, repeat string, pause time.Duration) int {
	sent, err := io.WriteString(w, first)
	for err == nil && sent < endlessCap {
		time.Sleep(pause)
		var n int
		n, err = io.WriteString(w, repeat)
		sent += n
	}
	return sent
}

// heldUpstreams returns the number of upstreams of the pool that have failed since
// their last complete answer, and so get no requests for a while.
func (fx *fixture) heldUpstreams() int {
	fx.state.mu.Lock()
	defer fx.state.mu.Unlock()
	// The start of the gateway is before the end of every backoff.
	open, ready := fx.state.balancer.CountUpstreams(0, "p")
	return open - ready
}

// assertOnlyBadIsHeld checks that one upstream is held. The one named good may be, too,
// if the log says that a load probe of it has failed: on a busy machine it may time out.
func (fx *fixture) assertOnlyBadIsHeld(t *testing.T, logs *logFile, name string) {
	t.Helper()
	held := fx.heldUpstreams()
	goodHeld := slices.ContainsFunc(logs.named(t, "upstream_held"), func(line explain.Line) bool {
		return line.Fields["upstream"] == "good" && line.Fields["why"] == "load probe failed"
	})
	assert.Check(t, held == 1 || held == 2 && goodHeld, "%s: %d upstreams are held", name, held)
}

// waitForHeld waits until one upstream of the pool is held.
func (fx *fixture) waitForHeld(t *testing.T, name string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fx.heldUpstreams() == 1 {
			return poll.Success()
		}
		return poll.Continue("%s: no upstream is held", name)
	}, poll.WithDelay(time.Millisecond))
}

// callUntilSent sends calls until one has been sent to the upstream, which may not
// answer a probe in time, and returns the answer. All others must be served.
func (fx *fixture) callUntilSent(t *testing.T, s *fakeUpstream, method, path string) (int, string, http.Header) {
	t.Helper()
	const attempts = 100
	before := len(s.requests())
	for range attempts {
		status, body, h := fx.call(t, method, path, "")
		if len(s.requests()) > before {
			return status, body, h
		}
		assert.Assert(t, status == 200 && body == "whole", "status %d, %.200s", status, body)
	}
	t.Fatalf("none of %d calls was sent to upstream %s", attempts, s.id)
	return 0, "", nil
}

// TestHealthResponseWithoutEndKeepsRequestsAway connects to upstreams whose health
// responses never end. They must get no requests for a while, while the other
// upstream of the pool is used.
func TestHealthResponseWithoutEndKeepsRequestsAway(t *testing.T) {
	block := strings.Repeat("x", 1<<10)
	cases := []struct {
		name, first, repeat string
		pause               time.Duration
	}{
		{"head", healthHead, "A: b\r\n", 0},
		{"status line", "HTTP/1.1 200 ", block, 0},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"chunks", healthHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + block + "\r\n", 0},
		{"body without length", healthHead + "\r\n", block, 0},
		{"body longer than stated", healthHead + "Content-Length: 2\r\n\r\n", block, 0},
		{"head, byte by byte", healthHead + "A: ", "x", time.Millisecond},
		{"body, byte by byte", healthHead + "Content-Length: 99999\r\n\r\n", "x", time.Millisecond},
	}
	for _, c := range cases {
		taken := make(chan int, 16)
		bad := startFakeUpstream(t, "bad", nil)
		respondOK(bad)
		bad.respondHealth = func(w io.Writer) bool {
			taken <- sendEndlessly(w, c.first, c.repeat, c.pause)
			return false
		}
		good := startFakeUpstream(t, "good", nil)
		respondOK(good)
		good.setLoad("1 0 2 115")
		fx := startForwarder(t, newConfig(bad, good))
		for range 3 {
			status, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
			assert.Check(t, status == 200 && body == "whole", "%s: status %d, %s", c.name, status, body)
		}
		assert.Check(t, len(bad.requests()) == 0, c.name)
		fx.waitForHeld(t, c.name)
		n := <-taken
		assert.Check(t, n < maxTaken, "%s: %d bytes taken", c.name, n)
	}
}

// TestRefusalWithoutEndIsRetriedElsewhere sends requests to upstreams that refuse
// them without running them, with a body that never ends. The request must be
// sent to another upstream in time, and no further one to the first.
func TestRefusalWithoutEndIsRetriedElsewhere(t *testing.T) {
	block := strings.Repeat("x", 1<<10)
	cases := []struct {
		name, header, repeat string
		pause                time.Duration
	}{
		{"body without length", "\r\n", block, 0},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + block + "\r\n", 0},
		{"body, byte by byte", "Content-Length: 99999\r\n\r\n", "x", time.Millisecond},
		{"chunks, one by one", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond},
	}
	for _, c := range cases {
		for _, status := range []int{503, 429} {
			taken := make(chan int, 16)
			bad := startFakeUpstream(t, "bad", func(w io.Writer, r *http.Request) bool {
				head := fmt.Sprintf("HTTP/1.1 %d X\r\nBalsam-Request-Id: %s\r\nBalsam-Not-Run: 1\r\n%s", status, r.Header.Get("Balsam-Request-Id"), c.header)
				taken <- sendEndlessly(w, head, c.repeat, c.pause)
				return false
			})
			good := startFakeUpstream(t, "good", nil)
			respondOK(good)
			good.setLoad("1 0 2 115")
			var logs logFile
			fx := startForwarderWithLog(t, newConfig(bad, good), logs.logger("gateway", "g1"))
			got, body, _ := fx.callUntilSent(t, bad, http.MethodPost, "/unsafe/x")
			assert.Check(t, got == 200 && body == "whole", "%s: status %d, %s", c.name, got, body)
			fx.assertOnlyBadIsHeld(t, &logs, c.name)
			n := <-taken
			assert.Check(t, n < maxTaken, "%s: %d bytes taken", c.name, n)
		}
	}
}

// TestAnswersWithoutEndAreCutAtTheDeadline sends requests to upstreams whose answers
// begin and never end. The caller must get no complete answer, and after two such
// answers the upstream no further requests for a while.
func TestAnswersWithoutEndAreCutAtTheDeadline(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	cases := []struct {
		name, first, repeat string
		pause               time.Duration
		// streamed is set if the answer is too large to be buffered.
		streamed bool
	}{
		{"status line, byte by byte", "HTTP/1.1 200 ", "x", time.Millisecond, false},
		{"header line, byte by byte", okHead + "A: ", "x", time.Millisecond, false},
		{"body without length, byte by byte", okHead + "\r\n", "x", time.Millisecond, false},
		{"stated body, byte by byte", okHead + "Content-Length: 99999\r\n\r\n", "x", time.Millisecond, false},
		{"chunks, one by one", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond, false},
		{"body without length", okHead + "\r\n", block, 2 * time.Millisecond, true},
		{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + block + "\r\n", 2 * time.Millisecond, true},
		{"large stated body", okHead + "Content-Length: 9999999999\r\n\r\n", block, 2 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bad := startFakeUpstream(t, "bad", func(w io.Writer, _ *http.Request) bool {
				sendEndlessly(w, c.first, c.repeat, c.pause)
				return false
			})
			fx := startForwarder(t, newConfig(bad))
			for i := range 2 {
				assert.Check(t, fx.heldUpstreams() == 0, "held after %d answers", i)
				status, err := fx.readAnswer("/unsafe/x", "800")
				if c.streamed {
					assert.Check(t, status == 200 && err != nil, "status %d, error %v", status, err)
				} else {
					assert.Check(t, status == 504 && err == nil, "status %d, error %v", status, err)
				}
				<-bad.connClosed
			}
			fx.waitForHeld(t, c.name)
		})
	}
}

// okHead is the head of the answer to request r1, without its end.
const okHead = "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n" + servedByHeader

// readAnswer sends one request and discards the answer. It returns the status and
// the error of reading the body.
func (fx *fixture) readAnswer(path, deadlineMs string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, fx.server.URL+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	r.Header.Set("Balsam-Timeout-Ms", deadlineMs)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestCallerThatDoesNotReadIsLeftAfterTheDeadline sends an answer without end to a
// caller that keeps its connection open and reads nothing. The call must end, and
// the connection to the upstream with it.
func TestCallerThatDoesNotReadIsLeftAfterTheDeadline(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	s := startFakeUpstream(t, "u1", func(w io.Writer, _ *http.Request) bool {
		sendEndlessly(w, okHead+"\r\n", block, 0)
		return false
	})
	fx := startForwarder(t, newConfig(s))
	caller, err := net.Dial("tcp", fx.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nBalsam-Request-Id: r1\r\nBalsam-Timeout-Ms: 200\r\n\r\n")
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.connClosed) == 1 {
			return poll.Success()
		}
		return poll.Continue("the connection to the upstream is open")
	}, poll.WithTimeout(20*time.Second))
}

// TestAnswerWithoutEndIsRetriedOnlyWhenRepeatable sends requests to an upstream whose
// bytes, after it has received them, never end and are no answer. A request that
// must run only once must not be retried and gets a 502 with an unknown outcome; a
// repeatable one gets its answer from another upstream. The upstream must be
// held, and the gateway must take a bounded number of bytes from it.
func TestAnswerWithoutEndIsRetriedOnlyWhenRepeatable(t *testing.T) {
	block := strings.Repeat("x", 1<<10)
	other := strings.Replace(okHead, "r1", "r0", 1)
	cases := []struct{ name, first, repeat string }{
		{"no line", "", block},
		{"status line", "HTTP/1.1 200 ", block},
		{"long line that is no status line", strings.Repeat("x", 60<<10) + "\r\n", block},
		{"header lines", okHead, "A: b\r\n"},
		{"header line", okHead + "A: ", block},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim answers with long heads", "", "HTTP/1.1 103 Early Hints\r\nLink: " + block + "\r\n\r\n"},
		{"answers to other requests", "", other + "Content-Length: 1\r\n\r\nx"},
		{"body of an answer to another request", other + "\r\n", block},
		{"chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + block + "\r\nx\r\n"},
		{"trailers", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		{"503 that does not say whether it ran", "HTTP/1.1 503 X\r\nBalsam-Request-Id: r1\r\n\r\n", block},
		{"success without the header of an upstream that ran it", "HTTP/1.1 200 OK\r\nBalsam-Request-Id: r1\r\n\r\n", block},
	}
	for _, c := range cases {
		taken := make(chan int, 16)
		bad := startFakeUpstream(t, "bad", func(w io.Writer, _ *http.Request) bool {
			taken <- sendEndlessly(w, c.first, c.repeat, 0)
			return false
		})
		good := startFakeUpstream(t, "good", nil)
		respondOK(good)
		good.setLoad("1 0 2 115")
		var logs logFile
		fx := startForwarderWithLog(t, newConfig(bad, good), logs.logger("gateway", "g1"))
		status, body, _ := fx.callUntilSent(t, bad, http.MethodGet, "/safe/x")
		assert.Check(t, status == 200 && body == "whole", "%s: status %d, %.200s", c.name, status, body)
		fx.assertOnlyBadIsHeld(t, &logs, c.name)
		n := <-taken
		assert.Check(t, n < maxTaken, "%s: %d bytes taken", c.name, n)

		fx = startForwarder(t, newConfig(bad, good))
		status, body, h := fx.callUntilSent(t, bad, http.MethodPost, "/unsafe/x")
		assert.Check(t, status == 502, "%s: status %d", c.name, status)
		assert.Check(t, h.Get(fault.HeaderRun) == string(fault.RunUnknown), c.name)
		assert.Check(t, len(body) < 4<<10, "%s: error response has %d bytes", c.name, len(body))
		<-taken
	}
}

// TestBytesAfterAnswerPreventReuse sends requests to upstreams that send bytes without
// end after a complete answer. The caller must get the answer alone, and the
// connection must be closed.
func TestBytesAfterAnswerPreventReuse(t *testing.T) {
	block := strings.Repeat("x", 8<<10)
	cases := []struct {
		name, method, first, body string
		status                    int
	}{
		{"longer than stated", http.MethodPost, okHead + "Content-Length: 2\r\n\r\nok", "ok", 200},
		{"after chunks", http.MethodPost, okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", 200},
		{"after 204", http.MethodPost, strings.Replace(okHead, "200 OK", "204 X", 1) + "\r\n", "", 204},
		{"after 304", http.MethodGet, strings.Replace(okHead, "200 OK", "304 X", 1) + "\r\n", "", 304},
		{"after the answer to HEAD", http.MethodHead, okHead + "Content-Length: 2\r\n\r\n", "", 200},
	}
	for _, c := range cases {
		taken := make(chan int, 16)
		s := startFakeUpstream(t, "u1", func(w io.Writer, _ *http.Request) bool {
			taken <- sendEndlessly(w, c.first+block, block, 0)
			return false
		})
		fx := startForwarder(t, newConfig(s))
		status, body, _ := fx.call(t, c.method, "/unsafe/x", "")
		assert.Check(t, status == c.status && body == c.body, "%s: status %d, %.200s", c.name, status, body)
		n := <-taken
		assert.Check(t, n < maxTaken, "%s: %d bytes taken", c.name, n)
	}
}

// TestOtherCallsAreServedBesideAnswersWithoutEnd keeps answers without end running to
// some callers while others send requests to the same gateway.
func TestOtherCallsAreServedBesideAnswersWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	started := make(chan struct{}, 16)
	endless := startFakeUpstream(t, "endless", func(w io.Writer, _ *http.Request) bool {
		started <- struct{}{}
		sendEndlessly(w, okHead+"\r\n", block, 5*time.Millisecond)
		return false
	})
	good := startFakeUpstream(t, "good", nil)
	respondOK(good)
	cfg := newConfig(endless, good)
	cfg.Upstreams[0].Pool = "q"
	cfg.Pools = append(cfg.Pools, &catalogpb.Pool{Name: "q", HealthPath: "/health"})
	endlessRoute := newRoute("endless", catalogpb.RouteKind_ROUTE_KIND_UNSAFE)
	endlessRoute.Shares[0].Pool = "q"
	cfg.Routes = append(cfg.Routes, endlessRoute)
	fx := startForwarder(t, cfg)
	var calls sync.WaitGroup
	for range 2 {
		calls.Go(func() {
			status, err := fx.readAnswer("/endless/x", "1500")
			assert.Check(t, status == 200 && err != nil, "status %d, error %v", status, err)
		})
	}
	<-started
	<-started
	for range 20 {
		status, body, _ := fx.call(t, http.MethodPost, "/unsafe/x", "")
		assert.Check(t, status == 200 && body == "whole", "status %d", status)
	}
	calls.Wait()
}

// TestPartOfAnswerIsNotWholeToHTTP10Caller sends requests of HTTP/1.0, in which the end
// of the connection ends an answer without a length. One without end must not be
// forwarded in part; a short one is forwarded whole.
func TestPartOfAnswerIsNotWholeToHTTP10Caller(t *testing.T) {
	chunked := okHead + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "1000\r\n" + strings.Repeat("x", 4<<10) + "\r\n"
	cases := []struct {
		name    string
		respond func(io.Writer, *http.Request) bool
		status  int
	}{
		{"without end", func(w io.Writer, _ *http.Request) bool {
			sendEndlessly(w, chunked, chunk, 0)
			return false
		}, 502},
		{"short", func(w io.Writer, _ *http.Request) bool {
			_, err := io.WriteString(w, chunked+chunk+"0\r\n\r\n")
			return err == nil
		}, 200},
	}
	for _, c := range cases {
		fx := startForwarder(t, newConfig(startFakeUpstream(t, "u1", c.respond)))
		caller, err := net.Dial("tcp", fx.server.Listener.Addr().String())
		assert.NilError(t, err)
		defer caller.Close()
		_, err = io.WriteString(caller, "POST /unsafe/x HTTP/1.0\r\nHost: host.example\r\nBalsam-Request-Id: r1\r\nBalsam-Timeout-Ms: 500\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Check(t, resp.StatusCode == c.status, "%s: status %d", c.name, resp.StatusCode)
	}
}

// TestCallerThatDoesNotReadBufferedResponsesLosesItsCall sends several requests on one
// connection and reads no response. The calls must end soon after their deadlines, and
// give back what they hold.
func TestCallerThatDoesNotReadBufferedResponsesLosesItsCall(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(200, servedByHeader, strings.Repeat("x", 1<<20))
	fx := startForwarder(t, newConfig(s))
	caller, err := net.Dial("tcp", fx.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(4096))
	const request = "GET /safe/x HTTP/1.1\r\nHost: host.example\r\nBalsam-Request-Id: r1\r\nBalsam-Timeout-Ms: 500\r\n\r\n"
	_, err = io.WriteString(caller, strings.Repeat(request, 8))
	assert.NilError(t, err)
	waitUntil(t, "no response was written in part", func() bool { return len(s.requests()) > 0 })
	f := fx.forwarder
	waitUntil(t, "a call holds its slot or its buffers", func() bool {
		return f.opts.Limiter.Total() == 0 && f.buffers.left.Load() == responseBufferBytes
	})
}
