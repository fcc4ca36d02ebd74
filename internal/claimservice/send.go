package claimservice

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// send sends a message to the member m.To, which may be this process. done is
// called once with the reply or an error, possibly on another goroutine, and must
// not block.
func (s *Service) send(m *clusterpb.ClaimMessage, done func(*clusterpb.ClaimMessage, error)) {
	if m.To == s.self.ID {
		s.mu.Lock()
		r := s.handle(m)
		s.mu.Unlock()
		done(r, nil)
		return
	}
	address, ok := s.entryVMs.Load().addresses[m.To]
	if !ok {
		done(nil, errors.NotFoundf("address of entry VM %q", m.To))
		return
	}
	s.peerAt(address).send(queuedMessage{m, done})
}

// peerAt returns the peer for a cluster address, and creates it if necessary.
func (s *Service) peerAt(address string) *peer {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	p := s.peers[address]
	if p == nil {
		p = newPeer(address, s.opts.Client, s.spawn)
		s.peers[address] = p
	}
	return p
}

// spawn runs f on a goroutine that Run waits for. It returns false, without running
// f, once the service is shutting down.
func (s *Service) spawn(f func()) bool {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.stopped {
		return false
	}
	s.goroutines.Go(f)
	return true
}

// shutDown stops retries and waits for the goroutines of the service.
func (s *Service) shutDown() {
	s.spawnMu.Lock()
	s.stopped = true
	s.spawnMu.Unlock()
	close(s.stop)
	s.goroutines.Wait()
}
