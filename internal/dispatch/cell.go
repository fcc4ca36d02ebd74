// Package dispatch decides which upstream of a cell runs which request.
//
// A cell counts the requests in flight at each of its upstreams exactly and has
// one queue. A request is assigned to an upstream only when that upstream has a
// free slot. The package does no I/O and reads no clock: time and the random
// seed are passed in, inputs are events and outputs are actions.
//
// Each cell is assigned to one process at a time, its dispatcher. Each
// assignment has an epoch, and later assignments have higher ones. Entry VMs
// request slots from the dispatcher. A granted slot is recorded as a ticket,
// which counts against its upstream until it is released or expires.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/notice"
)

// Cell dispatches requests to the upstreams of one service in one availability
// zone, or to one shard of them. It is not safe for concurrent use.
type Cell struct {
	cfg       Config
	overrides ruleOverrides
	rng       *rand.Rand
	now       time.Duration
	upstreams []*upstream
	tickets   map[RequestKey]*ticket
	// orphanedTickets counts, by upstream id, tickets whose upstream is not in
	// upstreams: it has not announced itself yet, or has been removed.
	orphanedTickets map[string]int
	// entryIncarnations holds the newest known incarnation of each entry VM.
	entryIncarnations map[string]uint64
	queue             queue
	tombstones        tombstoneSet
	probeBudget       probeBudget
	handover          handover
	// priorLimits holds the newest limit that an earlier dispatcher set for each
	// upstream.
	priorLimits map[string]UpstreamLimit
	// probes holds the upstreams of running probes by probe id.
	probes      map[uint64]*upstream
	lastProbeID uint64
	// drained holds upstreams that were removed after draining, so that late
	// announcements do not add them again.
	drained map[string]drainedUpstream
	// notices holds what upstreams have said of themselves in their answers.
	notices *notice.Notices
	// noticesCheckedAt is when absent upstreams were last looked for in notices.
	noticesCheckedAt time.Duration
	// meanDeviation is the moving mean of the absolute deviation of logarithmic
	// service times from their reference.
	meanDeviation float64
	// baseline is the moving mean of logarithmic service times over the whole
	// cell.
	baseline serviceTimeStats
	actions  []Action
}

// ruleOverrides disables single rules, so that tests can show that the property
// tests detect their absence.
type ruleOverrides struct {
	noColdLimit    bool
	noHandoverWait bool
	noProbeBudget  bool
	noTombstones   bool
	noZoneCheck    bool
	noDrainCheck   bool
	noEjectionCap  bool
	noHoldDown     bool
	noTicketExpiry bool
	noWaitLimit    bool
}

// New returns a cell that starts at time now. It grants no slot before
// AssignmentAccepted, and then not until all cfg.TicketHolders have
// re-registered or handoverTimeout has passed.
func New(cfg Config, now time.Duration, seed uint64) *Cell {
	c := &Cell{
		cfg:               cfg.withDefaults(),
		rng:               rand.New(rand.NewPCG(seed, seed)),
		now:               now,
		tickets:           make(map[RequestKey]*ticket),
		orphanedTickets:   make(map[string]int),
		entryIncarnations: make(map[string]uint64),
		priorLimits:       make(map[string]UpstreamLimit),
		probes:            make(map[uint64]*upstream),
		drained:           make(map[string]drainedUpstream),
		notices:           notice.New(),
		meanDeviation:     initialDeviation,
	}
	c.handover = newHandover(cfg.TicketHolders)
	c.tombstones = newTombstoneSet(now)
	c.probeBudget = newProbeBudget(now)
	return c
}

// Step applies ev at time now and returns the resulting actions, which are
// valid until the next call. Time never runs backwards: if now is before that
// of an earlier call, the latest time seen is used instead.
func (c *Cell) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	clear(c.actions)
	c.actions = c.actions[:0]
	switch e := ev.(type) {
	case Acquire:
		c.acquire(e)
	case Release:
		c.release(e)
	case Cancel:
		c.cancel(e)
	case Announce:
		c.announce(e)
	case Reregister:
		c.reregister(e)
	case EntryLost:
		c.entryLost(e)
	case ProbeDone:
		c.probeDone(e)
	case Configure:
		c.configure(e)
	case Close:
		c.refuseQueued(fault.NoDispatcher)
	case AssignmentAccepted:
		c.handover.accept(c.now, c.cfg.Timeout)
	case Tick:
		c.tick()
	}
	c.serveQueue()
	return c.actions
}

// InFlight returns the number of requests counted against an upstream: its
// tickets, and its running probe.
func (c *Cell) InFlight(id string) int {
	if u := c.upstream(id); u != nil {
		return u.inFlight
	}
	return c.orphanedTickets[id]
}

// Queued returns the number of queued requests.
func (c *Cell) Queued() int { return c.queue.len() }

// UpstreamStatus describes one upstream of a cell.
type UpstreamStatus struct {
	ID      string
	Address string
	// State is the name of the upstream's state in the upstream chart.
	State    string
	InFlight int
	// Limit is the number of requests that the upstream may run now.
	Limit int
	// Slots is the number of requests that the upstream may run once it is
	// warm.
	Slots int
}

// Upstreams returns the status of all upstreams, ordered by id.
func (c *Cell) Upstreams() []UpstreamStatus {
	all := make([]UpstreamStatus, len(c.upstreams))
	for i, u := range c.upstreams {
		all[i] = UpstreamStatus{u.id, u.address, string(u.state), u.inFlight, u.limit, u.slots}
	}
	return all
}

