package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/reach"
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
