package replica

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// TestJoiningReplicaReplacesLostMember replaces a member whose disk is lost by
// an empty replica that is given no addresses of the others.
func TestJoiningReplicaReplacesLostMember(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	replicas := startGroup(t, 3, Options{})
	leader := waitForLeader(t, replicas)
	_, index, err := leader.node.Propose(ctx, []byte("before"))
	assert.NilError(t, err)
	var lost *testReplica
	for _, r := range replicas {
		if r != leader {
			lost = r
		}
	}
	lost.stop()
	l := listen(t)
	fresh := startReplica(t, l, Options{ID: 4, DataDir: t.TempDir(), Join: true})
	leader = addMemberWithRetry(ctx, t, replicas, &catalogpb.ControlMember{ReplicaId: 4, Address: l.Addr().String()}, lost.opts.ID)
	waitForApplied(t, fresh, index)
	assert.Equal(t, len(leader.node.Status().Members), 3)
}

// addMemberWithRetry calls AddMember on the leader, and again if another
// replica becomes leader meanwhile. It returns the leader.
func addMemberWithRetry(ctx context.Context, t *testing.T, replicas []*testReplica, m *catalogpb.ControlMember, replaces uint64) *testReplica {
	t.Helper()
	for {
		leader := waitForLeader(t, replicas)
		complete, err := leader.node.AddMember(ctx, m, replaces)
		if fault.KindOf(err) == fault.NotLeader {
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, complete)
		return leader
	}
}
