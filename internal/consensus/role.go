package consensus

import (
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// fire passes an event to the chart and runs the actions of the transition. It
// reports whether the chart has a transition for the event in the current role.
func (r *Replica) fire(ev statechart.Event) bool {
	next, actions, ok := r.chart.Next(r.role, ev)
	if !ok {
		return false
	}
	if r.role == Leader && next != Leader {
		r.leadershipEnd = r.endOfLeadership(ev)
	}
	r.role = next
	for _, a := range actions {
		r.runAction(a)
	}
	return true
}

func (r *Replica) runAction(a statechart.Action) {
	switch a {
	case "reset_election":
		r.resetElectionTimer()
	case "ask_pre_votes":
		r.requestPreVotes()
	case "ask_votes":
		r.requestVotes()
	case "open_term":
		r.becomeLeader()
	case "step_down":
		r.stepDown()
	}
}

// endOfLeadership describes how leadership ends by the event.
func (r *Replica) endOfLeadership(ev statechart.Event) LeadershipEnd {
	end := LeadershipEnd{Why: ev}
	if since := r.leaderState.unansweredSince; since != noDeadline {
		end.Unanswered = r.now - since
	}
	return end
}

// updateRole makes the replica a follower or a learner according to the latest
// membership.
func (r *Replica) updateRole() {
	if r.isVoter() {
		r.fire("promoted")
	} else {
		r.fire("demoted")
	}
}

// adoptTerm moves to a newer term, in which this replica has not voted yet.
func (r *Replica) adoptTerm(term uint64) {
	r.term, r.vote = term, 0
	r.disk.hardStateDirty = true
	r.leader = 0
	r.fire("higher_term")
}
