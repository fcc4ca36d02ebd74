package gossip

import (
	"context"
	"maps"
	"slices"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Reports spread over a fixed graph in which each VM pushes to Options.Fanout others
// and forwards what is new to it. The VMs, in the order of their IDs, form a
// generalized de Bruijn graph: any of them is reached over at most
// log(VMs)/log(Fanout) others, rounded up, and the connections and messages of a VM
// do not grow with the number of VMs.

// successors returns the indices of the VMs that VM number self of n pushes to.
func successors(self, n, fanout int) []int {
	var out []int
	for j := range min(fanout, n-1) {
		next := (self*fanout + j) % n
		// A VM that would push to itself pushes to the next one.
		for next == self || slices.Contains(out, next) {
			next = (next + 1) % n
		}
		out = append(out, next)
	}
	return out
}

// peer is another VM that reports are pushed to. Its fields are guarded by
// Service.mu.
type peer struct {
	address string
	// pending holds the reports that have not been sent, busy is set while they are
	// being sent.
	pending []queuedReport
	busy    bool
}

// selectPeers returns the VMs to push to, by their addresses. Those that pushes went to
// before are kept with what is pending. The caller holds mu.
func (s *Service) selectPeers() []*peer {
	addresses := s.members
	if s.opts.Fanout > 0 {
		addresses = s.chooseSuccessors()
	}
	peers := make([]*peer, 0, len(addresses))
	for _, m := range addresses {
		i := slices.IndexFunc(s.peers, func(p *peer) bool { return p.address == m.address })
		if i >= 0 {
			peers = append(peers, s.peers[i])
		} else {
			peers = append(peers, &peer{address: m.address})
		}
	}
	return peers
}

// chooseSuccessors returns the successors of this VM among those that respond. The
// caller holds mu.
func (s *Service) chooseSuccessors() []member {
	now := s.now()
	live := slices.DeleteFunc(slices.Clone(s.members), func(m member) bool {
		return now < s.avoidUntil[m.address] || s.opts.Reachable != nil && !s.opts.Reachable(m.id)
	})
	if len(live) == 0 {
		return nil
	}
	self, _ := slices.BinarySearchFunc(live, s.opts.EntryID, func(m member, id string) int { return compareIDs(m.id, id) })
	var out []member
	for _, i := range successors(self, len(live)+1, s.opts.Fanout) {
		// live lacks this VM.
		if i > self {
			i--
		}
		out = append(out, live[i])
	}
	return out
}

// push sends reports to the peers of this VM, after those that are pending.
func (s *Service) push(reports []queuedReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = s.selectPeers()
	for _, p := range s.peers {
		s.pushTo(p, reports)
	}
}

// pushTo sends reports to one peer. The caller holds mu.
func (s *Service) pushTo(p *peer, reports []queuedReport) {
	p.pending = append(p.pending, reports...)
	if excess := len(p.pending) - maxPending; excess > 0 {
		p.pending = slices.Delete(p.pending, 0, excess)
	}
	if !p.busy {
		p.busy = true
		go s.sendPending(p)
	}
}

// sendPending sends the pending reports of a peer until there are none. Reports that
// do not arrive reach it by comparison.
func (s *Service) sendPending(p *peer) {
	for {
		s.mu.Lock()
		batch := p.pending
		p.pending = nil
		p.busy = len(batch) > 0
		ctx := s.running
		s.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		s.slots <- struct{}{}
		answer := s.exchange(ctx, p.address, s.withAges(batch))
		<-s.slots
		if answer == nil && s.opts.Fanout > 0 {
			s.pushInstead(p, batch)
		}
	}
}

// avoidDuration is the time for which nothing is pushed to a VM that did not answer. By
// then control reports it as silent.
const avoidDuration = 3 * time.Second

// pushInstead pushes reports that did not arrive to the VMs that take the place of the
// peer.
func (s *Service) pushInstead(p *peer, reports []queuedReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.avoidUntil[p.address] = now + avoidDuration
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Duration) bool { return now >= until })
	before := s.peers
	s.peers = s.selectPeers()
	for _, other := range s.peers {
		if !slices.Contains(before, other) {
			s.pushTo(other, reports)
		}
	}
}

// withAges returns copies of the reports with their ages.
func (s *Service) withAges(queued []queuedReport) []*clusterpb.CrashReport {
	now := s.now()
	out := make([]*clusterpb.CrashReport, 0, len(queued))
	for _, q := range queued {
		out = append(out, aged(q.report, now-q.createdAt))
	}
	return out
}

// flushed reports whether nothing is pending. It may say so of reports that have not
// arrived at a VM that does not answer.
func (s *Service) flushed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.peers, func(p *peer) bool { return p.busy })
}

// Flush waits until the push of all reports made so far is complete; entry VMs
// that do not answer are not waited for beyond the timeout of a call. It
// returns the error of ctx if ctx ends first. Run must be running.
func (s *Service) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushPollInterval)
	defer ticker.Stop()
	for !s.flushed() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
