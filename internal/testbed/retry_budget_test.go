package testbed

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	retryRatio  = 0.2
	retrySlack  = 80
	retryWindow = 4 * time.Second
	// deadlineTolerance is how much longer than the caller waits an upstream may
	// work on a repeated request.
	deadlineTolerance = 500 * time.Millisecond
)

var retrySettings = fmt.Sprintf("[retry]\nratio = %v\nslack = %v\nwindow_ms = %d\n", retryRatio, float64(retrySlack), retryWindow.Milliseconds())

// drawnAnswers draws the answers of upstreams that turn most requests away. It
// is safe for concurrent use.
func drawnAnswers(seed uint64) func(*http.Request) upstreamAnswer {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	return func(*http.Request) upstreamAnswer {
		mu.Lock()
		defer mu.Unlock()
		switch n := rng.IntN(200); {
		case n < 1:
			return answerReset
		case n < 2:
			return answerFailure
		case n < 4:
			return answerOK
		default:
			return answerNotRun
		}
	}
}

// windowCount is the number of requests and retries in one window.
type windowCount struct {
	retries, requests int
	allowed           float64
}

// exceeded returns by how many retries the limit is exceeded, negative if it is
// not.
func (w windowCount) exceeded() float64 { return float64(w.retries) - w.allowed }

// worstWindow returns the window in which the retries exceed the limit most.
// Arrivals at upstreams after the first of each request are retries. Requests are
// counted in the window, the one before it or the one half a window before it,
// whichever has most.
func (r *gatewayTraffic) worstWindow() windowCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sent, retries []time.Time
	for _, request := range r.sent {
		sent = append(sent, request.at)
	}
	seen := make(map[string]bool)
	for _, a := range r.arrivals {
		if seen[a.request] {
			retries = append(retries, a.at)
		}
		seen[a.request] = true
	}
	var worst windowCount
	for i, end := range retries {
		w := windowCount{retries: countBetween(retries, end.Add(-retryWindow), end)}
		for _, before := range []time.Duration{0, retryWindow / 2, retryWindow} {
			w.requests = max(w.requests, countBetween(sent, end.Add(-before-retryWindow), end.Add(-before)))
		}
		w.allowed = retryRatio*float64(w.requests) + retrySlack
		if i == 0 || w.exceeded() > worst.exceeded() {
			worst = w
		}
	}
	return worst
}

// countBetween returns how many of times are in (from, to].
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// checkRetries checks what reached the upstreams against the limits on retries.
func (s *gatewaySystem) checkRetries() {
	s.t.Helper()
	worst := s.traffic.worstWindow()
	s.traffic.mu.Lock()
	defer s.traffic.mu.Unlock()
	s.t.Logf("%d requests, %d arrivals, answers %v; worst window: %+v", len(s.traffic.sent), len(s.traffic.arrivals), s.traffic.answers, worst)
	assert.Assert(s.t, worst.exceeded() <= 0, "%d retries in %s of all gateways with %d requests, allowed %v", worst.retries, retryWindow, worst.requests, worst.allowed)
	assert.Assert(s.t, worst.retries > 0, "no request was sent a second time")
	runs := make(map[string]int)
	first := make(map[string]arrivalAtUpstream)
	for _, a := range s.traffic.arrivals {
		if a.ran {
			runs[a.request]++
		}
		assert.Assert(s.t, runs[a.request] <= gatewayMaxAttempts, "request %s ran on %d upstreams", a.request, runs[a.request])
		assert.Assert(s.t, a.left > 0 && a.left <= gatewayTimeout, "request %s was sent with %s left", a.request, a.left)
		before, repeated := first[a.request]
		if !repeated {
			first[a.request] = a
			continue
		}
		// A gateway does not know how long a request has waited to be read.
		deadline := s.traffic.sent[a.request].at.Add(gatewayTimeout)
		if before.deadline().After(deadline) {
			deadline = before.deadline()
		}
		late := a.deadline().Sub(deadline)
		assert.Assert(s.t, late <= deadlineTolerance, "request %s was sent again with %s left, which ends %s after its deadline", a.request, a.left, late)
	}
}

