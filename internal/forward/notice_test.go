package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// get sends a request to the front of the fixture and returns status and header.
func (fx *fixture) get(t *testing.T, path string) (int, http.Header) {
	t.Helper()
	resp, err := http.Get(fx.front.URL + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header
}

// TestGrantIsNotUsedAfterUpstreamHasSaidThatItLeaves lets one of two upstreams
// leave or pause, while its dispatcher goes on granting its slots. It must get
// nothing more, and the dispatcher must be told.
func TestGrantIsNotUsedAfterUpstreamHasSaidThatItLeaves(t *testing.T) {
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter)
		want   notice.Notice
	}{
		{"leaving", func(w http.ResponseWriter) { w.Header().Set(notice.HeaderLeaving, "1") }, notice.Notice{Leaving: true}},
		{"leaving, interim answer", func(w http.ResponseWriter) {
			w.Header().Set(notice.HeaderLeaving, "1")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del(notice.HeaderLeaving)
		}, notice.Notice{Leaving: true}},
		{"leaving, error", func(w http.ResponseWriter) {
			w.Header().Set(notice.HeaderLeaving, "1")
			w.WriteHeader(http.StatusNotFound)
		}, notice.Notice{Leaving: true}},
		{"pause", func(w http.ResponseWriter) {
			w.Header().Set(fault.HeaderRun, string(fault.NotRun))
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, notice.Notice{Pause: time.Minute}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var requests atomic.Int64
			said := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
				requests.Add(1)
				tc.answer(w)
			})
			other := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {})
			fx := newFixture(t, said, other)
			for range 10 {
				fx.get(t, "/s/x")
			}
			assert.Equal(t, requests.Load(), int64(1))
			first, later := fx.slots.noticesOf(said)[0], fx.slots.noticesOf(said)[1:]
			assert.Equal(t, first.Leaving, tc.want.Leaving)
			assert.Assert(t, first.Pause <= tc.want.Pause && first.Pause >= tc.want.Pause-5*time.Second, "%s", first.Pause)
			assert.Assert(t, len(later) > 0)
			for _, outcome := range fx.slots.outcomesOf(said)[1:] {
				assert.Equal(t, outcome, clusterpb.Outcome_OUTCOME_UNUSED)
			}
		})
	}
}

// TestCallIsRefusedIfOnlyLeavingUpstreamsAreGranted lets the dispatcher grant
// nothing but the slots of an upstream that is leaving.
func TestCallIsRefusedIfOnlyLeavingUpstreamsAreGranted(t *testing.T) {
	var requests atomic.Int64
	fx := newFixture(t, newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set(notice.HeaderLeaving, "1")
	}))
	status, _ := fx.get(t, "/s/x")
	assert.Equal(t, status, 200)
	status, h := fx.get(t, "/s/x")
	assert.Equal(t, status, 503)
	assert.Equal(t, h.Get(fault.HeaderKind), string(fault.UpstreamsPaused))
	assert.Equal(t, h.Get(fault.HeaderRun), string(fault.NotRun))
	assert.Equal(t, requests.Load(), int64(1))
}
