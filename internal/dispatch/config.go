package dispatch

import "time"

// Time limits, bounds and factors of the dispatch policy.
const (
	// announceTimeout is the time without an announcement after which an
	// upstream is removed.
	announceTimeout = 3 * time.Second
	// handoverTimeout bounds the wait for entry VMs to re-register their
	// tickets.
	handoverTimeout = 1500 * time.Millisecond
	// ticketExpiryGrace is the time from the deadline of a ticket that was not
	// released until it expires.
	ticketExpiryGrace = 250 * time.Millisecond
	// entryRestartGrace is the time that upstreams get to notice closed
	// connections of a restarted entry VM.
	entryRestartGrace = time.Second
	// tombstoneRetention is the minimum time for which the keys of ended
	// requests are kept, so that late messages about them have no effect.
	tombstoneRetention = 2500 * time.Millisecond
	// drainedRetention is the time for which a drained upstream is remembered.
	drainedRetention = time.Minute
	// maxEjectedPermille is the largest share of a cell's upstreams that may be
	// ejected at the same time, in thousandths. It is slightly more than a
	// third, so that one of three may be.
	maxEjectedPermille = 340
	// minProbeDelay is the delay before the first probe of an ejected upstream.
	// The delay doubles after each failed probe, up to maxProbeDelay.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 8 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry-after time of a refusal.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// coldReportFactor is the factor by which a cold start takes more completed
	// requests while the upstream reports that it is cold.
	coldReportFactor = 4
	// queueLengthFactor bounds the number of queued requests, as a multiple of
	// the queue limit. A request that waits in the queues of several cells
	// counts only in part towards the limit itself.
	queueLengthFactor = 4
	// rampDivisor sets the length of the ramp after a cold start: the limit
	// rises from ColdSlots to all slots over WarmAfter/rampDivisor completed
	// requests.
	rampDivisor = 2
)

// Defaults for settings that are zero.
const (
	defaultSlots      = 1
	defaultColdSlots  = 1
	defaultWarmAfter  = 20
	defaultQueueLimit = 64
	defaultTimeout    = 30 * time.Second
	defaultProbeCost  = 6 * time.Millisecond
)

// Config holds the settings of a cell. A zero number or time stands for its
// default, except for ProbeBudgetPermille.
type Config struct {
	// Slots is the number of requests that one warm upstream runs at once if
	// its announcement gives no number.
	Slots int
	// ColdSlots limits the requests in flight at an upstream in cold start.
	ColdSlots int
	// WarmAfter is the number of completed requests that end a cold start.
	WarmAfter int
	// QueueLimit limits the queued requests. A request that waits in n cells
	// counts as 1/n.
	QueueLimit int
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// ProbeBudgetPermille is the share of the slot time of all upstreams that
	// probes may take.
	ProbeBudgetPermille int
	// ProbeCost is the slot time that one probe of a healthy upstream takes.
	ProbeCost time.Duration
	// ProbeEnabled is set when the service has a probe path. Otherwise ejected
	// upstreams are tested with requests.
	ProbeEnabled bool
	// ZoneOpen is set while the availability zone receives new requests.
	ZoneOpen bool
	// TicketHolders lists the entry VMs that may hold tickets of earlier
	// epochs.
	TicketHolders []string
}

// withDefaults returns c with its zero settings replaced by their defaults.
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
