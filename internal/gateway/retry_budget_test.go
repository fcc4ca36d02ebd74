package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/retry"
)

// TestGatewayHasNoSlackBeforeItIsRegistered starts a gateway whose configuration
// does not name it. It must have no part of the slack of the retry budgets, and
// once it is named, a part that grows over a window.
func TestGatewayHasNoSlackBeforeItIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
		st := newState("g1", "a", 1, limits)
		remaining := func() float64 {
			st.mu.Lock()
			defer st.mu.Unlock()
			return st.retryBudget("p").Remaining(st.now(), limits, st.retryShare())
		}
		cfg := newConfig()
		cfg.Entries = []*catalogpb.Entry{{Id: "g2"}}
		st.applyConfig(configview.New(cfg))
		time.Sleep(time.Minute)
		assert.Equal(t, remaining(), 0.0)
		assert.Assert(t, !st.reserveRetry("p"))

		registered := newConfig()
		registered.Revision = cfg.Revision + 1
		registered.Entries = []*catalogpb.Entry{{Id: "g2"}, {Id: "g1"}}
		st.applyConfig(configview.New(registered))
		assert.Equal(t, remaining(), 0.0)
		time.Sleep(limits.Window / 2)
		half := remaining()
		assert.Assert(t, half > 0)
		time.Sleep(time.Minute)
		assert.Equal(t, remaining(), 2*half)
	})
}

// TestRetryThatIsNotSentIsReleased sends requests that their only upstream turns
// away: none can be sent again, and none may use up the retry budget.
func TestRetryThatIsNotSentIsReleased(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	s.respond = s.responder(503, "Balsam-Not-Run: 1\r\n", "")
	fx := startForwarder(t, newConfig(s))
	remaining := func() float64 {
		fx.state.mu.Lock()
		defer fx.state.mu.Unlock()
		return fx.state.retryBudget("p").Remaining(fx.state.now(), fx.state.retryLimits, fx.state.retryShare())
	}
	before := remaining()
	for range 5 {
		status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(s.requests()), 5)
	assert.Assert(t, remaining() >= before)
}

// TestLogTellsRetriesSentFromRefused sends requests that their upstreams turn away
// until the retry budget is used up: those of the first two calls are sent, and
// refused are a second one of the second call and those of the other two.
func TestLogTellsRetriesSentFromRefused(t *testing.T) {
	var upstreams []*fakeUpstream
	for _, id := range []string{"u1", "u2"} {
		s := startFakeUpstream(t, id, nil)
		s.respond = s.responder(503, "Balsam-Not-Run: 1\r\n", "")
		upstreams = append(upstreams, s)
	}
	var logs logFile
	fx := startForwarderWithLog(t, newConfig(upstreams...), logs.logger("gateway", "g1"))
	fx.state.retryLimits.Slack = 5
	for range 4 {
		status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	fx.state.reportRetries(logs.logger("gateway", "g1"))
	fx.state.reportRetries(logs.logger("gateway", "g1"))
	lines := logs.named(t, "retries_refused")
	assert.Equal(t, len(lines), 1)
	assertContains(t, lines[0], "pool=p", "sent=2", "refused=3", "gateways=1")
}
