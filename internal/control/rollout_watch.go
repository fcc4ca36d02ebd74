package control

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/freshness"
	"balsamcourse.example/balsamcourse/internal/rollout"
)

const (
	// judgeInterval is the shortest time between two judgements of one roll-out after new
	// evidence, idleJudgeInterval that without. One takes about 0.1 ms for 12 upstreams and
	// three routes.
	judgeInterval     = 100 * time.Millisecond
	idleJudgeInterval = 250 * time.Millisecond
	// judgeIntervalPerRollout times the number of roll-outs under way bounds the CPU time
	// of the judgements to a few percent of a core.
	judgeIntervalPerRollout = 5 * time.Millisecond
	// recordInterval is the shortest time between two commands that record software
	// versions, so that upstreams that start together need few.
	recordInterval = 300 * time.Millisecond
	// Gateways renew at least every rolloutHold, or rolloutHoldPerEntry times their number,
	// while a roll-out is under way: good answers are reported with renewals only. At 449
	// gateways the leader answers 500 renewals a second.
	rolloutHold         = 500 * time.Millisecond
	rolloutHoldPerEntry = 2 * time.Millisecond
	// usualUse is the part of their slots that the upstreams of a pool are assumed to use.
	usualUse = 0.7
	// coldPart is the part of its requests that a cold upstream is assumed to take.
	coldPart = 0.3
)

// evidenceReport is the event of evidence that did not wait for a renewal.
type evidenceReport struct {
	entry       string
	incarnation uint64
	evidence    []*clusterpb.RolloutEvidence
}

// rolloutQuery asks the event loop for the figures of a roll-out.
type rolloutQuery struct {
	pool  string
	reply chan string
}

// rolloutProposal is the event that a proposal for a roll-out, or of software versions,
// has ended.
type rolloutProposal struct {
	term uint64
	pool string
	err  error
}

// rolloutState is what the leader keeps for roll-outs in one term.
type rolloutState struct {
	// watches holds the roll-outs under way by pool.
	watches map[string]*rolloutWatch
	// latest are the roll-outs of the configuration for which watches was made.
	latest []*catalogpb.Rollout
	// recorded is the configuration in which all software versions were recorded.
	recorded   *catalogpb.Config
	recordedAt time.Duration
	proposing  bool
}

// rolloutWatch is a roll-out under way.
type rolloutWatch struct {
	rollout   *catalogpb.Rollout
	collector *rollout.Collector
	// startedAt and changedAt are the times at which this VM applied the order and the last
	// change.
	startedAt, changedAt time.Duration
	// dirty is set if evidence has come since judgedAt.
	dirty    bool
	judgedAt time.Duration
	// cold holds the upstreams of the target that announced a cold start.
	cold map[string]coldStart
	// lateLogged is set once the end of the duration has been logged.
	lateLogged bool
}

// coldStart is a cold start that an upstream has announced. A new leader counts it from
// the time at which it sees it first, which is late and therefore cautious.
type coldStart struct {
	startedMs uint64
	coldMs    uint32
	until     time.Duration
}

// updateRollouts watches the roll-outs under way in the configuration of the term.
func (l *loop) updateRollouts() {
	t := l.term
	if sameSlice(t.rollouts.latest, t.config.Rollouts) {
		return
	}
	t.rollouts.latest = t.config.Rollouts
	watches := make(map[string]*rolloutWatch)
	now := l.server.now()
	for _, r := range t.config.Rollouts {
		if !catalog.RolloutUnderWay(r) {
			continue
		}
		w := t.rollouts.watches[r.Pool]
		if w == nil || w.rollout.StartedRevision != r.StartedRevision {
			w = &rolloutWatch{
				collector: rollout.NewCollector(now, time.Duration(r.DurationMs)*time.Millisecond),
				startedAt: now, cold: make(map[string]coldStart),
			}
		}
		if w.rollout == nil || w.rollout.ChangedRevision != r.ChangedRevision {
			w.changedAt = now
		}
		w.rollout = r
		if times, ok := l.server.stateMachine.rolloutTimes.of(r); ok {
			w.startedAt, w.changedAt = min(w.startedAt, times.startedAt), times.changedAt
		}
		watches[r.Pool] = w
	}
	t.rollouts.watches = watches
}

