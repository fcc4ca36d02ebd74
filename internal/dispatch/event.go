package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// RequestKey identifies a request for a slot, and the ticket granted to it.
type RequestKey struct {
	// Entry is the id of the entry VM that asks.
	Entry string
	// Incarnation grows with every start of the entry VM.
	Incarnation uint64
	// ID is unique within the incarnation.
	ID uint64
}

// ReportedState is the state that an upstream announces of itself.
type ReportedState int

// States that an upstream announces.
const (
	ReportedCold ReportedState = iota
	ReportedWarm
	ReportedDraining
)

// Event is an input of a cell.
type Event interface{ isEvent() }

// Announce is an announcement of an upstream. Announcements older than
// announceTimeout, or older than the last one processed, are ignored.
type Announce struct {
	ID      string
	Address string
	// Slots is the number of requests the upstream can run at once; zero stands
	// for Config.Slots.
	Slots int
	// Incarnation grows with every start of the upstream.
	Incarnation uint64
	State       ReportedState
	// Age is the time since the upstream sent the announcement.
	Age time.Duration
}

// Acquire requests a slot. It is answered by a Grant or a Refuse, at once or
// after a wait in the queue. A repeated Acquire of a granted request gets the
// same grant, or a Refuse if its upstream may not receive requests any more.
type Acquire struct {
	Key RequestKey
	// Deadline is the time, on the clock of Step, by which the request must end.
	Deadline time.Duration
	// MaxWait limits the wait in the queue; with zero the request is never
	// queued.
	MaxWait time.Duration
	// Avoid lists ids of upstreams that must not be granted.
	Avoid []string
	// Queues is the number of cells whose queues the request waits in. Only one
	// of them is expected to serve it, so it counts as 1/Queues in this queue.
	// Zero counts as one.
	Queues int
}

// Cancel withdraws a queued request, or returns its slot unused.
type Cancel struct{ Key RequestKey }

// Release ends a ticket and reports the outcome of its request. A ServiceTime
// of zero stands for the time since the grant.
type Release struct {
	Key         RequestKey
	Outcome     clusterpb.Outcome
	ServiceTime time.Duration
	// Notice is what the upstream has said of itself.
	Notice notice.Notice
}

// HeldTicket is a ticket granted in an earlier epoch whose request has not
// ended.
type HeldTicket struct {
	// ID is that of the RequestKey.
	ID       uint64
	Upstream string
	// Deadline is the time, on the clock of Step, by which the request must end.
	Deadline time.Duration
}

// UpstreamLimit is the last limit of an upstream that an entry VM learned from
// grants of earlier epochs.
type UpstreamLimit struct {
	Upstream    string
	Incarnation uint64
	Limit       int
	Epoch       uint64
	// Version orders the limits set in one epoch.
	Version uint64
}

// Reregister transfers the tickets that an entry VM holds from earlier epochs,
// and the upstream limits it has learned, to a new dispatcher.
type Reregister struct {
	Entry       string
	Incarnation uint64
	Tickets     []HeldTicket
	Limits      []UpstreamLimit
}

// EntryLost reports that an entry VM no longer waits for its requests. The
// queued ones are dropped without an answer. Its tickets count until they
// expire, since upstreams may still run their requests.
type EntryLost struct {
	Entry       string
	Incarnation uint64
}

// ProbeDone reports the result of a probe.
type ProbeDone struct {
	ID uint64
	OK bool
	// Elapsed is the duration of the probe.
	Elapsed time.Duration
	// Notice is what the upstream has said of itself in its answer.
	Notice notice.Notice
}

// AssignmentAccepted reports that the assignment of the cell to this dispatcher
// is in force: no other dispatcher grants its slots any more.
type AssignmentAccepted struct{}

// Tick is sent periodically: it expires tickets, queued requests and silent
// upstreams, evaluates upstreams and starts due probes.
type Tick struct{}

// Configure replaces the settings of the cell.
type Configure struct{ Config Config }

// Close refuses all queued requests. It is sent when the dispatcher loses the
// cell.
type Close struct{}

func (Announce) isEvent()           {}
func (Acquire) isEvent()            {}
func (Cancel) isEvent()             {}
func (Release) isEvent()            {}
func (Reregister) isEvent()         {}
func (EntryLost) isEvent()          {}
func (ProbeDone) isEvent()          {}
func (AssignmentAccepted) isEvent() {}
func (Tick) isEvent()               {}
func (Configure) isEvent()          {}
func (Close) isEvent()              {}

// Action is an output of a cell.
type Action interface{ isAction() }

// Grant answers an Acquire with a slot.
type Grant struct {
	Key      RequestKey
	Upstream string
	Address  string
	// Incarnation is that of the upstream.
	Incarnation uint64
	// Limit is the number of requests that the upstream may run at this moment.
	Limit int
	// Version orders the limits of the upstream set in one epoch.
	Version uint64
	// FreeSlots is the number of slots of the cell that can still be granted.
	FreeSlots int
}

// Refuse answers an Acquire without a slot.
type Refuse struct {
	Key  RequestKey
	Kind fault.Kind
	// RetryAfter is the time after which a repetition may succeed.
	RetryAfter time.Duration
	// ExpectedWait is the expected wait for a slot of this cell.
	ExpectedWait time.Duration
}

// Probe requests a probe of an upstream, to be answered by ProbeDone.
type Probe struct {
	ID       uint64
	Upstream string
	Address  string
	// Timeout limits the duration of the probe.
	Timeout time.Duration
}

// StateChanged reports that an upstream moved to another state of the upstream
// chart.
type StateChanged struct {
	Upstream string
	From     statechart.State
	To       statechart.State
	// Limit is the number of requests that the upstream may run in the new
	// state.
	Limit int
}

func (Grant) isAction()        {}
func (Refuse) isAction()       {}
func (Probe) isAction()        {}
func (StateChanged) isAction() {}
