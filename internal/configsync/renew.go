package configsync

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/union"
)

const (
	// probeHoldTime is the time for which a renewal may be held after a
	// failure, when the next address should be tried soon.
	probeHoldTime = 300 * time.Millisecond
	// callTimeout bounds a call beyond the time it may be held.
	callTimeout = 600 * time.Millisecond
	// retryInterval is the pause after an answer without a lease.
	retryInterval = 150 * time.Millisecond
	// firstRetryInterval is that pause while no configuration is held: callers
	// are refused until there is one.
	firstRetryInterval = 40 * time.Millisecond
	// minInterval bounds the pace of renewals that bring nothing new.
	minInterval = 200 * time.Millisecond
	// avoidTime is the time for which an address that did not answer is left
	// out.
	avoidTime = 3 * time.Second
	// seedsAfter is the number of failures in a row after which the seeds of the
	// settings are read again.
	seedsAfter = 8
	// maxRelayUses is the number of renewals through a relay after which the
	// leader is tried again directly.
	maxRelayUses = 30
)

// renewState is the state of renewals. One is under way at a time.
type renewState struct {
	running bool
	sent    time.Duration
	cancel  context.CancelFunc
	// number tells the answer to the current renewal from that of a cancelled
	// one.
	number   uint64
	next     time.Duration
	failures int
	leader   string
	control  []string
	// tried counts the control VMs tried while no leader is known.
	tried int
	// avoid holds the times until which addresses that did not answer are left
	// out while there are others.
	avoid map[string]time.Duration
	// peer counts the entry VMs tried as relays.
	peer int
	// relay is the entry VM that relays at present, or "".
	relay string
	// relayUses counts the renewals through it.
	relayUses int
}

// renewed is the end of a renewal.
type renewed struct {
	number  uint64
	sent    time.Duration
	address string
	relayed bool
	resp    *clusterpb.RenewResponse
	err     error
}

func (l *loop) startRenewal() {
	r := &l.renew
	r.number++
	r.running = true
	req := l.renewRequest()
	address, relayed := l.target()
	req.Relayed = relayed
	timeout := time.Duration(req.WaitMs)*time.Millisecond + callTimeout
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	r.cancel = cancel
	r.sent = l.syncer.now()
	ev := &renewed{number: r.number, sent: r.sent, address: address, relayed: relayed}
	crash.Go(l.workers, func() {
		defer cancel()
		ev.resp, ev.err = l.syncer.client(address).Renew(ctx, req)
		l.syncer.post(ev)
	})
}

func (l *loop) stopRenewal() {
	if l.renew.cancel != nil {
		l.renew.cancel()
	}
}

func (l *loop) renewRequest() *clusterpb.RenewRequest {
	req := &clusterpb.RenewRequest{
		Entry:            l.describe(),
		Revision:         l.state.Revision(),
		Synced:           l.state.Synced(),
		AcceptedRevision: l.state.AcceptedRevision(),
		ServesStale:      l.syncer.opts.ServesStale,
		QuietMs:          uint32(l.syncer.quiet().Milliseconds()),
	}
	wait := l.syncer.opts.RenewInterval
	if l.renew.failures > 0 {
		wait = min(wait, probeHoldTime)
	}
	req.WaitMs = uint32(wait.Milliseconds())
	return req
}

// describe returns the description of this entry VM: the whole one unless the
// configuration already has it.
func (l *loop) describe() *catalogpb.Entry {
	entry := proto.CloneOf(l.syncer.opts.Entry)
	entry.Leaving = l.leaving
	if l.view == nil || l.renew.failures > 0 || !proto.Equal(l.view.Entry(entry.Id), entry) {
		return entry
	}
	return &catalogpb.Entry{Id: entry.Id, Incarnation: entry.Incarnation}
}

// target returns the address for the next renewal: a relay that worked, or the
// leader, or, as failures go on, the control VMs in turn and entry VMs that
// relay.
func (l *loop) target() (address string, relayed bool) {
	r := &l.renew
	if r.relay != "" {
		return r.relay, true
	}
	if r.leader != "" {
		return r.leader, false
	}
	if r.failures%4 == 3 {
		if peer := l.nextPeer(); peer != "" {
			return peer, true
		}
	}
	return l.nextControl(), false
}

// nextControl returns the address of a control VM, one that answered of late
// if there is any.
func (l *loop) nextControl() string {
	r := &l.renew
	for range r.control {
		r.tried++
		address := r.control[r.tried%len(r.control)]
		if !l.avoided(address) {
			return address
		}
	}
	if len(r.control) == 0 {
		return ""
	}
	return r.control[r.tried%len(r.control)]
}