// recordEvidence adds the evidence that an entry VM has reported.
func (l *loop) recordEvidence(entry string, incarnation uint64, evidence []*clusterpb.RolloutEvidence) {
	if l.term == nil || len(evidence) == 0 {
		return
	}
	// The report may be about a roll-out that was committed a moment ago.
	l.onConfigChanged()
	l.updateRollouts()
	for _, e := range evidence {
		w := l.term.rollouts.watches[e.Pool]
		if w == nil || w.rollout.StartedRevision != e.StartedRevision {
			continue
		}
		if w.collector.Record(l.server.now(), entry, incarnation, e) {
			w.dirty = true
		}
	}
}

// limitHold shortens the time for which the renewal of a gateway is held back while a
// roll-out is under way.
func (l *loop) limitHold(r *renewal) {
	if !r.request.ServesStale || len(l.term.rollouts.watches) == 0 {
		return
	}
	hold := max(rolloutHold, time.Duration(len(l.term.config.Entries))*rolloutHoldPerEntry)
	r.request.WaitMs = min(r.request.WaitMs, uint32(hold.Milliseconds()))
}

// advanceRollouts proposes the next step of a roll-out, or records the software versions
// of pools that have none yet.
func (l *loop) advanceRollouts() {
	t := l.term
	if !l.server.opts.Rollout.Enabled() || l.server.checkRolloutSupport() != nil {
		return
	}
	l.updateRollouts()
	now := l.server.now()
	for _, r := range t.config.Rollouts {
		w := t.rollouts.watches[r.Pool]
		if w == nil || t.rollouts.proposing || !w.due(now, len(t.rollouts.watches)) {
			continue
		}
		l.advanceRollout(now, w)
	}
	if !t.rollouts.proposing {
		l.recordSoftware(now)
	}
}

func (w *rolloutWatch) due(now time.Duration, watches int) bool {
	interval := idleJudgeInterval
	if w.dirty {
		interval = judgeInterval
	}
	return w.judgedAt == 0 || now >= w.judgedAt+max(interval, time.Duration(watches)*judgeIntervalPerRollout)
}

func (l *loop) advanceRollout(now time.Duration, w *rolloutWatch) {
	w.judgedAt, w.dirty = now, false
	p := l.term.progressOf(now, w)
	l.recordRolloutMetrics(w)
	step, decision, ok := rollout.Next(p)
	if !ok {
		l.logLateRollout(w, p)
		return
	}
	l.logRolloutStep(w, p, step, decision)
	advance := &catalogpb.AdvanceRollout{
		Pool: w.rollout.Pool, StartedRevision: w.rollout.StartedRevision, FromRevision: w.rollout.ChangedRevision,
		State: rolloutStates[step.Stage], ShiftPermille: step.Permille, Reason: step.Reason,
	}
	l.proposeRollout(w.rollout.Pool, &catalogpb.Command{Kind: &catalogpb.Command_AdvanceRollout{AdvanceRollout: advance}})
}

// rolloutStates maps the stages of a roll-out to the states of the protobuf schema.
var rolloutStates = map[rollout.Stage]catalogpb.RolloutState{
	rollout.Active:     catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE,
	rollout.Shifting:   catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING,
	rollout.Completed:  catalogpb.RolloutState_ROLLOUT_STATE_COMPLETED,
	rollout.RolledBack: catalogpb.RolloutState_ROLLOUT_STATE_ROLLED_BACK,
}

