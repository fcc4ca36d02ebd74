package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/balance"
)

// Ways to turn a request or a probe away.
var (
	refusal      = answerKinds[2]
	plainRefusal = answerKind{"503 that does not say whether it ran", false, "HTTP/1.1 503 X\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: %s\r\n%s" + answerEnd, keptOpen}
	probeRefusal = answerKinds[8]
	brokenOff    = answerKind{"interrupted 503", false, "HTTP/1.1 503 X\r\nBalsam-Request-Id: %s\r\n%sContent-Length: 9\r\n\r\npart", broken}
)

// httpDate returns the time after d as an HTTP date.
func httpDate(d time.Duration) string {
	return time.Now().Add(d).UTC().Format(http.TimeFormat)
}

// TestUpstreamThatAsksForPauseGetsNothingUntilItsEnd lets one of two upstreams
// turn requests or probes away for some time. Until that is over it must get
// neither requests nor probes, and afterwards it must get some.
func TestUpstreamThatAsksForPauseGetsNothingUntilItsEnd(t *testing.T) {
	cases := []struct {
		name string
		kind answerKind
		// value returns the Retry-After at the time of the answer.
		value func() string
		pause time.Duration
	}{
		{"seconds", refusal, func() string { return "3" }, 3 * time.Second},
		{"fraction", refusal, func() string { return "1.5" }, 1500 * time.Millisecond},
		{"without a word on whether it ran", plainRefusal, func() string { return "3" }, 3 * time.Second},
		{"interrupted", brokenOff, func() string { return "3" }, 3 * time.Second},
		{"probe", probeRefusal, func() string { return "3" }, 3 * time.Second},
		// An HTTP date is in whole seconds.
		{"date", refusal, func() string { return httpDate(4 * time.Second) }, 3 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayGroup(t, 1, "u1", "u2")
				u := g.upstreams["u1:1"]
				g.sendCalls(10*time.Millisecond, time.Second)
				s := u.say(tc.kind, "Retry-After: "+tc.value()+"\r\n")
				g.sendCalls(10*time.Millisecond, 200*time.Millisecond)
				first := s.first(t)
				u.setRespond(nil)
				g.sendCalls(10*time.Millisecond, tc.pause+time.Second)
				assert.Equal(t, u.arrivedAfter(first, first+tc.pause), 0, "requests and probes while it pauses")
				g.sendCalls(10*time.Millisecond, 10*time.Second)
				assert.Assert(t, u.arrivedAfter(first+tc.pause, u.now()) > 0, "it gets requests after the pause")
			})
		})
	}
}

// TestLatestEndOfPausesCounts lets an upstream answer two requests at once, of
// which the second answer names the shorter pause.
func TestLatestEndOfPausesCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		f := g.forwarders[0]
		u := balance.Upstream{ID: "u1", Pool: "p"}
		for _, value := range []string{"5", "1", "0"} {
			f.recordNotice(u, answerHead{source: fromCall, status: 503, header: http.Header{"Retry-After": {value}}})
		}
		g.sendCalls(10*time.Millisecond, 4900*time.Millisecond)
		assert.Equal(t, g.upstreams["u1:1"].arrivedAfter(-1, 5*time.Second), 0)
		g.sendCalls(10*time.Millisecond, time.Second)
		assert.Assert(t, g.upstreams["u1:1"].arrivedAfter(0, 7*time.Second) > 0)
	})
}

