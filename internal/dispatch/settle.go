package dispatch

import "time"

// settle tracks which entry VMs have handed over their tickets of earlier
// epochs.
type settle struct {
	missing  map[string]bool
	accepted bool
	// openAt ends the wait for the missing ones.
	openAt time.Duration
	// coldAt is the time by which every ticket that was not handed over has
	// passed its deadline.
	coldAt time.Duration
}

func newSettle(holders []string) settle {
	s := settle{missing: make(map[string]bool, len(holders))}
	for _, h := range holders {
		s.missing[h] = true
	}
	return s
}

// accept starts the wait: from now on no earlier dispatcher grants slots.
func (s *settle) accept(now, timeout time.Duration) {
	if s.accepted {
		return
	}
	s.accepted = true
	s.openAt = now + settleWait
	s.coldAt = now + max(timeout+ticketGrace, settleWait)
}

// open reports whether slots may be granted at all.
func (s *settle) open(now time.Duration) bool {
	return s.accepted && (len(s.missing) == 0 || now >= s.openAt)
}

// coldOpen reports whether slots of cold upstreams may be granted.
func (s *settle) coldOpen(now time.Duration) bool {
	return s.accepted && (len(s.missing) == 0 || now >= s.coldAt)
}

func (c *Cell) reregister(e Reregister) {
	c.sawEntry(e.Entry, e.Incarnation)
	if e.Incarnation < c.entries[e.Entry] {
		return
	}
	for _, h := range e.Tickets {
		c.inherit(RequestKey{Entry: e.Entry, Incarnation: e.Incarnation, ID: h.ID}, h)
	}
	for _, k := range e.Limits {
		c.learn(k)
	}
	delete(c.settle.missing, e.Entry)
}

// inherit counts a ticket of an earlier epoch against its upstream.
func (c *Cell) inherit(k RequestKey, h HeldTicket) {
	if _, ok := c.tickets[k]; ok || c.done.has(k) {
		return
	}
	c.tickets[k] = &ticket{upstream: h.Upstream, granted: c.now, deadline: h.Deadline, inherited: true}
	if u := c.upstream(h.Upstream); u != nil {
		u.inFlight++
		return
	}
	c.orphans[h.Upstream]++
}

// learn keeps the newest limit that an earlier dispatcher set.
func (c *Cell) learn(k UpstreamLimit) {
	old, ok := c.known[k.Upstream]
	if ok && !newer(k, old) {
		return
	}
	c.known[k.Upstream] = k
	if u := c.upstream(k.Upstream); u != nil {
		c.adoptKnown(u)
	}
}

func newer(a, b UpstreamLimit) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Version > b.Version
}
