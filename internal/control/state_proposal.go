package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// stateProposals holds the proposals of desired states that are in progress, by
// version. An operator that gets no answer in time sends a state again; only one
// copy of it goes through the log.
type stateProposals struct {
	mu         sync.Mutex
	inProgress map[uint64]*stateProposal
	workers    conc.WaitGroup
}

// stateProposal is the proposal of one desired state. result and err are set when
// done is closed.
type stateProposal struct {
	done   chan struct{}
	result any
	err    error
}

// start calls propose in the background, unless a state of the same version is
// being proposed already. It returns the proposal in progress and whether it is
// new.
func (p *stateProposals) start(version uint64, propose func() (any, error)) (*stateProposal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if running := p.inProgress[version]; running != nil {
		return running, false
	}
	started := &stateProposal{done: make(chan struct{})}
	if p.inProgress == nil {
		p.inProgress = make(map[uint64]*stateProposal)
	}
	p.inProgress[version] = started
	crash.Go(&p.workers, func() {
		started.result, started.err = propose()
		p.mu.Lock()
		delete(p.inProgress, version)
		p.mu.Unlock()
		close(started.done)
	})
	return started, true
}

// heldState returns the result for a state whose version is not higher than the one
// held, or nil if it is higher. What is held is committed, so that any control VM
// can acknowledge such a state.
func (a *admin) heldState(version uint64) *catalogpb.DesiredStateResult {
	cfg := a.server.catalog.Config()
	if version > cfg.StateVersion {
		return nil
	}
	return &catalogpb.DesiredStateResult{HeldVersion: cfg.StateVersion, Revision: cfg.Revision}
}

// awaitHeldState waits, before a state that is held is acknowledged, as long as
// before a state that has just been committed: for acceptance of the revision on
// the leader, and for the longest time that this takes on other control VMs.
func (a *admin) awaitHeldState(ctx context.Context, revision uint64) {
	if a.server.opts.Replica.Status().IsLeader {
		a.server.awaitShortly(ctx, revision)
		return
	}
	appliedAt := time.Duration(a.server.stateMachine.stateAppliedAt.Load())
	timer := time.NewTimer(appliedAt + shortAcceptanceWait - a.server.now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// proposeState commits a desired state. The proposal goes on if ctx ends first.
func (a *admin) proposeState(ctx context.Context, state *catalogpb.DesiredState) (*catalogpb.DesiredStateResult, error) {
	p, isNew := a.server.states.start(state.Version, func() (any, error) {
		return a.propose(context.WithoutCancel(ctx), &catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: state}})
	})
	select {
	case <-p.done:
	case <-ctx.Done():
		return nil, quorumError(ctx, ctx.Err())
	}
	if p.err != nil {
		return nil, p.err
	}
	switch r := p.result.(type) {
	case *catalogpb.DesiredStateResult:
		if isNew {
			return r, nil
		}
		// The state in progress may have had another content.
		return a.heldState(state.Version), nil
	case catalog.CommandResult:
		return nil, r.Err
	}
	return nil, fault.New(fault.Internal, "unexpected result of type %T from the state machine", p.result)
}

// logState logs the result of applying a desired state.
func (a *admin) logState(version uint64, r *catalogpb.DesiredStateResult) {
	a.server.opts.Log.Log(event.StateApplied).Uint64("version", version).
		Uint64("held", r.HeldVersion).Uint64("revision", r.Revision).Bool("applied", r.Applied).Send()
}
