package claimservice

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxBatchMessages is the largest number of messages in one call.
	maxBatchMessages = 64
	// maxQueuedMessages is the largest number of messages that wait for a call.
	maxQueuedMessages = 4096
	// maxConcurrentCalls is the largest number of calls in flight to one member.
	maxConcurrentCalls = 4
	// callTimeout is the deadline of one call.
	callTimeout = time.Second
)

// queuedMessage is a message whose reply is outstanding.
type queuedMessage struct {
	message *clusterpb.ClaimMessage
	// done is called exactly once, with the reply or an error.
	done func(*clusterpb.ClaimMessage, error)
}

// peer sends messages to one member. Messages that arrive while
// maxConcurrentCalls are in flight are batched into the next call.
type peer struct {
	client clusterpb.Claims
	spawn  func(func()) bool

	mu          sync.Mutex
	queue       []queuedMessage
	activeCalls int
}

func newPeer(address string, client *http.Client, spawn func(func()) bool) *peer {
	return &peer{client: clusterpb.NewClaimsProtobufClient("http://"+address, client), spawn: spawn}
}

// send queues a message and does not wait for its reply.
func (p *peer) send(m queuedMessage) {
	if !p.enqueue(m) {
		m.done(nil, errors.Errorf("message queue of the peer has reached its limit of %d messages, or the service has stopped", maxQueuedMessages))
	}
}

// enqueue adds a message to the queue, and starts a sender if fewer than
// maxConcurrentCalls run. It returns false if the queue is full or the service
// has stopped.
func (p *peer) enqueue(m queuedMessage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxQueuedMessages {
		return false
	}
	if p.activeCalls < maxConcurrentCalls {
		if !p.spawn(p.sendQueued) {
			return false
		}
		p.activeCalls++
	}
	p.queue = append(p.queue, m)
	return true
}

// sendQueued makes calls until the queue is empty.
func (p *peer) sendQueued() {
	for {
		batch := p.nextBatch()
		if batch == nil {
			return
		}
		p.call(batch)
	}
}

// nextBatch removes the next batch from the queue. If the queue is empty, it
// returns nil and no longer counts the calling goroutine as active.
func (p *peer) nextBatch() []queuedMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.activeCalls--
		return nil
	}
	n := min(len(p.queue), maxBatchMessages)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	return batch
}

func (p *peer) call(batch []queuedMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	in := &clusterpb.ClaimBatch{Messages: make([]*clusterpb.ClaimMessage, len(batch))}
	for i, m := range batch {
		in.Messages[i] = m.message
	}
	out, err := p.client.Step(ctx, in)
	if err == nil && len(out.Messages) != len(batch) {
		err = errors.Errorf("entry VM sent %d replies to %d claim messages", len(out.Messages), len(batch))
	}
	for i, m := range batch {
		if err != nil {
			m.done(nil, err)
			continue
		}
		m.done(out.Messages[i], nil)
	}
}
