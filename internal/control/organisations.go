package control

import (
	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/features"
)

// checkOrganisations returns the refusal of a desired state with organisations while a
// control member or a registered gateway does not obey them: an old gateway would serve
// requests without a key, and an old control member would not send the organisations
// to gateways. A control VM that does not lead checks that the leader supports them
// before it forwards the order: an old leader would commit the fields that it does not
// know. The leader checks again.
func (a *admin) checkOrganisations(state *catalogpb.DesiredState) *fault.Error {
	if len(state.GetOrganisations()) == 0 {
		return nil
	}
	var err error
	if a.server.opts.Replica.Status().IsLeader {
		err = a.server.supports(features.Organisations, true)
	} else {
		err = a.server.leaderSupport(features.Organisations)
	}
	if err != nil {
		return fault.New(fault.FromError(err).Kind, "desired state version %d has organisations: %v", state.Version, err)
	}
	return nil
}
