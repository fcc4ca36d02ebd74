package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// noEvidence is the hash of a state without reports.
const noEvidence = 0

// gather returns the report and all others that wait.
func (s *Service) gather(next fresh) []*clusterpb.CrashReport {
	var batch []*clusterpb.CrashReport
	for {
		next.report.AgeMs = uint32((s.now() - next.at) / time.Millisecond)
		batch = append(batch, next.report)
		select {
		case next = <-s.queue:
		default:
			return batch
		}
	}
}

// push sends reports to all other entry VMs.
func (s *Service) push(ctx context.Context, reports []*clusterpb.CrashReport) {
	p := pool.New().WithMaxGoroutines(maxPushes)
	for _, address := range *s.peers.Load() {
		p.Go(func() { s.exchange(ctx, address, reports) })
	}
	p.Wait()
}

// compare exchanges evidence with one other entry VM. One that holds none stays
// silent once it has asked somebody: those that hold some ask it.
func (s *Service) compare(ctx context.Context) {
	s.mu.Lock()
	s.state.Expire(s.now())
	s.show()
	s.mu.Unlock()
	peers := *s.peers.Load()
	if len(peers) == 0 || s.asked && s.hash() == noEvidence {
		return
	}
	address := peers[rand.IntN(len(peers))]
	answer := s.exchange(ctx, address, nil)
	s.asked = s.asked || answer != nil
	if answer == nil || answer.StateHash == s.hash() {
		return
	}
	s.mu.Lock()
	reports := s.state.Reports(s.now())
	s.mu.Unlock()
	s.exchange(ctx, address, reports)
}

func (s *Service) hash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Hash()
}

// exchange calls one entry VM and takes in what it returns; nil on failure.
func (s *Service) exchange(ctx context.Context, address string, reports []*clusterpb.CrashReport) *clusterpb.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := clusterpb.NewGossipProtobufClient(address, s.opts.Client)
	answer, err := client.Exchange(ctx, &clusterpb.ExchangeRequest{Entry: s.opts.EntryID, Crashes: reports, StateHash: s.hash()})
	if err != nil {
		return nil
	}
	if len(answer.Crashes) > 0 {
		s.merge(answer.Crashes)
	}
	return answer
}

// Exchange implements clusterpb.Gossip.
func (s *Service) Exchange(_ context.Context, in *clusterpb.ExchangeRequest) (*clusterpb.ExchangeResponse, error) {
	if len(in.Crashes) > 0 {
		s.merge(in.Crashes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &clusterpb.ExchangeResponse{StateHash: s.state.Hash()}
	if len(in.Crashes) == 0 && in.StateHash != out.StateHash {
		out.Crashes = s.state.Reports(s.now())
	}
	return out, nil
}
