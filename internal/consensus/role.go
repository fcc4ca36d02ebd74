package consensus

import (
	"balsamcourse.example/balsamcourse/internal/chart"
)

// fire gives an event to the chart and runs the actions it names. It reports
// whether the chart has a transition for the event.
func (r *Replica) fire(ev chart.Event) bool {
	next, actions, ok := r.chart.Next(r.role, ev)
	if !ok {
		return false
	}
	r.role = next
	for _, a := range actions {
		r.act(a)
	}
	return true
}

func (r *Replica) act(a chart.Action) {
	switch a {
	case "reset_election":
		r.resetElection()
	case "ask_pre_votes":
		r.askPreVotes()
	case "ask_votes":
		r.askVotes()
	case "open_term":
		r.openTerm()
	case "step_down":
		r.stepDown()
	}
}

// syncRole moves between learner and follower as the newest membership says.
func (r *Replica) syncRole() {
	if r.isVoter() {
		r.fire("promoted")
	} else {
		r.fire("demoted")
	}
}

// adoptTerm moves to a newer term, in which the replica has not voted.
func (r *Replica) adoptTerm(term uint64) {
	r.term, r.vote = term, 0
	r.disk.stateDirty = true
	r.leader = 0
	r.fire("higher_term")
}
