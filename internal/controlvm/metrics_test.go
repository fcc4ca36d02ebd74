package controlvm

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/control"
	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/telemetry/telemetrytest"
)

// TestServedControlMetricsAreInCatalogue checks the metrics that a control VM
// serves after one call against the catalogue of metrics.
func TestServedControlMetricsAreInCatalogue(t *testing.T) {
	d := &Daemon{metrics: telemetry.NewMetrics("control", "1"), control: control.New(control.Options{}), opts: Options{Logs: io.Discard}}
	d.updateConfigMetrics(telemetry.NewControlMetrics(d.metrics))
	counted := telemetry.CountRPCs(d.metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	counted.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/twirp/a.B/Method", nil))
	assert.NilError(t, d.metrics.Close())
	served := telemetrytest.CheckMetrics(t, d.metrics.Handler(), "control")
	for _, name := range []string{"control_leader", "control_config_revision", "control_upstreams", "rpc_calls", "rpc_seconds"} {
		assert.Assert(t, served[name], "%s is not served", name)
	}
}