// progressOf returns what the next step of a roll-out depends on. The duration counts
// from the commit on the clock of this VM, or from the time since which a gateway has
// known of the roll-out if that is longer, as after a restart or a suspension.
func (t *term) progressOf(now time.Duration, w *rolloutWatch) rollout.Progress {
	p := rollout.Progress{
		Stage:     rollout.Active,
		Permille:  w.rollout.ShiftPermille,
		Elapsed:   max(now-w.startedAt, w.collector.Known(now)),
		Duration:  time.Duration(w.rollout.DurationMs) * time.Millisecond,
		Drain:     longestTimeout(t.config, w.rollout.Pool),
		SinceStep: now - w.changedAt,
		Followed:  true,
		Moved:     true,
		Informed:  true,
		Periods:   w.collector.Periods(now),
	}
	if w.rollout.State == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING {
		p.Stage = rollout.Shifting
	}
	live := 0
	for id, report := range t.reports {
		if now > report.receivedAt+freshness.LiveTimeout || !report.entry.ServesStale {
			continue
		}
		live++
		e := w.collector.Report(id)
		p.Informed = p.Informed && e != nil
		p.Followed = p.Followed && e.GetAppliedRevision() >= w.rollout.ChangedRevision
		p.Moved = p.Moved && e.GetOldInFlight() == 0
	}
	// A leader that hears from no gateway does not know what they do.
	p.Followed = p.Followed && (live > 0 || len(t.config.Entries) == 0)
	p.Moved = p.Moved && p.Followed
	// A gateway that has just started has not reported yet. After a change of the leader
	// all gateways that are heard from have reported within this time.
	settled := now >= t.leaderSince+freshness.LiveTimeout
	p.Informed = settled || p.Informed && live > 0 && live >= len(t.config.Entries)
	_, _, p.Withdrawn = w.collector.Totals()
	p.Reporting = w.collector.Reporting()
	p.Unreported = w.collector.Unreported(now, p.Elapsed, live)
	p.Ready, p.Bearable, p.Capacity = t.newCapacity(now, w)
	return p
}

// newCapacity returns the number of upstreams of the target that take requests, and the
// share of the pool's requests, in thousandths, that they can take now and once they are
// warm.
func (t *term) newCapacity(now time.Duration, w *rolloutWatch) (ready int, bearable, capacity uint32) {
	rotation, _ := catalog.SoftwareInRotation(t.config, w.rollout.Pool)
	closed := make(map[string]bool)
	for _, z := range t.config.Zones {
		closed[z.Name] = z.State == catalogpb.ZoneState_ZONE_STATE_OUT || z.State == catalogpb.ZoneState_ZONE_STATE_LEAVING
	}
	var oldSlots, newSlots, bearableSlots float64
	for _, u := range t.config.Upstreams {
		if u.Pool != w.rollout.Pool || u.State != catalogpb.UpstreamState_UPSTREAM_STATE_READY || closed[u.Zone] {
			continue
		}
		switch u.Software {
		case w.rollout.Target:
			ready++
			newSlots += float64(u.Slots)
			if w.isCold(now, u) {
				bearableSlots += coldPart * float64(u.Slots)
			} else {
				bearableSlots += float64(u.Slots)
			}
		case rotation:
			oldSlots += float64(u.Slots)
		}
	}
	permille := func(slots float64) uint32 {
		if slots >= usualUse*oldSlots {
			return 1000
		}
		return uint32(1000 * slots / (usualUse * oldSlots))
	}
	if ready == 0 {
		return 0, 0, 0
	}
	return ready, permille(bearableSlots), permille(newSlots)
}

// isCold reports whether an upstream is in the cold start that it has announced.
func (w *rolloutWatch) isCold(now time.Duration, u *catalogpb.Upstream) bool {
	c, known := w.cold[u.Id]
	if !known || c.startedMs != u.StartedMs || c.coldMs != u.ColdMs {
		c = coldStart{startedMs: u.StartedMs, coldMs: u.ColdMs, until: now + time.Duration(u.ColdMs)*time.Millisecond}
		w.cold[u.Id] = c
	}
	return now < c.until
}

