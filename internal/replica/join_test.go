package replica

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
)

// TestJoiningReplicaReplacesLostMember replaces a member whose disk is lost by
// an empty replica that is given no addresses of the others.
func TestJoiningReplicaReplacesLostMember(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var log eventLog
	replicas := startGroup(t, 3, Options{Events: log.logger()})
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log.String())
		}
	})
	leader, index := commitAtLeader(t, ctx, replicas, []byte("before"))
	var lost *testReplica
	for _, r := range replicas {
		if r != leader {
			lost = r
		}
	}
	lost.stop()
	l := listen(t)
	fresh := startReplica(t, l, Options{ID: 4, DataDir: t.TempDir(), Join: true})
	member := &catalogpb.ControlMember{ReplicaId: 4, Address: l.Addr().String()}
	leader = addMember(t, ctx, without(replicas, lost), member, lost.opts.ID)
	waitForApplied(t, fresh, index)
	assert.Equal(t, len(leader.node.Status().Members), 3)
}
