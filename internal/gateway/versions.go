package gateway

import (
	"slices"
	"strings"
	"time"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/balance"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/fault"
	"balsamcourse.example/balsamcourse/internal/rollout"
	"balsamcourse.example/balsamcourse/internal/settings"
)

// versions is what a gateway knows of the software versions of the upstreams and of the
// roll-outs under way. It belongs to state, whose lock guards it.
type versions struct {
	settings settings.Rollout
	random   func() float64
	// judge decides on the evidence of this gateway alone.
	judge func(rollout.Observation) rollout.Decision
	// pools is empty if roll-outs are not enabled.
	pools map[string]*poolVersions
	// revision is that of the configuration in force.
	revision uint64
	// reportDue is signalled when evidence should be reported at once.
	reportDue chan struct{}
}

func newVersions(s settings.Rollout, random func() float64) versions {
	return versions{settings: s, random: random, judge: rollout.Judge, reportDue: make(chan struct{}, 1)}
}

// poolVersions is the rule of one pool and, while a roll-out is under way, its tracker.
type poolVersions struct {
	rule    versionRule
	tracker *rolloutTracker
	// few are the upstreams of the target that get requests before the verdict, old is the
	// number of old upstreams. They are set in the state active.
	few []string
	old int
}

// rolloutTracker is what this gateway has done and seen in one roll-out.
type rolloutTracker struct {
	knownAt time.Duration
	// share draws the requests for the target in the stage of the roll-out.
	share *rollout.Share
	// sent counts the requests that this gateway has sent to the pool.
	sent     uint64
	evidence rollout.Evidence
	// badReported is set once the bad answers so far have been reported, movedReported
	// once it has been reported that the old version gets nothing more.
	badReported, movedReported bool
}

// draw is a draw for the target of a roll-out that a call holds.
type draw struct {
	share *rollout.Share
	route string
	// used is set once the request has been sent with it.
	used bool
}

// usualGroup returns the group from which the pool's requests get their upstream unless
// they are drawn for the target of a roll-out. st.mu must be held.
func (st *state) usualGroup(pool string) string {
	if pv := st.versions.pools[pool]; pv != nil {
		return balance.Group(pool, pv.rule.usual())
	}
	return pool
}

// groups returns the groups of the pool that are in rotation. st.mu must be held.
func (st *state) groups(pool string) []string {
	groups := []string{st.usualGroup(pool)}
	if pv := st.versions.pools[pool]; pv != nil && pv.rule.splits() {
		groups = append(groups, balance.Group(pool, pv.rule.target))
	}
	return groups
}

// applyVersions adopts the software versions and roll-outs of the configuration and adds
// the rotations to the placement. Without roll-outs in the settings it does nothing.
// st.mu must be held.
func (st *state) applyVersions(cfg *catalogpb.Config, placement *balance.Config) {
	vs := &st.versions
	if !vs.settings.Enabled() {
		return
	}
	vs.revision = cfg.Revision
	recorded := make(map[string]string, len(cfg.PoolSoftware))
	for _, p := range cfg.PoolSoftware {
		recorded[p.Pool] = p.Software
	}
	newest := make(map[string]*catalogpb.Rollout, len(cfg.Rollouts))
	for _, r := range cfg.Rollouts {
		if known := newest[r.Pool]; known == nil || r.StartedRevision > known.StartedRevision {
			newest[r.Pool] = r
		}
	}
	upstreams := make(map[string][]balance.Upstream)
	for _, u := range placement.Upstreams {
		upstreams[u.Pool] = append(upstreams[u.Pool], u)
	}
	before := vs.pools
	vs.pools = make(map[string]*poolVersions, len(cfg.Pools))
	placement.Rotations = make(map[string]balance.Rotation, len(cfg.Pools))
	for _, p := range cfg.Pools {
		software, ok := recorded[p.Name]
		pv := &poolVersions{rule: newVersionRule(software, ok, newest[p.Name], upstreams[p.Name])}
		pv.continueFrom(before[p.Name], vs, st.now())
		vs.pools[p.Name] = pv
		if pv.rule.splits() && pv.rule.state == catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE {
			pv.few, pv.old = pv.rule.chooseFew(vs.settings.Share, upstreams[p.Name], placement.ClosedZones)
		}
		placement.Rotations[p.Name] = pv.rule.rotation(pv.few)
		st.logVersions(before[p.Name], pv, p.Name, newest[p.Name])
	}
	for pool, pv := range before {
		if now := vs.pools[pool]; now != nil && now.rule.usual() != pv.rule.usual() {
			st.moveWaiting(balance.Group(pool, pv.rule.usual()))
		}
	}
}

