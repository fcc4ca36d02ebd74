package replica

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// TestReplacementOfALostDisk replaces a replica by one that knows no other.
func TestReplacementOfALostDisk(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	hosts := startGroup(t, 3, Options{})
	leader := waitLeader(t, hosts)
	_, index, err := leader.node.Propose(ctx, []byte("before"))
	assert.NilError(t, err)
	var lost *host
	for _, h := range hosts {
		if h != leader {
			lost = h
		}
	}
	lost.stop()
	l := listen(t)
	fresh := startHost(t, l, Options{ID: 4, DataDir: t.TempDir(), Join: true})
	leader = addMember(ctx, t, hosts, &catalogpb.ControlMember{ReplicaId: 4, Address: l.Addr().String()}, lost.opts.ID)
	waitApplied(t, fresh, index)
	assert.Equal(t, len(leader.node.Status().Members), 3)
}

// addMember repeats the call when the leader changes on the way.
func addMember(ctx context.Context, t *testing.T, hosts []*host, m *catalogpb.ControlMember, replaces uint64) *host {
	t.Helper()
	for {
		leader := waitLeader(t, hosts)
		complete, err := leader.node.AddMember(ctx, m, replaces)
		if fault.KindOf(err) == fault.NotLeader {
			continue
		}
		assert.NilError(t, err)
		assert.Assert(t, complete)
		return leader
	}
}
