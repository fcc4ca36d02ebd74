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
	// MarkUnknown records that the request may have run.
	MarkUnknown()
}

// Quarantine holds off requests that break upstreams.
type Quarantine interface {
	// Blocked returns the refusal for a quarantined request, or nil.
	Blocked(service, fingerprint string) *fault.Error
	// Admit is called before each attempt. A request under suspicion has one
	// attempt at a time over all entry VMs.
	Admit(ctx context.Context, service, fingerprint string) (AttemptReporter, *fault.Error)
}

// AttemptReporter is one attempt that the quarantine let pass. Exactly one of its methods
// ends it; none of them blocks.
type AttemptReporter interface {
	// Crashed reports that the connection to the upstream broke.
	Crashed(upstream string, incarnation uint64)
	// Completed reports a whole answer, of any status.
	Completed()
	// Abandoned reports that the attempt says nothing about the request.
	Abandoned()
}