func (l *loop) avoided(address string) bool {
	return l.syncer.now() < l.renew.avoid[address]
}

// forgetLeader is called when the address did not answer or did not lead.
func (l *loop) forgetLeader(address string) {
	if l.renew.leader == address {
		l.renew.leader = ""
		l.syncer.leader.Store(nil)
	}
}

// nextPeer returns the address of another entry VM, or "".
func (l *loop) nextPeer() string {
	peers := l.peers()
	if len(peers) == 0 {
		return ""
	}
	l.renew.peer++
	return peers[l.renew.peer%len(peers)]
}

func (l *loop) onRenewed(ev *renewed) {
	r := &l.renew
	if ev.number != r.number {
		return
	}
	r.running = false
	if ev.err != nil {
		// The connection may be silent for good, or wait for the retransmission
		// timer of a cut that has healed: the next call opens another one.
		l.syncer.opts.Client.CloseIdleConnections()
		r.avoid[ev.address] = l.syncer.now() + avoidTime
		l.forgetLeader(ev.address)
		l.renewalFailed()
		return
	}
	l.syncer.heard.Store(int64(l.syncer.now()))
	if ev.resp.LeaderAddress == "" && ev.resp.LeaseMs > 0 && !ev.relayed {
		ev.resp.LeaderAddress = ev.address
	}
	redirected := l.learnAddresses(ev.resp)
	if ev.resp.LeaseMs > 0 {
		l.syncer.silent.Store(&ev.resp.Silent)
		l.syncer.everywhere.Store(max(l.syncer.everywhere.Load(), ev.resp.AcceptedEverywhere))
	}
	news := l.apply(ev.resp)
	lease := time.Duration(ev.resp.LeaseMs) * time.Millisecond
	granted := l.state.RecordLease(ev.sent, lease, ev.resp.Revision)
	l.publish()
	switch {
	case granted:
		l.renewalGranted(ev, news)
	case redirected:
		r.failures = 0
		r.next = l.syncer.now()
	default:
		l.forgetLeader(ev.address)
		l.renewalFailed()
	}
	if l.syncer.now() >= r.next {
		l.startRenewal()
	}
}

// renewalGranted sets the next renewal: at once after news, so that the leader
// learns that they have arrived.
func (l *loop) renewalGranted(ev *renewed, news bool) {
	r := &l.renew
	r.failures = 0
	r.next = l.syncer.now()
	if !news {
		r.next = max(r.next, ev.sent+minInterval)
	}
	if !ev.relayed {
		return
	}
	r.relay = ev.address
	r.relayUses++
	if r.relayUses >= maxRelayUses {
		r.relay, r.relayUses = "", 0
	}
}

func (l *loop) renewalFailed() {
	r := &l.renew
	r.failures++
	r.relay, r.relayUses = "", 0
	if seeds := l.syncer.opts.Seeds; seeds != nil && r.failures%seedsAfter == 0 {
		r.control = union.Of(r.control, seeds())
	}
	r.next = l.syncer.now() + l.retryInterval()
}

func (l *loop) retryInterval() time.Duration {
	if l.view == nil {
		return firstRetryInterval
	}
	return retryInterval
}

// learnAddresses reports whether the answer names another leader.
func (l *loop) learnAddresses(resp *clusterpb.RenewResponse) bool {
	r := &l.renew
	if len(resp.ControlAddresses) > 0 {
		// The given ones stay: they may be newer than what this VM was told.
		r.control = union.Of(resp.ControlAddresses, l.syncer.opts.ControlAddresses)
	}
	if resp.LeaderAddress == "" || resp.LeaderAddress == r.leader || l.avoided(resp.LeaderAddress) {
		return false
	}
	r.leader = resp.LeaderAddress
	l.syncer.leader.Store(&resp.LeaderAddress)
	return true
}

// apply takes in the configuration and the accepted revision of an answer. It
// reports whether either was new.
func (l *loop) apply(resp *clusterpb.RenewResponse) bool {
	revision, accepted := l.state.Revision(), l.state.AcceptedRevision()
	l.adopt(l.configOf(resp), resp.AcceptedRevision)
	return l.state.Revision() > revision || l.state.AcceptedRevision() > accepted
}

// configOf returns the configuration in the answer, or nil.
func (l *loop) configOf(resp *clusterpb.RenewResponse) *catalogpb.Config {
	if resp.Config != nil || resp.Delta == nil {
		return resp.Config
	}
	base := &catalogpb.Config{}
	if l.view != nil {
		base = l.view.Config
	}
	cfg, err := catalog.Patch(base, resp.Delta)
	if err != nil {
		return nil
	}
	return cfg
}
