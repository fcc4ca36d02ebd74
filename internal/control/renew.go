package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// maxHold bounds the time for which a renewal is held.
const maxHold = 2 * time.Second

const (
	// newsPacePerEntry is the pause between two configurations sent to a gateway,
	// for each registered one: sending one takes the leader about 0.5 ms of a
	// core, of which it has a quarter (grown sites, 191 gateways).
	newsPacePerEntry = time.Millisecond
	// maxNewsPace bounds that pause, well below the two seconds in which a change
	// must be in force.
	maxNewsPace = 400 * time.Millisecond
)

// addressesEvery is the number of answers to an entry VM after which the
// addresses of the control VMs are sent again.
const addressesEvery = 32

// renewal is a request of an entry VM on its way through the loop.
type renewal struct {
	request  *clusterpb.RenewRequest
	received time.Duration
	reply    chan *clusterpb.RenewResponse
}

// syncedRenewal is a renewal of an entry VM that is not synced, after the read
// that confirms the leadership of the term.
type syncedRenewal struct {
	renewal *renewal
	term    uint64
	err     error
}

// distribution serves entry VMs.
type distribution struct {
	server *Server
}

// Renew grants a lease and returns what the entry VM lacks.
func (d *distribution) Renew(ctx context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	if req.Entry.GetId() == "" {
		return nil, fault.ToTwirp(fault.New(fault.BadRequest, "the entry VM has no id"))
	}
	if req.Entry.ClusterAddress != "" {
		// One that cannot be registered would be proposed again and again.
		if err := catalog.CheckEntry(req.Entry); err != nil {
			return nil, fault.ToTwirp(err)
		}
	}
	r := &renewal{
		request:  req,
		received: d.server.now(),
		reply:    make(chan *clusterpb.RenewResponse, 1),
	}
	if d.server.post(ctx, r) {
		select {
		case resp := <-r.reply:
			return resp, nil
		case <-ctx.Done():
		case <-d.server.done:
		}
	}
	return nil, fault.ToTwirp(fault.New(fault.Leaving, "the control VM is stopping"))
}

// Confirm is answered by entry VMs only.
func (d *distribution) Confirm(context.Context, *clusterpb.ConfirmRequest) (*clusterpb.ConfirmResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "control VMs confirm nothing")
}

// Push is answered by entry VMs only.
func (d *distribution) Push(context.Context, *clusterpb.PushRequest) (*clusterpb.PushResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "control VMs take no configuration")
}

func (l *loop) onRenewal(r *renewal) {
	if l.term == nil {
		l.followRole(l.server.opts.Replica.Status())
	}
	if l.term == nil && l.confirming != 0 {
		l.early = append(l.early, r)
		return
	}
	if l.term == nil {
		l.redirect(r)
		return
	}
	if !l.term.complete(r.request) || !l.term.record(l.server.now(), r) {
		l.redirect(r)
		return
	}
	l.advance()
	if !r.request.Synced {
		l.sync(r)
		return
	}
	if l.due(r) {
		l.answer(r)
		return
	}
	l.term.held = append(l.term.held, r)
	if l.stale(r.request.Entry) {
		l.plan()
	}
}

// sync confirms leadership by a read begun after the request was received, so
// that the entry VM cannot be given a configuration older than one that it
// acknowledged before its restart.
func (l *loop) sync(r *renewal) {
	number := l.term.number
	crash.Go(l.workers, func() {
		err := l.confirmedRead(hold(r.request))
		l.server.post(l.ctx, &syncedRenewal{renewal: r, term: number, err: err})
	})
}

func (l *loop) onSynced(ev *syncedRenewal) {
	if l.term == nil || l.term.number != ev.term || ev.err != nil {
		l.redirect(ev.renewal)
		return
	}
	if !l.stale(ev.renewal.request.Entry) {
		l.answer(ev.renewal)
		return
	}
	l.plan()
	if req := ev.renewal.request; req.ServesStale && req.Revision < l.term.config.Revision {
		// It serves before it is registered; only the lease must wait for that.
		l.redirect(ev.renewal)
		return
	}
	l.term.held = append(l.term.held, ev.renewal)
}

