package consensus

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// longRun is the average number of actions in a run.
const longRun = "100"

// recorder is a test that is expected to fail.
type recorder struct {
	*testing.T
	failed bool
}

func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	r.T.Logf(format, args...)
}

func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...) }
func (r *recorder) Fail()                             { r.failed = true }
func (r *recorder) FailNow()                          { r.failed = true }
func (r *recorder) Failed() bool                      { return r.failed }

// mustFail checks that prop fails within many runs. The first seed is one
// that is known to fail, so that the search is short.
func mustFail(t *testing.T, seed string, prop func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", seed)
	setFlag(t, "rapid.checks", "20000")
	setFlag(t, "rapid.shrinktime", "0s")
	setFlag(t, "rapid.nofailfile", "true")
	setFlag(t, "rapid.steps", longRun)
	r := &recorder{T: t}
	rapid.Check(r, prop)
	assert.Assert(t, r.failed, "no run has found the defect")
}

// setFlag sets a flag until the test ends.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	old := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.Check(t, flag.Set(name, old)) })
}

// TestDefectsAreSeen turns off one rule at a time and checks that the group's
// proof fails.
func TestDefectsAreSeen(t *testing.T) {
	cases := []struct {
		name     string
		seed     string
		off      rule
		unsynced bool
	}{
		{"lost disk under the same id", "18146", ruleDiskIdentity, false},
		{"no log matching", "1040404", ruleLogMatch, false},
		{"two changes at once", "22522117", ruleOneChange, false},
		{"message before sync", "1771", 0, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mustFail(t, tc.seed, func(rt *rapid.T) { runGroup(rt, tc.off, tc.unsynced, false) })
		})
	}
}
