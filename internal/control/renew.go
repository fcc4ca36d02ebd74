package control

import (
	"context"
	"math"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// maxRenewalHold limits how long the answer to a renewal is held back.
const maxRenewalHold = 2 * time.Second

const (
	// configIntervalPerEntry is multiplied by the number of registered entry
	// VMs to get the minimum interval between two configurations sent to a
	// gateway. Sending one costs the leader about 0.5 ms of CPU time.
	configIntervalPerEntry = time.Millisecond
	// maxConfigInterval limits that interval while answers to all gateways take less
	// than answerShare of it.
	maxConfigInterval = 400 * time.Millisecond
	// answerShare is the share of the interval that answers to all gateways may take. To
	// read and handle the renewals takes about as much again, and the leader needs the rest
	// for the control group, operators and upstreams.
	answerShare = 0.25
	// maxPacedInterval limits the interval in any case. With the 0.54 s that answers to 449
	// gateways take on a quarter of a core, a change takes up to 1.44 s to a gateway; it
	// must be in force within two seconds. With 1 s it took 1.54 s.
	maxPacedInterval = 900 * time.Millisecond
)

// maxStartHold limits how long a replica that has not caught up holds a renewal: the
// entry VM should soon ask another one, which may have.
const maxStartHold = 300 * time.Millisecond

// responsesPerAddressList is the number of responses to an entry VM after which
// the addresses of the control VMs are included again.
const responsesPerAddressList = 32

// renewal is a Renew request in the event loop.
type renewal struct {
	request  *clusterpb.RenewRequest
	received time.Duration
	// reply receives the response when its turn has come. It has room for it.
	reply chan *clusterpb.RenewResponse
	// The fields below belong to answers.
	state       answerState
	turn        *time.Timer
	turnBegan   time.Time
	turnsAtOnce int
}

// confirmedRenewal is the event that the confirmed read for a renewal has ended;
// err is the error of that read. Only renewals of entry VMs that have held no
// lease since their start (those that are not synced) need such a read.
type confirmedRenewal struct {
	renewal *renewal
	term    uint64
	err     error
}

// distribution implements the Distribution service for entry VMs.
type distribution struct {
	server *Server
}

// Renew grants a lease and returns the configuration if the entry VM has an
// older one. The response may be held back, for up to the requested time, until
// a newer revision is committed or accepted.
func (d *distribution) Renew(ctx context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	if req.Entry.GetId() == "" {
		return nil, fault.ToTwirp(fault.New(fault.BadRequest, "the id of the entry VM is empty"))
	}
	if req.Entry.ClusterAddress != "" {
		// Without this check the leader would propose an invalid entry over and
		// over.
		if err := catalog.CheckEntry(req.Entry); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	if req.WantsMembers {
		if members := memberAddresses(d.server.opts.Replica.Status()); len(members) > 0 {
			return &clusterpb.RenewResponse{ControlAddresses: members}, nil
		}
	}
	r := &renewal{
		request:  req,
		received: d.server.now(),
		reply:    make(chan *clusterpb.RenewResponse, 1),
	}
	setRenewal(ctx, r)
	if d.server.post(ctx, r) {
		select {
		case resp := <-r.reply:
			d.server.encodings.share(resp, req.AcceptsPackedDelta)
			return resp, nil
		case <-ctx.Done():
		case <-d.server.done:
		}
		if !d.server.answers.abandon(r) {
			return <-r.reply, nil
		}
	}
	return nil, fault.ToTwirp(fault.New(fault.Leaving, "the control VM is stopping"))
}

// Confirm returns an Unimplemented error: only entry VMs serve it.
func (d *distribution) Confirm(context.Context, *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "Confirm is served by entry VMs only")
}

// Push returns an Unimplemented error: only entry VMs serve it.
func (d *distribution) Push(context.Context, *clusterpb.PushRequest) (*clusterpb.PushResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "Push is served by entry VMs only")
}