// TestRetriesStayWithinTheBudgetThroughKills kills gateways in turn and starts
// them again under their IDs, many times in a window, while upstreams turn
// requests away. Callers use their connections until the process is gone.
func TestRetriesStayWithinTheBudgetThroughKills(t *testing.T) {
	const seed = 1
	s := newGatewaySystem(t, 1, retrySettings)
	s.startRecordingUpstreams(8, drawnAnswers(seed))
	for i := range 4 {
		s.addGateway()
		s.awaitGateway(i)
	}
	s.awaitRegistered(len(s.entries))
	stop := s.startCallers(10, "/safe/", 100*time.Millisecond, seed)
	// Every gateway has its whole part of the slack before the first kill.
	time.Sleep(retryWindow)
	kills := 0
	for end := time.Now().Add(2 * retryWindow); time.Now().Before(end); {
		for i, p := range s.entries {
			kills++
			p.kill()
			p.start()
			s.awaitGateway(i)
			time.Sleep(100 * time.Millisecond)
		}
	}
	stop()
	t.Logf("%d kills in %s", kills, 2*retryWindow)
	s.checkRetries()
}

// TestRetriesStayWithinTheBudgetBeforeRegistration starts gateways while control
// has no majority, so that none of them can be registered: they serve with a
// configuration that does not know of them.
func TestRetriesStayWithinTheBudgetBeforeRegistration(t *testing.T) {
	const seed = 1
	s := newGatewaySystem(t, 3, retrySettings)
	s.startRecordingUpstreams(8, drawnAnswers(seed))
	s.addGateway()
	s.awaitGateway(0)
	s.awaitRegistered(1)
	s.awaitReplicated()
	s.controls[0].kill()
	s.controls[1].kill()
	for i := 1; i < 8; i++ {
		s.addGateway()
		s.awaitGateway(i)
	}
	stop := s.startCallers(6, "/safe/", 100*time.Millisecond, seed)
	time.Sleep(2 * retryWindow)
	stop()
	s.checkRetries()
}

const (
	crashPath = "/safe/crash"
	// crashContact is the time within which gateways learn of a crash, and a gateway
	// that has started of earlier ones.
	crashContact   = 3 * time.Second
	crashThreshold = 3
	// maxSendsAfterCrashes is the number of arrivals that are allowed later.
	maxSendsAfterCrashes = 3
)

// TestCrashingRequestIsHeldOffThroughKills sends a request that crashes each
// upstream through all gateways again and again, while gateways are killed in turn
// and start again without what they knew.
func TestCrashingRequestIsHeldOffThroughKills(t *testing.T) {
	const seed = 1
	s := newGatewaySystem(t, 1, retrySettings)
	s.startRecordingUpstreams(8, func(r *http.Request) upstreamAnswer {
		if r.URL.Path == crashPath {
			return answerCrash
		}
		return answerOK
	})
	for i := range 4 {
		s.addGateway()
		s.awaitGateway(i)
	}
	s.awaitRegistered(len(s.entries))
	stopOthers := s.startCallers(4, "/safe/", 50*time.Millisecond, seed)
	stopCrashes := s.startCallers(2, crashPath, 100*time.Millisecond, seed+1)
	// kills holds the times at which the gateways were killed, by address.
	kills := make(map[string][]time.Time)
	for i, p := range append(s.entries, s.entries[:2]...) {
		time.Sleep(crashContact / 2)
		address := s.callers[i%len(s.callers)]
		kills[address] = append(kills[address], time.Now())
		p.kill()
		p.start()
		s.awaitGateway(i % len(s.callers))
	}
	time.Sleep(crashContact)
	stopCrashes()
	stopOthers()

	s.traffic.mu.Lock()
	defer s.traffic.mu.Unlock()
	var crashes, late []time.Time
	for _, a := range s.traffic.arrivals {
		if a.path != crashPath {
			continue
		}
		crashes = append(crashes, a.at)
		restarted := countBetween(kills[s.traffic.sent[a.request].gateway], a.at.Add(-crashContact), a.at) > 0
		if len(crashes) > crashThreshold && a.at.After(crashes[crashThreshold-1].Add(crashContact)) && !restarted {
			late = append(late, a.at)
		}
	}
	t.Logf("%d requests, answers %v, %d crashes, %d of them late", len(s.traffic.sent), s.traffic.answers, len(crashes), len(late))
	assert.Assert(t, len(crashes) >= crashThreshold)
	assert.Assert(t, len(late) <= maxSendsAfterCrashes, "gateways that had run for %s sent a request that had crashed %d upstreams %d times later than %s after",
		crashContact, crashThreshold, len(late), crashContact)
}
