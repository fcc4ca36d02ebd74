package dispatch

import (
	"slices"
	"strings"
	"time"

	"balsamcourse.example/balsamcourse/charts"
	"balsamcourse.example/balsamcourse/internal/chart"
)

// States and events of the upstream chart that the code refers to.
const (
	stateCold     chart.State = "cold"
	stateWarming  chart.State = "warming"
	stateWarm     chart.State = "warm"
	stateSuspect  chart.State = "suspect"
	stateEjected  chart.State = "ejected"
	stateDraining chart.State = "draining"
	stateGone     chart.State = "gone"

	eventAdmittedCold chart.Event = "admitted_cold"
	eventCompleted    chart.Event = "completed"
	eventRamped       chart.Event = "ramped"
	eventTurnedCold   chart.Event = "turned_cold"
	eventOutlier      chart.Event = "outlier"
	eventConfirmed    chart.Event = "confirmed"
	eventRecovered    chart.Event = "recovered"
	eventRestarted    chart.Event = "restarted"
	eventDrain        chart.Event = "drain"
	eventSilence      chart.Event = "silence"
)

// life is the chart that every upstream follows.
var life = charts.MustLoad("upstream")

// effects maps the actions of the chart to code.
var effects = map[chart.Action]func(*Cell, *upstream){
	"limit_to_cold":  (*Cell).limitToCold,
	"ramp_limit":     (*Cell).rampLimit,
	"open_full":      (*Cell).openFull,
	"stop_new_work":  (*Cell).stopNewWork,
	"schedule_probe": (*Cell).scheduleProbe,
	"forget":         (*Cell).forget,
}

// upstream is what the cell knows of one upstream.
type upstream struct {
	id             string
	address        string
	incarnation    uint64
	announcedSlots int
	slots          int
	state          chart.State
	// since is the time at which the limit was last cut.
	since    time.Duration
	limit    int
	version  uint64
	inFlight int
	// completed counts requests since the last cut.
	completed int
	// judged is set once this cell has changed the limit on evidence.
	judged   bool
	report   ReportedState
	reportAt time.Duration
	// held lists the times until which slots of failed requests stay closed.
	held  []time.Duration
	stats stats
	// sampledAt is the time of the newest sample.
	sampledAt time.Duration
	fails     failures
	probe     probeState
}

// room returns the number of requests the upstream can take.
func (u *upstream) room() int { return max(0, u.limit-u.inFlight-len(u.held)) }

func (c *Cell) upstream(id string) *upstream {
	if i, ok := c.find(id); ok {
		return c.upstreams[i]
	}
	return nil
}

func (c *Cell) find(id string) (int, bool) {
	return slices.BinarySearchFunc(c.upstreams, id, func(u *upstream, id string) int {
		return strings.Compare(u.id, id)
	})
}

func (c *Cell) announce(e Announce) {
	if e.Age > silenceAfter || c.hasLeft(e) {
		return
	}
	u := c.upstream(e.ID)
	if u == nil {
		c.admit(e)
		return
	}
	at := c.now - e.Age
	if e.Incarnation < u.incarnation || (e.Incarnation == u.incarnation && at < u.reportAt) {
		return
	}
	if e.Incarnation > u.incarnation {
		u.incarnation = e.Incarnation
		u.report = e.State
		c.fire(u, eventRestarted)
	}
	u.address = e.Address
	u.reportAt = at
	c.setSlots(u, e.Slots)
	c.applyReport(u, e.State)
}

// admit starts the life of an upstream that was not known.
func (c *Cell) admit(e Announce) {
	u := &upstream{
		id: e.ID, address: e.Address, incarnation: e.Incarnation,
		state: life.Initial(), report: e.State, reportAt: c.now - e.Age,
		inFlight: c.orphans[e.ID],
	}
	delete(c.orphans, e.ID)
	c.setSlots(u, e.Slots)
	i, _ := c.find(e.ID)
	c.upstreams = slices.Insert(c.upstreams, i, u)
	if e.State == ReportedDraining {
		c.applyReport(u, e.State)
		return
	}
	c.fire(u, eventAdmittedCold)
	c.adoptKnown(u)
}

func (c *Cell) setSlots(u *upstream, announced int) {
	u.announcedSlots = announced
	u.slots = orDefault(announced, c.cfg.Slots)
	if u.state == stateWarm {
		u.limit = u.slots
	}
	u.limit = min(u.limit, u.slots)
}

