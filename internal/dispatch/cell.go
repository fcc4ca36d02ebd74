// Package dispatch decides which upstream of a cell runs which request.
//
// A cell owns the exact number of requests in flight at each of its upstreams
// and one queue. A request is bound to an upstream only when a slot is free.
// The package is pure: time and randomness are passed in, and every input and
// output is a typed message.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"balsamcourse.example/balsamcourse/internal/fault"
)

// Cell decides for the upstreams of one service in one availability zone, or
// one shard of them. It is not safe for concurrent use.
type Cell struct {
	cfg       Config
	rules     rules
	rng       *rand.Rand
	now       time.Duration
	upstreams []*upstream
	tickets   map[RequestKey]*ticket
	// orphans are tickets whose upstream has not announced itself.
	orphans map[string]int
	entries map[string]uint64
	queue   queue
	done    recent
	budget  budget
	settle  settle
	known   map[string]UpstreamLimit
	probes  map[uint64]*upstream
	probeID uint64
	// left remembers drained upstreams.
	left map[string]departure
	// spread is the mean deviation of logarithms of service times.
	spread float64
	// base is the mean of the logarithms over the whole cell.
	base stats
	out  []Action
}

// rules switches single rules off in tests.
type rules struct {
	noColdBound   bool
	noSettle      bool
	noProbeBudget bool
	noTombstones  bool
	noZoneClose   bool
	noDrain       bool
	noEjectCap    bool
	noHoldDown    bool
	noExpiry      bool
	noWaitLimit   bool
}

// New returns a cell that starts at time now. It grants no slot before it is
// accepted, and then until the holders in cfg have re-registered or a bounded
// time has passed.
func New(cfg Config, now time.Duration, seed uint64) *Cell {
	c := &Cell{
		cfg:     cfg.withDefaults(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		now:     now,
		tickets: make(map[RequestKey]*ticket),
		orphans: make(map[string]int),
		entries: make(map[string]uint64),
		known:   make(map[string]UpstreamLimit),
		probes:  make(map[uint64]*upstream),
		left:    make(map[string]departure),
		spread:  initialSpread,
	}
	c.settle = newSettle(cfg.TicketHolders)
	c.done = newRecent(now)
	c.budget = newBudget(now)
	return c
}

// Step applies ev at time now, which never goes back. The returned actions are
// valid until the next call.
func (c *Cell) Step(now time.Duration, ev Event) []Action {
	c.now = max(c.now, now)
	clear(c.out)
	c.out = c.out[:0]
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
		c.refuseAll(fault.NoDispatcher)
	case AssignmentAccepted:
		c.settle.accept(c.now, c.cfg.Timeout)
	case Tick:
		c.tick()
	}
	c.serve()
	return c.out
}

// InFlight returns the number of tickets counted against an upstream.
func (c *Cell) InFlight(id string) int {
	if u := c.upstream(id); u != nil {
		return u.inFlight
	}
	return c.orphans[id]
}

// Queued returns the number of waiting requests.
func (c *Cell) Queued() int { return c.queue.len() }

// UpstreamStatus describes one upstream of a cell.
type UpstreamStatus struct {
	ID       string
	Address  string
	State    string
	InFlight int
	Limit    int
	Slots    int
}

// Upstreams describes the upstreams in order of id.
func (c *Cell) Upstreams() []UpstreamStatus {
	all := make([]UpstreamStatus, len(c.upstreams))
	for i, u := range c.upstreams {
		all[i] = UpstreamStatus{u.id, u.address, string(u.state), u.inFlight, u.limit, u.slots}
	}
	return all
}

