package load

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/lookup"
)

func startServer(t *testing.T, h http.HandlerFunc) lookup.Entry {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return lookup.Entry{Address: srv.Listener.Addr().String()}
}

func shortPlan(targets ...lookup.Entry) Plan {
	return Plan{Targets: targets, Rate: 400, Duration: 250 * time.Millisecond, Path: "/x", Timeout: time.Minute}
}

func TestArrivalsArePoissonAndReproducibleBySeed(t *testing.T) {
	const n, rate = 20_000, 1_000.0
	a, b := newArrivals(rate, 7), newArrivals(rate, 7)
	var last time.Duration
	var sum, squares float64
	for range n {
		at := a.next()
		assert.Equal(t, at, b.next())
		gap := (at - last).Seconds()
		sum, squares, last = sum+gap, squares+gap*gap, at
	}
	mean := sum / n
	deviation := math.Sqrt(squares/n - mean*mean)
	assert.Assert(t, math.Abs(mean*rate-1) < 0.05)
	assert.Assert(t, math.Abs(deviation/mean-1) < 0.05, "the intervals between arrivals must be exponentially distributed")
}

// The server sends no response until 40 requests have arrived, so a generator
// that waits for responses before it sends more would hang.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	const concurrent = 40
	var arrived atomic.Int64
	release := make(chan struct{})
	target := startServer(t, func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == concurrent {
			close(release)
		}
		<-release
	})
	plan := shortPlan(target)
	plan.Duration = time.Second
	r, err := Run(context.Background(), plan)
	assert.NilError(t, err)
	assert.Assert(t, r.Answered >= concurrent)
	assert.Equal(t, r.Answered, r.Arrived)
}

func TestLatencyCountsFromTheIntendedArrival(t *testing.T) {
	plan := shortPlan(startServer(t, func(http.ResponseWriter, *http.Request) {}))
	assert.NilError(t, plan.prepare())
	targets, err := newTargets(context.Background(), &plan)
	assert.NilError(t, err)
	const late = 3 * time.Second
	s := newCaller(&plan, targets).call(context.Background(), 1, time.Now().Add(-late), 0)
	assert.Equal(t, s.outcome, outcomeAnswered)
	assert.Assert(t, s.latency >= late && s.sendDelay >= late)
}

func TestArrivalsBeyondMaxInFlightAreDroppedAndCounted(t *testing.T) {
	release := make(chan struct{})
	target := startServer(t, func(http.ResponseWriter, *http.Request) { <-release })
	plan := shortPlan(target)
	plan.MaxInFlight = 2
	time.AfterFunc(2*plan.Duration, func() { close(release) })
	r, err := Run(context.Background(), plan)
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, uint64(2))
	assert.Equal(t, r.Dropped, r.Arrived-2)
	assert.Equal(t, r.Outcome(outcomeDropped), r.Dropped)
}

// failFirstAttempt handles the first attempt of each request with first and
// answers later ones with 200. It records the idempotency key of each attempt.
type failFirstAttempt struct {
	mu    sync.Mutex
	seen  map[string][]string
	first http.HandlerFunc
}

func (s *failFirstAttempt) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(HeaderRequestNumber)
	s.mu.Lock()
	s.seen[request] = append(s.seen[request], r.Header.Get(headerIdempotencyKey))
	attempt := len(s.seen[request])
	s.mu.Unlock()
	if attempt == 1 {
		s.first(w, r)
	}
}

func refuseWith(kind fault.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteHTTP(w, fault.NewRetryable(kind, time.Millisecond, ""))
	}
}

func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

func sendTruncatedResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "10")
	_, _ = io.WriteString(w, "12345")
	panic(http.ErrAbortHandler)
}

func TestFailedFirstAttemptIsResentOnlyWhenSafe(t *testing.T) {
	final := func(w http.ResponseWriter, _ *http.Request) { fault.WriteHTTP(w, fault.New(fault.KeyConflict, "")) }
	cases := []struct {
		name     string
		method   string
		key      bool
		resends  int
		first    http.HandlerFunc
		outcome  string
		attempts int
	}{
		{"refusal that did not run is resent", http.MethodPost, false, 1, refuseWith(fault.QueueFull), outcomeAnswered, 2},
		{"refusal with unknown outcome is not resent", http.MethodPost, false, 1, refuseWith(fault.OutcomeUnknown), "outcome_unknown", 1},
		{"refusal with unknown outcome is resent with a key", http.MethodPost, true, 1, refuseWith(fault.OutcomeUnknown), outcomeAnswered, 2},
		{"refusal without retry delay is not resent", http.MethodPost, true, 1, final, "key_conflict", 1},
		{"refusal is not resent when resends is 0", http.MethodPost, false, 0, refuseWith(fault.QueueFull), "queue_full", 1},
		{"lost connection is not resent", http.MethodPost, false, 1, closeConnection, outcomeConnectionLost, 1},
		{"lost connection with a key when resends is 0", http.MethodPost, true, 0, closeConnection, outcomeConnectionLost, 1},
		{"lost connection of a GET when resends is 0", http.MethodGet, false, 0, closeConnection, outcomeConnectionLost, 1},
		{"truncated response when resends is 0", http.MethodGet, false, 0, sendTruncatedResponse, outcomeConnectionLost, 1},
		{"server error of the upstream is not resent", http.MethodGet, false, 1, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, outcomeServerError, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &failFirstAttempt{seen: make(map[string][]string), first: tc.first}
			srv := httptest.NewServer(s)
			defer srv.Close()
			plan := shortPlan(lookup.Entry{Address: srv.Listener.Addr().String()})
			plan.Method, plan.IdempotencyKey, plan.Resends = tc.method, tc.key, tc.resends
			r, err := Run(context.Background(), plan)
			assert.NilError(t, err)
			assert.Equal(t, r.Outcome(tc.outcome), r.Arrived)
			s.mu.Lock()
			defer s.mu.Unlock()
			for request, keys := range s.seen {
				assert.Equal(t, len(keys), tc.attempts, request)
				assert.Equal(t, keys[0] != "", tc.key)
				assert.Equal(t, keys[0], keys[len(keys)-1])
			}
		})
	}
}

