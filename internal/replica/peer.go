package replica

import (
	"context"
	"net"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// Limits of a peer's queue.
const (
	maxQueuedMessages = 4096
	replyWait         = 200 * time.Millisecond
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// peer is the queue of messages for one replica. A response that is waiting
// for messages to that replica takes them before the sender does.
type peer struct {
	ready chan struct{}
	reply chan struct{}

	mu      sync.Mutex
	address string
	queue   []*clusterpb.ConsensusMessage
	waiting int
}

func newPeer() *peer {
	return &peer{ready: make(chan struct{}, 1), reply: make(chan struct{}, 1)}
}

// push queues messages; it drops them when the queue is full.
func (p *peer) push(address string, msgs []*clusterpb.ConsensusMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != "" {
		p.address = address
	}
	if len(p.queue)+len(msgs) > maxQueuedMessages {
		return
	}
	p.queue = append(p.queue, msgs...)
	if p.waiting > 0 {
		notify(p.reply)
	} else {
		notify(p.ready)
	}
}

// take empties the queue.
func (p *peer) take() (string, []*clusterpb.ConsensusMessage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	msgs := p.queue
	p.queue = nil
	return p.address, msgs
}

// expect announces that a response will take messages.
func (p *peer) expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting++
}

// await returns the messages for a response, waiting a moment for them.
func (p *peer) await(ctx context.Context) []*clusterpb.ConsensusMessage {
	t := time.NewTimer(replyWait)
	defer t.Stop()
	select {
	case <-p.reply:
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
	if ctx.Err() != nil {
		notify(p.ready)
		return nil
	}
	msgs := p.queue
	p.queue = nil
	return msgs
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