// due reports whether there is something to tell at once.
func (l *loop) due(r *renewal) bool {
	t := l.term
	req := r.request
	if l.stale(req.Entry) {
		return false
	}
	now := l.server.now()
	switch {
	case !req.Synced, now >= r.received+hold(req):
		return true
	case req.ServesStale:
		// Gateways do not use what is accepted.
		return req.Revision < t.config.Revision && now >= t.nextNews(req.Entry.Id)
	default:
		return req.Revision < t.config.Revision || req.AcceptedRevision < t.tracker.AcceptedIn(req.Entry.Region)
	}
}

// nextNews is the earliest time for the next news to a gateway: at once when it
// has had none of late, otherwise after a pause that grows with their number, so
// that many changes in a row go out together and neither the leader nor the
// gateways spend their time on them.
func (t *term) nextNews(id string) time.Duration {
	h := t.heard[id]
	if h == nil || h.newsAt == 0 {
		return 0
	}
	return h.newsAt + min(time.Duration(len(t.config.Entries))*newsPacePerEntry, maxNewsPace)
}

func hold(req *clusterpb.RenewRequest) time.Duration {
	return min(time.Duration(req.WaitMs)*time.Millisecond, maxHold)
}

// stale reports whether the configuration does not have the entry VM as it
// reports itself.
func (l *loop) stale(e *catalogpb.Entry) bool {
	known := l.term.registered(e.Id)
	return known != e && !proto.Equal(known, e)
}

// flush answers the held renewals that are due.
func (l *loop) flush() { l.answerHeld(l.due) }

// expire answers the renewals that are due or whose time is over, and the
// waiters whose time is over.
func (l *loop) expire() {
	now := l.server.now()
	l.answerHeld(func(r *renewal) bool { return now >= r.received+hold(r.request) || l.due(r) })
	l.wake()
}

func (l *loop) answerHeld(ready func(*renewal) bool) {
	held := l.term.held
	l.term.held = nil
	for _, r := range held {
		if ready(r) {
			l.answer(r)
			continue
		}
		l.term.held = append(l.term.held, r)
	}
}

// answer grants a lease if it may and sends what the entry VM lacks.
func (l *loop) answer(r *renewal) {
	t := l.term
	st := l.server.opts.Replica.Status()
	if !st.IsLeader || st.Term != t.number {
		l.redirect(r)
		return
	}
	req := r.request
	resp := &clusterpb.RenewResponse{
		Revision:           t.config.Revision,
		AcceptedRevision:   t.tracker.AcceptedIn(req.Entry.Region),
		AcceptedEverywhere: t.tracker.Accepted(),
		Silent:             t.silent(l.server.now()),
	}
	lease, ok := t.tracker.Grant(l.server.now(), r.received, l.server.at(st.LastQuorum), keyOf(req.Entry))
	if ok {
		resp.LeaseMs = uint32(lease.Milliseconds())
	}
	if !ok || req.Relayed {
		resp.LeaderAddress = st.LeaderAddress
	}
	l.fill(resp, req, st)
	r.reply <- resp
}

// fill adds the configuration and the addresses that the entry VM lacks.
func (l *loop) fill(resp *clusterpb.RenewResponse, req *clusterpb.RenewRequest, st Status) {
	t := l.term
	if req.Revision < t.config.Revision {
		resp.Delta = t.history.delta(req.Revision)
	}
	if req.Revision < t.config.Revision && resp.Delta == nil {
		resp.Config = t.config
	}
	h := t.heard[req.Entry.Id]
	if !req.Synced || h == nil || h.answers%addressesEvery == 0 {
		resp.ControlAddresses = addresses(st)
	}
	if h != nil {
		h.answers++
		if resp.Delta != nil || resp.Config != nil {
			h.newsAt = l.server.now()
		}
	}
}

func addresses(st Status) []string {
	list := make([]string, 0, len(st.Members))
	for _, m := range st.Members {
		list = append(list, m.Member.Address)
	}
	return list
}

// redirect answers without a lease. The configuration it carries is committed,
// so that the entry VM may hold it, but says nothing about its freshness.
func (l *loop) redirect(r *renewal) {
	st := l.server.opts.Replica.Status()
	resp := &clusterpb.RenewResponse{ControlAddresses: addresses(st)}
	if !st.IsLeader {
		resp.LeaderAddress = st.LeaderAddress
	}
	cfg := l.server.catalog.Config()
	if r.request.Revision < cfg.Revision {
		resp.Config = cfg
		resp.Revision = cfg.Revision
	}
	r.reply <- resp
}
