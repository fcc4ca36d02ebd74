package entryd

import (
	"sync"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/event"
)

// States of the entry chart that the code asks for.
const (
	stateServing  chart.State = "serving"
	stateLeaving  chart.State = "leaving"
	stateDraining chart.State = "draining"
	stateStopped  chart.State = "stopped"
)

// Events of the entry chart.
const (
	eventListening      chart.Event = "listening"
	eventSynced         chart.Event = "synced"
	eventLeaseLost      chart.Event = "lease_lost"
	eventStop           chart.Event = "stop"
	eventAnswersExpired chart.Event = "answers_expired"
	eventIdle           chart.Event = "idle"
)

// Actions of the entry chart.
const (
	actionNoteFresh   chart.Action = "note_fresh"
	actionNoteStale   chart.Action = "note_stale"
	actionLeaveLookup chart.Action = "leave_lookup"
)

// lifecycle is the state of the daemon. It is safe for concurrent use.
type lifecycle struct {
	mu    sync.Mutex
	chart *chart.Chart
	state chart.State
}

func newLifecycle() *lifecycle {
	c := charts.MustLoad("entry")
	return &lifecycle{chart: c, state: c.Initial()}
}

// step moves on event ev and returns the actions to take. An event that the
// state does not know changes nothing.
func (l *lifecycle) step(ev chart.Event) []chart.Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, actions, ok := l.chart.Next(l.state, ev)
	if !ok {
		return nil
	}
	l.state = next
	return actions
}

// in reports whether the daemon is in one of the states.
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

// leaving reports whether look-up answers must no longer name this entry VM.
func (l *lifecycle) leaving() bool { return l.in(stateLeaving, stateDraining, stateStopped) }

// closed reports whether calls are no longer admitted.
func (l *lifecycle) closed() bool { return l.in(stateDraining, stateStopped) }

// step moves the daemon on event ev and takes the actions that follow.
func (d *Daemon) step(ev chart.Event) {
	for _, a := range d.life.step(ev) {
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
