package control

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
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

// settledStateAge is the age from which a desired state is acknowledged without
// asking the leader. A leader can apply a state later than the other control VMs,
// and gateways get it from the leader first.
const settledStateAge = 2 * time.Second

// awaitHeldState waits, before a state that is held is acknowledged, as long as
// before a state that has just been committed. It fails if this control VM does not
// lead, the state is not settled, and the leader does not say that it holds it too.
func (a *admin) awaitHeldState(ctx context.Context, held *catalogpb.DesiredStateResult) error {
	applied := a.server.stateMachine.stateApplied.Load()
	if applied != nil && applied.version == held.HeldVersion && a.server.now()-applied.at >= settledStateAge {
		return nil
	}
	resp, forwarded, err := forwardToLeader(ctx, a.server, &adminpb.ReadStateRequest{KnownVersion: held.HeldVersion}, adminpb.Admin.ReadState)
	if !forwarded {
		a.server.awaitShortly(ctx, held.Revision)
		return nil
	}
	if err != nil {
		return err
	}
	if resp.Version < held.HeldVersion {
		return fault.ToTwirp(fault.New(fault.NotLeader, "the leader has applied desired state %d, not yet %d", resp.Version, held.HeldVersion))
	}
	timer := time.NewTimer(shortAcceptanceWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
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
		if held := a.heldState(state.Version); held != nil {
			return held, nil
		}
		return nil, fault.New(fault.Internal, "desired state %d was applied but is not held", state.Version)
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