// TestRetryAfterOfOtherAnswersChangesNothing lets an upstream send Retry-After
// with other status codes. It must be passed on with answers that are, and the
// upstream must still get requests.
func TestRetryAfterOfOtherAnswersChangesNothing(t *testing.T) {
	for _, status := range []int{200, 404, 413, 429, 500} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 1, "u1")
			u := g.upstreams["u1:1"]
			u.say(answerKind{"", false, fmt.Sprintf("HTTP/1.1 %d X\r\nBalsam-Upstream: s\r\nBalsam-Request-Id: %%s\r\n%%s", status) + answerEnd, keptOpen}, "Retry-After: 7\r\n")
			r := httptest.NewRequest(http.MethodPost, "/unsafe/x", nil)
			r.Host = "host.example"
			r.Header.Set("Balsam-Request-Id", "r1")
			w := httptest.NewRecorder()
			g.forwarders[0].ServeHTTP(w, r)
			if status != http.StatusTooManyRequests {
				assert.Equal(t, w.Code, status)
				assert.Equal(t, w.Header().Get("Retry-After"), "7")
			}
			// After a failure the upstream is held back for some time.
			time.Sleep(2 * time.Second)
			at := u.now()
			g.sendCalls(10*time.Millisecond, 100*time.Millisecond)
			assert.Assert(t, u.arrivedAfter(at-1, u.now()) > 0, "%d", status)
		})
	}
}

// inFlightLog records how many requests and probes an upstream has at once.
type inFlightLog struct {
	mu      sync.Mutex
	now     int
	highest int
}

func (l *inFlightLog) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += n
	l.highest = max(l.highest, l.now)
}

// TestUpstreamIsNotMetByAllCallsAtOnceAfterPause sends many calls to the only
// upstream around the end of its pause. It must get one request first, and more
// only as it answers; soon all calls are served.
func TestUpstreamIsNotMetByAllCallsAtOnceAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work, pause = 50 * time.Millisecond, time.Second
		g := newGatewayGroup(t, 1, "u1")
		u := g.upstreams["u1:1"]
		s := u.say(refusal, fmt.Sprintf("Retry-After: %v\r\n", pause.Seconds()))
		g.sendCalls(5*time.Millisecond, 500*time.Millisecond)
		var load inFlightLog
		var firstDone time.Duration
		var mostBefore int
		u.setRespond(func(conn net.Conn, r *http.Request) answered {
			load.add(1)
			defer load.add(-1)
			if r.URL.Path == "/health" {
				time.Sleep(time.Millisecond)
				return notAnswered
			}
			time.Sleep(work)
			if firstDone == 0 {
				firstDone, mostBefore = u.now(), load.highest
			}
			return notAnswered
		})
		g.sendCalls(5*time.Millisecond, s.first(t)+pause-u.now()-5*time.Millisecond)
		time.Sleep(s.first(t) + pause - u.now())
		var burst sync.WaitGroup
		for range 20 {
			burst.Go(func() { g.callOnce(g.forwarders[0]) })
		}
		burst.Wait()
		g.sendCalls(5*time.Millisecond, time.Second)
		assert.Equal(t, mostBefore, 1, "requests and probes at once until the first answer")
		assert.Assert(t, firstDone >= s.first(t)+pause)
		results := g.sendCalls(5*time.Millisecond, time.Second)
		assert.Equal(t, results.refused, 0)
	})
}

// TestCallsAreRefusedAtOnceWhileAllUpstreamsPause lets all upstreams pause, one
// for longer. Calls must be refused at once, with a time after the end of the
// shorter pause that differs between calls and at which a call is served.
func TestCallsAreRefusedAtOnceWhileAllUpstreamsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1", "u2")
		f := g.forwarders[0]
		for id, value := range map[string]string{"u1": "2", "u2": "60"} {
			f.recordNotice(balance.Upstream{ID: id, Pool: "p"}, answerHead{source: fromCall, status: 503, header: http.Header{"Retry-After": {value}}})
		}
		end := time.Now().Add(2 * time.Second)
		told := make(map[time.Duration]bool)
		var comeBack []time.Time
		for range 20 {
			w := g.callOnce(f)
			assert.Equal(t, w.Code, 503)
			assert.Equal(t, w.Header().Get("Balsam-Fault"), "upstreams_paused")
			assert.Equal(t, w.Header().Get("Balsam-Run"), "not run")
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			assert.NilError(t, err)
			after := time.Duration(seconds * float64(time.Second))
			assert.Assert(t, !time.Now().Add(after).Before(end), "told to come back after %s, %s before the end", after, time.Until(end))
			assert.Assert(t, after <= 2*time.Until(end)+time.Second, "told to come back after %s, %s before the end", after, time.Until(end))
			told[after] = true
			comeBack = append(comeBack, time.Now().Add(after))
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, len(told) > 10, "%d different times", len(told))
		var calls sync.WaitGroup
		for _, at := range comeBack {
			calls.Go(func() {
				time.Sleep(time.Until(at))
				assert.Check(t, g.callOnce(f).Code == 200)
			})
		}
		calls.Wait()
	})
}

