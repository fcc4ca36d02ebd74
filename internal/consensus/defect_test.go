package consensus

import (
	"testing"

	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proof"
)

// longRun is the average number of actions in a run.
const longRun = "100"

// TestDefectsAreSeen turns off one rule at a time and checks that the group's
// proof fails.
func TestDefectsAreSeen(t *testing.T) {
	cases := []struct {
		name     string
		seed     string
		off      rule
		unsynced bool
	}{
		{"lost disk under the same id", "10701899", ruleDiskIdentity, false},
		{"no log matching", "1044409", ruleLogMatch, false},
		{"two changes at once", "27313177", ruleOneChange, false},
		{"message before sync", "162461096", 0, true},
	}
	proof.Set(t, "rapid.steps", longRun)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			proof.MustFail(t, tc.seed, func(rt *rapid.T) { runGroup(rt, tc.off, tc.unsynced, false) })
		})
	}
}
