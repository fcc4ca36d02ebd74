// Package load drives a service with an open loop of requests and measures
// what its callers see.
package load

// Header fields of a refusal.
const (
	// HeaderFault holds the fault kind.
	HeaderFault = "Balsam-Fault"
	// HeaderRun holds the run claim: "not run", "ran" or "unknown".
	HeaderRun = "Balsam-Run"
)
