package control_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// startingGateway returns the first renewal of a gateway.
func startingGateway() *clusterpb.RenewRequest {
	return &clusterpb.RenewRequest{
		Entry: &catalogpb.Entry{Id: "g1", ClusterAddress: "g1:1", Incarnation: 1, ServesStale: true}, ServesStale: true, WaitMs: 1000,
	}
}

// TestReplicaThatHasNotCaughtUpSendsNoConfig guards against a gateway that starts at
// the same time as a control VM and gets the state of its last snapshot: upstreams
// that have left since would get work again, and routes withdrawn would be served.
func TestReplicaThatHasNotCaughtUpSendsNoConfig(t *testing.T) {
	g := newGroup(t)
	_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(1)})
	assert.NilError(t, err)
	follower := clusterpb.NewDistributionProtobufClient("http://"+g.servers[1].Address(), httpnet.NewClient(nil))
	g.replicas[1].SetBehind(true)
	resp, err := follower.Renew(t.Context(), startingGateway())
	assert.NilError(t, err)
	assert.Assert(t, resp.Config == nil && resp.PackedConfig == nil && resp.Delta == nil, "sent %v", resp)

	// A gateway that waits gets the configuration once the replica has caught up.
	time.AfterFunc(100*time.Millisecond, func() { g.replicas[1].SetBehind(false) })
	resp, err = follower.Renew(t.Context(), startingGateway())
	assert.NilError(t, err)
	assert.Assert(t, resp.Config.GetStateVersion() == 1, "sent %v", resp)
}

// TestMembersAreNamedWithoutConfig expects a control VM to name the others at once to
// a gateway that only wants to know them, whether or not it leads or has caught up.
func TestMembersAreNamedWithoutConfig(t *testing.T) {
	g := newGroup(t)
	_, err := g.leaderAdmin().ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(1)})
	assert.NilError(t, err)
	g.replicas[1].SetBehind(true)
	req := startingGateway()
	req.WantsMembers = true
	for _, server := range g.servers {
		resp, err := clusterpb.NewDistributionProtobufClient("http://"+server.Address(), httpnet.NewClient(nil)).Renew(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, len(resp.ControlAddresses), 2)
		assert.Assert(t, resp.Config == nil && resp.Delta == nil && resp.LeaderAddress == "", "sent %v", resp)
	}
}
