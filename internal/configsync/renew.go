package configsync

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/catalog"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/event"
	"balsamcourse.example/balsamcourse/internal/httpnet"
	"balsamcourse.example/balsamcourse/internal/union"
)

const (
	// retryHoldTime is the longest time for which the leader may hold a renewal
	// open after a failure, when the next address should be tried soon.
	retryHoldTime = 300 * time.Millisecond
	// renewTimeoutMargin is the timeout of a renewal beyond the time for which
	// it may be held open, and the longest pause between two pieces of its answer.
	renewTimeoutMargin = 600 * time.Millisecond
	// maxRenewalTransfer bounds the time that an answer may take. The largest
	// configurations, some megabytes, take less over a link of 1.5 Mbit/s.
	maxRenewalTransfer = 30 * time.Second
	// retryInterval is the delay before the next renewal after one that failed.
	retryInterval = 150 * time.Millisecond
	// firstRetryInterval replaces retryInterval until the first configuration
	// has been received. It is shorter because callers are refused until then.
	firstRetryInterval = 40 * time.Millisecond
	// firstDialTimeout bounds the dialling of a control VM until the first
	// configuration has been received. After a loss of power, control VMs that are
	// not up yet do not refuse connections, and the next one may already answer.
	firstDialTimeout = 50 * time.Millisecond
	// minRenewInterval is the shortest interval between renewals that bring no
	// change.
	minRenewInterval = 200 * time.Millisecond
	// avoidDuration is the time for which an address that did not answer is
	// avoided.
	avoidDuration = 3 * time.Second
	// firstAvoidDuration replaces avoidDuration until the first lease. After a loss of
	// power, a control VM that did not answer yet may lead shortly afterwards.
	firstAvoidDuration = 200 * time.Millisecond
	// seedReloadFailures is the number of consecutive failures after which
	// Options.Seeds is called again.
	seedReloadFailures = 8
	// maxRelayedRenewals is the number of renewals through a relay after which
	// the leader is tried directly again.
	maxRelayedRenewals = 30
)

// renewalState is the state of the renewals, of which at most one is in flight.
type renewalState struct {
	running bool
	sentAt  time.Duration
	cancel  context.CancelFunc
	// number distinguishes the result of the current renewal from that of a
	// cancelled one.
	number           uint64
	nextAt           time.Duration
	failures         int
	leaderAddress    string
	controlAddresses []string
	// controlIndex selects, modulo the number of control VMs, the one to try
	// while the leader is not known.
	controlIndex int
	// membersKnown is set once an answer has named the control VMs.
	membersKnown bool
	// avoidUntil maps an address that did not answer to the time until which
	// it is avoided if there are others.
	avoidUntil map[string]time.Duration
	// peerIndex selects, modulo their number, the entry VM to try as a relay.
	peerIndex int
	// relayAddress is the entry VM that relays renewals, or "" if none does.
	relayAddress string
	// isolatedHash identifies the last list of isolated entry VMs.
	isolatedHash uint64
	// relayedRenewals counts the successful renewals through relayAddress.
	relayedRenewals int
	// firstLeaseTerm is the term of the first lease of this process, 0 before.
	firstLeaseTerm uint64
}

// renewalResult is the event of the end of a renewal.
type renewalResult struct {
	number uint64
	sentAt time.Duration
	// sentAtBoot is sentAt as a reading of Syncer.bootTime.
	sentAtBoot time.Duration
	address    string
	relayed    bool
	// wantsMembers is that of the request.
	wantsMembers bool
	resp         *clusterpb.RenewResponse
	err          error
}

func (l *loop) startRenewal() {
	r := &l.renew
	r.number++
	r.running = true
	req := l.renewRequest()
	address, relayed := l.renewalTarget()
	req.Relayed = relayed
	timeout := time.Duration(req.WaitMs)*time.Millisecond + renewTimeoutMargin
	ctx, cancel := context.WithTimeout(l.ctx, timeout+maxRenewalTransfer)
	if l.view == nil {
		ctx = httpnet.WithDialTimeout(ctx, firstDialTimeout)
	}
	r.cancel = cancel
	r.sentAt = l.syncer.now()
	ev := &renewalResult{number: r.number, sentAt: r.sentAt, sentAtBoot: l.syncer.bootTime(), address: address, relayed: relayed, wantsMembers: req.WantsMembers}
	crash.Go(l.workers, func() {
		defer cancel()
		stalled := time.AfterFunc(timeout, cancel)
		defer stalled.Stop()
		client := clusterpb.NewDistributionProtobufClient("http://"+address, progressClient{
			client:   l.syncer.opts.Client,
			progress: func() { stalled.Reset(renewTimeoutMargin) },
		})
		ev.resp, ev.err = client.Renew(ctx, req)
		l.syncer.post(ev)
	})
}

