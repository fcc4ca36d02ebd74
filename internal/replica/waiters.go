package replica

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// answer ends a wait.
type answer struct {
	result any
	index  uint64
	err    *fault.Error
}

// waiter is one call that waits for the event loop.
type waiter struct {
	id   uint64
	term uint64
	// answers has room for one answer, so that the loop never blocks.
	answers chan answer
}

func (w *waiter) finish(a answer) { w.answers <- a }

// waiters are the calls that wait: for their event to be handled, and then
// for their entry to be applied.
type waiters struct {
	byID    map[uint64]*waiter
	byIndex map[uint64]*waiter
}

func newWaiters() waiters {
	return waiters{byID: map[uint64]*waiter{}, byIndex: map[uint64]*waiter{}}
}

func (w *waiters) add(one *waiter) { w.byID[one.id] = one }

// proposed moves waiters whose entry stands in the log.
func (w *waiters) proposed(results []consensus.ProposalResult) {
	for _, p := range results {
		one := w.byID[p.ID]
		if one == nil {
			continue
		}
		delete(w.byID, p.ID)
		switch {
		case p.Fault != "":
			one.finish(answer{err: fault.New(p.Fault, "")})
		case p.Index == 0:
			one.finish(answer{})
		default:
			one.term = p.Term
			w.byIndex[p.Index] = one
		}
	}
}

// applied ends the wait for the entry e.
func (w *waiters) applied(e *clusterpb.LogEntry, result any) {
	one := w.byIndex[e.GetIndex()]
	if one == nil {
		return
	}
	delete(w.byIndex, e.GetIndex())
	if one.term != e.GetTerm() {
		one.finish(answer{err: fault.New(fault.NotLeader, "another entry took its place")})
		return
	}
	one.finish(answer{result: result, index: e.GetIndex()})
}

// readsDone ends confirmed reads. Their index is applied by now.
func (w *waiters) readsDone(results []consensus.ReadResult) {
	for _, r := range results {
		one := w.byID[r.ID]
		if one == nil {
			continue
		}
		delete(w.byID, r.ID)
		if r.Fault != "" {
			one.finish(answer{err: fault.New(r.Fault, "")})
			continue
		}
		one.finish(answer{index: r.Index})
	}
}

// failAll ends all waits.
func (w *waiters) failAll(err *fault.Error) {
	for id, one := range w.byID {
		delete(w.byID, id)
		one.finish(answer{err: err})
	}
	for index, one := range w.byIndex {
		delete(w.byIndex, index)
		one.finish(answer{err: err})
	}
}
