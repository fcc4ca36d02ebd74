package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"

	"balsamcourse.example/balsamcourse/internal/crash"
)

// Times and rates of the transport.
const (
	callTimeout      = 700 * time.Millisecond
	slowestBytesPerS = 1 << 20
	pingAfter        = time.Second
	pingTimeout      = time.Second
	dialTimeout      = 500 * time.Millisecond
)

// Receiver takes messages from other replicas; a Node is one.
type Receiver interface {
	Deliver(from uint64, msgs []*clusterpb.ConsensusMessage)
}

// TwirpTransport sends messages by Twirp, one call at a time to each replica.
// What is queued during a call travels in the next one, and answers travel
// back in the response.
type TwirpTransport struct {
	id     uint64
	client *http.Client
	group  conc.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	receiver Receiver
	peers    map[uint64]*peer
}

// NewTwirpTransport returns a transport for replica id. With a nil client it
// makes one by NewHTTPClient.
func NewTwirpTransport(id uint64, client *http.Client) *TwirpTransport {
	if client == nil {
		client = NewHTTPClient()
	}
	t := &TwirpTransport{id: id, client: client, peers: map[uint64]*peer{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// NewHTTPClient returns a client that speaks HTTP/2 without TLS: one connection
// to each replica, with compressed headers. It closes silent connections.
func NewHTTPClient() *http.Client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   &protocols,
		DialContext: dialer().DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}}
}

// SetReceiver sets the receiver of the messages that come back in responses.
func (t *TwirpTransport) SetReceiver(r Receiver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receiver = r
}

// Send implements Transport. Messages to a replica without an address travel
// only in responses to it.
func (t *TwirpTransport) Send(to *catalogpb.ControlMember, msgs []*clusterpb.ConsensusMessage) {
	t.peer(to.GetReplicaId()).push(to.GetAddress(), msgs)
}

// Close stops the senders. Queued messages are dropped.
func (t *TwirpTransport) Close() {
	t.cancel()
	t.group.Wait()
	t.client.CloseIdleConnections()
}

// peer returns the queue for a replica and starts its sender when needed.
func (t *TwirpTransport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p != nil {
		return p
	}
	p = newPeer()
	t.peers[id] = p
	if t.ctx.Err() == nil {
		crash.Go(&t.group, func() { t.sendLoop(id, p) })
	}
	return p
}

func (t *TwirpTransport) sendLoop(id uint64, p *peer) {
	var clients clientCache
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-p.ready:
		}
		address, msgs := p.take()
		if len(msgs) > 0 && address != "" {
			t.post(id, clients.get(address, t.client), msgs)
		}
	}
}

// post makes one call. A failed call loses its messages; the protocol sends
// again what matters.
func (t *TwirpTransport) post(id uint64, client clusterpb.Consensus, msgs []*clusterpb.ConsensusMessage) {
	batch := &clusterpb.ConsensusBatch{From: t.id, Messages: msgs}
	slow := time.Duration(proto.Size(batch)) * time.Second / slowestBytesPerS
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout+slow)
	defer cancel()
	ack, err := client.Send(ctx, batch)
	if err != nil || len(ack.GetMessages()) == 0 {
		return
	}
	t.mu.Lock()
	r := t.receiver
	t.mu.Unlock()
	if r != nil {
		r.Deliver(id, ack.GetMessages())
	}
}

// clientCache keeps the Twirp client of a replica's current address.
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
