package proptest

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// maxFailureRuns is the number of runs, as a flag value, in which ExpectFailure
// searches for a failure.
const maxFailureRuns = "20000"

// SetRapidFlag sets a flag of rapid, such as "rapid.steps", until t ends. It fails
// the test when the value is not valid.
func SetRapidFlag(t *testing.T, name, value string) {
	t.Helper()
	setDefaultSeed()
	old := flag.Lookup(name).Value.String()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// ExpectFailure checks that prop fails in at least one of many runs, as it has to
// when a rule of the system under test is disabled. The search begins with seed;
// a seed that is known to fail keeps it short.
func ExpectFailure(t *testing.T, seed string, prop func(*rapid.T)) {
	t.Helper()
	SetRapidFlag(t, "rapid.seed", seed)
	SetRapidFlag(t, "rapid.checks", maxFailureRuns)
	SetRapidFlag(t, "rapid.shrinktime", "0s")
	SetRapidFlag(t, "rapid.nofailfile", "true")
	r := &failureRecorder{T: t}
	rapid.Check(r, prop)
	if !r.failed {
		t.Fatalf("property did not fail in %s runs from seed %s, want a failure", maxFailureRuns, seed)
	}
}

// failureRecorder records failures instead of failing the test.
type failureRecorder struct {
	*testing.T
	failed bool
}

// Errorf logs the message and records a failure.
func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failed = true
	r.Logf(format, args...)
}

// Fatalf logs the message and records a failure. Unlike that of testing.T it
// returns.
func (r *failureRecorder) Fatalf(format string, args ...any) { r.Errorf(format, args...) }

// Fail records a failure.
func (r *failureRecorder) Fail() { r.failed = true }

// FailNow records a failure. Unlike that of testing.T it returns.
func (r *failureRecorder) FailNow() { r.failed = true }

// Failed reports whether a failure was recorded.
func (r *failureRecorder) Failed() bool { return r.failed }