// applyReport acts on the announced state. A report of cold after one of warm
// cuts the limit; a report of warm is only a hint.
func (c *Cell) applyReport(u *upstream, r ReportedState) {
	before := u.report
	u.report = r
	switch {
	case r == ReportedDraining && !c.rules.noDrain:
		c.fire(u, eventDrain)
	case r == ReportedCold && before == ReportedWarm:
		c.fire(u, eventTurnedCold)
	}
}

// adoptKnown takes over the limit that an earlier dispatcher set, unless this
// cell has evidence of its own.
func (c *Cell) adoptKnown(u *upstream) {
	k, ok := c.known[u.id]
	if !ok || k.Incarnation != u.incarnation || u.judged || u.report == ReportedCold && k.Limit >= u.slots {
		return
	}
	if u.state != stateCold || u.completed > 0 || k.Limit <= c.coldLimit(u) {
		return
	}
	c.fire(u, eventCompleted)
	u.limit = min(k.Limit, u.slots)
	u.completed = c.coldWork(u)
	if u.limit == u.slots {
		c.fire(u, eventRamped)
	}
}

// advance counts one completed request in the cold start and in the ramp that
// follows it.
func (c *Cell) advance(u *upstream) {
	u.completed++
	work := c.coldWork(u)
	if u.completed >= work {
		c.fire(u, eventCompleted)
	}
	if u.limit >= u.slots && u.completed >= work {
		c.fire(u, eventRamped)
	}
}

// coldWork returns the number of completed requests that end a cold start.
func (c *Cell) coldWork(u *upstream) int {
	if u.report == ReportedCold {
		return c.cfg.WarmAfter * distrustFactor
	}
	return c.cfg.WarmAfter
}

// coldLimit returns the bound of an upstream in cold start.
func (c *Cell) coldLimit(u *upstream) int { return min(c.cfg.ColdSlots, u.slots) }

// fire applies an event of the chart and runs its actions.
func (c *Cell) fire(u *upstream, ev chart.Event) bool {
	from := u.state
	to, actions, ok := life.Next(from, ev)
	if !ok {
		return false
	}
	u.state = to
	for _, a := range actions {
		effects[a](c, u)
	}
	if from != to {
		c.out = append(c.out, StateChanged{Upstream: u.id, From: from, To: to, Limit: u.limit})
	}
	return true
}

func (c *Cell) limitToCold(u *upstream) {
	u.limit = c.coldLimit(u)
	if c.rules.noColdBound {
		u.limit = u.slots
	}
	u.completed = 0
	u.since = c.now
	u.stats = stats{}
	u.fails = failures{}
	u.version++
}

// rampLimit raises the limit in proportion to the work completed after the
// cold start.
func (c *Cell) rampLimit(u *upstream) {
	cold := c.coldLimit(u)
	span := max(1, c.cfg.WarmAfter/rampShare)
	limit := cold + (u.slots-cold)*(u.completed-c.coldWork(u)+1)/span
	if limit = min(limit, u.slots); limit > u.limit {
		u.limit = limit
		u.version++
	}
}

func (c *Cell) openFull(u *upstream) {
	u.limit = u.slots
	u.version++
}

func (c *Cell) stopNewWork(u *upstream) {
	u.limit = 0
	u.version++
}

// forget removes an upstream. Its tickets stay counted until they end.
func (c *Cell) forget(u *upstream) {
	if u.report == ReportedDraining {
		c.left[u.id] = departure{u.incarnation, c.now}
	}
	if i, ok := c.find(u.id); ok {
		c.upstreams = slices.Delete(c.upstreams, i, i+1)
	}
	if u.probe.id != 0 {
		c.clearProbe(u)
	}
	if u.inFlight > 0 {
		c.orphans[u.id] = u.inFlight
	}
}

// departure remembers an upstream that has drained.
type departure struct {
	incarnation uint64
	at          time.Duration
}

// hasLeft reports whether e is a late announcement of a drained upstream.
func (c *Cell) hasLeft(e Announce) bool {
	d, ok := c.left[e.ID]
	return ok && e.Incarnation <= d.incarnation && !c.rules.noDrain
}

// checkUpstreams acts on what time alone shows.
func (c *Cell) checkUpstreams() {
	for id, d := range c.left {
		if c.now-d.at > leftFor {
			delete(c.left, id)
		}
	}
	c.budget.accrue(c.now, c.probeRate())
	running := c.runningTimes()
	for _, u := range slices.Clone(c.upstreams) {
		if c.now-u.reportAt > silenceAfter {
			c.fire(u, eventSilence)
			continue
		}
		u.held = slices.DeleteFunc(u.held, func(t time.Duration) bool { return t <= c.now })
		c.judge(u, running[u.id])
		c.resolve(u)
		c.checkProbe(u)
	}
}
