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
	// confirmLead is the time before the end of the lease at which an entry VM
	// begins to ask the others.
	confirmLead = 1200 * time.Millisecond
	// lateAfter is the time beyond the longest hold after which a renewal is
	// late.
	lateAfter = 250 * time.Millisecond
	// confirmInterval is the pace at which it asks them.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout bounds one answer.
	confirmTimeout = 450 * time.Millisecond
	// confirmParallel bounds the calls in flight.
	confirmParallel = 32
)

// confirmState is the state of the rounds that ask other entry VMs.
type confirmState struct {
	next time.Duration
}

// peerAnswer is the answer of one entry VM.
type peerAnswer struct {
	from freshness.EntryKey
	sent time.Duration
	resp *clusterpb.ConfirmResponse
}

// confirmPeers starts a round when the lease is about to end. Confirmations
// that could not be used are not asked for, since they delay acceptance. An entry
// VM that is not registered in the configuration it holds asks as well: it may
// hold an old one, from a control VM without a quorum, and learns the newer one
// from the answers.
func (l *loop) confirmPeers(now time.Duration) {
	if at, ok := l.confirmDue(); !ok || now < at {
		return
	}
	l.confirm.next = now + confirmInterval
	l.askAll(l.peerKeys(), l.state.Revision())
}

// confirmDue returns when the next round is due as things stand: not before
// the lease is about to end, and only when the last renewal failed or the one
// under way takes longer than the leader may hold it.
func (l *loop) confirmDue() (time.Duration, bool) {
	r := &l.renew
	if l.syncer.opts.ServesStale || r.failures == 0 && !r.running {
		return 0, false
	}
	at := max(l.confirm.next, l.state.LeaseExpiry()-confirmLead)
	if r.failures == 0 {
		at = max(at, r.sent+l.syncer.opts.RenewInterval+lateAfter)
	}
	return at, true
}

// askAll asks all keys beside the loop.
func (l *loop) askAll(keys []freshness.EntryKey, revision uint64) {
	req := &clusterpb.ConfirmRequest{Entry: l.syncer.opts.Entry.Id, Revision: revision}
	crash.Go(l.workers, func() {
		p := pool.New().WithMaxGoroutines(confirmParallel)
		for _, key := range keys {
			p.Go(func() { l.ask(key, req) })
		}
		p.Wait()
	})
}

func (l *loop) ask(key freshness.EntryKey, req *clusterpb.ConfirmRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, confirmTimeout)
	defer cancel()
	sent := l.syncer.now()
	resp, err := l.syncer.client(key.ClusterAddress).Confirm(ctx, req)
	if err != nil {
		return
	}
	l.syncer.post(&peerAnswer{from: key, sent: sent, resp: resp})
}

func (l *loop) onPeerAnswer(ev *peerAnswer) {
	l.adopt(ev.resp.Config, 0)
	l.state.RecordConfirmation(ev.from, ev.sent, ev.resp.NewestRevision, ev.resp.Synced)
	l.publish()
}

// peerKeys returns the other registered entry VMs of the region, or those of the settings
// when no configuration is held.
func (l *loop) peerKeys() []freshness.EntryKey {
	self := l.syncer.self()
	var keys []freshness.EntryKey
	if l.view == nil {
		for _, address := range l.syncer.opts.PeerAddresses {
			keys = append(keys, freshness.EntryKey{ClusterAddress: address})
		}
		return keys
	}
	for _, key := range freshness.InRegion(keysOf(l.view.Config), self.Region) {
		if key != self {
			keys = append(keys, key)
		}
	}
	return keys
}

// peers returns the addresses of the other entry VMs.
func (l *loop) peers() []string {
	keys := l.peerKeys()
	addresses := make([]string, len(keys))
	for i, key := range keys {
		addresses[i] = key.ClusterAddress
	}
	return addresses
}
