package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// stubReplica is a replica whose proposals are committed when the test says so.
type stubReplica struct {
	machine StateMachine
	leads   bool
	// commit is received from before each proposal is applied.
	commit chan error

	mu       sync.Mutex
	proposed int
	index    uint64
}

func (r *stubReplica) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	r.mu.Lock()
	r.proposed++
	r.mu.Unlock()
	select {
	case err := <-r.commit:
		if err != nil {
			return nil, 0, err
		}
	case <-ctx.Done():
		return nil, 0, fault.New(fault.NoQuorum, "no result in time")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.machine.Apply(r.index, data), r.index, nil
}

func (r *stubReplica) ConfirmedRead(context.Context) (uint64, error) { return 0, nil }
func (r *stubReplica) Status() Status                                { return Status{IsLeader: r.leads} }

func (r *stubReplica) proposals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proposed
}

// newStubServer returns a server with a stub replica. Its event loop does not run.
func newStubServer() (*Server, *stubReplica) {
	s := New(Options{})
	r := &stubReplica{machine: s.StateMachine(), leads: true, commit: make(chan error)}
	s.SetReplica(r)
	return s, r
}

// applyState applies a desired state as an operator does who waits for 900 ms.
func applyState(s *Server, version uint64) (*adminpb.ApplyStateResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	return s.Admin().ApplyState(ctx, &adminpb.ApplyStateRequest{State: stateWithRoutes(version, 3)})
}

// TestDesiredStateSentAgainIsReplicatedOnce guards against incident inc2:
// an operator that got no answer in time sent the state again, and each time the
// whole state went through the log once more while control was busy with the first.
func TestDesiredStateSentAgainIsReplicatedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newStubServer()
		_, err := applyState(s, 4)
		assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.NoQuorum)
		answers := make(chan *adminpb.ApplyStateResponse, 2)
		for range 2 {
			go func() {
				resp, err := applyState(s, 4)
				assert.Check(t, err)
				answers <- resp
			}()
		}
		synctest.Wait()
		assert.Equal(t, r.proposals(), 1)
		r.commit <- nil
		for range 2 {
			resp := <-answers
			assert.Equal(t, resp.GetResult().GetHeldVersion(), uint64(4))
		}
		assert.Equal(t, r.proposals(), 1)
	})
}

// TestHeldDesiredStateIsAcknowledgedWithoutLog sends states that are not newer than
// the one held, to a control VM that leads and to one that does not.
func TestHeldDesiredStateIsAcknowledgedWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newStubServer()
		go func() { r.commit <- nil }()
		first, err := applyState(s, 4)
		assert.NilError(t, err)
		assert.Assert(t, first.Result.Applied)
		for _, leads := range []bool{true, false} {
			r.leads = leads
			if !leads {
				time.Sleep(settledStateAge)
			}
			for _, version := range []uint64{4, 3} {
				resp, err := applyState(s, version)
				assert.NilError(t, err)
				assert.Assert(t, !resp.Result.Applied)
				assert.Equal(t, resp.Result.HeldVersion, uint64(4))
				assert.Equal(t, resp.Result.Revision, first.Result.Revision)
			}
		}
		assert.Equal(t, r.proposals(), 1)
		invalid := stateWithRoutes(4, 1)
		invalid.Routes[0].MaxAttempts = 0
		_, err = s.Admin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: invalid})
		assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.InvalidChange)
	})
}

// TestUnsettledStateIsNotAcknowledgedWithoutLeader sends a state that has just been
// committed, and again later, to a control VM that does not lead. Until the state is
// settled, the leader may not have applied it.
func TestUnsettledStateIsNotAcknowledgedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newStubServer()
		r.leads = false
		time.Sleep(time.Minute)
		data, err := proto.Marshal(&catalogpb.Command{Kind: &catalogpb.Command_PutState{PutState: stateWithRoutes(4, 3)}})
		assert.NilError(t, err)
		s.StateMachine().Apply(1, data)
		_, err = applyState(s, 4)
		assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.NotLeader)
		time.Sleep(settledStateAge)
		start := time.Now()
		_, err = applyState(s, 4)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Duration(0))
		// A state whose time is not recorded yet counts as not settled.
		s.stateMachine.stateApplied.Store(&stateChange{version: 3})
		_, err = applyState(s, 4)
		assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.NotLeader)
	})
}

// TestFailedProposalOfStateIsMadeAgain loses leadership during a proposal.
func TestFailedProposalOfStateIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newStubServer()
		go func() { r.commit <- fault.New(fault.NotLeader, "") }()
		_, err := applyState(s, 4)
		assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.NotLeader)
		go func() { r.commit <- nil }()
		resp, err := applyState(s, 4)
		assert.NilError(t, err)
		assert.Assert(t, resp.Result.Applied)
		assert.Equal(t, r.proposals(), 2)
	})
}
