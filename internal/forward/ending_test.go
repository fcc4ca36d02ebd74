package forward

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// TestCallsAreAnsweredWhenThePlannedStopEnds guards against connections that a planned
// stop closes without an answer: of a call that waits for a slot, and of one whose
// upstream does not answer.
func TestCallsAreAnsweredWhenThePlannedStopEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		sent   bool
		status int
		run    fault.RunStatus
	}{
		{"waits for a slot", false, http.StatusServiceUnavailable, fault.NotRun},
		{"runs at an upstream", true, http.StatusGatewayTimeout, fault.RunUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ending, end := context.WithCancel(t.Context())
			up := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
				assert.Check(t, tc.sent)
				end()
				<-r.Context().Done()
			})
			fx := newFixture(t, up)
			fx.forwarder.opts.Ending = ending
			if !tc.sent {
				fx.slots.onAcquire = end
			}
			resp, _ := sendRequest(t, http.MethodGet, fx.front.URL+"/s/x", "", "")
			assert.Equal(t, resp.StatusCode, tc.status)
			assert.Equal(t, resp.Header.Get(fault.HeaderRun), string(tc.run))
		})
	}
}