func (l *loop) onRenewal(r *renewal) {
	if l.term == nil {
		l.followLeadership(l.server.opts.Replica.Status())
	}
	if l.term == nil && l.confirmingTerm != 0 {
		l.deferredRenewals = append(l.deferredRenewals, r)
		return
	}
	if l.term == nil {
		l.answerAsFollower(r)
		return
	}
	if !l.term.completeEntry(r.request) {
		l.answerWithoutLease(r)
		return
	}
	l.recordAckAge(r.request)
	isolated := l.term.isolatedHash
	if !l.term.recordReport(l.server.now(), r) {
		l.answerWithoutLease(r)
		return
	}
	l.recordEvidence(r.request.Entry.Id, r.request.Entry.Incarnation, r.request.RolloutEvidence)
	l.recordConvictions(r.request.Convictions)
	l.limitHold(r)
	if l.term.isolatedHash != isolated {
		l.answerDueRenewals()
	}
	if l.term.restarts.record(r.request) {
		l.answerHeldRenewals(func(*renewal) bool { return true })
	}
	if r.request.ServesStale {
		l.advanceAcceptanceSoon()
	} else {
		l.advanceAcceptance()
	}
	if !r.request.Synced {
		l.confirmThenAnswer(r)
		return
	}
	if l.answerDue(r) {
		l.answer(r)
		return
	}
	l.term.heldRenewals = append(l.term.heldRenewals, r)
	if l.needsRegistration(r.request.Entry) {
		l.proposeNext()
	}
}

// answerAsFollower answers a renewal while this replica does not lead. An entry VM
// without a configuration waits until this replica may send it one: hundreds that
// start together would otherwise ask again and again while control starts as well.
func (l *loop) answerAsFollower(r *renewal) {
	if l.withholdsConfig(r.request, l.server.opts.Replica.Status()) {
		l.startingRenewals = append(l.startingRenewals, r)
		return
	}
	l.answerWithoutLease(r)
}

// withholdsConfig reports whether an entry VM that has no configuration must not be
// sent that of this replica: it has not caught up since its start, so that its
// configuration may hold upstreams that have left and lack changes that entry VMs
// have confirmed.
func (l *loop) withholdsConfig(req *clusterpb.RenewRequest, st Status) bool {
	return req.Revision == 0 && !st.CaughtUp
}

// handleStartingRenewals handles the renewals that wait until this replica has caught
// up, and answers those that have waited for maxStartHold.
func (l *loop) handleStartingRenewals() {
	waiting := l.startingRenewals
	if len(waiting) == 0 {
		return
	}
	l.startingRenewals = nil
	st := l.server.opts.Replica.Status()
	for _, r := range waiting {
		switch {
		case st.CaughtUp:
			l.onRenewal(r)
		case l.server.now() >= r.received+min(holdTime(r.request), maxStartHold):
			l.answerWithoutLease(r)
		default:
			l.startingRenewals = append(l.startingRenewals, r)
		}
	}
}

// recordAckAge records the age of the configuration that a renewal acknowledges
// for the first time. It must be called before recordReport.
func (l *loop) recordAckAge(req *clusterpb.RenewRequest) {
	report := l.term.reports[req.Entry.Id]
	if report == nil || report.revision >= req.Revision {
		return
	}
	if at, ok := l.server.history.appliedAt(req.Revision); ok {
		l.server.opts.Metrics.ConfigAck.RecordDuration(l.server.now() - at)
	}
}

// confirmThenAnswer confirms leadership by a read started after the request was
// received, and then answers it. This ensures that a restarted entry VM never
// gets a configuration older than one that it acknowledged before the restart.
func (l *loop) confirmThenAnswer(r *renewal) {
	number := l.term.number
	crash.Go(l.workers, func() {
		err := l.confirmedRead(holdTime(r.request))
		l.server.post(l.ctx, &confirmedRenewal{renewal: r, term: number, err: err})
	})
}

func (l *loop) onConfirmedRenewal(ev *confirmedRenewal) {
	if l.term == nil || l.term.number != ev.term || ev.err != nil {
		l.answerWithoutLease(ev.renewal)
		return
	}
	if !l.needsRegistration(ev.renewal.request.Entry) {
		l.answer(ev.renewal)
		return
	}
	l.proposeNext()
	if req := ev.renewal.request; req.ServesStale && req.Revision < l.term.config.Revision {
		// A gateway serves before it is registered; only the lease has to wait
		// for the registration.
		l.answerWithoutLease(ev.renewal)
		return
	}
	l.term.heldRenewals = append(l.term.heldRenewals, ev.renewal)
}

