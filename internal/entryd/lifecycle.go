package entryd

import (
	"sync"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
)

// States of the entry chart that the code asks for.
const (
	stateServing  chart.State = "serving"
	stateLeaving  chart.State = "leaving"
	stateDraining chart.State = "draining"
	stateStopped  chart.State = "stopped"
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