func (l *loop) cancelRenewal() {
	if l.renew.cancel != nil {
		l.renew.cancel()
	}
}

func (l *loop) renewRequest() *clusterpb.RenewRequest {
	req := &clusterpb.RenewRequest{
		Entry:              l.entryDescription(),
		Revision:           l.state.Revision(),
		Synced:             l.state.Synced(),
		AcceptedRevision:   l.state.AcceptedRevision(),
		ServesStale:        l.syncer.opts.ServesStale,
		AcceptsPacked:      true,
		AcceptsPackedState: true,
		AcceptsPackedDelta: true,
		Build:              l.syncer.build,
		WantsMembers:       l.view == nil && !l.renew.membersKnown,
		Isolated:           l.syncer.isolated.Load(),
		IsolatedHash:       l.renew.isolatedHash,
		FirstLeaseTerm:     l.renew.firstLeaseTerm,
		QuietMs:            uint32(l.syncer.sinceConfirmationGiven().Milliseconds()),
	}
	if evidence := l.syncer.opts.RolloutEvidence; evidence != nil {
		req.RolloutEvidence = evidence()
	}
	if convictions := l.syncer.opts.Convictions; convictions != nil {
		req.Convictions = convictions()
	}
	wait := l.syncer.opts.RenewInterval
	if l.renew.failures > 0 {
		wait = min(wait, retryHoldTime)
	}
	req.WaitMs = uint32(wait.Milliseconds())
	return req
}

// entryDescription returns the description of this entry VM for a renewal. It
// contains only the id and incarnation if the configuration already has the
// rest.
func (l *loop) entryDescription() *catalogpb.Entry {
	entry := proto.CloneOf(l.syncer.opts.Entry)
	entry.Leaving = l.leaving
	if l.view == nil || l.renew.failures > 0 || !proto.Equal(l.view.Entry(entry.Id), entry) {
		return entry
	}
	return &catalogpb.Entry{Id: entry.Id, Incarnation: entry.Incarnation}
}

// renewalTarget returns the address for the next renewal and whether it is that
// of a relay. A relay that works comes first, then the leader. Without either,
// control VMs are tried in turn, and every fourth attempt goes through an entry
// VM.
func (l *loop) renewalTarget() (address string, relayed bool) {
	r := &l.renew
	if r.relayAddress != "" {
		return r.relayAddress, true
	}
	if r.leaderAddress != "" {
		return r.leaderAddress, false
	}
	if r.failures%4 == 3 {
		if peer := l.nextPeerAddress(); peer != "" {
			return peer, true
		}
	}
	return l.nextControlAddress(), false
}

// nextControlAddress returns the address of the next control VM that is not
// avoided, or of any if all are; "" if no address is known.
func (l *loop) nextControlAddress() string {
	r := &l.renew
	for range r.controlAddresses {
		r.controlIndex++
		address := r.controlAddresses[r.controlIndex%len(r.controlAddresses)]
		if !l.isAvoided(address) {
			return address
		}
	}
	if len(r.controlAddresses) == 0 {
		return ""
	}
	return r.controlAddresses[r.controlIndex%len(r.controlAddresses)]
}

func (l *loop) avoidDuration() time.Duration {
	if !l.state.Synced() {
		return firstAvoidDuration
	}
	return avoidDuration
}

// hasUntriedControl reports whether there is a control VM that has not failed to answer
// recently.
func (l *loop) hasUntriedControl() bool {
	return slices.ContainsFunc(l.renew.controlAddresses, func(address string) bool { return !l.isAvoided(address) })
}

func (l *loop) isAvoided(address string) bool {
	return l.syncer.now() < l.renew.avoidUntil[address]
}

