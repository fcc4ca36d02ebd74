package dispatch

import (
	"slices"
	"strings"
	"time"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/notice"
	"balsamcourse.example/balsamcourse/internal/statechart"
)

// States and events of the upstream chart that the code refers to.
const (
	stateCold     statechart.State = "cold"
	stateWarming  statechart.State = "warming"
	stateWarm     statechart.State = "warm"
	stateSuspect  statechart.State = "suspect"
	stateEjected  statechart.State = "ejected"
	stateDraining statechart.State = "draining"
	stateGone     statechart.State = "gone"

	eventAdmittedCold statechart.Event = "admitted_cold"
	eventCompleted    statechart.Event = "completed"
	eventRamped       statechart.Event = "ramped"
	eventTurnedCold   statechart.Event = "turned_cold"
	eventOutlier      statechart.Event = "outlier"
	eventConfirmed    statechart.Event = "confirmed"
	eventRecovered    statechart.Event = "recovered"
	eventRestarted    statechart.Event = "restarted"
	eventDrain        statechart.Event = "drain"
	eventSilence      statechart.Event = "silence"
)

// upstreamChart is the state chart that every upstream follows.
var upstreamChart = charts.MustLoad("upstream")

// chartActions implements the actions of the upstream chart.
var chartActions = map[statechart.Action]func(*Cell, *upstream){
	"limit_to_cold":  (*Cell).limitToCold,
	"ramp_limit":     (*Cell).rampLimit,
	"open_full":      (*Cell).openFull,
	"stop_new_work":  (*Cell).stopNewWork,
	"schedule_probe": (*Cell).scheduleProbe,
	"forget":         (*Cell).forget,
}

// upstream is the state of one upstream of the cell.
type upstream struct {
	id          string
	address     string
	incarnation uint64
	// announcedSlots is the number that the upstream announced; slots is that
	// number or its default.
	announcedSlots int
	slots          int
	state          statechart.State
	// limitCutAt is the time at which the limit was last reduced to that of a
	// cold start. Statistics count from then.
	limitCutAt time.Duration
	// limit is the number of requests that may be in flight at this moment.
	limit int
	// limitVersion grows when an action of the chart changes the limit.
	limitVersion uint64
	inFlight     int
	// completed counts requests completed since the last limit cut.
	completed int
	// hasEvidence is set once this cell has found the upstream slow or failing.
	// Limits of an earlier dispatcher are then ignored.
	hasEvidence   bool
	reportedState ReportedState
	// announcedAt is the time at which the newest announcement was sent.
	announcedAt time.Duration
	// heldUntil lists the times until which slots of failed requests stay
	// closed.
	heldUntil    []time.Duration
	serviceTimes serviceTimeStats
	// lastSampleAt is the time of the newest service time.
	lastSampleAt time.Duration
	failures     failureStats
	probe        probeState
	// notice is what this start of the upstream has said of itself, nil if nothing.
	notice *notice.Status
}

// freeSlots returns the number of further requests that the upstream may run.
func (u *upstream) freeSlots() int { return max(0, u.limit-u.inFlight-len(u.heldUntil)) }

func (c *Cell) upstream(id string) *upstream {
	if i, ok := c.upstreamIndex(id); ok {
		return c.upstreams[i]
	}
	return nil
}

// upstreamIndex returns the position of an upstream, or the one to insert it
// at.
func (c *Cell) upstreamIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(c.upstreams, id, func(u *upstream, id string) int {
		return strings.Compare(u.id, id)
	})
}

func (c *Cell) announce(e Announce) {
	if e.Age > announceTimeout || c.isAfterDrain(e) {
		return
	}
	u := c.upstream(e.ID)
	if u == nil {
		c.addUpstream(e)
		return
	}
	at := c.now - e.Age
	if e.Incarnation < u.incarnation || (e.Incarnation == u.incarnation && at < u.announcedAt) {
		return
	}
	if e.Incarnation > u.incarnation {
		u.incarnation = e.Incarnation
		u.reportedState = e.State
		u.notice = c.notices.Find(u.start())
		c.applyChartEvent(u, eventRestarted)
	}
	u.address = e.Address
	u.announcedAt = at
	c.setSlots(u, e.Slots)
	c.applyReportedState(u, e.State)
}

// addUpstream adds an upstream on its first announcement. It starts cold, or at
// the limit that an earlier dispatcher set.
func (c *Cell) addUpstream(e Announce) {
	u := &upstream{
		id: e.ID, address: e.Address, incarnation: e.Incarnation,
		state: upstreamChart.Initial(), reportedState: e.State, announcedAt: c.now - e.Age,
		inFlight: c.orphanedTickets[e.ID],
	}
	delete(c.orphanedTickets, e.ID)
	c.setSlots(u, e.Slots)
	i, _ := c.upstreamIndex(e.ID)
	c.upstreams = slices.Insert(c.upstreams, i, u)
	u.notice = c.notices.Find(u.start())
	if e.State == ReportedDraining {
		c.applyReportedState(u, e.State)
		return
	}
	if u.notice.Leaving() {
		c.applyChartEvent(u, eventDrain)
		return
	}
	c.applyChartEvent(u, eventAdmittedCold)
	c.adoptPriorLimit(u)
}

// setSlots sets the number of slots and adapts the limit to it.
func (c *Cell) setSlots(u *upstream, announced int) {
	u.announcedSlots = announced
	u.slots = orDefault(announced, c.cfg.Slots)
	if u.state == stateWarm {
		u.limit = u.slots
	}
	u.limit = min(u.limit, u.slots)
}