// callOnce sends one call to the gateway.
func (g *gatewayGroup) callOnce(f *Forwarder) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	r.Host = "host.example"
	r.Header.Set("Balsam-Request-Id", "r1")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// TestRefusalByOnlyUpstreamNamesEndOfItsPause calls the only upstream, which turns
// the request away for 3 s. The caller must not be told to come back before.
func TestRefusalByOnlyUpstreamNamesEndOfItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		g.upstreams["u1:1"].say(refusal, "Retry-After: 3\r\n")
		w := g.callOnce(g.forwarders[0])
		assert.Equal(t, w.Code, 503)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 3, "told to come back after %v s", seconds)
	})
}

// TestWaitingCallsAreRefusedWhenLastUpstreamPauses fills the only upstream and
// lets it answer the running request with a pause.
func TestWaitingCallsAreRefusedWhenLastUpstreamPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		u := g.upstreams["u1:1"]
		u.setRespond(func(conn net.Conn, r *http.Request) answered {
			if r.URL.Path == "/health" {
				requests, _ := u.arrivals(0, u.now()+1)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBalsam-Upstream: u1\r\nBalsam-Load: %d 0 1 100\r\n%s", requests, answerEnd)
				return keptOpen
			}
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintf(conn, refusal.format, "r1", "Retry-After: 5\r\n")
			return keptOpen
		})
		results := g.sendCalls(10*time.Millisecond, 90*time.Millisecond)
		assert.Equal(t, results.served, 0)
		slowest := results.refusalTimes[len(results.refusalTimes)-1]
		assert.Assert(t, slowest <= 110*time.Millisecond, "a call was refused after %s", slowest)
		assert.Assert(t, results.shortestRetryAfter >= 4900*time.Millisecond, "told to come back after %s", results.shortestRetryAfter)
	})
}

// TestHousekeepingSendsNothingToPausedUpstream lets an upstream with a rate limit
// pause; the issuer of its permits must not probe it meanwhile.
func TestHousekeepingSendsNothingToPausedUpstream(t *testing.T) {
	for _, header := range []string{"Retry-After: 20\r\n", "Balsam-Leaving: 1\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			g := newGatewayGroup(t, 1, "u1")
			u := g.upstreams["u1:1"]
			u.setLimit("10")
			g.sendCalls(50*time.Millisecond, 8*time.Second)
			s := u.say(probeRefusal, "Balsam-Limit: 10\r\n"+header)
			g.sendCalls(50*time.Millisecond, 15*time.Second)
			first := s.first(t)
			u.setRespond(nil)
			assert.Equal(t, u.arrivedAfter(first, first+14*time.Second), 0, header)
		})
	}
}

// TestNoUpstreamIsTriedInDistress lets one upstream leave, one pause and one fail
// all requests. However bad the third one looks, the others must get nothing.
func TestNoUpstreamIsTriedInDistress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 2, "u1", "u2", "u3")
		leaves, pauses := g.upstreams["u1:1"], g.upstreams["u2:1"]
		left := leaves.say(answerKinds[0], "Balsam-Leaving: 1\r\n")
		paused := pauses.say(refusal, "Retry-After: 60\r\n")
		g.sendCalls(10*time.Millisecond, time.Second)
		g.upstreams["u3:1"].setRespond(func(net.Conn, *http.Request) answered { return broken })
		at := leaves.now()
		left.first(t)
		paused.first(t)
		results := g.sendCalls(10*time.Millisecond, 10*time.Second)
		assert.Equal(t, results.served, 0)
		assert.Equal(t, leaves.arrivedAfter(at, leaves.now())+pauses.arrivedAfter(at, pauses.now()), 0)
	})
}

