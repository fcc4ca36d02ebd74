package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/controlvm"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// startControl starts a group of one control VM and returns its operator service
// and its cluster address.
func startControl(t *testing.T) (adminpb.Admin, string) {
	t.Helper()
	admin, address := startControlBehind(t, func(listen string) string { return listen })
	return admin, address
}

// startControlBehind is startControl for a control VM whose cluster address is the
// one that advertise returns for its listen address.
func startControlBehind(t *testing.T, advertise func(listen string) string) (adminpb.Admin, string) {
	t.Helper()
	free, err := testbed.FreeAddresses(2)
	assert.NilError(t, err)
	address := advertise(free[0])
	s := settings.DefaultControl()
	s.Zone, s.DataDir, s.AuthDisabled, s.TrustNetwork = "a", t.TempDir(), true, true
	s.ClusterListen, s.OperatorListen, s.ClusterAddress = free[0], free[1], address
	s.Seeds, s.FirstStart = []string{address}, true
	services := make(chan adminpb.Admin, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- controlvm.Run(ctx, nil, s, controlvm.Options{Logs: io.Discard, Listeners: func(a adminpb.Admin, _ event.Logger) []httpnet.Endpoint {
			services <- a
			return nil
		}})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	select {
	case a := <-services:
		return a, address
	case err := <-ended:
		ended <- err
		t.Fatalf("the control VM ended at its start: %v", err)
		return nil, ""
	}
}

// systemGateway is a gateway of a system with control.
type systemGateway struct {
	*Daemon
	cancel context.CancelFunc
	once   sync.Once
}

func (g *systemGateway) kill() { g.once.Do(func() { g.close(g.cancel) }) }

func startSystemGateway(t *testing.T, id, control string) *systemGateway {
	t.Helper()
	return startSystemGatewayWith(t, id, control, Options{Logs: io.Discard})
}

// startSystemGatewayWith starts a gateway with the default settings as changed by
// edits.
func startSystemGatewayWith(t *testing.T, id, control string, o Options, edits ...func(*settings.Gateway)) *systemGateway {
	t.Helper()
	s := settings.DefaultGateway()
	s.ID, s.Zone, s.Region = id, "a", "r"
	free, err := testbed.FreeAddresses(2)
	assert.NilError(t, err)
	s.CallerListen, s.ClusterListen = free[0], free[1]
	s.CallerAddress, s.ClusterAddress = s.CallerListen, s.ClusterListen
	s.Control, s.TrustNetwork = []string{control}, true
	for _, edit := range edits {
		edit(&s)
	}
	d, err := newDaemon(s, o)
	assert.NilError(t, err)
	assert.NilError(t, d.listen())
	ctx, cancel := context.WithCancel(context.Background())
	d.start(ctx)
	g := &systemGateway{Daemon: d, cancel: cancel}
	t.Cleanup(g.kill)
	return g
}

// waitUntil polls condition until it holds. If it does not within a minute, the
// test fails with the given text.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(failure)
}

// callUntil sends calls through the gateways until done reports true, and waits
// for their answers.
func callUntil(t *testing.T, gateways []*systemGateway, failure string, done func() bool) {
	t.Helper()
	var calls sync.WaitGroup
	defer calls.Wait()
	waitUntil(t, failure, func() bool {
		for _, g := range gateways {
			// A call may fail: its gateway may have been stopped.
			calls.Go(func() { _, _ = g.getSafe(t) })
		}
		return done()
	})
}

// TestLimitHoldsOverGatewaysOfOneControlAndLossOfIssuer runs gateways with a
// control VM and an upstream that names a limit. The upstream must get requests,
// no more than the limit from all gateways, also while the gateway that issues
// the permits is lost and another takes over.
func TestLimitHoldsOverGatewaysOfOneControlAndLossOfIssuer(t *testing.T) {
	const perSecond = 4
	var mu sync.Mutex
	var arrivals []time.Time
	s := startFakeUpstream(t, "u1", nil)
	answer := s.responder(200, servedByHeader+fmt.Sprintf("Balsam-Limit: %d\r\n", perSecond), "whole")
	s.respond = answer
	s.onRequest = func(*http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	admin, control := startControl(t)
	waitUntil(t, "control did not accept the state", func() bool {
		state := &catalogpb.DesiredState{Version: 1, Routes: newConfig().Routes, Pools: newConfig().Pools}
		_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
		return err == nil
	})
	upstream := newConfig(s).Upstreams[0]
	upstream.Sequence = 1
	_, err := admin.AnnounceUpstream(t.Context(), &adminpb.AnnounceUpstreamRequest{Upstream: upstream})
	assert.NilError(t, err)
	var gateways []*systemGateway
	for _, id := range []string{"g1", "g2", "g3"} {
		gateways = append(gateways, startSystemGateway(t, id, control))
	}
	served := func(n int) func() bool {
		return func() bool { return len(s.requests()) >= n }
	}
	callUntil(t, gateways, "the upstream got no requests after it had named a limit", served(3+2*perSecond))

	var left []*systemGateway
	for _, g := range gateways {
		g.state.mu.Lock()
		issues := g.state.issuer.IssuerOf("u1") == g.settings.ID
		g.state.mu.Unlock()
		if issues {
			g.kill()
			continue
		}
		left = append(left, g)
	}
	assert.Equal(t, len(left), len(gateways)-1)
	callUntil(t, left, "no gateway took over from the lost issuer", served(len(s.requests())+2*perSecond))

	mu.Lock()
	defer mu.Unlock()
	from := arrivals[0].Add(limitContact)
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack
	for i, at := range arrivals {
		if at.Before(from) {
			continue
		}
		n := 0
		for _, later := range arrivals[i:] {
			if later.Before(at.Add(limitWindow)) {
				n++
			}
		}
		assert.Assert(t, float64(n) <= allowed, "%d requests and probes in %s, allowed %v", n, limitWindow, allowed)
	}
}
