package replica

import (
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/consensus"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// callResult is what a call returns.
type callResult struct {
	value any
	index uint64
	err   *fault.Error
}

// pendingCall is a call that waits for its result.
type pendingCall struct {
	id   uint64
	term uint64
	// result has room for one value, so that the event loop never blocks.
	result chan callResult
}

func (c *pendingCall) complete(res callResult) { c.result <- res }

// pendingCalls holds the calls that wait: by id until their event is handled,
// then by index until their entry is applied.
type pendingCalls struct {
	byID    map[uint64]*pendingCall
	byIndex map[uint64]*pendingCall
}

func newPendingCalls() pendingCalls {
	return pendingCalls{byID: map[uint64]*pendingCall{}, byIndex: map[uint64]*pendingCall{}}
}

func (calls *pendingCalls) add(call *pendingCall) { calls.byID[call.id] = call }

// handleProposalResults moves calls whose entry was appended to byIndex, and
// completes the others.
func (calls *pendingCalls) handleProposalResults(results []consensus.ProposalResult) {
	for _, p := range results {
		call := calls.byID[p.ID]
		if call == nil {
			continue
		}
		delete(calls.byID, p.ID)
		switch {
		case p.Fault != "":
			call.complete(callResult{err: fault.New(p.Fault, "")})
		case p.Index == 0:
			call.complete(callResult{})
		default:
			call.term = p.Term
			calls.byIndex[p.Index] = call
		}
	}
}

// handleApplied completes the call whose entry has the index of e. The call
// fails if e is of another term, and so not its entry.
func (calls *pendingCalls) handleApplied(e *clusterpb.LogEntry, result any) {
	call := calls.byIndex[e.GetIndex()]
	if call == nil {
		return
	}
	delete(calls.byIndex, e.GetIndex())
	if call.term != e.GetTerm() {
		call.complete(callResult{err: fault.New(fault.NotLeader, "the entry was replaced by one of another leader")})
		return
	}
	call.complete(callResult{value: result, index: e.GetIndex()})
}

// handleReadResults completes confirmed reads. The state machine has applied
// the entries up to their index.
func (calls *pendingCalls) handleReadResults(results []consensus.ReadResult) {
	for _, r := range results {
		call := calls.byID[r.ID]
		if call == nil {
			continue
		}
		delete(calls.byID, r.ID)
		if r.Fault != "" {
			call.complete(callResult{err: fault.New(r.Fault, "")})
			continue
		}
		call.complete(callResult{index: r.Index})
	}
}

// failAll completes all calls with err.
func (calls *pendingCalls) failAll(err *fault.Error) {
	for id, call := range calls.byID {
		delete(calls.byID, id)
		call.complete(callResult{err: err})
	}
	for index, call := range calls.byIndex {
		delete(calls.byIndex, index)
		call.complete(callResult{err: err})
	}
}
