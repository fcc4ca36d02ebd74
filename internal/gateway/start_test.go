package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/wait"
)

// Callers with kept addresses arrive before the first configuration after a loss of
// power. Their calls must wait only as long as the state is expected soon, and never
// for a large part of the time that the caller has.
func TestStartupWait(t *testing.T) {
	for _, c := range []struct {
		name               string
		sinceStart, stated time.Duration
		want               time.Duration
	}{
		{"just started, no timeout stated", 0, 0, maxStartupWait},
		{"just started, long timeout", 0, time.Minute, maxStartupWait},
		{"just started, short timeout", 0, 500 * time.Millisecond, 75 * time.Millisecond},
		{"state is late", startupWindow - 100*time.Millisecond, time.Minute, 100 * time.Millisecond},
		{"control cannot be reached", startupWindow + time.Second, time.Minute, 0},
	} {
		assert.Equal(t, startupWait(c.sinceStart, c.stated), c.want, c.name)
	}
}

// A call that arrives just before the first desired state must be served rather than
// sent away, also if it was the first of many.
func TestCallBeforeFirstStateIsServedOnceTheStateArrives(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	fx := startForwarder(t, nil)
	fx.state.started = time.Now()
	statuses := make(chan int)
	for range 3 {
		go func() {
			status, _, _ := fx.call(t, http.MethodGet, "/safe/x", "")
			statuses <- status
		}()
	}
	for fx.forwarder.startupWaiters.Load() < 3 {
		wait.For(t.Context(), time.Millisecond)
	}
	fx.state.applyConfig(configview.New(newConfig(s)))
	for range 3 {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
	assert.Equal(t, fx.forwarder.startupWaiters.Load(), int64(0))
}

// Calls that wait for the first state hold memory: beyond the bound they are refused at
// once, and so are all calls once control has not answered for a while.
func TestCallBeforeFirstStateIsRefusedBeyondTheBounds(t *testing.T) {
	fx := startForwarder(t, nil)
	status, _, h := fx.call(t, http.MethodGet, "/safe/x", "")
	assertDenied(t, "control cannot be reached", false, 0, status, h)
	fx.state.started = time.Now()
	fx.forwarder.startupWaiters.Store(maxStartupWaiters)
	status, _, h = fx.call(t, http.MethodGet, "/safe/x", "")
	assertDenied(t, "too many calls wait", false, 0, status, h)
	assert.Equal(t, fx.forwarder.startupWaiters.Load(), int64(maxStartupWaiters))
}