// continueFrom takes over the tracker if the same roll-out was under way before.
func (pv *poolVersions) continueFrom(before *poolVersions, vs *versions, now time.Duration) {
	r := &pv.rule
	if !r.underWay() {
		return
	}
	if before == nil || before.tracker == nil || before.rule.started != r.started {
		pv.tracker = &rolloutTracker{knownAt: now, evidence: make(rollout.Evidence)}
	} else {
		pv.tracker = before.tracker
		r.withdrawn = before.rule.withdrawn
	}
	if pv.tracker.share == nil || before.rule.state != r.state || before.rule.permille != r.permille {
		pv.tracker.share = rollout.NewShare(r.fraction(vs.settings.Share), vs.random)
	}
	if r.moved() {
		vs.requestReport()
	}
}

// requestReport makes reportEvidence run soon. It does not block.
func (vs *versions) requestReport() {
	select {
	case vs.reportDue <- struct{}{}:
	default:
	}
}

// logVersions logs a changed rule with the newest roll-out of the pool, which may be nil.
func (st *state) logVersions(before, after *poolVersions, pool string, newest *catalogpb.Rollout) {
	if before != nil && before.rule == after.rule || before == nil && !after.rule.underWay() {
		return
	}
	r := after.rule
	st.events.Log(event.VersionsChanged).Str("pool", pool).Str("software", r.usual()).Str("target", newest.GetTarget()).
		Str("state", strings.ToLower(strings.TrimPrefix(newest.GetState().String(), "ROLLOUT_STATE_"))).Uint64("permille", uint64(r.permille)).
		Uint64("rollout", newest.GetStartedRevision()).Str("why", newest.GetReason()).Bool("withdrawn", r.withdrawn).Uint64("revision", st.versions.revision).Send()
}

// moveWaiting ends the wait of the calls in the queue of a group that no longer gets the
// usual requests, so that they look for an upstream of the version that does. st.mu must
// be held.
func (st *state) moveWaiting(group string) {
	q := st.queue(group)
	for _, id := range q.waiters.RemoveAll(func(balance.Waiter) bool { return true }) {
		q.reservations[id] <- reservation{moved: true}
		delete(q.reservations, id)
	}
}

// chooseVersion determines the version that gets the call. It reports whether the call
// is drawn for the target of a roll-out: only the first attempt of a call is, so that a
// request which failed there is repeated at the old version, and no request that is
// suspected of crashing upstreams.
func (c *call) chooseVersion() bool {
	st := c.f.state
	if !st.versions.settings.Enabled() {
		return false
	}
	sinceNewest := st.sinceNewest()
	st.mu.Lock()
	defer st.mu.Unlock()
	c.group = st.usualGroup(c.pool)
	pv := st.versions.pools[c.pool]
	if pv == nil || !pv.rule.splits() || c.sends > 0 || c.trial != nil || pv.rule.unwatched(sinceNewest, st.versions.settings) {
		c.returnDraw()
		return false
	}
	share := pv.tracker.share
	if c.draw != nil && c.draw.share != share {
		c.returnDraw()
	}
	if c.draw == nil && !c.drawn {
		c.drawn = true
		if pv.rule.state == catalogpb.RolloutState_ROLLOUT_STATE_SHIFTING {
			// After the verdict there is no bound, and the part must also hold while
			// many requests are in flight.
			c.countShare(share)
		}
		if share.Draw(c.route.Name) {
			c.draw = &draw{share: share, route: c.route.Name}
		}
	}
	return c.draw != nil
}

// countShare counts the call once in the share. st.mu must be held.
func (c *call) countShare(share *rollout.Share) {
	if !c.shareCounted {
		c.shareCounted = true
		share.RecordSent(c.route.Name)
	}
}

// returnDraw gives back a draw that was not used. st.mu must be held.
func (c *call) returnDraw() {
	if c.draw != nil && !c.draw.used {
		c.draw.share.Return(c.draw.route)
	}
	c.draw = nil
}

// endDraw gives back a draw that was not used.
func (c *call) endDraw() {
	if c.draw == nil {
		return
	}
	c.f.state.mu.Lock()
	defer c.f.state.mu.Unlock()
	c.returnDraw()
}

