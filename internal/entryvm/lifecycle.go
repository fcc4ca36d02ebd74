package entryvm

import (
	"sync"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// States of the state chart "entry" that the code checks.
const (
	stateServing  statechart.State = "serving"
	stateLeaving  statechart.State = "leaving"
	stateDraining statechart.State = "draining"
	stateStopped  statechart.State = "stopped"
)

// Events of the state chart "entry".
const (
	eventListening statechart.Event = "listening"
	eventSynced    statechart.Event = "synced"
	eventLeaseLost statechart.Event = "lease_lost"
	eventStop      statechart.Event = "stop"
	// eventAnswersExpired follows when the look-up responses that callers have
	// cached have expired.
	eventAnswersExpired statechart.Event = "answers_expired"
	// eventIdle follows when no call is in flight or the drain time has passed.
	eventIdle statechart.Event = "idle"
)

// Actions of the state chart "entry".
const (
	actionNoteFresh   statechart.Action = "note_fresh"
	actionNoteStale   statechart.Action = "note_stale"
	actionLeaveLookup statechart.Action = "leave_lookup"
)

// lifecycle holds the daemon's state in the state chart "entry". It is safe for
// concurrent use.
type lifecycle struct {
	mu    sync.Mutex
	chart *statechart.Chart
	state statechart.State
}

func newLifecycle() *lifecycle {
	c := charts.MustLoad("entry")
	return &lifecycle{chart: c, state: c.Initial()}
}

// apply makes the transition for event ev and returns the actions to take. An
// event without a transition from the current state changes nothing.
func (l *lifecycle) apply(ev statechart.Event) []statechart.Action {
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
func (l *lifecycle) in(states ...statechart.State) bool {
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
func (d *Daemon) applyLifecycleEvent(ev statechart.Event) {
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
