package control

import "balsamcourse.example/balsamcourse/internal/features"

// ConfigIntervalPerEntry exports configIntervalPerEntry for tests.
const ConfigIntervalPerEntry = configIntervalPerEntry

// SetMissingFeatures sets what the server knows about the features that processes
// support.
func (s *Server) SetMissingFeatures(missing func(features.Set) string) { s.missingFeatures = missing }
