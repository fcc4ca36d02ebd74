package claimservice

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// permitServicePrefix separates the keys of permits from those of callers.
	// Service names contain no zero byte.
	permitServicePrefix = "\x00permit/"
	// permitRetryDelay is the retry delay given to callers while another attempt
	// holds the permit.
	permitRetryDelay = 500 * time.Millisecond
)

// AcquirePermit acquires the permit to attempt a request that is suspected of
// crashing upstreams. Across all entry VMs, only one attempt at a time holds it.
// release must be called when the attempt has ended and the other entry VMs know
// its outcome. If the entry VM that held the permit was lost, attempts are allowed
// without one.
func (s *Service) AcquirePermit(ctx context.Context, service, fingerprint string) (release func(), refusal *fault.Error) {
	d := s.Begin(ctx, permitServicePrefix+service, fingerprint, [32]byte{})
	if d.Kind == Proceed {
		return d.Claim.Release, nil
	}
	switch d.Refusal.Kind {
	case fault.OutcomeUnknown:
		return func() {}, nil
	case fault.StillRunning:
		return nil, fault.NewRetryable(fault.Suspect, permitRetryDelay, "another attempt is in progress")
	default:
		return nil, d.Refusal
	}
}
