// Package telemetrytest checks the metrics that processes serve against the
// catalogue of metrics.
package telemetrytest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/telemetry"
)

const prefix = "balsamcourse_"

// CheckMetrics reads the metrics that h serves. It fails the test for each metric
// that the catalogue does not list with its type for the role. It returns the
// names of the served metrics without the common prefix.
func CheckMetrics(t testing.TB, h http.Handler, role string) map[string]bool {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Equal(t, w.Code, http.StatusOK)
	known := make(map[string]telemetry.Metric)
	for _, m := range telemetry.Catalogue() {
		known[m.Name] = m
	}
	served := make(map[string]bool)
	for line := range strings.Lines(w.Body.String()) {
		if name, ok := strings.CutPrefix(line, "# TYPE "+prefix); ok {
			words := strings.Fields(name)
			m, listed := known[words[0]]
			assert.Assert(t, listed, "metric %s is not in the catalogue", words[0])
			assert.Equal(t, words[1], m.Type, words[0])
			assert.Assert(t, strings.Contains(m.Roles, role), "metric %s is not listed for role %s", words[0], role)
			served[words[0]] = true
		}
	}
	return served
}