// applyReportedState acts on the announced state. A change from warm to cold
// cuts the limit. A report of warm only shortens the cold start: the limit
// still rises with completed requests.
func (c *Cell) applyReportedState(u *upstream, state ReportedState) {
	previous := u.reportedState
	u.reportedState = state
	switch {
	case state == ReportedDraining && !c.overrides.noDrainCheck:
		c.applyChartEvent(u, eventDrain)
	case state == ReportedCold && previous == ReportedWarm:
		c.applyChartEvent(u, eventTurnedCold)
	}
}

// adoptPriorLimit takes over the limit that an earlier dispatcher set, unless
// this cell has evidence of its own, the upstream has restarted since, or it
// reports itself cold although the limit was that of a warm upstream. It only
// raises the limit of an upstream in cold start that has not completed any
// request.
func (c *Cell) adoptPriorLimit(u *upstream) {
	prior, ok := c.priorLimits[u.id]
	if !ok || prior.Incarnation != u.incarnation || u.hasEvidence || u.reportedState == ReportedCold && prior.Limit >= u.slots {
		return
	}
	if u.state != stateCold || u.completed > 0 || prior.Limit <= c.coldLimit(u) {
		return
	}
	c.applyChartEvent(u, eventCompleted)
	u.limit = min(prior.Limit, u.slots)
	u.completed = c.coldStartRequests(u)
	if u.limit == u.slots {
		c.applyChartEvent(u, eventRamped)
	}
}

// countCompleted counts one completed request towards the end of the cold start
// and of the ramp that follows it.
func (c *Cell) countCompleted(u *upstream) {
	u.completed++
	required := c.coldStartRequests(u)
	if u.completed >= required {
		c.applyChartEvent(u, eventCompleted)
	}
	if u.limit >= u.slots && u.completed >= required {
		c.applyChartEvent(u, eventRamped)
	}
}

// coldStartRequests returns the number of completed requests that end a cold
// start.
func (c *Cell) coldStartRequests(u *upstream) int {
	if u.reportedState == ReportedCold {
		return c.cfg.WarmAfter * coldReportFactor
	}
	return c.cfg.WarmAfter
}

// coldLimit returns the limit of an upstream in cold start.
func (c *Cell) coldLimit(u *upstream) int { return min(c.cfg.ColdSlots, u.slots) }

// applyChartEvent moves an upstream along the transition of an event and runs
// its actions. It reports false if the state has no transition for the event.
func (c *Cell) applyChartEvent(u *upstream, ev statechart.Event) bool {
	from := u.state
	to, actions, ok := upstreamChart.Next(from, ev)
	if !ok {
		return false
	}
	u.state = to
	for _, a := range actions {
		chartActions[a](c, u)
	}
	if from != to {
		c.actions = append(c.actions, StateChanged{Upstream: u.id, From: from, To: to, Limit: u.limit})
	}
	return true
}

// limitToCold cuts the limit to that of a cold start and resets the statistics.
func (c *Cell) limitToCold(u *upstream) {
	u.limit = c.coldLimit(u)
	if c.overrides.noColdLimit {
		u.limit = u.slots
	}
	u.completed = 0
	u.limitCutAt = c.now
	u.serviceTimes = serviceTimeStats{}
	u.failures = failureStats{}
	u.limitVersion++
}

// rampLimit raises the limit in proportion to the requests completed after the
// cold start.
func (c *Cell) rampLimit(u *upstream) {
	cold := c.coldLimit(u)
	rampRequests := max(1, c.cfg.WarmAfter/rampDivisor)
	limit := cold + (u.slots-cold)*(u.completed-c.coldStartRequests(u)+1)/rampRequests
	if limit = min(limit, u.slots); limit > u.limit {
		u.limit = limit
		u.limitVersion++
	}
}

func (c *Cell) openFull(u *upstream) {
	u.limit = u.slots
	u.limitVersion++
}

func (c *Cell) stopNewWork(u *upstream) {
	u.limit = 0
	u.limitVersion++
}

// forget removes an upstream. Its tickets stay counted until they end.
func (c *Cell) forget(u *upstream) {
	if u.reportedState == ReportedDraining {
		c.drained[u.id] = drainedUpstream{u.incarnation, c.now}
	}
	if i, ok := c.upstreamIndex(u.id); ok {
		c.upstreams = slices.Delete(c.upstreams, i, i+1)
	}
	if u.probe.id != 0 {
		c.clearProbe(u)
	}
	if u.inFlight > 0 {
		c.orphanedTickets[u.id] = u.inFlight
	}
}

// drainedUpstream is an upstream that was removed after draining.
type drainedUpstream struct {
	incarnation uint64
	removedAt   time.Duration
}

// isAfterDrain reports whether e is a late announcement of an upstream that has
// drained and not restarted.
func (c *Cell) isAfterDrain(e Announce) bool {
	d, ok := c.drained[e.ID]
	return ok && e.Incarnation <= d.incarnation && !c.overrides.noDrainCheck
}

// checkUpstreams removes silent upstreams, reopens held slots, evaluates
// running requests, and ends overdue probes and starts due ones. It also
// discards records of upstreams drained more than drainedRetention ago.
func (c *Cell) checkUpstreams() {
	for id, d := range c.drained {
		if c.now-d.removedAt > drainedRetention {
			delete(c.drained, id)
		}
	}
	c.checkNotices()
	c.probeBudget.accrue(c.now, c.probeBudgetRate())
	running := c.runningTimes()
	for _, u := range slices.Clone(c.upstreams) {
		if c.now-u.announcedAt > announceTimeout {
			c.applyChartEvent(u, eventSilence)
			continue
		}
		u.heldUntil = slices.DeleteFunc(u.heldUntil, func(t time.Duration) bool { return t <= c.now })
		c.evaluate(u, running[u.id])
		c.resolveSuspect(u)
		c.checkProbe(u)
	}
}
