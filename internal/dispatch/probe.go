package dispatch

import "time"

// probeTimeoutFactor is the time limit of a probe, as a multiple of the probe
// cost. A probe reserves its whole time limit from the budget and returns what
// it did not use.
const probeTimeoutFactor = 4

// maxProbeTimeFactor is the duration up to which a probe counts as successful,
// as a multiple of the probe cost.
const maxProbeTimeFactor = 3

// probeState is the schedule of probes of one ejected upstream.
type probeState struct {
	// id is that of the running probe, or 0, and incarnation that of the upstream
	// when it began.
	id, incarnation uint64
	// deadline is the time at which the running probe counts as failed.
	deadline time.Duration
	nextAt   time.Duration
	delay    time.Duration
}

// probeBudget is a token bucket of slot time. It starts empty, so that all
// probes together never take more slot time than has accrued.
type probeBudget struct {
	updatedAt time.Duration
	tokens    float64
	capacity  float64
}

func newProbeBudget(now time.Duration) probeBudget { return probeBudget{updatedAt: now} }

// probeBudgetWindow bounds the unused budget: no more is kept than accrues in
// this time.
const probeBudgetWindow = 10 * time.Second

// accrue adds the slot time earned since the last call. rate is the number of
// slots that probes may occupy, as a mean over time.
func (b *probeBudget) accrue(now time.Duration, rate float64) {
	b.capacity = rate * float64(probeBudgetWindow)
	b.tokens = min(b.capacity, b.tokens+rate*float64(now-b.updatedAt))
	b.updatedAt = now
}

// reserve takes d from the budget. It reports false, and takes nothing, if less
// than d is left.
func (b *probeBudget) reserve(d time.Duration) bool {
	if b.tokens < float64(d) {
		return false
	}
	b.tokens -= float64(d)
	return true
}

func (b *probeBudget) refund(d time.Duration) { b.tokens += float64(d) }

// probeBudgetRate returns the number of slots, as a mean over time, that probes
// may occupy.
func (c *Cell) probeBudgetRate() float64 {
	slots := 0
	for _, u := range c.upstreams {
		slots += u.slots
	}
	return float64(c.cfg.ProbeBudgetPermille) / 1000 * float64(slots)
}

// scheduleProbe sets the time of the next probe. The delay doubles with each
// call: after a failed probe, and on a further ejection of the upstream.
func (c *Cell) scheduleProbe(u *upstream) {
	p := &u.probe
	if p.delay == 0 {
		p.delay = minProbeDelay
	} else {
		p.delay = min(2*p.delay, maxProbeDelay)
	}
	p.nextAt = c.now + p.delay
}

// checkProbe ends an overdue probe of an upstream. It starts one if the
// upstream is ejected, a probe is due and the budget allows it. If the service
// has no probe path, the upstream is tried with requests instead.
func (c *Cell) checkProbe(u *upstream) {
	p := &u.probe
	if p.id != 0 && c.now >= p.deadline {
		c.endProbe(u, false)
	}
	if u.state != stateEjected || p.id != 0 || !u.notice.AdmitsProbe(c.now, u.inFlight) || c.now < p.nextAt || u.inFlight >= c.coldLimit(u) {
		return
	}
	if !c.cfg.ProbeEnabled {
		c.applyChartEvent(u, eventRecovered)
		return
	}
	timeout := probeTimeoutFactor * c.cfg.ProbeCost
	if !c.probeBudget.reserve(timeout) && !c.overrides.noProbeBudget {
		return
	}
	c.lastProbeID++
	p.id, p.incarnation = c.lastProbeID, u.incarnation
	p.deadline = c.now + timeout + ticketExpiryGrace
	c.probes[p.id] = u
	u.inFlight++
	c.actions = append(c.actions, Probe{ID: p.id, Upstream: u.id, Address: u.address, Timeout: timeout})
}

func (c *Cell) probeDone(e ProbeDone) {
	u := c.probes[e.ID]
	if u == nil {
		return
	}
	timeout := probeTimeoutFactor * c.cfg.ProbeCost
	c.probeBudget.refund(timeout - min(max(0, e.Elapsed), timeout))
	incarnation := u.probe.incarnation
	c.endProbe(u, e.OK && e.Elapsed <= maxProbeTimeFactor*c.cfg.ProbeCost)
	c.observeNotice(u.id, incarnation, e.Notice)
}

// endProbe returns an ejected upstream to service as a cold one if the probe
// found it healthy, and schedules the next probe otherwise.
func (c *Cell) endProbe(u *upstream, healthy bool) {
	c.clearProbe(u)
	if u.state != stateEjected {
		return
	}
	if healthy {
		c.applyChartEvent(u, eventRecovered)
		return
	}
	c.scheduleProbe(u)
}

func (c *Cell) clearProbe(u *upstream) {
	delete(c.probes, u.probe.id)
	u.probe.id = 0
	u.inFlight--
}
