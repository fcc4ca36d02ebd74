package consensus

import (
	"testing"

	"pgregory.net/rapid"

	"balsamcourse.example/balsamcourse/internal/proptest"
)

// averageActions is the average number of actions in a run.
const averageActions = "100"

// TestInvariantChecksDetectDisabledRules disables one safety rule at a time and
// checks that random runs then violate an invariant. Each search draws only the
// actions that can expose the missing rule, which keeps it short.
func TestInvariantChecksDetectDisabledRules(t *testing.T) {
	cases := []struct {
		name           string
		seed           string
		disabledRules  safetyRule
		sendBeforeSync bool
		actions        []string
	}{
		{"log matching disabled", "158767", ruleLogMatch, false, []string{"cut_link", "heal_links", "transfer"}},
		{"several member changes at once", "138602", ruleOneMemberChange, false, []string{"replace", "member_removal", "cut_link", "heal_links", "transfer"}},
		{"messages sent before sync", "2702", 0, true, []string{"slow_disk", "crash", "restart", "transfer"}},
	}
	proptest.SetRapidFlag(t, "rapid.steps", averageActions)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			proptest.ExpectFailure(t, tc.seed, func(rt *rapid.T) {
				f := newFaultActions(rt, tc.disabledRules)
				f.sendBeforeSync = tc.sendBeforeSync
				rt.Repeat(f.selectActions(tc.actions))
			})
		})
	}
}

// selectActions returns the named actions and those that every run needs.
func (f *faultActions) selectActions(names []string) map[string]func(*rapid.T) {
	all := f.actions()
	chosen := map[string]func(*rapid.T){}
	for _, name := range append(names, "", "advance", "advance2", "propose") {
		chosen[name] = all[name]
	}
	return chosen
}
