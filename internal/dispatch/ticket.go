package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// ticket is a slot of an upstream granted to a request.
type ticket struct {
	upstream string
	// incarnation is that of the upstream, 0 if it is not known.
	incarnation uint64
	grantedAt   time.Duration
	deadline    time.Duration
	// inherited is set on re-registered tickets of an earlier epoch.
	inherited bool
}

func (c *Cell) grant(w *waiter, u *upstream) {
	t := &ticket{upstream: u.id, incarnation: u.incarnation, grantedAt: c.now, deadline: w.deadline}
	c.tickets[w.key] = t
	u.inFlight++
	c.sendGrant(w.key, u)
}

// resendGrant answers a repeated Acquire with the ticket that it already has,
// or refuses if the upstream may not receive new requests any more.
func (c *Cell) resendGrant(k RequestKey, t *ticket) {
	u := c.upstream(t.upstream)
	if u == nil || t.inherited || u.limit == 0 || !u.notice.Open(c.now) || !c.cfg.ZoneOpen {
		c.refuse(k, fault.NoUpstream, minRetryAfter)
		return
	}
	c.sendGrant(k, u)
}

func (c *Cell) sendGrant(k RequestKey, u *upstream) {
	c.actions = append(c.actions, Grant{
		Key: k, Upstream: u.id, Address: u.address, Incarnation: u.incarnation,
		Limit: u.limit, Version: u.limitVersion, FreeSlots: c.freeSlots(),
	})
}

func (c *Cell) release(e Release) {
	c.addTombstone(e.Key)
	t, ok := c.tickets[e.Key]
	if !ok {
		c.removeWaiter(e.Key)
		return
	}
	c.removeTicket(e.Key, t)
	c.observeNotice(t.upstream, t.incarnation, e.Notice)
	if u := c.upstream(t.upstream); u != nil {
		c.observeRelease(u, t, e)
		if e.Outcome == clusterpb.Outcome_OUTCOME_OK {
			u.notice.RecordAnswer(c.now, u.slots)
		}
	}
}

func (c *Cell) cancel(e Cancel) {
	c.release(Release{Key: e.Key, Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
}

func (c *Cell) addTombstone(k RequestKey) {
	if !c.overrides.noTombstones {
		c.tombstones.add(k)
	}
}

func (c *Cell) removeWaiter(k RequestKey) {
	if i := c.queue.index(k); i >= 0 {
		c.queue.remove(i)
	}
}

// removeTicket frees the slot of a ticket.
func (c *Cell) removeTicket(k RequestKey, t *ticket) {
	delete(c.tickets, k)
	if u := c.upstream(t.upstream); u != nil {
		u.inFlight--
		return
	}
	c.orphanedTickets[t.upstream]--
	if c.orphanedTickets[t.upstream] == 0 {
		delete(c.orphanedTickets, t.upstream)
	}
}

// expireTickets removes tickets whose requests must have ended because their
// deadline has passed.
func (c *Cell) expireTickets() {
	if c.overrides.noTicketExpiry {
		return
	}
	for k, t := range c.tickets {
		if t.deadline+ticketExpiryGrace > c.now {
			continue
		}
		c.addTombstone(k)
		c.removeTicket(k, t)
		if u := c.upstream(t.upstream); u != nil && !t.inherited {
			c.observeExpiry(u, t)
		}
	}
}

// noteIncarnation records the incarnation of an entry VM. Tickets of its
// earlier incarnations expire once upstreams have had time to notice that their
// connections are closed.
func (c *Cell) noteIncarnation(entry string, incarnation uint64) {
	if c.entryIncarnations[entry] >= incarnation {
		return
	}
	c.entryIncarnations[entry] = incarnation
	for k, t := range c.tickets {
		if k.Entry == entry && k.Incarnation < incarnation {
			t.deadline = min(t.deadline, c.now+entryRestartGrace)
		}
	}
}

// entryLost drops the queued requests of an entry VM.
func (c *Cell) entryLost(e EntryLost) {
	for i := 0; i < c.queue.len(); {
		k := c.queue.at(i).key
		if k.Entry == e.Entry && k.Incarnation <= e.Incarnation {
			c.queue.remove(i)
			continue
		}
		i++
	}
}

// tombstoneSet holds the keys of ended requests for at least tombstoneRetention
// and at most about twice that time, in two generations.
type tombstoneSet struct {
	current, previous map[RequestKey]struct{}
	rotatedAt         time.Duration
}

func newTombstoneSet(now time.Duration) tombstoneSet {
	return tombstoneSet{current: make(map[RequestKey]struct{}), previous: make(map[RequestKey]struct{}), rotatedAt: now}
}

func (s *tombstoneSet) add(k RequestKey) { s.current[k] = struct{}{} }

func (s *tombstoneSet) contains(k RequestKey) bool {
	if _, ok := s.current[k]; ok {
		return true
	}
	_, ok := s.previous[k]
	return ok
}

// rotate drops the older generation once the current one is old enough.
func (s *tombstoneSet) rotate(now time.Duration) {
	if now-s.rotatedAt < tombstoneRetention {
		return
	}
	s.rotatedAt = now
	s.current, s.previous = s.previous, s.current
	clear(s.current)
}
