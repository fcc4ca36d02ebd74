package dispatcher

import (
	"balsamcourse.example/balsamcourse/internal/dispatch"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/view"
)

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

// deliver hands an event to its cell.
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
	live := s.live(c)
	a, ok := m.event.(dispatch.Acquire)
	if !ok {
		s.step(c, m.event)
		if m.reply != nil {
			m.reply <- AcquireResult{}
		}
		return
	}
	if !live {
		m.reply <- refusal(a.Key, fault.NoDispatcher)
		return
	}
	s.answer(c, a.Key, refusal(a.Key, fault.NoDispatcher))
	c.waiting[a.Key] = m.reply
	s.step(c, a)
}

// live reports whether slots of c may be granted at this moment. Requests that
// wait at a cell that lost its lease are refused.
func (s *Server) live(c *cell) bool {
	if !c.accepted && s.opts.AcceptedRevision() >= c.revision {
		c.accepted = true
		s.step(c, dispatch.AssignmentAccepted{})
	}
	// Freshness is read first: it then holds for the view, or for an older one.
	if c.accepted && s.opts.View.Fresh() && s.holds(c) {
		return true
	}
	if c.state.Queued() > 0 {
		s.step(c, dispatch.Close{})
	}
	return false
}

// holds reports whether the view in force still assigns c to this process.
func (s *Server) holds(c *cell) bool {
	if v := s.opts.View.View(); v != c.checked {
		c.checked = v
		c.held = v != nil && s.assigned(v, c.key, c.epoch)
	}
	return c.held
}

func (s *Server) step(c *cell, ev dispatch.Event) {
	for _, a := range c.state.Step(s.Now(), ev) {
		switch a := a.(type) {
		case dispatch.Grant:
			s.metrics.grants.Inc(1)
			s.answer(c, a.Key, AcquireResult{Granted: true, Epoch: c.epoch, Grant: a})
		case dispatch.Refuse:
			s.metrics.refusals.Inc(1)
			s.answer(c, a.Key, AcquireResult{Epoch: c.epoch, Refuse: a})
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
		s.answer(c, e.Key, refusal(e.Key, fault.CallerGone))
	case dispatch.Release:
		s.answer(c, e.Key, refusal(e.Key, fault.CallerGone))
	}
}

func (s *Server) answer(c *cell, k dispatch.RequestKey, a AcquireResult) {
	reply, ok := c.waiting[k]
	if !ok {
		return
	}
	delete(c.waiting, k)
	select {
	case reply <- a:
	default:
	}
}

func (s *Server) tick() {
	for _, c := range s.cells {
		s.live(c)
		s.step(c, dispatch.Tick{})
	}
}

// reconcile holds exactly the cells that v assigns to this process.
func (s *Server) reconcile(v *view.View) {
	s.holders.update(v, s.Now())
	for key, c := range s.cells {
		if !s.assigned(v, key, c.epoch) {
			s.drop(c)
		}
	}
	for _, pb := range v.Config.Cells {
		key := view.CellKey{Service: pb.Service, Zone: pb.Zone, Shard: pb.Shard}
		if !s.assigned(v, key, pb.Epoch) {
			continue
		}
		if c := s.cells[key]; c != nil {
			s.configure(c, v)
			continue
		}
		s.take(v, key, pb.Epoch)
	}
	s.publish()
}

// publish makes the set of cells known to other goroutines.
func (s *Server) publish() {
	held := make(map[view.CellKey]bool, len(s.cells))
	for key := range s.cells {
		held[key] = true
	}
	s.holding.Store(&held)
	s.metrics.cells.Update(float64(len(held)))
}

func (s *Server) assigned(v *view.View, key view.CellKey, epoch uint64) bool {
	pb := v.Cell(key)
	return pb != nil && pb.Entry == s.opts.Entry && pb.Incarnation == s.opts.Incarnation && pb.Epoch == epoch
}

func (s *Server) take(v *view.View, key view.CellKey, epoch uint64) {
	cfg := cellConfig(v, key)
	cfg.TicketHolders = s.holders.list(v)
	c := &cell{
		key: key, epoch: epoch, revision: v.Revision(),
		state:   dispatch.New(cfg, s.Now(), s.opts.Seed^epoch),
		waiting: make(map[dispatch.RequestKey]chan<- AcquireResult),
	}
	s.cells[key] = c
	s.setProbing(c, v)
	s.opts.Log.Log(event.CellTaken).Str("service", key.Service).Str("zone", key.Zone).Uint64("epoch", epoch).Send()
	for _, a := range s.relay.announced(key) {
		s.step(c, a)
	}
}

func (s *Server) configure(c *cell, v *view.View) {
	s.setProbing(c, v)
	s.step(c, dispatch.Configure{Config: cellConfig(v, c.key)})
}

func (s *Server) drop(c *cell) {
	s.step(c, dispatch.Close{})
	delete(s.cells, c.key)
	s.opts.Log.Log(event.CellGiven).Str("service", c.key.Service).Str("zone", c.key.Zone).Uint64("epoch", c.epoch).Send()
}

func (s *Server) closeAll() {
	for _, c := range s.cells {
		s.drop(c)
	}
	close(s.stopped)
}