// forgetLeader clears the leader's address if it is the given one. It is called
// when that address did not answer or did not grant a lease.
func (l *loop) forgetLeader(address string) {
	if l.renew.leaderAddress == address {
		l.renew.leaderAddress = ""
		l.syncer.leaderAddress.Store(nil)
	}
}

// nextPeerAddress returns the address of the next entry VM to try as a relay,
// or "" if there is none.
func (l *loop) nextPeerAddress() string {
	peers := l.peerAddresses()
	if len(peers) == 0 {
		return ""
	}
	l.renew.peerIndex++
	return peers[l.renew.peerIndex%len(peers)]
}

func (l *loop) handleRenewalResult(ev *renewalResult) {
	r := &l.renew
	if ev.number != r.number {
		return
	}
	r.running = false
	if ev.err != nil {
		l.logFailure(ev, ev.err)
		// After a network partition, an open connection may never recover, or
		// only after a TCP retransmission. Closing it makes the next call open
		// a new one. What has silenced one connection may have silenced those to
		// the other control VMs, each of which would cost another timeout.
		l.syncer.opts.CloseConnections(ev.address)
		for _, address := range r.controlAddresses {
			l.syncer.opts.CloseConnections(address)
		}
		r.avoidUntil[ev.address] = l.syncer.now() + l.avoidDuration()
		l.forgetLeader(ev.address)
		l.handleRenewalFailure()
		if l.view == nil && l.hasUntriedControl() {
			r.nextAt = l.syncer.now()
			l.startRenewal()
		}
		return
	}
	l.syncer.lastControlContact.Store(int64(l.syncer.now()))
	if ev.resp.LeaderAddress == "" && ev.resp.LeaseMs > 0 && !ev.relayed {
		ev.resp.LeaderAddress = ev.address
	}
	delete(r.avoidUntil, ev.address)
	redirected := l.learnAddresses(ev.resp)
	if ev.resp.LeaseMs > 0 {
		l.syncer.silentEntries.Store(setOf(ev.resp.Silent))
		l.syncer.isolatedEntries.Store(setOf(ev.resp.Isolated))
		r.isolatedHash = ev.resp.IsolatedHash
		l.syncer.acceptedEverywhere.Store(max(l.syncer.acceptedEverywhere.Load(), ev.resp.AcceptedEverywhere))
	}
	changed := l.adoptResponse(ev)
	lease := time.Duration(ev.resp.LeaseMs) * time.Millisecond
	granted := l.state.RecordLease(ev.sentAt, lease, ev.resp.Revision)
	if granted {
		l.state.RecordNewest(ev.sentAtBoot, time.Duration(ev.resp.NewestMs)*time.Millisecond)
	}
	l.publishSnapshot()
	l.syncer.pause.recordRefresh(ev.sentAtBoot, granted)
	switch {
	case granted:
		l.handleLeaseGranted(ev, changed)
	case redirected, ev.wantsMembers && r.membersKnown:
		r.failures = 0
		r.nextAt = l.syncer.now()
	default:
		l.forgetLeader(ev.address)
		l.handleRenewalFailure()
	}
	if l.syncer.now() >= r.nextAt {
		l.startRenewal()
	}
}

// handleLeaseGranted calls the listeners and schedules the next renewal: at once if the answer brought
// a change, so that the leader learns that it has arrived.
func (l *loop) handleLeaseGranted(ev *renewalResult, changed bool) {
	if l.renew.firstLeaseTerm == 0 {
		l.renew.firstLeaseTerm = cmp.Or(ev.resp.Term, unknownTerm)
	}
	l.syncer.allRestarted.Store(ev.resp.AllRestarted)
	for _, f := range l.syncer.leaseListeners {
		f(l.syncer.startedAt.Add(ev.sentAt))
	}
	r := &l.renew
	r.failures = 0
	r.nextAt = l.syncer.now()
	if !changed {
		r.nextAt = max(r.nextAt, ev.sentAt+minRenewInterval)
	}
	if !ev.relayed {
		return
	}
	r.relayAddress = ev.address
	r.relayedRenewals++
	if r.relayedRenewals >= maxRelayedRenewals {
		r.relayAddress, r.relayedRenewals = "", 0
	}
}

// unknownTerm stands for the term of a leader of an older build, which does not state
// it.
const unknownTerm = math.MaxUint64

