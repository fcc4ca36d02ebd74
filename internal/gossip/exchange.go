package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// emptyStateHash is the hash of a detector without reports.
const emptyStateHash = 0

const (
	// maxComparedReports limits the reports that one comparison moves in each
	// direction, to about 12 kB: a comparison a second must leave room on links of
	// 1.5 Mbit/s.
	maxComparedReports = 64
	// maxComparedIDs limits the IDs that one comparison looks at, to 4 kB of
	// hashes beyond those of the last bucket.
	maxComparedIDs = 512
)

// aged returns a copy of a report with its age.
func aged(r *clusterpb.CrashReport, age time.Duration) *clusterpb.CrashReport {
	out := proto.CloneOf(r)
	out.AgeMs = uint32(age / time.Millisecond)
	return out
}

// compareWithRandomPeer drops expired reports, then compares hashes with one
// other entry VM and exchanges the reports in which they differ, at most
// maxComparedReports in each direction. An entry VM without reports stops asking
// after the first answer, because those that hold reports ask it.
func (s *Service) compareWithRandomPeer(ctx context.Context) {
	s.mu.Lock()
	s.detector.Expire(s.now())
	s.peers = s.selectPeers()
	peers := s.peers
	s.mu.Unlock()
	if len(peers) == 0 || s.gotAnswer && s.stateHash() == emptyStateHash {
		return
	}
	address := peers[rand.IntN(len(peers))].address
	answer := s.exchange(ctx, address, nil)
	s.gotAnswer = s.gotAnswer || answer != nil
	if answer == nil || answer.StateHash == s.stateHash() {
		return
	}
	s.mu.Lock()
	buckets := s.detector.BucketHashes()
	s.mu.Unlock()
	answer = s.call(ctx, address, &clusterpb.ExchangeRequest{BucketHashes: buckets})
	if answer == nil {
		return
	}
	s.mu.Lock()
	unknown, extra := s.detector.Compare(s.now(), answer.Buckets, answer.IdHashes, maxComparedReports)
	s.mu.Unlock()
	if len(unknown) > 0 || len(extra) > 0 {
		s.call(ctx, address, &clusterpb.ExchangeRequest{Crashes: extra, Wanted: unknown})
	}
}

func (s *Service) stateHash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Hash()
}

// exchange sends reports to one entry VM.
func (s *Service) exchange(ctx context.Context, address string, reports []*clusterpb.CrashReport) *clusterpb.ExchangeResponse {
	return s.call(ctx, address, &clusterpb.ExchangeRequest{Crashes: reports})
}

// call calls one entry VM and merges the reports that it returns. It returns
// nil if the call fails.
func (s *Service) call(ctx context.Context, address string, req *clusterpb.ExchangeRequest) *clusterpb.ExchangeResponse {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req.Entry, req.StateHash = s.opts.EntryID, s.stateHash()
	answer, err := clusterpb.NewGossipProtobufClient(address, s.opts.Client).Exchange(ctx, req)
	if err != nil {
		return nil
	}
	if len(answer.Crashes) > 0 {
		s.Merge(answer.Crashes)
	}
	return answer
}

// Exchange implements clusterpb.Gossip: it merges the reports of another entry
// VM, and answers with the reports that it wants and with the IDs of those in
// buckets that differ.
func (s *Service) Exchange(_ context.Context, in *clusterpb.ExchangeRequest) (*clusterpb.ExchangeResponse, error) {
	if len(in.Crashes) > 0 {
		s.Merge(in.Crashes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := &clusterpb.ExchangeResponse{
		StateHash: s.detector.Hash(),
		Crashes:   s.detector.Reports(s.now(), in.Wanted, maxComparedReports),
	}
	if len(in.BucketHashes) > 0 {
		out.Buckets, out.IdHashes = s.detector.DifferingBuckets(in.BucketHashes, maxComparedIDs)
	}
	return out, nil
}
