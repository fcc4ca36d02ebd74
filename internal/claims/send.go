package claims

import (
	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// send delivers a message; done gets the answer on some goroutine, which it
// must not block.
func (s *Service) send(m *clusterpb.ClaimMessage, done func(*clusterpb.ClaimMessage, error)) {
	if m.To == s.self.ID {
		s.mu.Lock()
		r := s.handle(m)
		s.mu.Unlock()
		done(r, nil)
		return
	}
	address, ok := s.entries.Load().addresses[m.To]
	if !ok {
		done(nil, errors.NotFoundf("address of entry VM %q", m.To))
		return
	}
	s.peer(address).send(pending{m, done})
}

// peer returns the sender to an address.
func (s *Service) peer(address string) *peer {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	p := s.peers[address]
	if p == nil {
		p = newPeer(address, s.opts.Client, s.spawn)
		s.peers[address] = p
	}
	return p
}

// spawn runs f on a goroutine that Run waits for. It reports false once Run has
// ended.
func (s *Service) spawn(f func()) bool {
	s.spawnMu.Lock()
	defer s.spawnMu.Unlock()
	if s.stopped {
		return false
	}
	s.calls.Go(f)
	return true
}

func (s *Service) shutDown() {
	s.spawnMu.Lock()
	s.stopped = true
	s.spawnMu.Unlock()
	close(s.stop)
	s.calls.Wait()
}
