package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// emptyStateHash is the hash of a detector without reports.
const emptyStateHash = 0

// collectBatch returns next and all other reports in the queue, with their ages
// set.
func (s *Service) collectBatch(next queuedReport) []*clusterpb.CrashReport {
	var batch []*clusterpb.CrashReport
	for {
		next.report.AgeMs = uint32((s.now() - next.createdAt) / time.Millisecond)
		batch = append(batch, next.report)
		select {
		case next = <-s.queue:
		default:
			return batch
		}
	}
}

// pushToAll sends reports to all other entry VMs.
func (s *Service) pushToAll(ctx context.Context, reports []*clusterpb.CrashReport) {
	p := pool.New().WithMaxGoroutines(maxConcurrentPushes)
	for _, address := range *s.peers.Load() {
		p.Go(func() { s.exchange(ctx, address, reports) })
	}
	p.Wait()
}

// compareWithRandomPeer drops expired reports, then exchanges reports with one
// other entry VM if the hashes differ. An entry VM without reports stops asking
// after the first answer, because those that hold reports ask it.
func (s *Service) compareWithRandomPeer(ctx context.Context) {
	s.mu.Lock()
	s.detector.Expire(s.now())
	s.mu.Unlock()
	peers := *s.peers.Load()
	if len(peers) == 0 || s.gotAnswer && s.stateHash() == emptyStateHash {
		return
	}
	address := peers[rand.IntN(len(peers))]
	answer := s.exchange(ctx, address, nil)
	s.gotAnswer = s.gotAnswer || answer != nil
	if answer == nil || answer.StateHash == s.stateHash() {
		return
	}
	s.mu.Lock()
	reports := s.detector.Reports(s.now())
	s.mu.Unlock()
	s.exchange(ctx, address, reports)
}

func (s *Service) stateHash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Hash()
}

// exchange calls one entry VM and merges the reports that it returns. It
// returns nil if the call fails.
func (s *Service) exchange(ctx context.Context, address string, reports []*clusterpb.CrashReport) *clusterpb.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := clusterpb.NewGossipProtobufClient(address, s.opts.Client)
	answer, err := client.Exchange(ctx, &clusterpb.ExchangeRequest{Entry: s.opts.EntryID, Crashes: reports, StateHash: s.stateHash()})
	if err != nil {
		return nil
	}
	if len(answer.Crashes) > 0 {
		s.merge(answer.Crashes)
	}
	return answer
}

// Exchange implements clusterpb.Gossip: it merges the reports of another entry
// VM. A request without reports but with another hash is answered with all
// reports.
func (s *Service) Exchange(_ context.Context, in *clusterpb.ExchangeRequest) (*clusterpb.ExchangeResponse, error) {
	if len(in.Crashes) > 0 {
		s.merge(in.Crashes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &clusterpb.ExchangeResponse{StateHash: s.detector.Hash()}
	if len(in.Crashes) == 0 && in.StateHash != out.StateHash {
		out.Crashes = s.detector.Reports(s.now())
	}
	return out, nil
}
