package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// stopAnswer is what a caller of a gateway that stops got.
type stopAnswer struct {
	status int
	header http.Header
	closed bool
	err    error
	// after is the time from the beginning of the stop.
	after time.Duration
}

// startCall sends a call on a connection of its own and returns a channel with the
// answer. after is called when the answer has arrived.
func (d *Daemon) startCall(t *testing.T, path string, after func() time.Duration) <-chan stopAnswer {
	t.Helper()
	return d.startCallAt(t, d.settings.CallerListen, path, "Balsam-Request-Id: "+path+"\r\n", after)
}

// startRelayedCall is startCall for a call that another gateway relays.
func (d *Daemon) startRelayedCall(t *testing.T, path string, after func() time.Duration) <-chan stopAnswer {
	t.Helper()
	header := fmt.Sprintf("Balsam-Request-Id: %s\r\n%s: %s\r\n%s: 20000\r\n%s: 127.0.0.1\r\n%s: 0\r\n%s: 0\r\n%s: true\r\nConnection: close\r\n",
		path, relayTarget, path, relayLeft, relayCaller, relaySends, relayRan, relayCounted)
	return d.startCallAt(t, d.settings.ClusterListen, RelayPath, header, after)
}

func (d *Daemon) startCallAt(t *testing.T, address, target, header string, after func() time.Duration) <-chan stopAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: host.example\r\nBalsam-Timeout-Ms: 20000\r\n%s\r\n", target, header)
	assert.NilError(t, err)
	answers := make(chan stopAnswer, 1)
	go func() {
		a := stopAnswer{}
		defer func() { a.after = after(); answers <- a }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
		if err != nil {
			a.err = err
			return
		}
		a.status, a.header, a.closed = resp.StatusCode, resp.Header, resp.Close
		_, a.err = io.ReadAll(resp.Body)
	}()
	return answers
}

// TestPlannedStopAnswersAFullQueue guards against connections that a gateway closes at
// the end of its stop without an answer. The only upstream is full: one of its requests
// ends during the stop, the other never does, and calls with much time left wait in the
// queue, every other one relayed by another gateway. One of those gets the slot that becomes free, the others are refused as not
// run. The answer of an upstream is not replaced for as long as it can be awaited.
func TestPlannedStopAnswersAFullQueue(t *testing.T) {
	const waiting = 20
	// Loads of the upstream; the one in an answer counts the request itself.
	const full, oneFree = "2 2 2 100", "2 0 2 100"
	var started sync.WaitGroup
	started.Add(2)
	finish := make(chan struct{})
	u := startFakeUpstream(t, "u1", nil)
	u.respond = func(w io.Writer, r *http.Request) bool {
		load := full
		switch r.URL.Path {
		case "/safe/late":
			started.Done()
			<-finish
			load = oneFree
		case "/safe/never":
			started.Done()
			<-t.Context().Done()
			return false
		}
		return u.responder(200, servedByHeader+"Balsam-Load: "+load+"\r\n", "whole")(w, r)
	}
	cfg := newConfig(u)
	for _, r := range cfg.Routes {
		r.TimeoutMs, r.TargetLatencyMs = 20_000, 15_000
	}
	d := startGateway(t, cfg)
	var begun time.Time
	after := func() time.Duration { return time.Since(begun) }
	late, never := d.startCall(t, "/safe/late", after), d.startCall(t, "/safe/never", after)
	started.Wait()
	u.setLoad(full)
	var queued []<-chan stopAnswer
	for i := range waiting {
		start := d.startCall
		if i%2 == 1 {
			start = d.startRelayedCall
		}
		queued = append(queued, start(t, fmt.Sprint("/safe/", i), after))
	}
	waitUntil(t, "the calls do not wait in the queue", func() bool {
		d.state.mu.Lock()
		defer d.state.mu.Unlock()
		return d.state.queue("p").waiters.Len() == waiting
	})
	begun = time.Now()
	stopped := make(chan struct{})
	go func() {
		d.stopGracefully(context.Background())
		close(stopped)
	}()
	time.AfterFunc(700*time.Millisecond, func() { close(finish) })
	served := 0
	for i, answers := range queued {
		a := <-answers
		assert.Check(t, a.err == nil, "queued call %d: no answer after %s: %v", i, a.after, a.err)
		if a.err != nil {
			continue
		}
		assert.Check(t, a.closed && a.after < d.settings.StopMs.Duration())
		if a.status == http.StatusOK {
			served++
			continue
		}
		assert.Check(t, a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != "" && a.header.Get(fault.HeaderRun) == string(fault.NotRun),
			"queued call %d: %d %v", i, a.status, a.header)
	}
	assert.Check(t, served == 1, "%d queued calls were served, there was room for one", served)
	a := <-late
	assert.Check(t, a.err == nil && a.status == http.StatusOK, "call at the upstream that answers: %+v", a)
	a = <-never
	assert.Check(t, a.err == nil && a.status == http.StatusGatewayTimeout && a.header.Get(fault.HeaderRun) == string(fault.RunUnknown), "call at the upstream that does not answer: %+v", a)
	assert.Check(t, a.after > d.settings.StopMs.Duration()*3/4, "the answer of the upstream was replaced %s after the beginning of the stop", a.after)
	<-stopped
	assert.Check(t, after() < d.settings.StopMs.Duration()+200*time.Millisecond)
}

