package telemetry

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMetricsPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "run: go run ./cmd/balsamcourse docs metrics > docs/METRICS.md")
}

func TestMetricNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, m := range Catalogue() {
		assert.Assert(t, !seen[m.Name], m.Name)
		seen[m.Name] = true
	}
}
