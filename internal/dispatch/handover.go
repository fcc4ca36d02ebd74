package dispatch

import "time"

// handover tracks which entry VMs have re-registered the tickets that they hold
// from earlier epochs. Until all have, the new dispatcher does not know how many
// requests its upstreams are running.
type handover struct {
	unregistered map[string]bool
	accepted     bool
	// timeoutAt is the time from which grants no longer wait for unregistered
	// entry VMs.
	timeoutAt time.Duration
	// ticketsExpiredAt is the time by which every ticket that was not
	// re-registered has passed its deadline.
	ticketsExpiredAt time.Duration
}

func newHandover(holders []string) handover {
	h := handover{unregistered: make(map[string]bool, len(holders))}
	for _, entry := range holders {
		h.unregistered[entry] = true
	}
	return h
}

// accept starts the time limits: from now on no earlier dispatcher grants
// slots, so no further tickets of earlier epochs come into being.
func (h *handover) accept(now, timeout time.Duration) {
	if h.accepted {
		return
	}
	h.accepted = true
	h.timeoutAt = now + handoverTimeout
	h.ticketsExpiredAt = now + max(timeout+ticketExpiryGrace, handoverTimeout)
}

// allowsGrants reports whether slots may be granted at all.
func (h *handover) allowsGrants(now time.Duration) bool {
	return h.accepted && (len(h.unregistered) == 0 || now >= h.timeoutAt)
}

// allowsColdGrants reports whether slots of upstreams with a reduced limit may
// be granted. An unknown ticket could exceed that limit, so this waits until
// all tickets are known or expired.
func (h *handover) allowsColdGrants(now time.Duration) bool {
	return h.accepted && (len(h.unregistered) == 0 || now >= h.ticketsExpiredAt)
}

func (c *Cell) reregister(e Reregister) {
	c.noteIncarnation(e.Entry, e.Incarnation)
	if e.Incarnation < c.entryIncarnations[e.Entry] {
		return
	}
	for _, ticket := range e.Tickets {
		c.inheritTicket(RequestKey{Entry: e.Entry, Incarnation: e.Incarnation, ID: ticket.ID}, ticket)
	}
	for _, limit := range e.Limits {
		c.recordPriorLimit(limit)
	}
	delete(c.handover.unregistered, e.Entry)
}

// inheritTicket counts a ticket of an earlier epoch against its upstream.
func (c *Cell) inheritTicket(k RequestKey, h HeldTicket) {
	if _, ok := c.tickets[k]; ok || c.tombstones.contains(k) {
		return
	}
	c.tickets[k] = &ticket{upstream: h.Upstream, grantedAt: c.now, deadline: h.Deadline, inherited: true}
	if u := c.upstream(h.Upstream); u != nil {
		u.inFlight++
		return
	}
	c.orphanedTickets[h.Upstream]++
}

// recordPriorLimit keeps the newest limit that an earlier dispatcher set for an
// upstream.
func (c *Cell) recordPriorLimit(limit UpstreamLimit) {
	old, ok := c.priorLimits[limit.Upstream]
	if ok && !isNewer(limit, old) {
		return
	}
	c.priorLimits[limit.Upstream] = limit
	if u := c.upstream(limit.Upstream); u != nil {
		c.adoptPriorLimit(u)
	}
}

// isNewer reports whether limit a was set after limit b.
func isNewer(a, b UpstreamLimit) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Version > b.Version
}
