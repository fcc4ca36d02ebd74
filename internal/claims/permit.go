package claims

import (
	"context"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
)

const (
	// permitScope keeps the keys of permits apart from those of callers; no
	// service name contains a zero byte.
	permitScope = "\x00permit/"
	// permitRetry is when to come back while another attempt runs.
	permitRetry = 500 * time.Millisecond
)

// AcquirePermit allows one attempt at a time, over all entry VMs, at a request that
// is suspected of crashing upstreams. The caller calls release when the
// attempt has ended and its outcome has been shared. When the holder of the
// permit was lost, attempts are let through.
func (s *Service) AcquirePermit(ctx context.Context, service, fingerprint string) (release func(), refusal *fault.Error) {
	d := s.Begin(ctx, permitScope+service, fingerprint, [32]byte{})
	if d.Kind == Proceed {
		return d.Claim.Release, nil
	}
	switch d.Refusal.Kind {
	case fault.OutcomeUnknown:
		return func() {}, nil
	case fault.StillRunning:
		return nil, fault.After(fault.Quarantined, permitRetry, "another attempt at this suspect request is running")
	default:
		return nil, d.Refusal
	}
}
