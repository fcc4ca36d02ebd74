package entryvm

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"balsamcourse.example/balsamcourse/internal/statechart"
)

func TestLifecycleStateAfterEvents(t *testing.T) {
	cases := []struct {
		events       string
		state        statechart.State
		leaving      bool
		refusesCalls bool
	}{
		{"", "starting", false, false},
		{"synced", "starting", false, false},
		{"listening", "syncing", false, false},
		{"listening lease_lost", "syncing", false, false},
		{"listening stop", stateLeaving, true, false},
		{"listening synced", stateServing, false, false},
		{"listening synced synced", stateServing, false, false},
		{"listening synced lease_lost", "stale", false, false},
		{"listening synced lease_lost synced", stateServing, false, false},
		{"listening synced lease_lost stop", stateLeaving, true, false},
		{"listening synced stop", stateLeaving, true, false},
		{"listening synced stop synced", stateLeaving, true, false},
		{"listening synced stop lease_lost", stateLeaving, true, false},
		{"listening synced stop idle", stateLeaving, true, false},
		{"listening synced stop answers_expired", stateDraining, true, true},
		{"listening synced stop answers_expired synced", stateDraining, true, true},
		{"listening synced stop answers_expired idle", stateStopped, true, true},
		{"listening synced stop stop", stateStopped, true, true},
		{"listening synced stop answers_expired stop", stateStopped, true, true},
		{"listening synced stop answers_expired idle listening", stateStopped, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.events, func(t *testing.T) {
			l := newLifecycle()
			for _, ev := range strings.Fields(tc.events) {
				l.apply(statechart.Event(ev))
			}
			assert.Assert(t, l.in(tc.state), "state %s", l.state)
			assert.Equal(t, l.leaving(), tc.leaving)
			assert.Equal(t, l.refusesCalls(), tc.refusesCalls)
		})
	}
}

func TestLifecycleActionsAreTakenOncePerTransition(t *testing.T) {
	l := newLifecycle()
	steps := []struct {
		event statechart.Event
		want  []statechart.Action
	}{
		{eventListening, nil},
		{eventSynced, []statechart.Action{actionNoteFresh}},
		{eventSynced, nil},
		{eventLeaseLost, []statechart.Action{actionNoteStale}},
		{eventLeaseLost, nil},
		{eventStop, []statechart.Action{actionLeaveLookup}},
		{eventSynced, nil},
		{eventAnswersExpired, nil},
		{eventIdle, nil},
	}
	for _, s := range steps {
		assert.DeepEqual(t, l.apply(s.event), s.want)
	}
}
