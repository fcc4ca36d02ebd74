package claims

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxBatch bounds the messages in one call.
	maxBatch = 64
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
	group  *conc.WaitGroup

	mu    sync.Mutex
	queue []pending
	calls int
}

func newPeer(address string, client *http.Client, group *conc.WaitGroup) *peer {
	return &peer{client: clusterpb.NewClaimsProtobufClient("http://"+address, client), group: group}
}

// send queues a message and returns at once.
func (p *peer) send(m pending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = append(p.queue, m)
	if p.calls < maxCalls {
		p.calls++
		p.group.Go(p.drain)
	}
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
	n := batchSize(p.queue)
	batch := p.queue[:n:n]
	p.queue = p.queue[n:]
	return batch
}

// batchSize returns the number of messages for the next call. A sync ends a
// batch, because its answer can be large.
func batchSize(queue []pending) int {
	n := min(len(queue), maxBatch)
	for i, m := range queue[:n] {
		if m.message.Kind == clusterpb.ClaimMessageKind_CLAIM_MESSAGE_KIND_SYNC {
			return i + 1
		}
	}
	return n
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
