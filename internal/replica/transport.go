package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"

	"balsamcourse.example/balsamcourse/internal/crash"
	"balsamcourse.example/balsamcourse/internal/features"
)

const (
	// callTimeout is the time limit of a call, not counting the time for the
	// transfer of the log data at minBytesPerSecond.
	callTimeout       = 700 * time.Millisecond
	minBytesPerSecond = 1 << 20
	// pingIdleTime is how long a connection may receive nothing before it is
	// checked by a ping; it is closed after pingTimeout without an answer.
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	dialTimeout  = 500 * time.Millisecond
	// bulkBytes is the amount of log data from which a call may take so long that other
	// messages do not wait for it.
	bulkBytes = 64 << 10
)

// Receiver receives messages from other replicas; a Node is one.
type Receiver interface {
	// Deliver passes on messages from the replica with id from.
	Deliver(from uint64, msgs []*clusterpb.ConsensusMessage)
}

// TwirpTransport is a Transport that sends messages by Twirp, one call at a
// time to each replica. Messages queued during a call travel in the next one. A
// large amount of log data has a call of its own, so that heartbeats, replies and
// votes do not wait for it. Replies may travel in the response.
type TwirpTransport struct {
	id     uint64
	client *http.Client
	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	packer   entryPacker
	mu       sync.Mutex
	receiver Receiver
	queues   map[uint64]*peerQueue
	// features holds what each replica has last stated to support.
	features map[uint64]features.Set
}

// NewTwirpTransport returns a transport for replica id. If client is nil, it
// uses a new one from NewHTTPClient.
func NewTwirpTransport(id uint64, client *http.Client) *TwirpTransport {
	if client == nil {
		client = NewHTTPClient()
	}
	t := &TwirpTransport{id: id, client: client, queues: map[uint64]*peerQueue{}, features: map[uint64]features.Set{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// NewHTTPClient returns a client that uses HTTP/2 without TLS: one connection
// to each replica, with compressed headers. It closes connections that do not
// answer a ping.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		DialContext: newDialer().DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingIdleTime,
			PingTimeout:     pingTimeout,
		},
	}}
}

// SetReceiver sets the receiver of messages that arrive in responses. Until it
// is called, they are dropped.
func (t *TwirpTransport) SetReceiver(r Receiver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receiver = r
}

// Features returns what a replica supports according to its last message or response. It
// reports false if none is known to this process.
func (t *TwirpTransport) Features(id uint64) (supported features.Set, stated bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	supported, stated = t.features[id]
	return supported, stated
}

func (t *TwirpTransport) recordFeatures(id, stated uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.features[id] = features.Set(stated)
}

// memberFeatures returns what all replicas have stated, for a batch of a leader.
func (t *TwirpTransport) memberFeatures() map[uint64]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	stated := make(map[uint64]uint64, len(t.features))
	for id, f := range t.features {
		stated[id] = uint64(f)
	}
	return stated
}

// recordBatchFeatures records what the sender of a batch states for itself and, as a
// leader, for the other members.
func (t *TwirpTransport) recordBatchFeatures(batch *clusterpb.ConsensusBatch) {
	for id, stated := range batch.GetMemberFeatures() {
		t.recordFeatures(id, stated)
	}
	t.recordFeatures(batch.GetFrom(), batch.GetFeatures())
}

// Send implements Transport. Messages to a replica whose address is unknown
// travel only in responses to its calls.
func (t *TwirpTransport) Send(to *catalogpb.ControlMember, msgs []*clusterpb.ConsensusMessage) {
	t.queue(to.GetReplicaId()).enqueue(to.GetAddress(), msgs)
}

// Close stops the senders and drops the queued messages.
func (t *TwirpTransport) Close() {
	t.cancel()
	t.group.Wait()
	t.client.CloseIdleConnections()
}

// queue returns the queue for a replica. For a new queue, it starts a sender
// unless the transport is closed.
func (t *TwirpTransport) queue(id uint64) *peerQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[id]
	if q != nil {
		return q
	}
	q = newPeerQueue()
	t.queues[id] = q
	if t.ctx.Err() == nil {
		crash.Go(&t.group, func() { t.sendLoop(id, q) })
	}
	return q
}

func (t *TwirpTransport) sendLoop(id uint64, q *peerQueue) {
	var clients clientCache
	acceptsPacked := false
	acks := make(chan *clusterpb.ConsensusAck, 1)
	recordAck := func(ack *clusterpb.ConsensusAck) {
		if ack != nil {
			acceptsPacked = ack.GetAcceptsPacked()
		}
	}
	for {
		select {
		case <-t.ctx.Done():
			return
		case ack := <-acks:
			recordAck(ack)
			q.endBulk()
			continue
		case <-q.sendReady:
		}
		address, bulk, msgs := q.dequeue()
		if address == "" {
			if len(bulk) > 0 {
				q.endBulk()
			}
			continue
		}
		client := clients.get(address, t.client)
		if len(bulk) > 0 {
			packed := acceptsPacked
			crash.Go(&t.group, func() { acks <- t.sendBatch(id, client, bulk, packed) })
		}
		if len(msgs) > 0 {
			recordAck(t.sendBatch(id, client, msgs, acceptsPacked))
		}
	}
}

// sendBatch makes one call and returns the response, or nil if the call fails. Its
// messages are lost then; the consensus protocol sends those again that matter.
func (t *TwirpTransport) sendBatch(id uint64, client clusterpb.Consensus, msgs []*clusterpb.ConsensusMessage, acceptsPacked bool) *clusterpb.ConsensusAck {
	// Large entries also take time to be compressed and decompressed.
	transferTime := time.Duration(dataBytes(msgs)) * time.Second / minBytesPerSecond
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout+transferTime)
	defer cancel()
	ack, err := client.Send(ctx, t.newBatch(msgs, acceptsPacked))
	if err != nil {
		return nil
	}
	t.recordFeatures(id, ack.GetFeatures())
	t.mu.Lock()
	r := t.receiver
	t.mu.Unlock()
	if r != nil && len(ack.GetMessages()) > 0 {
		r.Deliver(id, ack.GetMessages())
	}
	return ack
}

// clientCache keeps the Twirp client for the current address of a replica.
type clientCache struct {
	address string
	client  clusterpb.Consensus
}

func (c *clientCache) get(address string, h *http.Client) clusterpb.Consensus {
	if c.client == nil || c.address != address {
		c.address = address
		c.client = clusterpb.NewConsensusProtobufClient("http://"+address, h)
	}
	return c.client
}
