package dispatch

import "time"

// probeTimeouts is the number of ordinary probe times after which a probe is
// given up; the whole of it is reserved from the budget.
const probeTimeouts = 4

// slowProbes is the number of ordinary probe times that a good probe may take.
const slowProbes = 3

// probeState is the probing of one ejected upstream.
type probeState struct {
	// id is that of the probe under way; 0 when there is none.
	id    uint64
	until time.Duration
	next  time.Duration
	wait  time.Duration
}

// budget is a token bucket in slot time. It starts empty, so that all probes
// together never take more than what has accrued.
type budget struct {
	at     time.Duration
	tokens float64
	cap    float64
}

func newBudget(now time.Duration) budget { return budget{at: now} }

// budgetSpan bounds what accrues while no probe is due.
const budgetSpan = 10 * time.Second

// accrue adds rate slot time per time since the last call.
func (b *budget) accrue(now time.Duration, rate float64) {
	b.cap = rate * float64(budgetSpan)
	b.tokens = min(b.cap, b.tokens+rate*float64(now-b.at))
	b.at = now
}

// take reserves d; it reports false when too little has accrued.
func (b *budget) take(d time.Duration) bool {
	if b.tokens < float64(d) {
		return false
	}
	b.tokens -= float64(d)
	return true
}

func (b *budget) refund(d time.Duration) { b.tokens += float64(d) }

// probeRate returns the slot time per time that probes may take.
func (c *Cell) probeRate() float64 {
	slots := 0
	for _, u := range c.upstreams {
		slots += u.slots
	}
	return float64(c.cfg.ProbeBudgetPermille) / 1000 * float64(slots)
}

// scheduleProbe sets the time of the next probe, later after each failure.
func (c *Cell) scheduleProbe(u *upstream) {
	p := &u.probe
	if p.wait == 0 {
		p.wait = ejectFor
	} else {
		p.wait = min(2*p.wait, ejectForMax)
	}
	p.next = c.now + p.wait
}

// checkProbe starts a probe of an ejected upstream when one is due and the
// budget allows it. Without a probe path the upstream is tried with requests.
func (c *Cell) checkProbe(u *upstream) {
	p := &u.probe
	if p.id != 0 && c.now >= p.until {
		c.endProbe(u, false)
	}
	if u.state != stateEjected || p.id != 0 || c.now < p.next || u.inFlight >= c.coldLimit(u) {
		return
	}
	if !c.cfg.ProbeEnabled {
		c.fire(u, eventRecovered)
		return
	}
	timeout := probeTimeouts * c.cfg.ProbeCost
	if !c.budget.take(timeout) && !c.rules.noProbeBudget {
		return
	}
	c.probeID++
	p.id = c.probeID
	p.until = c.now + timeout + ticketGrace
	c.probes[p.id] = u
	u.inFlight++
	c.out = append(c.out, Probe{ID: p.id, Upstream: u.id, Address: u.address, Timeout: timeout})
}

func (c *Cell) probeDone(e ProbeDone) {
	u := c.probes[e.ID]
	if u == nil {
		return
	}
	timeout := probeTimeouts * c.cfg.ProbeCost
	c.budget.refund(timeout - min(max(0, e.Elapsed), timeout))
	c.endProbe(u, e.OK && e.Elapsed <= slowProbes*c.cfg.ProbeCost)
}

func (c *Cell) endProbe(u *upstream, good bool) {
	c.clearProbe(u)
	if u.state != stateEjected {
		return
	}
	if good {
		c.fire(u, eventRecovered)
		return
	}
	c.scheduleProbe(u)
}

func (c *Cell) clearProbe(u *upstream) {
	delete(c.probes, u.probe.id)
	u.probe.id = 0
	u.inFlight--
}
