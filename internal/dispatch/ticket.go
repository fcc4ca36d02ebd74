package dispatch

import (
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// ticket is a slot in use.
type ticket struct {
	upstream string
	granted  time.Duration
	deadline time.Duration
	// inherited is set on tickets of an earlier epoch.
	inherited bool
}

func (c *Cell) grant(w *waiter, u *upstream) {
	t := &ticket{upstream: u.id, granted: c.now, deadline: w.deadline}
	c.tickets[w.key] = t
	u.inFlight++
	c.emitGrant(w.key, u)
}

// repeatGrant answers a doubled request with the slot it already has, unless
// new work may not be sent there any more.
func (c *Cell) repeatGrant(k RequestKey, t *ticket) {
	u := c.upstream(t.upstream)
	if u == nil || t.inherited || u.limit == 0 || !c.cfg.ZoneOpen {
		c.refuse(k, fault.NoUpstream, minRetryAfter)
		return
	}
	c.emitGrant(k, u)
}

func (c *Cell) emitGrant(k RequestKey, u *upstream) {
	c.out = append(c.out, Grant{
		Key: k, Upstream: u.id, Address: u.address, Incarnation: u.incarnation,
		Limit: u.limit, Version: u.version, FreeSlots: c.free(),
	})
}

func (c *Cell) release(e Release) {
	c.markDone(e.Key)
	t, ok := c.tickets[e.Key]
	if !ok {
		c.dropWaiter(e.Key)
		return
	}
	c.drop(e.Key, t)
	if u := c.upstream(t.upstream); u != nil {
		c.observe(u, t, e)
	}
}

func (c *Cell) cancel(e Cancel) {
	c.release(Release{Key: e.Key, Outcome: clusterpb.Outcome_OUTCOME_UNUSED})
}

func (c *Cell) markDone(k RequestKey) {
	if !c.rules.noTombstones {
		c.done.add(k)
	}
}

func (c *Cell) dropWaiter(k RequestKey) {
	if i := c.queue.find(k); i >= 0 {
		c.queue.remove(i)
	}
}

// drop ends a ticket.
func (c *Cell) drop(k RequestKey, t *ticket) {
	delete(c.tickets, k)
	if u := c.upstream(t.upstream); u != nil {
		u.inFlight--
		return
	}
	c.orphans[t.upstream]--
	if c.orphans[t.upstream] == 0 {
		delete(c.orphans, t.upstream)
	}
}

// expireTickets gives up tickets whose request must have ended.
func (c *Cell) expireTickets() {
	if c.rules.noExpiry {
		return
	}
	for k, t := range c.tickets {
		if t.deadline+ticketGrace > c.now {
			continue
		}
		c.markDone(k)
		c.drop(k, t)
		if u := c.upstream(t.upstream); u != nil && !t.inherited {
			c.observeOverdue(u, t)
		}
	}
}

// sawEntry notes the incarnation of an entry VM. Tickets of an earlier one are
// given up once upstreams have had time to notice its closed connections.
func (c *Cell) sawEntry(entry string, incarnation uint64) {
	if c.entries[entry] >= incarnation {
		return
	}
	c.entries[entry] = incarnation
	for k, t := range c.tickets {
		if k.Entry == entry && k.Incarnation < incarnation {
			t.deadline = min(t.deadline, c.now+restartGrace)
		}
	}
}

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

// recent remembers ended requests for at least doneFor.
type recent struct {
	young, old map[RequestKey]struct{}
	turned     time.Duration
}

func newRecent(now time.Duration) recent {
	return recent{young: make(map[RequestKey]struct{}), old: make(map[RequestKey]struct{}), turned: now}
}

func (r *recent) add(k RequestKey) { r.young[k] = struct{}{} }

func (r *recent) has(k RequestKey) bool {
	if _, ok := r.young[k]; ok {
		return true
	}
	_, ok := r.old[k]
	return ok
}

func (r *recent) rotate(now time.Duration) {
	if now-r.turned < doneFor {
		return
	}
	r.turned = now
	r.young, r.old = r.old, r.young
	clear(r.young)
}
