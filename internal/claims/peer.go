package claims

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxBatch bounds the messages in one call.
	maxBatch = 64
	// maxQueue bounds the messages that wait for a call.
	maxQueue = 4096
	// maxCalls bounds the calls in flight to one member.
	maxCalls = 4
	// callTimeout bounds one call.
	callTimeout = time.Second
)

// pending is a message that waits for its answer.
type pending struct {
	message *clusterpb.ClaimMessage
	// done receives exactly one result.
	done func(*clusterpb.ClaimMessage, error)
}

// peer sends messages to one member. Messages that arrive while maxCalls calls
// are in flight share the next call.
type peer struct {
	client clusterpb.Claims
	spawn  func(func()) bool

	mu    sync.Mutex
	queue []pending
	calls int
}

func newPeer(address string, client *http.Client, spawn func(func()) bool) *peer {
	return &peer{client: clusterpb.NewClaimsProtobufClient("http://"+address, client), spawn: spawn}
}

// send queues a message and returns at once.
func (p *peer) send(m pending) {
	if !p.enqueue(m) {
		m.done(nil, errors.New("too many messages wait, or the service has stopped"))
	}
}

func (p *peer) enqueue(m pending) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxQueue {
		return false
	}
	if p.calls < maxCalls {
		if !p.spawn(p.drain) {
			return false
		}
		p.calls++
	}
	p.queue = append(p.queue, m)
	return true
}

// drain makes calls until the queue is empty.
func (p *peer) drain() {
	for {
		batch := p.take()
		if batch == nil {
			return
		}
		p.call(batch)
	}
}

// take removes the next batch from the queue. When there is none, the calling
// goroutine no longer counts as a call.
func (p *peer) take() []pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		p.calls--
		return nil
	}
	n := min(len(p.queue), maxBatch)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	return batch
}

func (p *peer) call(batch []pending) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	in := &clusterpb.ClaimBatch{Messages: make([]*clusterpb.ClaimMessage, len(batch))}
	for i, m := range batch {
		in.Messages[i] = m.message
	}
	out, err := p.client.Step(ctx, in)
	if err == nil && len(out.Messages) != len(batch) {
		err = errors.Errorf("%d answers to %d messages", len(out.Messages), len(batch))
	}
	for i, m := range batch {
		if err != nil {
			m.done(nil, err)
			continue
		}
		m.done(out.Messages[i], nil)
	}
}