func (l *loop) handleRenewalFailure() {
	r := &l.renew
	r.failures++
	r.relayAddress, r.relayedRenewals = "", 0
	if seeds := l.syncer.opts.Seeds; seeds != nil && r.failures%seedReloadFailures == 0 {
		r.controlAddresses = union.Of(r.controlAddresses, seeds())
	}
	r.nextAt = l.syncer.now() + l.retryInterval()
}

func (l *loop) retryInterval() time.Duration {
	if l.view == nil {
		return firstRetryInterval
	}
	return retryInterval
}

// learnAddresses records the addresses of control VMs and of the leader in an
// answer. It reports whether they name another leader.
func (l *loop) learnAddresses(resp *clusterpb.RenewResponse) bool {
	r := &l.renew
	if len(resp.ControlAddresses) > 0 {
		// The configured addresses stay in the list: they may be newer than
		// those in the answer.
		r.controlAddresses = union.Of(resp.ControlAddresses, l.syncer.opts.ControlAddresses)
		if !r.membersKnown {
			// Entry VMs that start together know the same few control VMs, which
			// would have to send the first configuration to all of them.
			r.membersKnown = true
			rand.Shuffle(len(r.controlAddresses), func(i, j int) {
				r.controlAddresses[i], r.controlAddresses[j] = r.controlAddresses[j], r.controlAddresses[i]
			})
		}
	}
	if resp.LeaderAddress == "" || resp.LeaderAddress == r.leaderAddress || l.isAvoided(resp.LeaderAddress) {
		return false
	}
	r.leaderAddress = resp.LeaderAddress
	l.syncer.leaderAddress.Store(&resp.LeaderAddress)
	return true
}

// logFailure logs the first renewal of a series that failed. While all control
// VMs are down, the rest of the series would repeat it.
func (l *loop) logFailure(ev *renewalResult, err error) {
	if l.renew.failures > 0 {
		return
	}
	l.syncer.opts.Log.Log(event.RenewalFailed).Str("address", ev.address).Bool("relayed", ev.relayed).
		Uint64("after_ms", uint64((l.syncer.now()-ev.sentAt).Milliseconds())).Uint64("revision", l.state.Revision()).
		Err(err).Send()
}

// adoptResponse adopts the configuration and the accepted revision of an
// answer. It reports whether either was new.
func (l *loop) adoptResponse(ev *renewalResult) bool {
	revision, accepted := l.state.Revision(), l.state.AcceptedRevision()
	origin := configOrigin{via: "renewal", address: ev.address, delta: ev.resp.Config == nil && ev.resp.PackedConfig == nil, took: l.syncer.now() - ev.sentAt}
	cfg, err := l.configOf(ev.resp)
	if err != nil {
		l.logFailure(ev, err)
	}
	l.adoptAndNotify(cfg, ev.resp.AcceptedRevision, origin)
	return l.state.Revision() > revision || l.state.AcceptedRevision() > accepted
}

// configOf returns the configuration in the answer, with the answer's delta applied
// to it or, without one, to the current configuration. It returns nil if the
// answer contains neither, and an error if they cannot be decoded or applied.
func (l *loop) configOf(resp *clusterpb.RenewResponse) (*catalogpb.Config, error) {
	base := resp.Config
	if resp.PackedConfig != nil {
		unpacked, err := catalog.UnpackConfig(resp.PackedConfig)
		if err != nil {
			return nil, err
		}
		base = unpacked
	}
	delta := resp.Delta
	if resp.PackedDelta != nil {
		unpacked, err := catalog.UnpackDelta(resp.PackedDelta)
		if err != nil {
			return nil, err
		}
		delta = unpacked
	}
	if delta == nil {
		return base, nil
	}
	if base == nil {
		base = l.heldConfig()
	}
	if resp.PackedStateDelta != nil {
		complete, err := catalog.AddPackedStateDelta(delta, resp.PackedStateDelta)
		if err != nil {
			return nil, err
		}
		delta = complete
	}
	return catalog.Patch(base, delta)
}

// heldConfig returns the current configuration, which is empty before the first
// one has been received.
func (l *loop) heldConfig() *catalogpb.Config {
	if l.view == nil {
		return &catalogpb.Config{}
	}
	return l.view.Config
}
