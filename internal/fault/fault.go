// Package fault defines the kinds of errors of the program. Each kind is mapped to
// one response: an HTTP status, a Twirp error code and an exit code. A kind keeps
// its name across processes, in HTTP headers and in Twirp metadata.
package fault

import (
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Kind classifies an error for callers, operators and other processes.
type Kind string

// All kinds of errors. The table responses describes each of them.
const (
	BadRequest        Kind = "bad_request"
	NotFound          Kind = "not_found"
	UnknownService    Kind = "unknown_service"
	NoRoute           Kind = "no_route"
	TooLarge          Kind = "too_large"
	UpgradeRefused    Kind = "upgrade_refused"
	Unauthorized      Kind = "unauthorized"
	Conflict          Kind = "conflict"
	RolloutUnderWay   Kind = "rollout_under_way"
	StaleRevision     Kind = "stale_revision"
	OutdatedOrder     Kind = "outdated_order"
	UnsupportedYet    Kind = "unsupported_yet"
	InvalidChange     Kind = "invalid_change"
	ChangeExpired     Kind = "change_expired"
	NotAccepted       Kind = "not_accepted"
	NotLeader         Kind = "not_leader"
	NoQuorum          Kind = "no_quorum"
	Unreachable       Kind = "unreachable"
	NotFresh          Kind = "not_fresh"
	ZoneOut           Kind = "zone_out"
	NoUpstream        Kind = "no_upstream"
	NoDispatcher      Kind = "no_dispatcher"
	QueueFull         Kind = "queue_full"
	RateLimited       Kind = "rate_limited"
	AllotmentUsed     Kind = "allotment_used"
	AllotmentUnknown  Kind = "allotment_unknown"
	UpstreamsPaused   Kind = "upstreams_paused"
	DeadlineTooShort  Kind = "deadline_too_short"
	Overloaded        Kind = "overloaded"
	Leaving           Kind = "leaving"
	Shed              Kind = "shed"
	KeyRequired       Kind = "key_required"
	KeyConflict       Kind = "key_conflict"
	StillRunning      Kind = "still_running"
	AlreadyRan        Kind = "already_ran"
	ClaimsFull        Kind = "claims_full"
	ClaimsUnavailable Kind = "claims_unavailable"
	OutcomeUnknown    Kind = "outcome_unknown"
	UpstreamBroken    Kind = "upstream_broken"
	UpstreamTimeout   Kind = "upstream_timeout"
	Quarantined       Kind = "quarantined"
	Suspect           Kind = "suspect"
	CallerGone        Kind = "caller_gone"
	DiskFailed        Kind = "disk_failed"
	Settings          Kind = "settings"
	Internal          Kind = "internal"
)

// RunStatus says whether a request that failed ran at an upstream.
type RunStatus string

// The run statuses. NotRun is stated only if no upstream can have acted on any
// byte of the request.
const (
	NotRun     RunStatus = "not run"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Response describes how an error of a kind is reported.
type Response struct {
	// Status is the HTTP status code for callers.
	Status int
	// Code is the Twirp error code for operators and other processes.
	Code twirp.ErrorCode
	// Run says whether the request ran at an upstream.
	Run RunStatus
	// RetryAfter is the default time to wait before a retry; 0 means that a retry
	// fails in the same way.
	RetryAfter time.Duration
	// ExitCode is the exit code of the command line.
	ExitCode int
	// Text describes the kind in one line.
	Text string
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Detail describes this occurrence; it may be empty.
	Detail string
	// RetryAfter overrides the default of the kind if it is not 0.
	RetryAfter time.Duration
	// MayHaveRun is set if an earlier attempt at the request may have run. The run
	// status NotRun, which then holds for the last attempt only, becomes
	// RunUnknown.
	MayHaveRun bool
}

// maxDetailBytes bounds the detail of an error, which may quote what an upstream has
// sent.
const maxDetailBytes = 1 << 10

// formatDetail formats a detail as fmt.Sprintf does and cuts it to maxDetailBytes.
func formatDetail(format string, args []any) string {
	detail := fmt.Sprintf(format, args...)
	if len(detail) <= maxDetailBytes {
		return detail
	}
	return strings.ToValidUTF8(detail[:maxDetailBytes], "") + "..."
}

// New returns an error of kind k. The detail is formatted as by fmt.Sprintf and cut
// to 1 KiB.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: formatDetail(format, args)}
}

// NewRetryable returns an error of kind k with the time to wait before a retry.
// The detail is formatted as by New.
func NewRetryable(k Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: formatDetail(format, args), RetryAfter: retryAfter}
}

// Error returns the text "kind: detail", or the kind alone without a detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Detail
}

// Response returns the response of the error's kind, with the error's own
// RetryAfter and run status where they differ.
func (e *Error) Response() Response {
	resp := ResponseFor(e.Kind)
	if e.RetryAfter > 0 {
		resp.RetryAfter = e.RetryAfter
	}
	if e.MayHaveRun && resp.Run == NotRun {
		resp.Run = RunUnknown
	}
	return resp
}

// FromError returns the *Error in the chain of err. For an err without one it
// returns an error of kind Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// KindOf returns the kind of err: "" for nil, Internal for an error that has no
// kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return FromError(err).Kind
}
