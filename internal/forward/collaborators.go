package forward

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// Claims decides whether a request that may run at most once may be sent.
type Claims interface {
	// Begin claims the key. Exactly one of the results is set: a claim to go
	// on with, a kept answer, or an error.
	Begin(ctx context.Context, service, key string, digest [32]byte) (Claim, *clusterpb.KeptAnswer, *fault.Error)
}

// Claim is the right to send one request once. Exactly one of Finish, Release
// and Unknown ends it.
type Claim interface {
	// Start is called right before the first byte is sent.
	Start(ctx context.Context) error
	// Finish keeps the answer for resends.
	Finish(answer *clusterpb.KeptAnswer)
	// Release gives the claim back: the request did not run.
	Release()
	// Unknown records that the request may have run.
	Unknown()
}

// Quarantine holds off requests that break upstreams.
type Quarantine interface {
	// Blocked returns the refusal for a quarantined request, or nil.
	Blocked(service, fingerprint string) *fault.Error
	// Broken reports that a connection broke with the request in flight.
	Broken(service, fingerprint, upstream string)
}