// TestLogNamesPausedUpstream checks the log line, the metrics of the refusal and
// that explain shows the pause.
func TestLogNamesPausedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		var logs logFile
		g.logTo(&logs)
		g.upstreams["u1:1"].say(refusal, "Retry-After: 2.5\r\n")
		g.sendCalls(50*time.Millisecond, time.Second)
		paused := logs.named(t, "upstream_paused")
		assert.Equal(t, len(paused), 1)
		assertContains(t, paused[0], "upstream=u1", "pool=p", "source=call", "answer_to=r1", "pause_ms=2500", "until=")
		events := logs.eventsOf(t, "r1")
		assertContains(t, events["call_ended"], "upstreams_paused", "upstreams_paused=1", "1 upstreams have asked for a pause")
		assertContains(t, events["upstream_paused"], "upstream=u1")
	})
}

// TestVeryLongPauseIsFollowedForBoundedTime names a pause of a day.
func TestVeryLongPauseIsFollowedForBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGatewayGroup(t, 1, "u1")
		var logs logFile
		g.logTo(&logs)
		u := g.upstreams["u1:1"]
		u.say(refusal, "Retry-After: 86400\r\n")
		g.callOnce(g.forwarders[0])
		assertContains(t, logs.named(t, "notice_invalid")[0], "header=Retry-After", "value=86400")
		assertContains(t, logs.named(t, "upstream_paused")[0], "pause_ms=3.6e+06")
		time.Sleep(time.Hour)
		u.setRespond(nil)
		assert.Equal(t, g.callOnce(g.forwarders[0]).Code, 200)
	})
}

// TestLateAnswerThatAsksForPauseIsFollowed lets the only upstream take longer to turn
// a probe or a request away than the gateway waits for it. The gateway must still
// learn of the pause. A caller that leaves ends its request at the upstream too, so
// that there is no answer.
func TestLateAnswerThatAsksForPauseIsFollowed(t *testing.T) {
	const pause, contact, allowed = 3 * time.Second, 500 * time.Millisecond, 2
	cases := []struct {
		name string
		// probe is set if probes are turned away, otherwise requests.
		probe bool
		// after is the time that this takes.
		after time.Duration
		// timeoutMs is the time that callers wait.
		timeoutMs string
	}{
		{"probe", true, 120 * time.Millisecond, "2000"},
		{"request whose deadline has passed", false, 150 * time.Millisecond, "100"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGatewayGroup(t, 1, "u1")
				u := g.upstreams["u1:1"]
				g.sendCalls(10*time.Millisecond, time.Second)
				var mu sync.Mutex
				var first time.Duration
				u.setRespond(func(conn net.Conn, r *http.Request) answered {
					if (r.URL.Path == "/health") != tc.probe {
						return notAnswered
					}
					time.Sleep(tc.after)
					if _, err := fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nBalsam-Upstream: u1\r\nBalsam-Not-Run: 1\r\nBalsam-Request-Id: %s\r\nRetry-After: 3\r\n%s", r.Header.Get("Balsam-Request-Id"), answerEnd); err != nil {
						return broken
					}
					mu.Lock()
					defer mu.Unlock()
					if first == 0 {
						first = u.now()
					}
					return keptOpen
				})
				var calls sync.WaitGroup
				for range 80 {
					r := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
					r.Host = "host.example"
					r.Header.Set("Balsam-Request-Id", "r1")
					r.Header.Set("Balsam-Timeout-Ms", tc.timeoutMs)
					calls.Go(func() { g.forwarders[0].ServeHTTP(httptest.NewRecorder(), r) })
					time.Sleep(50 * time.Millisecond)
				}
				calls.Wait()
				mu.Lock()
				defer mu.Unlock()
				assert.Assert(t, first > 0, "no answer that asks for a pause was read")
				got := u.arrivedAfter(first+contact, first+pause)
				assert.Assert(t, got <= allowed, "%d requests and probes while it pauses, want at most %d", got, allowed)
			})
		})
	}
}
