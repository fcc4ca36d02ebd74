package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry/telemetrytest"
	"balsamcourse.example/balsamcourse/internal/testbed"
)

// startGateway starts a gateway on free ports of localhost and applies cfg to
// it.
func startGateway(t *testing.T, cfg *catalogpb.Config) *Daemon {
	t.Helper()
	s := settings.DefaultGateway()
	s.ID, s.Zone, s.Region = "g1", "a", "r"
	free, err := testbed.FreeAddresses(3)
	assert.NilError(t, err)
	s.CallerListen, s.ClusterListen = free[0], free[1]
	s.CallerAddress, s.ClusterAddress = s.CallerListen, s.ClusterListen
	s.Control, s.TrustNetwork = []string{free[2]}, true
	s.ServeMs, s.StopMs = 300, 2_000
	d, err := newDaemon(s, Options{Logs: io.Discard})
	assert.NilError(t, err)
	assert.NilError(t, d.listen())
	ctx, cancel := context.WithCancel(context.Background())
	d.start(ctx)
	t.Cleanup(func() { d.close(cancel) })
	assert.Assert(t, !d.Ready(), "ready before a desired state was applied")
	d.state.applyConfig(configview.New(cfg))
	assert.Assert(t, d.Ready())
	return d
}

// getSafe requests a path of the route "safe" on a new connection and returns
// the status.
func (d *Daemon) getSafe(t *testing.T) (int, error) {
	t.Helper()
	return d.get(t, "/safe/x")
}

// get sends a call on a new connection and returns the status of the answer.
func (d *Daemon) get(t *testing.T, path string) (int, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.CallerListen+path, nil)
	assert.NilError(t, err)
	r.Host = "host.example"
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// TestPlannedStopFinishesCallsInFlight stops a gateway while an upstream works on
// a call. The gateway must report not ready at once, still return the response of
// the call in flight, and close its listener in the end.
func TestPlannedStopFinishesCallsInFlight(t *testing.T) {
	started, finish := make(chan struct{}, 1), make(chan struct{})
	slow := startFakeUpstream(t, "u1", nil)
	slow.respond = func(w io.Writer, r *http.Request) bool {
		started <- struct{}{}
		<-finish
		return slow.responder(200, servedByHeader, "whole")(w, r)
	}
	d := startGateway(t, newConfig(slow))
	type end struct {
		status int
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		status, err := d.getSafe(t)
		ended <- end{status, err}
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		d.stopGracefully(context.Background())
		close(stopped)
	}()
	for !d.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !d.Ready())
	for !d.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	close(finish)
	got := <-ended
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	<-stopped
	_, err := d.getSafe(t)
	assert.Assert(t, err != nil, "the listener is still open")
}

func TestStoppingGatewayServesNewCallsUntilClosed(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	d := startGateway(t, newConfig(s))
	d.stopping.Store(true)
	status, err := d.getSafe(t)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	d.closed.Store(true)
	status, err = d.getSafe(t)
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
}

// TestServedMetricsAreInTheCatalogue reads the metrics page of a gateway after a
// call. Each metric must be in the catalogue, and those listed below must be
// served.
func TestServedMetricsAreInTheCatalogue(t *testing.T) {
	s := startFakeUpstream(t, "u1", nil)
	respondOK(s)
	d := startGateway(t, newConfig(s))
	_, err := d.getSafe(t)
	assert.NilError(t, err)
	d.updateMetrics()
	assert.NilError(t, d.metrics.Close())
	served := telemetrytest.CheckMetrics(t, d.metrics.Handler(), "gateway")
	for _, name := range []string{
		"calls", "call_seconds", "wait_seconds", "upstream_seconds", "calls_waiting", "upstreams_open", "upstreams_ready",
		"upstream_requests_in_flight", "retries_left", "config_revision", "config_state_version", "config_unheard_seconds", "config_unconfirmed_seconds", "log_lines_dropped",
	} {
		assert.Assert(t, served[name], "%s is not served", name)
	}
}
