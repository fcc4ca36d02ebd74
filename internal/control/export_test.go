package control

import "balsamcourse.example/balsamcourse/internal/features"

// ConfigIntervalPerEntry exports configIntervalPerEntry for tests.
const ConfigIntervalPerEntry = configIntervalPerEntry

// Supports exports Server.supports for tests.
var Supports = (*Server).supports

// GroupFeatures returns what all members of the control group are recorded to support.
func GroupFeatures(s *Server) features.Set { return s.catalog.GroupFeatures() }