// longestTimeout returns the longest timeout of the routes to a pool.
func longestTimeout(cfg *catalogpb.Config, pool string) time.Duration {
	longest := uint32(0)
	for _, r := range cfg.Routes {
		for _, s := range r.Shares {
			if s.Pool == pool {
				longest = max(longest, r.TimeoutMs)
			}
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// recordSoftware proposes to record the software versions of pools that have none yet.
func (l *loop) recordSoftware(now time.Duration) {
	s := &l.term.rollouts
	cfg := l.term.config
	if s.recorded == cfg || s.recordedAt != 0 && now < s.recordedAt+recordInterval {
		return
	}
	list := catalog.UnrecordedSoftware(cfg)
	if len(list) == 0 {
		s.recorded = cfg
		return
	}
	s.recordedAt = now
	l.proposeRollout("", &catalogpb.Command{Kind: &catalogpb.Command_SetPoolSoftware{SetPoolSoftware: &catalogpb.SetPoolSoftware{Pools: list}}})
}

// proposeRollout submits a proposal in the background. It does not wait for the other
// proposals of the loop.
func (l *loop) proposeRollout(pool string, cmd *catalogpb.Command) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		l.server.opts.Log.Log(event.RolloutNotCommitted).Str("pool", pool).Err(err).Send()
		return
	}
	l.term.rollouts.proposing = true
	number := l.term.number
	crash.Go(l.workers, func() {
		ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
		defer cancel()
		result, _, err := l.server.opts.Replica.Propose(ctx, data)
		if applied, ok := result.(catalog.CommandResult); err == nil && ok && applied.Err != nil {
			err = applied.Err
		}
		l.server.post(l.ctx, &rolloutProposal{term: number, pool: pool, err: err})
	})
}

// onRolloutProposal continues after a proposal. After an error the next judgement proposes
// again, based on the state at that time.
func (l *loop) onRolloutProposal(ev *rolloutProposal) {
	if ev.err != nil {
		l.server.opts.Log.Log(event.RolloutNotCommitted).Str("pool", ev.pool).Err(ev.err).Send()
	}
	if l.term == nil || l.term.number != ev.term {
		return
	}
	l.term.rollouts.proposing = false
	l.onConfigChanged()
	l.updateRollouts()
}

// logRolloutStep logs a step with the figures that decided it.
func (l *loop) logRolloutStep(w *rolloutWatch, p rollout.Progress, step rollout.Step, d rollout.Decision) {
	e := event.RolloutStep
	if step.Stage == rollout.RolledBack {
		e = event.RolloutRolledBack
	}
	old, target, withdrawn := w.collector.Totals()
	l.server.opts.Log.Log(e).Str("pool", w.rollout.Pool).Str("target", w.rollout.Target).
		Str("from", catalog.RolloutStateName(w.rollout.State)).Str("to", catalog.RolloutStateName(rolloutStates[step.Stage])).
		Uint64("permille", uint64(step.Permille)).Str("reason", step.Reason).Str("strength", fmt.Sprintf("%.1f", d.Strength)).
		Uint64("elapsed_ms", uint64(p.Elapsed.Milliseconds())).Uint64("duration_ms", uint64(w.rollout.DurationMs)).
		Uint64("new_requests", target.Requests).Uint64("new_bad", target.Bad()).Uint64("old_requests", old.Requests).Uint64("old_bad", old.Bad()).
		Uint64("withdrawn", uint64(withdrawn)).Uint64("ready", uint64(p.Ready)).Uint64("bearable_permille", uint64(p.Bearable)).
		Uint64("started_revision", w.rollout.StartedRevision).Send()
}

// logLateRollout logs once that a roll-out has no verdict at the end of its duration.
func (l *loop) logLateRollout(w *rolloutWatch, p rollout.Progress) {
	if w.lateLogged || p.Elapsed < p.Duration {
		return
	}
	w.lateLogged = true
	l.server.opts.Log.Log(event.RolloutLate).Str("pool", w.rollout.Pool).Str("target", w.rollout.Target).
		Str("state", catalog.RolloutStateName(w.rollout.State)).Uint64("permille", uint64(p.Permille)).
		Bool("followed", p.Followed).Bool("moved", p.Moved).Bool("informed", p.Informed).Send()
}

// recordRolloutMetrics updates the metrics by version.
func (l *loop) recordRolloutMetrics(w *rolloutWatch) {
	old, target, _ := w.collector.Totals()
	l.server.opts.Metrics.UpdateRollout(w.rollout.Pool, "old", old.Requests, old.Bad())
	l.server.opts.Metrics.UpdateRollout(w.rollout.Pool, "new", target.Requests, target.Bad())
}

// rolloutText returns the figures of a roll-out under way for operators, or "".
func (l *loop) rolloutText(pool string) string {
	if l.term == nil || l.term.rollouts.watches[pool] == nil {
		return ""
	}
	w := l.term.rollouts.watches[pool]
	p := l.term.progressOf(l.server.now(), w)
	old, target, withdrawn := w.collector.Totals()
	return fmt.Sprintf("%v of %v; new version: %d bad of %d requests; old version: %d bad of %d; %d gateways withdrew the new version; %d new upstreams can take %d permille",
		p.Elapsed.Round(100*time.Millisecond), p.Duration, target.Bad(), target.Requests, old.Bad(), old.Requests, withdrawn, p.Ready, p.Bearable)
}
