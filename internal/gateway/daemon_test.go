package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/telemetry/telemetrytest"
	"balsamcourse.example/balsamcourse/internal/testbed"
	"balsamcourse.example/balsamcourse/internal/view"
)

// running is a gateway that listens and holds cfg.
func running(t *testing.T, cfg *catalogpb.Config) *Daemon {
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
	assert.Assert(t, !d.Ready(), "no state is held yet")
	d.world.adopt(view.New(cfg))
	assert.Assert(t, d.Ready())
	return d
}

func (d *Daemon) get(t *testing.T) (int, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.settings.CallerListen+"/safe/x", nil)
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

// TestPlannedStop stops a gateway while an upstream works on a call: it is not
// ready from the beginning, serves new calls for a while, and ends the call that
// is in flight with its answer.
func TestPlannedStop(t *testing.T) {
	begun, finish := make(chan struct{}, 1), make(chan struct{})
	slow := startStandIn(t, "u1", nil)
	slow.act = func(w io.Writer, r *http.Request) bool {
		begun <- struct{}{}
		<-finish
		return slow.answer(200, stamp, "whole")(w, r)
	}
	d := running(t, configOf(slow))
	type end struct {
		status int
		err    error
	}
	ended := make(chan end, 1)
	go func() {
		status, err := d.get(t)
		ended <- end{status, err}
	}()
	<-begun
	stopped := make(chan struct{})
	go func() {
		d.leave(context.Background())
		close(stopped)
	}()
	for !d.leaving.Load() {
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
	_, err := d.get(t)
	assert.Assert(t, err != nil, "nobody listens any more")
}

func TestStoppingGatewayServesNewCallsAtFirst(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	d := running(t, configOf(s))
	d.leaving.Store(true)
	status, err := d.get(t)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	d.closed.Store(true)
	status, err = d.get(t)
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
}

// TestServedMetricsAreInTheCatalogue makes a call and reads what a gateway
// serves.
func TestServedMetricsAreInTheCatalogue(t *testing.T) {
	s := startStandIn(t, "u1", nil)
	ok(s)
	d := running(t, configOf(s))
	_, err := d.get(t)
	assert.NilError(t, err)
	d.show()
	assert.NilError(t, d.metrics.Close())
	served := telemetrytest.Served(t, d.metrics.Handler(), "gateway")
	for _, name := range []string{
		"calls", "call_seconds", "wait_seconds", "upstream_seconds", "calls_waiting", "upstreams_open", "upstreams_ready",
		"upstream_requests_in_flight", "retries_left", "config_revision", "config_state_version", "config_unheard_seconds", "log_lines_dropped",
	} {
		assert.Assert(t, served[name], "%s is not served", name)
	}
}