func TestVerifyErrorCountsAnswerAsWrong(t *testing.T) {
	plan := shortPlan(startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "wrong")
	}))
	plan.Verify = func(_ uint64, _ *http.Response, body []byte) error {
		return errors.Errorf("got %q", body)
	}
	r, err := Run(context.Background(), plan)
	assert.NilError(t, err)
	assert.Equal(t, r.Outcome(outcomeWrongAnswer), r.Arrived)
	assert.Equal(t, r.Failed, r.Arrived)
}

func TestRunRepeatsLookupAfterTTL(t *testing.T) {
	var lookups atomic.Int64
	var second lookup.Entry
	calls := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) }
	second = startServer(t, calls)
	first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		lookups.Add(1)
		assert.Check(t, r.URL.Query().Get("service") == "s" && r.URL.Query().Get("zone") == "z")
		_ = json.NewEncoder(w).Encode(lookup.Response{Service: "s", Entries: []lookup.Entry{second}, TTLMs: 1})
	})
	plan := Plan{Service: "s", Zone: "z", LookupAddresses: []string{"127.0.0.1:1", first.Address}, Rate: 100, Duration: 700 * time.Millisecond, Path: "/"}
	r, err := Run(context.Background(), plan)
	assert.NilError(t, err)
	assert.Equal(t, r.Answered, r.Arrived)
	assert.Assert(t, lookups.Load() >= 2)
}

func TestPickFollowsWeightsAndAvoidsTriedEntries(t *testing.T) {
	two := &targets{}
	two.response.Store(&lookup.Response{Entries: []lookup.Entry{{Address: "a", Weight: 3}, {Address: "b", Weight: 1}}})
	counts := make(map[string]int)
	for range 4_000 {
		counts[two.pick(nil)]++
	}
	assert.Assert(t, counts["a"] > 2_700 && counts["a"] < 3_300)
	assert.Equal(t, two.pick([]string{"a"}), "b")
	one := &targets{}
	one.response.Store(&lookup.Response{Entries: []lookup.Entry{{Address: "a"}}})
	assert.Equal(t, one.pick([]string{"a"}), "a")
}

func TestRunRejectsInvalidPlans(t *testing.T) {
	good := shortPlan(lookup.Entry{Address: "127.0.0.1:1"})
	for name, change := range map[string]func(*Plan){
		"rate is zero":                       func(p *Plan) { p.Rate = 0 },
		"duration is zero":                   func(p *Plan) { p.Duration = 0 },
		"warm-up is as long as the duration": func(p *Plan) { p.Warmup = p.Duration },
		"path without leading slash":         func(p *Plan) { p.Path = "x" },
		"neither targets nor look-up":        func(p *Plan) { p.Targets = nil },
	} {
		plan := good
		change(&plan)
		_, err := Run(context.Background(), plan)
		assert.Equal(t, fault.KindOf(err), fault.BadRequest, name)
	}
}

func TestReportIsWrittenAsJSONAndSVG(t *testing.T) {
	plan := shortPlan(startServer(t, func(http.ResponseWriter, *http.Request) {}))
	plan.Service, plan.Warmup = "a<b", 50*time.Millisecond
	var progress bytes.Buffer
	plan.Progress = &progress
	r, err := Run(context.Background(), plan)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, r.WriteJSON(&out))
	var back Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &back))
	assert.DeepEqual(t, back, r)
	assert.Assert(t, r.Latency.P50Ms <= r.Latency.P99Ms && r.Latency.P99Ms <= r.Latency.MaxMs)
	assert.Assert(t, r.Seconds[0].Arrived > r.Arrived, "the warm-up must be excluded from the totals but not from the seconds")

	out.Reset()
	assert.NilError(t, WriteSVG(&out, "t<", []Series{{"one", r}, {"none", Report{}}}))
	for dec := xml.NewDecoder(&out); ; {
		_, err := dec.Token()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
	}
}

// When a reused connection is lost, http.Transport by default resends a GET and
// any request with an idempotency key. The generator would then not count the
// second attempt. The server closes the connection on the second request.
func TestLostConnectionIsNotResentByTransport(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var second atomic.Int64
		target := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(HeaderRequestNumber) == "2" {
				second.Add(1)
				closeConnection(w, r)
			}
		})
		plan := shortPlan(target)
		plan.Method, plan.IdempotencyKey = method, true
		assert.NilError(t, plan.prepare())
		targets, err := newTargets(context.Background(), &plan)
		assert.NilError(t, err)
		c := newCaller(&plan, targets)
		assert.Equal(t, c.call(context.Background(), 1, time.Now(), 0).outcome, outcomeAnswered)
		assert.Equal(t, c.call(context.Background(), 2, time.Now(), 0).outcome, outcomeConnectionLost)
		assert.Equal(t, second.Load(), int64(1), method)
	}
}
