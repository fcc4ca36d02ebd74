package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/settings"
	"balsamcourse.example/balsamcourse/internal/soak"
	"balsamcourse.example/balsamcourse/platform"
)

// ciSeed is the seed of the short run in CI, ciDurationMs the time of its disruptions.
const (
	ciSeed       = 1
	ciDurationMs = 26_000
)

// TestPromisesHoldInAShortSoak runs the whole system with random faults, on the product's
// own interface and on that of the platform. Longer runs, and other seeds:
// balsamcourse soak.
func TestPromisesHoldInAShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "balsamcourse")
	out, err := exec.Command("go", "build", "-o", program, "balsamcourse.example/balsamcourse/cmd/balsamcourse").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	for _, d := range []soak.Dialect{soak.OwnDialect(), platform.SoakDialect()} {
		t.Run(d.Name, func(t *testing.T) {
			s := settings.DefaultSoak()
			s.Seed, s.DurationMs, s.Interface, s.Program = ciSeed, ciDurationMs, d.Name, program
			var report strings.Builder
			result, err := soak.Run(t.Context(), s, d, &report)
			assert.NilError(t, err, "%s", report.String())
			t.Log(report.String())
			assert.Equal(t, len(result.Violations), 0, "%v; logs in %s", result.Violations, result.Dir)
		})
	}
}
