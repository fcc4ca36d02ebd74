package replica

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// countingRoundTripper counts the bytes of request bodies.
type countingRoundTripper struct {
	next  http.RoundTripper
	bytes *atomic.Int64
}

func (c countingRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	c.bytes.Add(r.ContentLength)
	return c.next.RoundTrip(r)
}

// TestLargeEntryIsSentCompressed guards against incident inc2: a leader sent
// each large desired state uncompressed to all other control VMs.
func TestLargeEntryIsSentCompressed(t *testing.T) {
	t.Parallel()
	var sent atomic.Int64
	replicas := startGroupWith(t, 3, func(id uint64) Options {
		client := NewHTTPClient()
		client.Transport = countingRoundTripper{client.Transport, &sent}
		return Options{Transport: NewTwirpTransport(id, client)}
	})
	commitAtLeader(t, testContext(t), replicas, []byte("small"))
	data := bytes.Repeat([]byte("a route of the desired state "), 20_000)
	_, index := commitAtLeader(t, testContext(t), replicas, data)
	for _, r := range replicas {
		waitForApplied(t, r, index)
	}
	for _, r := range replicas {
		r.stop()
		assert.Assert(t, bytes.Equal(r.machine.rows[index%uint64(len(r.machine.rows))], data))
	}
	assert.Assert(t, sent.Load() < int64(len(data)), "%d bytes sent, the entry has %d", sent.Load(), len(data))
}

// appendOf returns an append message to a replica with an entry.
func appendOf(to uint64, e *clusterpb.LogEntry) *clusterpb.ConsensusMessage {
	return &clusterpb.ConsensusMessage{
		Kind: clusterpb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: to, Term: 2, LogIndex: 4, LogTerm: 1, Commit: 3, Round: 7,
		FromDisk: 11, ToDisk: 12, Entries: []*clusterpb.LogEntry{{Term: 1, Index: 5, Data: []byte("small")}, e},
	}
}

func TestLargeEntryIsCompressedOnceForAllReplicas(t *testing.T) {
	data := bytes.Repeat([]byte("a route of the desired state "), 10_000)
	e := &clusterpb.LogEntry{Term: 2, Index: 6, Data: data}
	transport := NewTwirpTransport(1, nil)
	defer transport.Close()
	var first *clusterpb.LogEntry
	for to := uint64(2); to < 5; to++ {
		plain := appendOf(to, e)
		want := proto.CloneOf(plain)
		batch := transport.newBatch([]*clusterpb.ConsensusMessage{{Kind: clusterpb.MessageKind_MESSAGE_KIND_APPEND}, plain}, true)
		assert.Assert(t, proto.Size(batch) < len(data)/10)
		packed := batch.PackedMessages[1].Entries[1]
		if first == nil {
			first = packed
		}
		assert.Assert(t, packed == first)
		assert.Assert(t, proto.Equal(plain, want))
		got, err := messagesOf(proto.CloneOf(batch))
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got[1], want))
	}
	invalid := &clusterpb.ConsensusBatch{PackedMessages: []*clusterpb.ConsensusMessage{{Entries: []*clusterpb.LogEntry{{PackedData: []byte{0xff}}}}}}
	_, err := messagesOf(invalid)
	assert.Assert(t, err != nil)
}

// fakePeer is a replica that accepts packed messages if its build is new enough.
type fakePeer struct {
	mu       sync.Mutex
	accepts  bool
	messages []*clusterpb.ConsensusMessage
	packed   int
}

func (p *fakePeer) Send(_ context.Context, b *clusterpb.ConsensusBatch) (*clusterpb.ConsensusAck, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.messages = append(p.messages, b.Messages...)
	p.packed += len(b.PackedMessages)
	return &clusterpb.ConsensusAck{AcceptsPacked: p.accepts}, nil
}

// TestOlderReplicaNeverTakesPackedEntries replaces a replica by an older build and
// back.
func TestOlderReplicaNeverTakesPackedEntries(t *testing.T) {
	peer := &fakePeer{}
	l := listen(t)
	server := newServer(nil, nil)
	server.Handler = clusterpb.NewConsensusServer(peer)
	go server.Serve(l)
	defer server.Close()
	transport := NewTwirpTransport(1, nil)
	defer transport.Close()
	var clients clientCache
	client := clients.get(l.Addr().String(), transport.client)
	accepts := false
	large := &clusterpb.LogEntry{Term: 2, Index: 6, Data: bytes.Repeat([]byte("x"), minPackedBytes)}
	for _, step := range []struct {
		peerAccepts bool
		wantPacked  int
	}{{false, 0}, {true, 0}, {true, 1}, {false, 2}, {false, 2}, {true, 2}, {true, 3}} {
		peer.accepts = step.peerAccepts
		ack := transport.sendBatch(2, client, []*clusterpb.ConsensusMessage{appendOf(2, large)}, accepts)
		assert.Assert(t, ack != nil)
		accepts = ack.AcceptsPacked
		assert.Equal(t, peer.packed, step.wantPacked)
	}
	for _, m := range peer.messages {
		assert.Equal(t, len(m.Entries[1].Data), minPackedBytes)
	}
}