func (c *Cell) acquire(e Acquire) {
	c.sawEntry(e.Key.Entry, e.Key.Incarnation)
	if t, ok := c.tickets[e.Key]; ok {
		c.repeatGrant(e.Key, t)
		return
	}
	if c.done.has(e.Key) {
		c.refuse(e.Key, fault.DeadlineTooShort, minRetryAfter)
		return
	}
	if c.queue.has(e.Key) {
		return
	}
	if kind := c.closedKind(); kind != "" {
		c.refuse(e.Key, kind, 0)
		return
	}
	w := waiter{key: e.Key, deadline: e.Deadline, until: c.waitUntil(e), avoid: e.Avoid, share: 1 / float64(max(1, e.Queues))}
	if c.queue.len() == 0 {
		if u := c.pick(&w); u != nil {
			c.grant(&w, u)
			return
		}
	}
	if kind := c.hopeless(e, w.until); kind != "" {
		c.refuse(e.Key, kind, 0)
		return
	}
	c.queue.push(w)
}

// closedKind returns why the cell grants nothing at all, or "".
func (c *Cell) closedKind() fault.Kind {
	switch {
	case !c.cfg.ZoneOpen && !c.rules.noZoneClose:
		return fault.ZoneOut
	case !c.settle.open(c.now) && !c.rules.noSettle:
		return fault.NoDispatcher
	case c.capacity() == 0:
		return fault.NoUpstream
	}
	return ""
}

// waitUntil returns the latest time at which a grant is of use.
func (c *Cell) waitUntil(e Acquire) time.Duration {
	return min(c.now+e.MaxWait, e.Deadline-c.typicalService())
}

// hopeless returns why a request that cannot be served now should not wait.
func (c *Cell) hopeless(e Acquire, until time.Duration) fault.Kind {
	if e.Deadline-c.typicalService() < c.now {
		return fault.DeadlineTooShort
	}
	if c.queue.work >= float64(c.cfg.QueueLimit) || c.queue.len() >= maxQueues*c.cfg.QueueLimit {
		return fault.QueueFull
	}
	if e.MaxWait == 0 {
		return fault.QueueFull
	}
	if c.now+c.expectedWait() > until {
		return fault.DeadlineTooShort
	}
	return ""
}

// serve binds waiting requests to free slots, oldest first.
func (c *Cell) serve() {
	if c.queue.len() == 0 {
		return
	}
	if kind := c.closedKind(); kind != "" {
		c.refuseAll(kind)
		return
	}
	for i := 0; i < c.queue.len() && c.free() > 0; {
		w := c.queue.at(i)
		u := c.pick(w)
		if u == nil {
			i++
			continue
		}
		taken := c.queue.remove(i)
		c.grant(&taken, u)
	}
}

func (c *Cell) refuse(k RequestKey, kind fault.Kind, after time.Duration) {
	wait := c.expectedWait()
	if after == 0 {
		after = min(max(wait, minRetryAfter), maxRetryAfter)
	}
	c.out = append(c.out, Refuse{Key: k, Kind: kind, RetryAfter: after, ExpectedWait: wait})
}

func (c *Cell) refuseAll(kind fault.Kind) {
	for c.queue.len() > 0 {
		w := c.queue.remove(0)
		c.refuse(w.key, kind, 0)
	}
}

// configure replaces the settings. The upstreams of an availability zone that
// returns start cold, whatever they were when it left.
func (c *Cell) configure(e Configure) {
	returning := e.Config.ZoneOpen && !c.cfg.ZoneOpen
	c.cfg = e.Config.withDefaults()
	for _, u := range slices.Clone(c.upstreams) {
		c.setSlots(u, u.announcedSlots)
		if returning && u.state != stateDraining {
			c.fire(u, eventRestarted)
		}
	}
}

func (c *Cell) tick() {
	c.done.rotate(c.now)
	c.expireTickets()
	c.expireWaiters()
	c.checkUpstreams()
}

// expireWaiters refuses requests that have waited too long.
func (c *Cell) expireWaiters() {
	if c.rules.noWaitLimit {
		return
	}
	for i := 0; i < c.queue.len(); {
		if c.queue.at(i).until > c.now {
			i++
			continue
		}
		w := c.queue.remove(i)
		c.refuse(w.key, fault.DeadlineTooShort, 0)
	}
}