// TestPlanStop is the table of the times of a stop.
func TestPlanStop(t *testing.T) {
	const ms = time.Millisecond
	start := time.Now()
	for _, tc := range []struct {
		serve, total, typical               time.Duration
		drain, finalAnswers, end, lastStart time.Duration
	}{
		{3000 * ms, 5750 * ms, 100 * ms, 4850 * ms, 5550 * ms, 5750 * ms, 5050 * ms},
		// The time of the work is not known.
		{3000 * ms, 5750 * ms, 0, 4850 * ms, 5550 * ms, 5750 * ms, 4750 * ms},
		// Calls that may be new are refused only if typical work does not end in time.
		{3000 * ms, 5750 * ms, 2000 * ms, 4850 * ms, 5550 * ms, 5750 * ms, 3000 * ms},
		{3000 * ms, 5750 * ms, 4000 * ms, 4850 * ms, 5550 * ms, 5750 * ms, 1250 * ms},
		// Short stops.
		{300 * ms, 600 * ms, 100 * ms, 0, 400 * ms, 600 * ms, 0},
		{0, 0, 100 * ms, 0, 0, 0, -400 * ms},
	} {
		p := planStop(start, tc.serve, tc.total)
		assert.Equal(t, p.refuseNew.Sub(start), tc.serve)
		assert.Equal(t, p.drain.Sub(start), tc.drain)
		assert.Equal(t, p.finalAnswers.Sub(start), tc.finalAnswers)
		assert.Equal(t, p.end.Sub(start), tc.end)
		assert.Equal(t, p.lastStart(tc.typical).Sub(start), tc.lastStart, "%+v", tc)
	}
}

// TestPlannedStopAnswersAPartialBody guards against a connection that is closed without an
// answer because the stop waits for the rest of a request body.
func TestPlannedStopAnswersAPartialBody(t *testing.T) {
	u := startFakeUpstream(t, "u1", nil)
	respondOK(u)
	d := startGateway(t, newConfig(u))
	begun := time.Now()
	answers := d.startCallAt(t, d.settings.CallerListen, "/safe/x", "Content-Length: 10\r\n", func() time.Duration { return time.Since(begun) })
	waitUntil(t, "the call has not arrived", func() bool { return d.limiter.Total() == 1 })
	d.stopGracefully(context.Background())
	a := <-answers
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.header.Get(fault.HeaderRun), string(fault.NotRun))
	assert.Assert(t, a.closed && len(u.requests()) == 0)
}