// answerDue reports whether a renewal should be answered now.
func (l *loop) answerDue(r *renewal) bool {
	t := l.term
	req := r.request
	if l.needsRegistration(req.Entry) {
		return false
	}
	now := l.server.now()
	switch {
	case !req.Synced, now >= r.received+holdTime(req), req.IsolatedHash != t.isolatedHash && now >= t.nextIsolatedAt(req.Entry.Id, l.configInterval()):
		return true
	case req.ServesStale:
		// Gateways do not use the accepted revision.
		return req.Revision < t.config.Revision && now >= t.nextConfigAt(req.Entry.Id, l.configInterval())
	default:
		return req.Revision < t.config.Revision || req.AcceptedRevision < t.tracker.AcceptedIn(req.Entry.Region)
	}
}

// configInterval returns the minimum interval between two configurations sent to a
// gateway. It grows with the number of entry VMs and with the time that answers take,
// so that many changes in a row are sent together and do not take up the CPU time of
// the leader and the gateways.
func (l *loop) configInterval() time.Duration {
	// Gateways that have just started renew before they are registered.
	n := max(len(l.term.config.Entries), len(l.term.reports))
	usual := min(time.Duration(n)*configIntervalPerEntry, maxConfigInterval)
	paced := time.Duration(float64(l.server.answers.costOf(n)) / answerShare)
	return max(usual, min(paced, maxPacedInterval))
}

// nextConfigAt returns the earliest time at which a gateway may be sent another
// configuration.
func (t *term) nextConfigAt(id string, interval time.Duration) time.Duration {
	report := t.reports[id]
	if report == nil || report.configSentAt == 0 {
		return 0
	}
	return report.configSentAt + interval
}

func holdTime(req *clusterpb.RenewRequest) time.Duration {
	return min(time.Duration(req.WaitMs)*time.Millisecond, maxRenewalHold)
}

// needsRegistration reports whether the entry VM is not registered as it
// describes itself.
func (l *loop) needsRegistration(e *catalogpb.Entry) bool {
	known := l.term.registered(e.Id)
	return known != e && !proto.Equal(known, e)
}

// answerDueRenewals answers the held renewals that are due.
func (l *loop) answerDueRenewals() { l.answerHeldRenewals(l.answerDue) }

// answerExpired answers the held renewals that are due or whose hold time has
// passed, and the waiters that are done.
func (l *loop) answerExpired() {
	now := l.server.now()
	l.answerHeldRenewals(func(r *renewal) bool { return now >= r.received+holdTime(r.request) || l.answerDue(r) })
	l.answerWaiters()
}

func (l *loop) answerHeldRenewals(ready func(*renewal) bool) {
	held := l.term.heldRenewals
	l.term.heldRenewals = nil
	for _, r := range held {
		if ready(r) {
			l.answer(r)
			continue
		}
		l.term.heldRenewals = append(l.term.heldRenewals, r)
	}
}

// answer responds with a lease, if one can be granted, and with what the entry
// VM is missing.
func (l *loop) answer(r *renewal) {
	t := l.term
	st := l.server.opts.Replica.Status()
	if !st.IsLeader || st.Term != t.number {
		l.answerWithoutLease(r)
		return
	}
	req := r.request
	resp := &clusterpb.RenewResponse{
		Revision:           t.config.Revision,
		AcceptedRevision:   t.tracker.AcceptedIn(req.Entry.Region),
		AcceptedEverywhere: t.tracker.Accepted(),
		Silent:             t.silentEntries(l.server.now()),
		Isolated:           t.isolated,
		IsolatedHash:       t.isolatedHash,
	}
	lastQuorum := l.lastQuorum(st)
	lease, ok := t.tracker.GrantLease(l.server.now(), r.received, lastQuorum, entryKey(req.Entry))
	t.restarts.recordSilent(resp.Silent)
	if ok {
		resp.LeaseMs = uint32(lease.Milliseconds())
		resp.Term, resp.AllRestarted = t.number, t.restarts.allRestarted()
		// A leader that has been replaced does not know of later commits.
		resp.NewestMs = floorMilliseconds(min(t.newestAt, lastQuorum) - r.received)
	}
	if !ok || req.Relayed {
		resp.LeaderAddress = st.LeaderAddress
	}
	l.addMissingConfig(resp, req, st)
	l.server.answers.send(r, resp)
}

