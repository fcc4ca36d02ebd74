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
	if missing := a.server.missingSupport(features.Organisations); missing != "" {
		return fault.New(fault.NotFresh, "desired state version %d has organisations, which not all processes support yet: %s", state.Version, missing)
	}
	return nil
}

// missingSupport returns which process does not state that it supports the features,
// or "" if all control members and registered gateways do. On a control VM that does
// not lead, only the leader counts.
func (s *Server) missingSupport(want features.Set) string {
	if s.missingFeatures == nil {
		return ""
	}
	return s.missingFeatures(want)
}
