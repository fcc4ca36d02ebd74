package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/chart"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// RequestKey identifies a request for a slot, and the ticket granted to it.
type RequestKey struct {
	// Entry is the id of the entry VM that asks.
	Entry string
	// Incarnation is that of the entry VM.
	Incarnation uint64
	// ID is unique within the incarnation.
	ID uint64
}

// ReportedState is the state that an upstream announces.
type ReportedState int

// The reports.
const (
	ReportedCold ReportedState = iota
	ReportedWarm
	ReportedDraining
)

// Event is an input of a cell.
type Event interface{ isEvent() }

// Announce is an announcement of an upstream.
type Announce struct {
	ID          string
	Address     string
	Slots       int
	Incarnation uint64
	State       ReportedState
	// Age is the time since the upstream sent the announcement.
	Age time.Duration
}

// Acquire asks for a slot.
type Acquire struct {
	Key RequestKey
	// Deadline is the time at which the request is given up.
	Deadline time.Duration
	// MaxWait bounds the wait in the queue; zero asks for a slot at once.
	MaxWait time.Duration
	// Avoid lists upstreams that must not be granted.
	Avoid []string
	// Queues is the number of cells whose queues the request joins; it stays
	// in one of them only. Zero counts as one.
	Queues int
}

// Cancel withdraws a request or returns its unused slot.
type Cancel struct{ Key RequestKey }

// Release ends a ticket.
type Release struct {
	Key         RequestKey
	Outcome     clusterpb.Outcome
	ServiceTime time.Duration
}

// HeldTicket is a ticket of an earlier epoch.
type HeldTicket struct {
	ID       uint64
	Upstream string
	Deadline time.Duration
}

// UpstreamLimit is what an entry VM remembers of an upstream from earlier grants.
type UpstreamLimit struct {
	Upstream    string
	Incarnation uint64
	Limit       int
	Epoch       uint64
	// Version orders the limits set in one epoch.
	Version uint64
}

// Reregister hands over what an entry VM holds from earlier epochs.
type Reregister struct {
	Entry       string
	Incarnation uint64
	Tickets     []HeldTicket
	Limits      []UpstreamLimit
}

// EntryLost says that an entry VM no longer waits for its requests. Its
// tickets count until their deadlines, for the upstreams may still run them.
type EntryLost struct {
	Entry       string
	Incarnation uint64
}

// ProbeDone reports the end of a probe.
type ProbeDone struct {
	ID      uint64
	OK      bool
	Elapsed time.Duration
}

// AssignmentAccepted says that no other dispatcher of the cell grants slots any more.
type AssignmentAccepted struct{}

// Tick lets time pass.
type Tick struct{}

// Configure replaces the settings.
type Configure struct{ Config Config }

// Close ends the cell: every waiting request is refused.
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
	Key         RequestKey
	Upstream    string
	Address     string
	Incarnation uint64
	// Limit is the number of requests the upstream is allowed at this moment.
	Limit   int
	Version uint64
	// FreeSlots is the number of slots left in the cell.
	FreeSlots int
}

// Refuse answers an Acquire without one.
type Refuse struct {
	Key        RequestKey
	Kind       fault.Kind
	RetryAfter time.Duration
	// ExpectedWait is the expected wait for a slot in this cell.
	ExpectedWait time.Duration
}

// Probe asks for a probe of an upstream.
type Probe struct {
	ID       uint64
	Upstream string
	Address  string
	// Timeout bounds the probe.
	Timeout time.Duration
}

// StateChanged reports a transition of an upstream.
type StateChanged struct {
	Upstream string
	From     chart.State
	To       chart.State
	Limit    int
}

func (Grant) isAction()        {}
func (Refuse) isAction()       {}
func (Probe) isAction()        {}
func (StateChanged) isAction() {}
