package forward

import (
	"context"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/quarantine"
)

// Claims ensures that a request with an Idempotency-Key that is not
// repeatable runs at most once.
type Claims interface {
	// Begin claims the key of a service for the request with the given
	// content digest. Exactly one result is set: a claim to proceed with,
	// the kept response of an earlier run, or an error.
	Begin(ctx context.Context, service, key string, digest [32]byte) (Claim, *clusterpb.KeptAnswer, *fault.Error)
}

// Claim is the right to send one request once. Exactly one of Finish,
// Release and MarkUnknown ends it.
type Claim interface {
	// Start must be called right before the first byte is sent; on an error
	// nothing may be sent.
	Start(ctx context.Context) error
	// Finish records that the request ran and keeps its response for
	// resends.
	Finish(answer *clusterpb.KeptAnswer)
	// Release gives up the claim of a request that did not run.
	Release()
	// MarkUnknown records that the request may have run.
	MarkUnknown()
}

// Quarantine blocks requests that crash upstreams.
type Quarantine interface {
	// Blocked returns the refusal for a quarantined request, or nil.
	Blocked(quarantine.Signature) *fault.Error
	// Admit must be called before each attempt. It returns a reporter for
	// the outcome of the attempt, or a refusal. For a request that is
	// suspected of crashing upstreams it waits, so that only one attempt
	// runs at a time across all entry VMs.
	Admit(ctx context.Context, sig quarantine.Signature) (AttemptReporter, *fault.Error)
}

// AttemptReporter receives the outcome of one attempt that Quarantine
// admitted. Exactly one of its methods must be called; none of them blocks.
type AttemptReporter interface {
	// Crashed reports that the connection to the upstream broke. The
	// incarnation identifies the upstream's process.
	Crashed(upstream string, incarnation uint64)
	// Completed reports a complete response of any status but 504.
	Completed()
	// Abandoned reports that the attempt gave no evidence for or against the
	// request.
	Abandoned()
}
