package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/reach"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// cutGateway is a gateway of a system with control whose network to the upstreams
// can be cut.
type cutGateway struct {
	*systemGateway
	cut atomic.Bool
}

func startCutGateway(t *testing.T, id, control string) *cutGateway {
	g := &cutGateway{}
	g.systemGateway = startSystemGatewayWith(t, id, control, Options{
		Logs: io.Discard,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if g.cut.Load() {
				return nil, syscall.ECONNREFUSED
			}
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
	})
	return g
}

// setCut cuts the network to the upstreams or restores it.
func (g *cutGateway) setCut(cut bool) {
	g.cut.Store(cut)
	g.conns.CloseStale(func(string) bool { return !cut })
}

// names reports whether look-ups at g name the other gateway.
func (g *cutGateway) names(other *cutGateway) bool {
	addresses, _ := g.EntryAddresses("a", "10.0.0.1")
	return slices.Contains(addresses, other.settings.CallerAddress)
}

// TestGatewaysWithoutUpstreamsLeaveLookups cuts gateways of a real control group
// from the upstreams, first one and then all. The one must be left out of look-ups
// at all gateways, while its calls are served; all must be named and ready if none
// has a way.
func TestGatewaysWithoutUpstreamsLeaveLookups(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	s2 := startFakeUpstream(t, "u2", nil)
	respondOK(s)
	respondOK(s2)
	admin, control := startControl(t)
	waitUntil(t, "control did not accept the state", func() bool {
		state := &catalogpb.DesiredState{Version: 1, Routes: newConfig().Routes, Pools: newConfig().Pools}
		_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
		return err == nil
	})
	for i, u := range newConfig(s, s2).Upstreams {
		u.Sequence = uint64(i + 1)
		_, err := admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: u})
		assert.NilError(t, err)
	}
	var gateways []*cutGateway
	for _, id := range []string{"g1", "g2"} {
		gateways = append(gateways, startCutGateway(t, id, control))
	}
	cut := gateways[0]
	// Calls let a gateway notice that it has lost the upstreams, or has them back.
	call := func(g *cutGateway) int {
		status, err := g.getSafe(t)
		assert.NilError(t, err)
		return status
	}
	eachNames := func(other *cutGateway, want bool) func() bool {
		return func() bool {
			call(other)
			return !slices.ContainsFunc(gateways, func(g *cutGateway) bool { return g.names(other) != want })
		}
	}
	for _, g := range gateways {
		waitUntil(t, "gateways are not named", eachNames(g, true))
		waitUntil(t, "gateways do not serve", func() bool { return call(g) == 200 })
	}

	cut.setCut(true)
	waitUntil(t, "the cut gateway is still named", eachNames(cut, false))
	for range 20 {
		assert.Equal(t, call(cut), 200)
	}
	assert.Assert(t, cut.Ready())

	for _, g := range gateways[1:] {
		g.setCut(true)
	}
	for _, g := range gateways {
		waitUntil(t, "a gateway does not notice the loss", func() bool {
			call(g)
			return g.forwarder.upstreamsLost() != reach.None
		})
	}
	for _, g := range gateways {
		waitUntil(t, "gateways are not named while all are cut", eachNames(g, true))
		assert.Equal(t, call(g), 503)
		waitUntil(t, "a gateway is not ready", g.Ready)
	}

	for _, g := range gateways {
		g.setCut(false)
	}
	for i, g := range gateways {
		waitUntil(t, fmt.Sprint("the loss lasts at gateway ", i), func() bool { return g.forwarder.upstreamsLost() == reach.None })
		waitUntil(t, "gateways are not named again", eachNames(g, true))
		assert.Equal(t, call(g), 200)
	}
}

// TestRelayedCallsNeedTheClusterKey lets a gateway relay a call to another one over
// the cluster listener, where processes identify themselves by a key. A request
// without it must be refused before it reaches an upstream.
func TestRelayedCallsNeedTheClusterKey(t *testing.T) {
	const key = "0123456789abcdef"
	keys := filepath.Join(t.TempDir(), "keys")
	assert.NilError(t, os.WriteFile(keys, []byte("gateways "+key+"\n"), 0o600))
	upstream := startFakeUpstream(t, "u1", nil)
	upstream.respond = upstream.responder(200, servedByHeader, "whole")
	cfg := newConfig(upstream)
	var daemons []*Daemon
	for _, id := range []string{"g0", "g1"} {
		s := settings.DefaultGateway()
		s.ID, s.Zone, s.Region = id, "a", "r"
		free, err := testbed.FreeAddresses(3)
		assert.NilError(t, err)
		s.CallerListen, s.ClusterListen = free[0], free[1]
		s.CallerAddress, s.ClusterAddress = s.CallerListen, s.ClusterListen
		s.Control, s.ClusterKeysFile = []string{free[2]}, keys
		o := Options{Logs: io.Discard}
		if id == "g0" {
			o.Dial = func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		}
		d, err := newDaemon(s, o)
		assert.NilError(t, err)
		assert.NilError(t, d.listen())
		ctx, cancel := context.WithCancel(context.Background())
		d.start(ctx)
		t.Cleanup(func() { d.close(cancel) })
		cfg.Entries = append(cfg.Entries, &catalogpb.Entry{Id: id, Zone: "a", ClusterAddress: s.ClusterAddress})
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		d.state.applyConfig(configview.New(cfg))
	}
	waitUntil(t, "the call is not relayed", func() bool {
		status, err := daemons[0].getSafe(t)
		return err == nil && status == 200
	})
	before := len(upstream.requests())
	for _, authorization := range []string{"", "Bearer 0123456789abcdeg", "Bearer " + key} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+daemons[1].settings.ClusterListen+RelayPath, nil)
		assert.NilError(t, err)
		r.Host = "host.example"
		for name, value := range map[string]string{relayTarget: "/safe/x", relayCaller: "10.0.0.1", relaySends: "0", relayRan: "0", relayLeft: "1000", "Authorization": authorization} {
			r.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		if authorization == "Bearer "+key {
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, len(upstream.requests()), before+1)
			continue
		}
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
		assert.Equal(t, len(upstream.requests()), before)
	}
}
