package control_test

import (
	"testing"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// TestOrganisationsWaitForOldBuilds guards against a state whose keys some gateways do
// not check: it is refused with an error that the operator may retry, at each control
// VM, and states without organisations are not affected.
func TestOrganisationsWaitForOldBuilds(t *testing.T) {
	g := newGroup(t)
	assert.Assert(t, features.Supported.Has(features.Organisations))
	for i, c := range []struct {
		name            string
		gateway, member features.Set
		refused         bool
	}{
		{"old gateway and control member", 0, 0, true},
		{"old gateway", 0, features.Supported, true},
		{"old control member that leads", features.Supported, 0, true},
		{"all know organisations", features.Supported, features.Supported, false},
	} {
		register(g, uint64(i+1), c.gateway)
		g.replicas[0].SetFeatures(c.member)
		for k, admin := range []adminpb.Admin{g.leaderAdmin(), g.followerAdmin()} {
			version := uint64(10*i + 2*k + 1)
			_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(version)})
			assert.NilError(t, err, c.name)
			state := desiredState(version + 1)
			state.Organisations = []*catalogpb.Organisation{{Name: "a"}}
			resp, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
			if c.refused {
				assert.Equal(t, fault.FromTwirp(err, "").Kind, fault.UnsupportedYet, c.name)
				continue
			}
			assert.NilError(t, err, c.name)
			assert.Assert(t, resp.Result.Applied, c.name)
		}
	}
}

// register registers a new start of a gateway that supports the features.
func register(g *group, incarnation uint64, supported features.Set) {
	entry := &catalogpb.Entry{Id: "g1", ClusterAddress: "g1:1", Incarnation: incarnation, ServesStale: true, Features: uint64(supported)}
	for len(g.config().Entries) == 0 || g.config().Entries[0].Incarnation != incarnation {
		_, err := g.leaderDistribution().Renew(g.t.Context(), &clusterpb.RenewRequest{Entry: entry, ServesStale: true})
		assert.NilError(g.t, err)
	}
}