// acquireDrawn reserves an upstream of the target of a roll-out. If none has room now,
// the call is not drawn any more. Its draw is lost: given back, it would be taken by the
// next call, so that each one would search in vain.
func (c *call) acquireDrawn() (reservation, bool) {
	st := c.f.state
	st.mu.Lock()
	pv := st.versions.pools[c.pool]
	if pv == nil || !pv.rule.splits() {
		// A newer configuration has arrived since the draw.
		c.returnDraw()
		st.mu.Unlock()
		return reservation{}, false
	}
	group := balance.Group(c.pool, pv.rule.target)
	focus, rest := rollout.Focus(pv.few, pv.old, st.versions.settings.Share, time.Now())
	// An upstream that does not answer would delay the call for the time of a probe.
	avoided := slices.Concat(c.avoid, st.balancer.Silent(st.now(), pv.few))
	st.mu.Unlock()
	order := [][]string{nil}
	if len(focus) > 0 {
		order = [][]string{rest, focus}
	}
	for _, avoid := range order {
		// A nearly full upstream will do: the version must also be seen under load.
		res, _ := c.f.search(c.ctx, group, slices.Concat(avoided, avoid), probesPerSearch, c.requirements(c.maxSlowdown()))
		if res.conn != nil && c.ctx.Err() == nil {
			c.searches++
			return res, true
		}
		c.f.releaseUnused(res)
	}
	c.f.opts.Metrics.DrawsWithoutRoom.Inc(1)
	c.draw = nil
	return reservation{}, false
}

// versionMoved reports whether the pool's requests have moved to another version since
// the call chose one.
func (c *call) versionMoved() bool {
	st := c.f.state
	if !st.versions.settings.Enabled() || c.ctx.Err() != nil {
		return false
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.usualGroup(c.pool) != c.group
}

// movedElsewhere is the refusal of a call whose pool's requests have moved to another
// version. The call does not end with it, but looks for an upstream again.
func (c *call) movedElsewhere() error {
	return fault.NewRetryable(fault.NoUpstream, minRetryAfter, "pool %q: the requests have moved to another software version", c.pool)
}

// beginSend reports whether the request may be sent to the reserved upstream now: its
// version may have left the rotation since. It is called right before the send.
func (c *call) beginSend(u balance.Upstream) bool {
	st := c.f.state
	if !st.versions.settings.Enabled() {
		return true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	pv := st.versions.pools[u.Pool]
	if pv == nil {
		return true
	}
	if st.balancer.OutOfRotation(u.ID) {
		return false
	}
	if u.Software == pv.rule.usual() {
		return true
	}
	if pv.tracker == nil || c.draw == nil || c.draw.share != pv.tracker.share {
		return false
	}
	c.draw.used = true
	return true
}

// recordSend records whether the request, for which beginSend has reported true, has
// reached the upstream. A call counts once, where it is sent first.
func (c *call) recordSend(u balance.Upstream, mayHaveRun bool) {
	st := c.f.state
	if !st.versions.settings.Enabled() {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if c.draw != nil && !mayHaveRun {
		c.draw.used = false
		c.returnDraw()
	}
	pv := st.versions.pools[u.Pool]
	if pv == nil || pv.tracker == nil || !mayHaveRun {
		return
	}
	pv.tracker.sent++
	if c.sends == 0 && pv.rule.state == catalogpb.RolloutState_ROLLOUT_STATE_ACTIVE {
		c.countShare(pv.tracker.share)
	}
}

// rolloutEvidence returns the reports on the roll-outs under way.
func (st *state) rolloutEvidence() []*clusterpb.RolloutEvidence {
	st.mu.Lock()
	defer st.mu.Unlock()
	var reports []*clusterpb.RolloutEvidence
	for pool, pv := range st.versions.pools {
		if t := pv.tracker; t != nil {
			reports = append(reports, &clusterpb.RolloutEvidence{
				Pool: pool, StartedRevision: pv.rule.started, Routes: t.evidence.Routes(), Withdrawn: pv.rule.withdrawn, Sent: t.sent,
				OldInFlight: uint32(st.oldInFlight(pool, pv)), AppliedRevision: st.versions.revision,
				KnownMs: uint32((st.now() - t.knownAt).Milliseconds()),
			})
		}
	}
	return reports
}

// oldInFlight returns the number of requests that are in flight, or for which an upstream
// is reserved, at upstreams other than those of the target, and of calls that wait for
// one. It is at least 1 while this gateway may send them more. st.mu must be held.
func (st *state) oldInFlight(pool string, pv *poolVersions) int {
	if pv.rule.target == pv.rule.current {
		return 0
	}
	n := st.balancer.InFlightOther(pool, pv.rule.target) + st.queue(balance.Group(pool, pv.rule.current)).waiters.Len()
	if !pv.rule.moved() {
		return max(1, n)
	}
	return n
}
