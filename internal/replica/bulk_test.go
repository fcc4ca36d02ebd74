package replica

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// slowPeer is a replica that does not answer a large amount of log data until release
// is closed.
type slowPeer struct {
	release chan struct{}
	mu      sync.Mutex
	// rounds and indices hold those of the heartbeats and of the entries that have
	// arrived.
	rounds, indices []uint64
}

func (p *slowPeer) Send(_ context.Context, b *clusterpb.ConsensusBatch) (*clusterpb.ConsensusAck, error) {
	if dataBytes(b.Messages) >= bulkBytes {
		<-p.release
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range b.Messages {
		if len(m.Entries) == 0 {
			p.rounds = append(p.rounds, m.Round)
		}
		for _, e := range m.Entries {
			p.indices = append(p.indices, e.Index)
		}
	}
	return &clusterpb.ConsensusAck{}, nil
}

func (p *slowPeer) arrived() (rounds, indices []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64(nil), p.rounds...), append([]uint64(nil), p.indices...)
}

// TestHeartbeatsDoNotWaitForLargeEntries guards against a leader that loses its
// leadership because its heartbeats wait behind a large entry. Entries that follow must
// not overtake it.
func TestHeartbeatsDoNotWaitForLargeEntries(t *testing.T) {
	peer := &slowPeer{release: make(chan struct{})}
	l := listen(t)
	server := newServer(nil, nil)
	server.Handler = clusterpb.NewConsensusServer(peer)
	go server.Serve(l)
	defer server.Close()
	transport := NewTwirpTransport(1, nil)
	defer transport.Close()
	to := memberAt(2, l)
	send := func(round uint64, entries ...*clusterpb.LogEntry) {
		transport.Send(to, []*clusterpb.ConsensusMessage{{
			Kind: clusterpb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Round: round, Entries: entries,
		}})
	}
	send(1)
	send(2, &clusterpb.LogEntry{Index: 1, Data: make([]byte, bulkBytes)})
	send(3)
	send(4, &clusterpb.LogEntry{Index: 2, Data: []byte("small")})
	send(5)
	waitFor(t, func() bool {
		rounds, _ := peer.arrived()
		return len(rounds) == 3
	}, "heartbeats beside a large entry")
	_, indices := peer.arrived()
	assert.Equal(t, len(indices), 0)
	close(peer.release)
	waitFor(t, func() bool {
		_, indices := peer.arrived()
		return len(indices) == 2
	}, "entries")
	_, indices = peer.arrived()
	assert.DeepEqual(t, indices, []uint64{1, 2})
}

// TestResponsesLeaveLargeEntriesToTheSender guards against a large entry that travels in
// a response, for which the other replica's messages would wait.
func TestResponsesLeaveLargeEntriesToTheSender(t *testing.T) {
	large := &clusterpb.ConsensusMessage{Entries: []*clusterpb.LogEntry{{Index: 1, Data: make([]byte, bulkBytes)}}}
	heartbeat := &clusterpb.ConsensusMessage{Round: 1}
	for _, address := range []string{"", "known"} {
		q := newPeerQueue()
		q.beginResponse()
		q.enqueue(address, []*clusterpb.ConsensusMessage{large, heartbeat})
		got := q.awaitResponse(context.Background())
		if address == "" {
			// It can travel in no other way.
			assert.Equal(t, len(got), 2)
			continue
		}
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0], heartbeat)
		_, bulk, _ := q.dequeue()
		assert.Equal(t, len(bulk), 1)
	}
}