func (c *Cell) acquire(e Acquire) {
	c.noteIncarnation(e.Key.Entry, e.Key.Incarnation)
	if t, ok := c.tickets[e.Key]; ok {
		c.resendGrant(e.Key, t)
		return
	}
	if c.tombstones.contains(e.Key) {
		c.refuse(e.Key, fault.DeadlineTooShort, minRetryAfter)
		return
	}
	if c.queue.contains(e.Key) {
		return
	}
	if kind := c.unavailableReason(); kind != "" {
		c.refuse(e.Key, kind, 0)
		return
	}
	w := waiter{key: e.Key, deadline: e.Deadline, latestGrant: c.latestUsefulGrant(e), avoid: e.Avoid, weight: 1 / float64(max(1, e.Queues))}
	if c.queue.len() == 0 {
		if u := c.pickUpstream(&w); u != nil {
			c.grant(&w, u)
			return
		}
	}
	if kind := c.queueRefusalReason(e, w.latestGrant); kind != "" {
		c.refuse(e.Key, kind, 0)
		return
	}
	c.queue.push(w)
}

// unavailableReason returns why the cell grants no slot to any request, or ""
// if it does.
func (c *Cell) unavailableReason() fault.Kind {
	switch {
	case !c.cfg.ZoneOpen && !c.overrides.noZoneCheck:
		return fault.ZoneOut
	case !c.handover.allowsGrants(c.now) && !c.overrides.noHandoverWait:
		return fault.NoDispatcher
	case c.capacity() == 0:
		if _, paused := c.pauseWait(); paused {
			return fault.UpstreamsPaused
		}
		return fault.NoUpstream
	}
	return ""
}

// latestUsefulGrant returns the latest time at which a request may still be
// granted a slot: within its maximum wait, and early enough for a typical
// request to end before the deadline.
func (c *Cell) latestUsefulGrant(e Acquire) time.Duration {
	return min(c.now+e.MaxWait, e.Deadline-c.typicalServiceTime())
}

// queueRefusalReason returns why a request that gets no slot now is refused
// instead of queued, or "" if it may be queued.
func (c *Cell) queueRefusalReason(e Acquire, latestGrant time.Duration) fault.Kind {
	if e.Deadline-c.typicalServiceTime() < c.now {
		return fault.DeadlineTooShort
	}
	if c.queue.totalWeight >= float64(c.cfg.QueueLimit) || c.queue.len() >= queueLengthFactor*c.cfg.QueueLimit {
		return fault.QueueFull
	}
	if e.MaxWait == 0 {
		return fault.QueueFull
	}
	if c.now+c.expectedWait() > latestGrant {
		return fault.DeadlineTooShort
	}
	return ""
}

// serveQueue assigns queued requests to free slots, oldest first. It skips a
// request that excludes every upstream with a free slot.
func (c *Cell) serveQueue() {
	if c.queue.len() == 0 {
		return
	}
	if kind := c.unavailableReason(); kind != "" {
		c.refuseQueued(kind)
		return
	}
	for i := 0; i < c.queue.len() && c.freeSlots() > 0; {
		w := c.queue.at(i)
		u := c.pickUpstream(w)
		if u == nil {
			i++
			continue
		}
		taken := c.queue.remove(i)
		c.grant(&taken, u)
	}
}

// refuse answers a request with kind. If retryAfter is zero, it is derived from
// the end of the first pause if all upstreams pause, otherwise from the expected
// wait.
func (c *Cell) refuse(k RequestKey, kind fault.Kind, retryAfter time.Duration) {
	wait := c.expectedWait()
	if kind == fault.UpstreamsPaused {
		left, _ := c.pauseWait()
		retryAfter = notice.RetryAfter(left, minRetryAfter, c.rng.Float64())
	}
	if retryAfter == 0 {
		retryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	c.actions = append(c.actions, Refuse{Key: k, Kind: kind, RetryAfter: retryAfter, ExpectedWait: wait})
}

func (c *Cell) refuseQueued(kind fault.Kind) {
	for c.queue.len() > 0 {
		w := c.queue.remove(0)
		c.refuse(w.key, kind, 0)
	}
}

// configure replaces the settings. When the availability zone reopens, all
// upstreams that are not draining start cold.
func (c *Cell) configure(e Configure) {
	reopening := e.Config.ZoneOpen && !c.cfg.ZoneOpen
	c.cfg = e.Config.withDefaults()
	for _, u := range slices.Clone(c.upstreams) {
		c.setSlots(u, u.announcedSlots)
		if reopening && u.state != stateDraining {
			c.applyChartEvent(u, eventRestarted)
		}
	}
}

func (c *Cell) tick() {
	c.tombstones.rotate(c.now)
	c.expireTickets()
	c.expireWaiters()
	c.checkUpstreams()
}

// expireWaiters refuses queued requests for which a grant would come too late.
func (c *Cell) expireWaiters() {
	if c.overrides.noWaitLimit {
		return
	}
	for i := 0; i < c.queue.len(); {
		if c.queue.at(i).latestGrant > c.now {
			i++
			continue
		}
		w := c.queue.remove(i)
		c.refuse(w.key, fault.DeadlineTooShort, 0)
	}
}
