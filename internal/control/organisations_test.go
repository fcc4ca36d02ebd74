package control_test

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	adminpb "balsamcourse.example/balsamcourse/api/admin/v1"
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// TestOrganisationsWaitForOldBuilds guards against a state whose keys some gateways do
// not check: it is refused with an error that the operator may retry, at each control
// VM, and states without organisations are not affected.
func TestOrganisationsWaitForOldBuilds(t *testing.T) {
	g := newGroup(t)
	var old atomic.Bool
	for _, s := range g.controls {
		s.SetMissingFeatures(func(want features.Set) string {
			if old.Load() && want.Has(features.Organisations) {
				return "gateway g1"
			}
			return ""
		})
	}
	assert.Assert(t, features.Supported.Has(features.Organisations))
	for version, admin := range map[uint64]adminpb.Admin{10: g.leaderAdmin(), 20: g.followerAdmin()} {
		state := desiredState(version)
		state.Organisations = []*catalogpb.Organisation{{Name: "a"}}
		old.Store(true)
		_, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
		refusal := fault.FromTwirp(err, "")
		assert.Equal(t, refusal.Kind, fault.NotFresh)
		assert.ErrorContains(t, refusal, "gateway g1")
		without, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: desiredState(version - 1)})
		assert.NilError(t, err)
		old.Store(false)
		resp, err := admin.ApplyState(t.Context(), &adminpb.ApplyStateRequest{State: state})
		assert.NilError(t, err)
		assert.Equal(t, resp.Result.Applied, version > without.Result.HeldVersion)
	}
}
