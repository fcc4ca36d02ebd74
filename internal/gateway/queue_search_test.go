package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSearchPausesWhenNoQueuedCallCanUseTheUpstream queues a call that only a full
// upstream may serve: the free one has refused it. The search must not probe the
// free one without a pause.
func TestSearchPausesWhenNoQueuedCallCanUseTheUpstream(t *testing.T) {
	free := startFakeUpstream(t, "free", nil)
	free.respond = free.responder(503, "Balsam-Not-Run: 1\r\n", "")
	free.setLoad("0 0 2 100")
	full := startFakeUpstream(t, "full", nil)
	respondOK(full)
	full.setLoad("2 0 2 100")
	var probes atomic.Int64
	free.onBody = func(r *http.Request, _ []byte) {
		if r.URL.Path == "/health" {
			probes.Add(1)
		}
	}
	fx := startForwarder(t, newConfig(free, full))
	status, _, _ := fx.callUntilSent(t, free, http.MethodGet, "/safe/x")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	// A call waits for less than half a second, and a search is made every 50 ms.
	assert.Assert(t, probes.Load() < 100, "%d probes", probes.Load())
}
