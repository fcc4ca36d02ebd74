package gateway

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/organisation"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// newOrganisation returns an organisation with the given API keys.
func newOrganisation(name string, keys ...string) *catalogpb.Organisation {
	return &catalogpb.Organisation{Name: name, KeyDigests: organisation.Digests(keys)}
}

// newKeyedState returns a desired state of newKeyedConfig.
func newKeyedState(version uint64, organisations ...*catalogpb.Organisation) *catalogpb.DesiredState {
	cfg := newKeyedConfig(nil, organisations...)
	return &catalogpb.DesiredState{Version: version, Routes: cfg.Routes, Pools: cfg.Pools, Organisations: organisations}
}

// headerRecorder records the header of the newest request of a call that an upstream
// got.
type headerRecorder struct {
	mu   sync.Mutex
	last http.Header
}

func (h *headerRecorder) record(r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.URL.Path != "/health" {
		h.last = r.Header
	}
}

func (h *headerRecorder) newest() http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// getWithKey sends a call with the API key and returns the status.
func (d *Daemon) getWithKey(t *testing.T, path, key string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.CallerListen+path, nil)
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header.Set("Balsam-Api-Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestRemovedKeyStopsAtGatewayWithoutControl removes an API key while a gateway cannot
// reach control. From revoke_within_ms after the acknowledgement the gateway must not
// run requests with the key. Until 0.6 of that time without contact it must serve the
// keys that it knows, and all keys of the newest state once it is in contact again.
func TestRemovedKeyStopsAtGatewayWithoutControl(t *testing.T) {
	const revokeWithin = 6 * time.Second
	var headers headerRecorder
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	s.onRequest = headers.record
	var link *cuttableLink
	admin, control := startControlBehind(t, func(listen string) string {
		link = newCuttableLink(t, listen)
		return link.listener.Addr().String()
	})
	apply := func(state *catalogpb.DesiredState) {
		waitUntil(t, "control did not accept the state", func() bool {
			_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: proto.CloneOf(state)})
			return err == nil
		})
	}
	apply(newKeyedState(1, newOrganisation("a", "key-1", "key-2")))
	upstream := newConfig(s).Upstreams[0]
	upstream.Sequence = 1
	_, err := admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: upstream})
	assert.NilError(t, err)
	g := startSystemGatewayWith(t, "g1", control, Options{Logs: io.Discard}, func(s *settings.Gateway) {
		s.RevokeWithinMs = settings.Millis(revokeWithin.Milliseconds())
	})
	waitUntil(t, "a known key is not served", func() bool { return g.getWithKey(t, "/safe/x", "key-1") == http.StatusOK })
	assert.DeepEqual(t, headers.newest().Values("Balsam-Organisation"), []string{"a"})
	link.setDown(true)
	cut := time.Now()
	apply(newKeyedState(2, newOrganisation("a", "key-2")))
	acknowledged := time.Now()
	for time.Since(cut) < revokeWithin*6/10 {
		assert.Equal(t, g.getWithKey(t, "/safe/x", "key-2"), http.StatusOK, "%s after the link was cut", time.Since(cut))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(revokeWithin)))
	for range 20 {
		assert.Equal(t, g.getWithKey(t, "/safe/x", "key-1"), http.StatusServiceUnavailable)
		assert.Equal(t, g.getWithKey(t, "/open/x", ""), http.StatusOK, "a public route needs no key")
		time.Sleep(20 * time.Millisecond)
	}
	link.setDown(false)
	waitUntil(t, "a removed key is not refused as unknown", func() bool { return g.getWithKey(t, "/safe/x", "key-1") == http.StatusUnauthorized })
	assert.Equal(t, g.getWithKey(t, "/safe/x", "key-2"), http.StatusOK)
}
