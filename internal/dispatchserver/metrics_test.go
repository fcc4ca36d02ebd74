package dispatchserver

import (
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/telemetry"
	"balsamcourse.example/balsamcourse/internal/telemetry/telemetrytest"
)

func TestServedMetricsAreInTheCatalogue(t *testing.T) {
	m := telemetry.NewMetrics("entry", "e")
	own := newMetrics(m.Scope)
	own.grants.Inc(1)
	own.cells.Update(1)
	entry := telemetry.NewEntryMetrics(m.Scope)
	entry.CountCall("")
	assert.NilError(t, m.Close())
	served := telemetrytest.CheckMetrics(t, m.Handler(), "entry")
	assert.Assert(t, served["dispatch_grants"] && served["dispatch_cells"] && served["answers"])
}