// lastQuorum returns the time of the last heartbeat round that a quorum has
// answered. A round from before a suspension of the VM counts as one that was never
// answered: the monotonic clock stood still, so that it seems recent, while another
// replica may lead by now.
func (l *loop) lastQuorum(st Status) time.Duration {
	at := l.server.monotonic(st.LastQuorum)
	now := l.server.now()
	if stoodStill := l.server.bootTime() - now; stoodStill-l.stoodStill > minSuspension {
		l.stoodStill, l.wokeAt = stoodStill, now
	}
	if at < l.wokeAt {
		return neverAnswered
	}
	return at
}

// minSuspension is the shortest suspension of the VM that is noticed. Readings of
// the two clocks are taken within less time, unless the process was paused between
// them, which is harmless.
const minSuspension = 20 * time.Millisecond

// neverAnswered is earlier than any heartbeat round.
const neverAnswered = time.Duration(math.MinInt32) * time.Second

func floorMilliseconds(d time.Duration) int32 {
	return int32(math.Floor(float64(d) / float64(time.Millisecond)))
}

// addMissingConfig adds the configuration, as a delta if possible, and the
// addresses of the control VMs, if the entry VM needs them.
func (l *loop) addMissingConfig(resp *clusterpb.RenewResponse, req *clusterpb.RenewRequest, st Status) {
	t := l.term
	l.addConfig(resp, req, t.config)
	report := t.reports[req.Entry.Id]
	if !req.Synced || report == nil || report.responses%responsesPerAddressList == 0 {
		resp.ControlAddresses = memberAddresses(st)
	}
	if report != nil {
		report.responses++
		if req.IsolatedHash != t.isolatedHash {
			report.isolatedSentAt = l.server.now()
		}
		if resp.Delta != nil || resp.Config != nil || resp.PackedConfig != nil {
			report.configSentAt = l.server.now()
		}
	}
}

// addConfig adds cfg to the response to a request, if it is newer than the
// revision in the request: as a delta if that revision is retained, otherwise
// packed if the entry VM accepts that.
func (l *loop) addConfig(resp *clusterpb.RenewResponse, req *clusterpb.RenewRequest, cfg *catalogpb.Config) {
	if req.Revision >= cfg.Revision {
		return
	}
	u := l.server.history.update(req.Revision, cfg, req.AcceptsPackedState)
	if u.delta == nil && req.AcceptsPacked {
		// A configuration that cannot be encoded fails the response below as well.
		resp.PackedConfig, u, _ = l.server.history.pack(l.server.now(), cfg, req.AcceptsPackedState)
	}
	resp.Delta, resp.PackedStateDelta = u.delta, u.packedState
	if resp.Delta == nil && resp.PackedConfig == nil {
		resp.Config = cfg
	}
}

func memberAddresses(st Status) []string {
	list := make([]string, 0, len(st.Members))
	for _, m := range st.Members {
		list = append(list, m.Member.Address)
	}
	return list
}

// answerWithoutLease responds without a lease. The included configuration is
// committed, so the entry VM may use it, but it is not known to be the newest
// one.
func (l *loop) answerWithoutLease(r *renewal) {
	st := l.server.opts.Replica.Status()
	resp := &clusterpb.RenewResponse{ControlAddresses: memberAddresses(st)}
	if !st.IsLeader {
		resp.LeaderAddress = st.LeaderAddress
	}
	cfg := l.server.catalog.Config()
	if !l.withholdsConfig(r.request, st) {
		if r.request.Revision < cfg.Revision {
			resp.Revision = cfg.Revision
		}
		l.addConfig(resp, r.request, cfg)
	}
	l.server.answers.send(r, resp)
}
