package configsync

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/freshness"
)

const (
	// confirmBeforeExpiry is the time before the end of the lease at which an
	// entry VM begins to ask the others for confirmation.
	confirmBeforeExpiry = 1200 * time.Millisecond
	// renewalGrace is the time that a renewal may take beyond RenewInterval
	// before it counts as late.
	renewalGrace = 250 * time.Millisecond
	// confirmInterval is the time between two rounds of confirmations.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout is the timeout of one confirmation call.
	confirmTimeout = 450 * time.Millisecond
	// maxConfirmCalls is the maximum number of concurrent confirmation calls in
	// a round.
	maxConfirmCalls = 32
)

// confirmationState is the state of the confirmation rounds.
type confirmationState struct {
	nextRound time.Duration
}

// confirmationAnswer is the event that an entry VM has answered a confirmation
// call.
type confirmationAnswer struct {
	from   freshness.EntryKey
	sentAt time.Duration
	resp   *clusterpb.ConfirmResponse
}

// startConfirmationRound asks the other entry VMs for confirmation if a round
// is due. It does not ask for confirmations that it could not use, because
// every confirmation that an entry VM gives delays the acceptance of changes.
//
// An entry VM that is missing from the configuration it holds asks as well:
// that configuration may be an old one from a control VM without a quorum, and
// the answers carry the newer one.
func (l *loop) startConfirmationRound(now time.Duration) {
	if at, ok := l.nextConfirmationRound(); !ok || now < at {
		return
	}
	l.confirm.nextRound = now + confirmInterval
	l.requestConfirmations(l.peerKeys(), l.state.Revision())
}

// nextConfirmationRound returns the time at which the next round is due, and
// false if none is. A round is due only shortly before the lease ends, and only
// if the last renewal failed or the one in flight is late.
func (l *loop) nextConfirmationRound() (time.Duration, bool) {
	r := &l.renew
	if l.syncer.opts.ServesStale || r.failures == 0 && !r.running {
		return 0, false
	}
	at := max(l.confirm.nextRound, l.state.LeaseExpiry()-confirmBeforeExpiry)
	if r.failures == 0 {
		at = max(at, r.sentAt+l.syncer.opts.RenewInterval+renewalGrace)
	}
	return at, true
}

// requestConfirmations asks the entry VMs in the background; the answers arrive
// as events.
func (l *loop) requestConfirmations(keys []freshness.EntryKey, revision uint64) {
	req := &clusterpb.ConfirmRequest{Entry: l.syncer.opts.Entry.Id, Revision: revision}
	crash.Go(l.workers, func() {
		p := pool.New().WithMaxGoroutines(maxConfirmCalls)
		for _, key := range keys {
			p.Go(func() { l.requestConfirmation(key, req) })
		}
		p.Wait()
	})
}

func (l *loop) requestConfirmation(key freshness.EntryKey, req *clusterpb.ConfirmRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
	defer cancel()
	sent := l.syncer.now()
	resp, err := l.syncer.client(key.ClusterAddress).Confirm(ctx, req)
	if err != nil {
		return
	}
	l.syncer.post(&confirmationAnswer{from: key, sentAt: sent, resp: resp})
}

func (l *loop) handleConfirmation(ev *confirmationAnswer) {
	l.adoptAndNotify(ev.resp.Config, 0, configOrigin{via: "confirmation", address: ev.from.ClusterAddress, took: l.syncer.now() - ev.sentAt})
	l.state.RecordConfirmation(ev.from, ev.sentAt, ev.resp.NewestRevision, ev.resp.Synced)
	l.publishSnapshot()
}

// peerKeys returns the other registered entry VMs of the region, or those of
// Options.PeerAddresses if there is no configuration yet.
func (l *loop) peerKeys() []freshness.EntryKey {
	self := l.syncer.self()
	var keys []freshness.EntryKey
	if l.view == nil {
		for _, address := range l.syncer.opts.PeerAddresses {
			keys = append(keys, freshness.EntryKey{ClusterAddress: address})
		}
		return keys
	}
	for _, key := range freshness.InRegion(entryKeys(l.view.Config), self.Region) {
		if key != self {
			keys = append(keys, key)
		}
	}
	return keys
}

// peerAddresses returns the cluster addresses of the entry VMs in peerKeys.
func (l *loop) peerAddresses() []string {
	keys := l.peerKeys()
	addresses := make([]string, len(keys))
	for i, key := range keys {
		addresses[i] = key.ClusterAddress
	}
	return addresses
}
