package fault

import (
	"net/http"
	"slices"
	"time"

	"github.com/twitchtv/twirp"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnavailable = 4
	ExitConflict    = 5
	ExitSettings    = 6
)

// Default times to wait before a retry.
const (
	retrySoon   = 100 * time.Millisecond
	retryShort  = 500 * time.Millisecond
	retryMedium = 2 * time.Second
	retryLong   = 30 * time.Second
)

// responses maps each kind to its response.
var responses = map[Kind]Response{
	BadRequest:        {http.StatusBadRequest, twirp.InvalidArgument, NotRun, 0, ExitUsage, "the request is malformed"},
	NotFound:          {http.StatusNotFound, twirp.NotFound, NotRun, 0, ExitRefused, "the named object does not exist"},
	UnknownService:    {http.StatusNotFound, twirp.NotFound, NotRun, 0, ExitRefused, "no service has this path prefix"},
	NoRoute:           {http.StatusNotFound, twirp.NotFound, NotRun, 0, ExitRefused, "no route has this host and path prefix"},
	TooLarge:          {http.StatusRequestEntityTooLarge, twirp.InvalidArgument, NotRun, 0, ExitUsage, "the request exceeds a size limit"},
	UpgradeRefused:    {http.StatusNotImplemented, twirp.Unimplemented, NotRun, 0, ExitRefused, "protocol upgrades are not supported"},
	Unauthorized:      {http.StatusUnauthorized, twirp.Unauthenticated, NotRun, 0, ExitRefused, "the key is missing or wrong"},
	Conflict:          {http.StatusConflict, twirp.AlreadyExists, NotRun, 0, ExitConflict, "the change id was used for another change"},
	RolloutUnderWay:   {http.StatusConflict, twirp.FailedPrecondition, NotRun, 0, ExitConflict, "another roll-out of the pool is under way"},
	StaleRevision:     {http.StatusConflict, twirp.FailedPrecondition, NotRun, 0, ExitConflict, "the expected revision is not the current one"},
	OutdatedOrder:     {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryShort, ExitUnavailable, "the object has changed since the order arrived; order it again if it is still wanted"},
	UnsupportedYet:    {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryMedium, ExitUnavailable, "a process that must obey the order runs an older build"},
	InvalidChange:     {http.StatusUnprocessableEntity, twirp.InvalidArgument, NotRun, 0, ExitRefused, "the change is not valid in this configuration"},
	ChangeExpired:     {http.StatusGone, twirp.OutOfRange, RunUnknown, 0, ExitConflict, "the change id is older than the retained ids"},
	NotAccepted:       {http.StatusAccepted, twirp.Unavailable, RunUnknown, retryMedium, ExitUnavailable, "the change is committed but not yet in force everywhere"},
	NotLeader:         {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryShort, ExitUnavailable, "this control VM does not lead"},
	NoQuorum:          {http.StatusServiceUnavailable, twirp.Unavailable, RunUnknown, retryMedium, ExitUnavailable, "the control group has no quorum"},
	Unreachable:       {http.StatusServiceUnavailable, twirp.Unavailable, RunUnknown, retryMedium, ExitUnavailable, "none of the addresses answers"},
	NotFresh:          {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryMedium, ExitUnavailable, "this entry VM cannot confirm its configuration"},
	ZoneOut:           {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryMedium, ExitUnavailable, "every availability zone of the service is out"},
	NoUpstream:        {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryMedium, ExitUnavailable, "no upstream of the service takes new work"},
	NoDispatcher:      {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryShort, ExitUnavailable, "no dispatcher of the service answers"},
	QueueFull:         {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "the queue of the cell is full"},
	RateLimited:       {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "every upstream of the service names a request rate that is used up"},
	AllotmentUsed:     {http.StatusTooManyRequests, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "the organisation of the caller has used up its allotment"},
	AllotmentUnknown:  {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryShort, ExitUnavailable, "no gateway that counts the requests of the caller's organisation answers"},
	UpstreamsPaused:   {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "every upstream of the service has asked for a pause or is leaving"},
	DeadlineTooShort:  {http.StatusServiceUnavailable, twirp.DeadlineExceeded, NotRun, retryShort, ExitUnavailable, "no slot is expected before the deadline"},
	Overloaded:        {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "this entry VM has reached its own limit"},
	Leaving:           {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retrySoon, ExitUnavailable, "this entry VM is stopping; ask another one"},
	Shed:              {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryShort, ExitUnavailable, "the upstream refused the request before running it"},
	KeyRequired:       {http.StatusBadRequest, twirp.InvalidArgument, NotRun, 0, ExitUsage, "the rule requires an Idempotency-Key"},
	KeyConflict:       {http.StatusUnprocessableEntity, twirp.AlreadyExists, NotRun, 0, ExitConflict, "the Idempotency-Key was used for another request"},
	StillRunning:      {http.StatusConflict, twirp.Aborted, RunUnknown, retryShort, ExitUnavailable, "the first request with this key is still running"},
	AlreadyRan:        {http.StatusConflict, twirp.AlreadyExists, Ran, 0, ExitConflict, "the request ran; its answer was not kept"},
	ClaimsFull:        {http.StatusServiceUnavailable, twirp.ResourceExhausted, NotRun, retryLong, ExitUnavailable, "no room for another claim"},
	ClaimsUnavailable: {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryMedium, ExitUnavailable, "the claim group cannot decide"},
	OutcomeUnknown:    {http.StatusBadGateway, twirp.DataLoss, RunUnknown, retryLong, ExitUnavailable, "the request may have run"},
	UpstreamBroken:    {http.StatusBadGateway, twirp.Unavailable, RunUnknown, retryShort, ExitUnavailable, "the connection to the upstream broke"},
	UpstreamTimeout:   {http.StatusGatewayTimeout, twirp.DeadlineExceeded, RunUnknown, retryShort, ExitUnavailable, "the upstream did not answer in time"},
	Quarantined:       {http.StatusServiceUnavailable, twirp.FailedPrecondition, RunUnknown, retryLong, ExitRefused, "the request broke several upstreams and is held off"},
	Suspect:           {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryShort, ExitUnavailable, "requests like this one may have broken upstreams and are sent one at a time"},
	CallerGone:        {499, twirp.Canceled, RunUnknown, 0, ExitUnavailable, "the caller closed the connection"},
	DiskFailed:        {http.StatusServiceUnavailable, twirp.Unavailable, NotRun, retryLong, ExitUnavailable, "the disk of this control VM failed"},
	Settings:          {http.StatusInternalServerError, twirp.FailedPrecondition, NotRun, 0, ExitSettings, "the settings file is not valid"},
	Internal:          {http.StatusInternalServerError, twirp.Internal, RunUnknown, 0, ExitInternal, "a defect in this program"},
}

// ResponseFor returns the response for kind k. An unknown kind gets the response
// for Internal.
func ResponseFor(k Kind) Response {
	if resp, ok := responses[k]; ok {
		return resp
	}
	return responses[Internal]
}

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(responses))
	for k := range responses {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}
