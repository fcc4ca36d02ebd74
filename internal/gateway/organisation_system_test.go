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

// newState returns a desired state with the routes safe, unsafe and open, of which the
// last is public.
func newKeyedState(version uint64, organisations ...*catalogpb.Organisation) *catalogpb.DesiredState {
	open := newRoute("open", catalogpb.RouteKind_ROUTE_KIND_SAFE)
	open.Public = true
	return &catalogpb.DesiredState{Version: version, Routes: append(newConfig().Routes, open), Pools: newConfig().Pools, Organisations: organisations}
}

// headerRecorder records the headers of the requests of calls that an upstream gets.
type headerRecorder struct {
	mu   sync.Mutex
	last http.Header
	all  []http.Header
}

func (h *headerRecorder) record(r *http.Request) {
	if r.URL.Path == "/health" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = r.Header
	h.all = append(h.all, r.Header)
}

func (h *headerRecorder) newest() http.Header {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// getWithKeys sends a call with the given values of the header with the API key and a
// forged name of an organisation, and returns the status.
func (d *Daemon) getWithKeys(t *testing.T, path string, keys ...string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.CallerListen+path, nil)
	assert.NilError(t, err)
	r.Host = "host.example"
	r.Header["balsam-api-key"] = keys
	r.Header.Set("Balsam-Organisation", "forged")
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
	const revokeWithin = 4 * time.Second
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
	apply(newKeyedState(1, newOrganisation("a", "key-1", "key-2"), newOrganisation("b", "key-3")))
	upstream := newConfig(s).Upstreams[0]
	upstream.Sequence = 1
	_, err := admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: upstream})
	assert.NilError(t, err)
	g := startSystemGatewayWith(t, "g1", control, Options{Logs: io.Discard}, func(s *settings.Gateway) {
		s.RevokeWithinMs = settings.Millis(revokeWithin.Milliseconds())
	})
	waitUntil(t, "a known key is not served", func() bool { return g.getWithKeys(t, "/safe/x", "key-1") == http.StatusOK })
	assert.DeepEqual(t, headers.newest().Values("Balsam-Organisation"), []string{"a"})
	for _, c := range []struct {
		path   string
		keys   []string
		status int
	}{
		{"/safe/x", nil, http.StatusUnauthorized},
		{"/safe/x", []string{"key-9"}, http.StatusUnauthorized},
		{"/safe/x", []string{"key-1", "key-3"}, http.StatusUnauthorized},
		{"/open/x", []string{"key-9"}, http.StatusUnauthorized},
		{"/safe/x", []string{"key-3", "key-3"}, http.StatusOK},
		{"/open/x", nil, http.StatusOK},
	} {
		assert.Equal(t, g.getWithKeys(t, c.path, c.keys...), c.status, "%s %v", c.path, c.keys)
	}
	assert.Assert(t, headers.newest().Values("Balsam-Organisation") == nil, "a forged organisation reached the upstream on a public route")

	link.setDown(true)
	cut := time.Now()
	apply(newKeyedState(2, newOrganisation("a", "key-2"), newOrganisation("b", "key-3")))
	acknowledged := time.Now()
	for time.Since(cut) < revokeWithin*6/10 {
		assert.Equal(t, g.getWithKeys(t, "/safe/x", "key-2"), http.StatusOK, "%s after the link was cut", time.Since(cut))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(acknowledged.Add(revokeWithin)))
	for range 20 {
		assert.Equal(t, g.getWithKeys(t, "/safe/x", "key-1"), http.StatusServiceUnavailable)
		assert.Equal(t, g.getWithKeys(t, "/open/x"), http.StatusOK, "a public route needs no key")
		time.Sleep(20 * time.Millisecond)
	}
	link.setDown(false)
	waitUntil(t, "a removed key is not refused as unknown", func() bool { return g.getWithKeys(t, "/safe/x", "key-1") == http.StatusUnauthorized })
	assert.Equal(t, g.getWithKeys(t, "/safe/x", "key-2"), http.StatusOK)

	headers.mu.Lock()
	defer headers.mu.Unlock()
	for _, h := range headers.all {
		for name, values := range h {
			for _, v := range values {
				assert.Assert(t, len(v) < 4 || v[:4] != "key-", "the upstream got the API key %q in %s", v, name)
			}
		}
	}
}
