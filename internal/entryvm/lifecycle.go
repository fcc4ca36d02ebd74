package entryvm

import (
	"sync"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/event"
)

// States of the state chart "entry" that the code checks.
const (
	stateServing  chart.State = "serving"
	stateLeaving  chart.State = "leaving"
	stateDraining chart.State = "draining"
	stateStopped  chart.State = "stopped"
)

// Events of the state chart "entry".
const (
	eventListening      chart.Event = "listening"
	eventSynced         chart.Event = "synced"
	eventLeaseLost      chart.Event = "lease_lost"
	eventStop           chart.Event = "stop"
	eventAnswersExpired chart.Event = "answers_expired"
	eventIdle           chart.Event = "idle"
)

// Actions of the state chart "entry".
const (
	actionNoteFresh   chart.Action = "note_fresh"
	actionNoteStale   chart.Action = "note_stale"
	actionLeaveLookup chart.Action = "leave_lookup"
)

// lifecycle holds the daemon's state in the state chart "entry". It is safe for
// concurrent use.
type lifecycle struct {
	mu    sync.Mutex
	chart *chart.Chart
	state chart.State
}

func newLifecycle() *lifecycle {
	c := charts.MustLoad("entry")
	return &lifecycle{chart: c, state: c.Initial()}
}

// apply makes the transition for event ev and returns the actions to take. An
// event without a transition from the current state changes nothing.
func (l *lifecycle) apply(ev chart.Event) []chart.Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, actions, ok := l.chart.Next(l.state, ev)
	if !ok {
		return nil
	}
	l.state = next
	return actions
}

// in reports whether the current state is one of states.
func (l *lifecycle) in(states ...chart.State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		if l.state == s {
			return true
		}
	}
	return false
}

// leaving reports whether look-up responses must no longer contain this entry VM.
func (l *lifecycle) leaving() bool { return l.in(stateLeaving, stateDraining, stateStopped) }

// refusesCalls reports whether new calls are refused.
func (l *lifecycle) refusesCalls() bool { return l.in(stateDraining, stateStopped) }

// applyLifecycleEvent applies event ev to the lifecycle and takes the actions that
// follow.
func (d *Daemon) applyLifecycleEvent(ev chart.Event) {
	for _, a := range d.lifecycle.apply(ev) {
		switch a {
		case actionNoteFresh:
			d.log.Log(event.LeaseRegained).Send()
		case actionNoteStale:
			d.log.Log(event.LeaseLost).Send()
		case actionLeaveLookup:
			d.config.SetLeaving()
		}
	}
}
