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

// hedging returns a rig whose first upstream never answers by itself, and whose
// second one does. Calls wait the least time before they are hedged.
func hedging(t *testing.T, stuck, quick http.HandlerFunc) *rig {
	t.Helper()
	r := newRig(t, newUpstream(t, stuck), newUpstream(t, quick))
	for range paceSamples {
		r.forwarder.paces.add("s", time.Millisecond)
	}
	return r
}

func answerQuick(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "quick") }

func TestSlowRequestIsHedged(t *testing.T) {
	cancelled := make(chan struct{})
	r := hedging(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}, answerQuick)
	_, body := do(t, "GET", r.front.URL+"/s/x", "", "")
	assert.Equal(t, body, "quick")
	<-cancelled
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(r.slots.ended()) == 2 {
			return poll.Success()
		}
		return poll.Continue("%v", r.slots.ended())
	})
	ok, lost := 0, 0
	for _, o := range r.slots.ended() {
		switch o {
		case clusterpb.Outcome_OUTCOME_OK:
			ok++
		case clusterpb.Outcome_OUTCOME_CANCELLED:
			lost++
		}
	}
	assert.Equal(t, ok, 1)
	assert.Equal(t, lost, 1)
}

// The first attempt breaks while the second runs: the second one's answer is
// passed on.
func TestHedgeOutlivesBrokenAttempt(t *testing.T) {
	begun := make(chan struct{})
	broken := make(chan struct{})
	r := hedging(t, func(http.ResponseWriter, *http.Request) {
		<-begun
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-broken
		answerQuick(w, r)
	})
	r.quarantine.onBroken = func() { close(broken) }
	resp, body := do(t, "GET", r.front.URL+"/s/x", "", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "quick")
	assert.Equal(t, r.quarantine.count(), 1)
}

func TestUnsafeRequestsAreNotHedged(t *testing.T) {
	cases := []struct{ name, method, key string }{
		{"no key", "POST", ""},
		{"key", "POST", "k"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var second atomic.Int64
			r := hedging(t, func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(10 * minHedgeDelay)
				_, _ = io.WriteString(w, "slow")
			}, func(http.ResponseWriter, *http.Request) { second.Add(1) })
			_, body := do(t, tc.method, r.front.URL+"/s/x", tc.key, "")
			assert.Equal(t, body, "slow")
			assert.Equal(t, second.Load(), int64(0))
		})
	}
}

func TestHedgeDelayFollowsTheMean(t *testing.T) {
	p := newPaces()
	_, ok := p.hedgeAfter("s")
	assert.Assert(t, !ok)
	for range paceSamples {
		p.add("s", 100*time.Millisecond)
	}
	d, ok := p.hedgeAfter("s")
	assert.Assert(t, ok)
	assert.Assert(t, d > 200*time.Millisecond && d < 260*time.Millisecond, "%v", d)
}
