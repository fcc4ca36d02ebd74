// Package fault holds the closed list of error kinds and the one table that
// maps a kind to its answer.
package fault

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"
)

// Kind identifies an error towards callers, operators and other processes.
type Kind string

// The closed list of kinds.
const (
	BadRequest        Kind = "bad_request"
	NotFound          Kind = "not_found"
	UnknownService    Kind = "unknown_service"
	NoRoute           Kind = "no_route"
	TooLarge          Kind = "too_large"
	UpgradeRefused    Kind = "upgrade_refused"
	Unauthorized      Kind = "unauthorized"
	Conflict          Kind = "conflict"
	StaleRevision     Kind = "stale_revision"
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
	CallerGone        Kind = "caller_gone"
	DiskFailed        Kind = "disk_failed"
	Settings          Kind = "settings"
	Internal          Kind = "internal"
)

// RunStatus says whether a refused request ran at an upstream.
type RunStatus string

// The run claims. NotRun is given only when no byte of the request can have
// been acted on by an upstream.
const (
	NotRun     RunStatus = "not run"
	Ran        RunStatus = "ran"
	RunUnknown RunStatus = "unknown"
)

// Response is what a kind leads to.
type Response struct {
	// Status is the HTTP status code towards callers.
	Status int
	// Code is the Twirp error code towards operators and other processes.
	Code twirp.ErrorCode
	// Run says whether the request ran.
	Run RunStatus
	// RetryAfter is the default time after which a new attempt makes sense;
	// zero means that a new attempt will get the same answer.
	RetryAfter time.Duration
	// ExitCode is the exit code of the command line.
	ExitCode int
	// Text explains the kind in one line.
	Text string
}

// Error is an error of a known kind.
type Error struct {
	Kind Kind
	// Detail adds what is particular to this occurrence.
	Detail string
	// RetryAfter overrides the default of the kind when it is not zero.
	RetryAfter time.Duration
	// MayHaveRun is set when an earlier attempt at the request may have run,
	// although this one did not.
	MayHaveRun bool
}

// New returns an error of kind k with a formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// NewRetryable returns an error of kind k that tells when to come back.
func NewRetryable(k Kind, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// Error returns the kind and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Detail
}

// Response returns the answer for the error, with its own RetryAfter if set.
func (e *Error) Response() Response {
	a := ResponseFor(e.Kind)
	if e.RetryAfter > 0 {
		a.RetryAfter = e.RetryAfter
	}
	if e.MayHaveRun && a.Run == NotRun {
		a.Run = RunUnknown
	}
	return a
}

// FromError returns err as an *Error; an error of no known kind becomes Internal.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// KindOf returns the kind of err, or "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return FromError(err).Kind
}
