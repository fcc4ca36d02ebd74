package dispatchserver

import (
	"balsamcourse.example/balsamcourse/internal/configview"
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// handle processes one message in the event loop.
func (s *Server) handle(m message) {
	switch {
	case m.inspect != nil:
		m.inspect()
	case m.view != nil:
		s.reconcile(m.view)
	default:
		s.deliver(m)
	}
}

// deliver passes the event of m to its cell. An Acquire for a cell that is not
// held here, or for a newer epoch, is refused; for other events the reply channel
// is closed.
func (s *Server) deliver(m message) {
	c := s.cells[m.key]
	if c == nil || c.epoch < m.epoch {
		s.metrics.misses.Inc(1)
		if a, ok := m.event.(dispatch.Acquire); ok {
			m.reply <- refusal(a.Key, fault.NoDispatcher)
		} else if m.reply != nil {
			close(m.reply)
		}
		return
	}
	mayGrant := s.verifyAssignment(c)
	a, ok := m.event.(dispatch.Acquire)
	if !ok {
		s.step(c, m.event)
		if m.reply != nil {
			m.reply <- AcquireResult{}
		}
		return
	}
	if !mayGrant {
		m.reply <- refusal(a.Key, fault.NoDispatcher)
		return
	}
	// A repeated request replaces the pending one with the same key, if there is one.
	s.reply(c, a.Key, refusal(a.Key, fault.NoDispatcher))
	c.pendingReplies[a.Key] = m.reply
	s.step(c, a)
}

// verifyAssignment reports whether c may grant slots at this moment: its
// assignment is accepted and still in force, and the configuration is fresh. It
// also passes AssignmentAccepted to the cell once, and refuses the requests in its
// queue if it may not grant.
func (s *Server) verifyAssignment(c *cell) bool {
	if !c.accepted && s.opts.AcceptedRevision() >= c.revision {
		c.accepted = true
		s.step(c, dispatch.AssignmentAccepted{})
	}
	// Fresh is called before the view is read, so that its result applies to
	// that view or to an older one.
	if c.accepted && s.opts.View.Fresh() && s.stillAssigned(c) {
		return true
	}
	if c.state.Queued() > 0 {
		s.step(c, dispatch.Close{})
	}
	return false
}

// stillAssigned reports whether the current view assigns c to this process. The
// result is cached per view.
func (s *Server) stillAssigned(c *cell) bool {
	if v := s.opts.View.View(); v != c.checkedView {
		c.checkedView = v
		c.assigned = v != nil && s.isAssigned(v, c.key, c.epoch)
	}
	return c.assigned
}

// step applies ev to the cell and carries out the actions that it returns. If ev
// cancels or releases a request that still waits in Acquire, that call is refused.
func (s *Server) step(c *cell, ev dispatch.Event) {
	for _, a := range c.state.Step(s.Now(), ev) {
		switch a := a.(type) {
		case dispatch.Grant:
			s.metrics.grants.Inc(1)
			s.reply(c, a.Key, AcquireResult{Granted: true, Epoch: c.epoch, Grant: a})
		case dispatch.Refuse:
			s.metrics.refusals.Inc(1)
			s.reply(c, a.Key, AcquireResult{Epoch: c.epoch, Refuse: a})
		case dispatch.Probe:
			s.metrics.probes.Inc(1)
			s.startProbe(c, a)
		case dispatch.StateChanged:
			s.opts.Log.Log(event.UpstreamState).Str("service", c.key.Service).Str("zone", c.key.Zone).
				Str("upstream", a.Upstream).Str("from", string(a.From)).Str("to", string(a.To)).Send()
		}
	}
	switch e := ev.(type) {
	case dispatch.Cancel:
		s.reply(c, e.Key, refusal(e.Key, fault.CallerGone))
	case dispatch.Release:
		s.reply(c, e.Key, refusal(e.Key, fault.CallerGone))
	}
}

// reply sends a to the pending request k of c, if there is one. It does not block.
func (s *Server) reply(c *cell, k dispatch.RequestKey, a AcquireResult) {
	reply, ok := c.pendingReplies[k]
	if !ok {
		return
	}
	delete(c.pendingReplies, k)
	select {
	case reply <- a:
	default:
	}
}

func (s *Server) tick() {
	for _, c := range s.cells {
		s.verifyAssignment(c)
		s.step(c, dispatch.Tick{})
	}
}

// reconcile adds, configures and removes cells so that this process holds exactly
// those that v assigns to it.
func (s *Server) reconcile(v *configview.View) {
	s.ticketHolders.update(v, s.Now())
	for key, c := range s.cells {
		if !s.isAssigned(v, key, c.epoch) {
			s.removeCell(c)
		}
	}
	for _, pb := range v.Config.Cells {
		key := configview.CellKey{Service: pb.Service, Zone: pb.Zone, Shard: pb.Shard}
		if !s.isAssigned(v, key, pb.Epoch) {
			continue
		}
		if c := s.cells[key]; c != nil {
			s.configureCell(c, v)
			continue
		}
		s.addCell(v, key, pb.Epoch)
	}
	s.publishHeldCells()
}

// publishHeldCells updates the set of cells that other goroutines read.
func (s *Server) publishHeldCells() {
	held := make(map[configview.CellKey]bool, len(s.cells))
	for key := range s.cells {
		held[key] = true
	}
	s.heldCells.Store(&held)
	s.metrics.cells.Update(float64(len(held)))
}

// isAssigned reports whether v assigns the cell to this process at epoch.
func (s *Server) isAssigned(v *configview.View, key configview.CellKey, epoch uint64) bool {
	pb := v.Cell(key)
	return pb != nil && pb.Entry == s.opts.Entry && pb.Incarnation == s.opts.Incarnation && pb.Epoch == epoch
}

// addCell starts a cell and passes it the announcements received so far.
func (s *Server) addCell(v *configview.View, key configview.CellKey, epoch uint64) {
	cfg := cellConfig(v, key)
	cfg.TicketHolders = s.ticketHolders.list(v)
	c := &cell{
		key: key, epoch: epoch, revision: v.Revision(),
		state:          dispatch.New(cfg, s.Now(), s.opts.Seed^epoch),
		pendingReplies: make(map[dispatch.RequestKey]chan<- AcquireResult),
	}
	s.cells[key] = c
	s.updateProbePath(c, v)
	s.opts.Log.Log(event.CellTaken).Str("service", key.Service).Str("zone", key.Zone).Uint64("epoch", epoch).Send()
	for _, a := range s.relay.announcementsOf(key) {
		s.step(c, a)
	}
}

func (s *Server) configureCell(c *cell, v *configview.View) {
	s.updateProbePath(c, v)
	s.step(c, dispatch.Configure{Config: cellConfig(v, c.key)})
}

// removeCell refuses the requests in the queue of c and forgets the cell.
func (s *Server) removeCell(c *cell) {
	s.step(c, dispatch.Close{})
	delete(s.cells, c.key)
	s.opts.Log.Log(event.CellGiven).Str("service", c.key.Service).Str("zone", c.key.Zone).Uint64("epoch", c.epoch).Send()
}

// closeAll removes all cells and ends the server.
func (s *Server) closeAll() {
	for _, c := range s.cells {
		s.removeCell(c)
	}
	close(s.stopped)
}
