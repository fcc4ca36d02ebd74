package dispatch

import "time"

// Times and shares of the policy.
const (
	// silenceAfter is the time without an announcement after which an
	// upstream is gone.
	silenceAfter = 3 * time.Second
	// settleWait bounds the wait for entry VMs to re-register their tickets.
	settleWait = 1500 * time.Millisecond
	// ticketGrace is added to a ticket's deadline before it is given up.
	ticketGrace = 250 * time.Millisecond
	// restartGrace is the time an upstream needs to notice that the
	// connections of a restarted entry VM are closed.
	restartGrace = time.Second
	// doneFor is the least time for which ended requests are remembered, so
	// that late messages about them have no effect.
	doneFor = 2500 * time.Millisecond
	// leftFor is the time for which a drained upstream is remembered.
	leftFor = time.Minute
	// ejectSharePermille caps the share of a cell's upstreams ejected at once.
	ejectSharePermille = 340
	// ejectFor is the first wait before an ejected upstream is probed; it
	// doubles up to ejectForMax while probes fail.
	ejectFor    = 500 * time.Millisecond
	ejectForMax = 8 * time.Second
	// minRetryAfter and maxRetryAfter bound the time to come back.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// distrustFactor is how many cold starts' worth of completed requests it
	// takes to ramp up an upstream that keeps reporting that it is cold.
	distrustFactor = 4
	// maxQueues bounds how far requests that wait in several queues may exceed
	// the limit of one.
	maxQueues = 4
	// rampShare is the part of a cold start's work over which the limit then
	// rises to all slots.
	rampShare = 2
)

// Defaults for settings that a service leaves at zero.
const (
	defaultSlots      = 1
	defaultColdSlots  = 1
	defaultWarmAfter  = 20
	defaultQueueLimit = 64
	defaultTimeout    = 30 * time.Second
	defaultProbeCost  = 6 * time.Millisecond
)

// Config holds the settings of a cell.
type Config struct {
	// Slots is the number of requests one warm upstream runs at once when its
	// announcement states none.
	Slots int
	// ColdSlots bounds the requests in flight at an upstream in cold start.
	ColdSlots int
	// WarmAfter is the number of completed requests that end a cold start.
	WarmAfter int
	// QueueLimit bounds the requests that wait.
	QueueLimit int
	// Timeout is the longest time a request may take.
	Timeout time.Duration
	// ProbeBudgetPermille is the share of slot time that probes may take.
	ProbeBudgetPermille int
	// ProbeCost is the slot time that one probe of a healthy upstream takes.
	ProbeCost time.Duration
	// ProbeEnabled is set when the service has a path to probe.
	ProbeEnabled bool
	// ZoneOpen is set while the availability zone receives new work.
	ZoneOpen bool
	// TicketHolders lists the entry VMs that may hold tickets of earlier epochs.
	TicketHolders []string
}

// withDefaults returns c with every zero setting replaced.
func (c Config) withDefaults() Config {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.ColdSlots = orDefault(c.ColdSlots, defaultColdSlots)
	c.WarmAfter = orDefault(c.WarmAfter, defaultWarmAfter)
	c.QueueLimit = orDefault(c.QueueLimit, defaultQueueLimit)
	c.Timeout = orDefault(c.Timeout, defaultTimeout)
	c.ProbeCost = orDefault(c.ProbeCost, defaultProbeCost)
	return c
}

func orDefault[T int | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
