package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// newHedgingFixture returns a fixture with two upstreams that receive
// requests in turn: the first one stuck, the second one quick. Enough
// latencies are recorded for requests to be hedged after minHedgeDelay.
func newHedgingFixture(t *testing.T, stuck, quick http.HandlerFunc) *fixture {
	t.Helper()
	fx := newFixture(t, newUpstream(t, stuck), newUpstream(t, quick))
	for range minLatencySamples {
		fx.forwarder.latencies.record("s", time.Millisecond)
	}
	return fx
}

func respondQuick(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "quick") }

func TestSlowRequestIsHedged(t *testing.T) {
	cancelled := make(chan struct{})
	fx := newHedgingFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}, respondQuick)
	_, body := sendRequest(t, "GET", fx.front.URL+"/s/x", "", "")
	assert.Equal(t, body, "quick")
	<-cancelled
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(fx.slots.releasedOutcomes()) == 2 {
			return poll.Success()
		}
		return poll.Continue("%v", fx.slots.releasedOutcomes())
	})
	ok, abandoned := 0, 0
	for _, o := range fx.slots.releasedOutcomes() {
		switch o {
		case clusterpb.Outcome_OUTCOME_OK:
			ok++
		case clusterpb.Outcome_OUTCOME_CANCELLED:
			abandoned++
		}
	}
	assert.Equal(t, ok, 1)
	assert.Equal(t, abandoned, 1)
}

// The first attempt breaks while the hedge is running. The response to the
// hedge is returned, and the crash is still reported.
func TestHedgeResponseIsUsedWhenFirstAttemptBreaks(t *testing.T) {
	started := make(chan struct{})
	broken := make(chan struct{})
	fx := newHedgingFixture(t, func(http.ResponseWriter, *http.Request) {
		<-started
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-broken
		respondQuick(w, r)
	})
	fx.quarantine.onCrash = func() { close(broken) }
	resp, body := sendRequest(t, "GET", fx.front.URL+"/s/x", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "quick")
	assert.Equal(t, fx.quarantine.crashCount(), 1)
}

func TestNonRepeatableRequestsAreNotHedged(t *testing.T) {
	cases := []struct{ name, method, key string }{
		{"no key", "POST", ""},
		{"key", "POST", "k"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var second atomic.Int64
			fx := newHedgingFixture(t, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(10 * minHedgeDelay)
				_, _ = io.WriteString(w, "slow")
			}, func(http.ResponseWriter, *http.Request) { second.Add(1) })
			_, body := sendRequest(t, tc.method, fx.front.URL+"/s/x", tc.key, "")
			assert.Equal(t, body, "slow")
			assert.Equal(t, second.Load(), int64(0))
		})
	}
}

func TestHedgeDelayIsMultipleOfMeanLatency(t *testing.T) {
	latencies := newLatencyTracker()
	_, ok := latencies.hedgeDelay("s")
	assert.Assert(t, !ok)
	for range minLatencySamples {
		latencies.record("s", 100*time.Millisecond)
	}
	d, ok := latencies.hedgeDelay("s")
	assert.Assert(t, ok)
	assert.Assert(t, d > 200*time.Millisecond && d < 260*time.Millisecond, "%v", d)
}
