package proof

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// defectRuns bounds the search for a run that shows a defect.
const defectRuns = "20000"

// SetRapidFlag gives a flag of rapid, such as "rapid.steps", a value until t ends.
func SetRapidFlag(t *testing.T, name, value string) {
	t.Helper()
	useFixedSeed()
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// ExpectFailure checks that prop fails in one of many runs, as it has to when a
// rule is turned off. The search begins with seed: one that is known to fail
// keeps it short.
func ExpectFailure(t *testing.T, seed string, prop func(*rapid.T)) {
	t.Helper()
	SetRapidFlag(t, "rapid.seed", seed)
	SetRapidFlag(t, "rapid.checks", defectRuns)
	SetRapidFlag(t, "rapid.shrinktime", "0s")
	SetRapidFlag(t, "rapid.nofailfile", "true")
	r := &recorder{T: t}
	rapid.Check(r, prop)
	if !r.failed {
		t.Fatal("no run has found the defect")
	}
}

// recorder notes a failure in place of failing.
type recorder struct {
	*testing.T
	failed bool
}

// Errorf notes a failure.
func (r *recorder) Errorf(format string, args ...any) {
	r.failed = true
	r.Logf(format, args...)
}

// Fatalf notes a failure.
func (r *recorder) Fatalf(format string, args ...any) { r.Errorf(format, args...) }

// Fail notes a failure.
func (r *recorder) Fail() { r.failed = true }

// FailNow notes a failure.
func (r *recorder) FailNow() { r.failed = true }

// Failed reports whether a failure was noted.
func (r *recorder) Failed() bool { return r.failed }
