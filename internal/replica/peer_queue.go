package replica

import (
	"context"
	"net"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxQueuedMessages limits the messages queued for one replica.
	maxQueuedMessages = 4096
	// responseWait is how long a response waits for messages.
	responseWait = 200 * time.Millisecond
)

func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// peerQueue holds the messages to one replica. A response to that replica that
// is waiting for messages takes them before the sender does.
type peerQueue struct {
	// sendReady notifies the sender, and responseReady a waiting response.
	sendReady     chan struct{}
	responseReady chan struct{}

	mu       sync.Mutex
	address  string
	messages []*clusterpb.ConsensusMessage
	// openResponses is the number of responses that are waiting for messages.
	openResponses int
}

func newPeerQueue() *peerQueue {
	return &peerQueue{sendReady: make(chan struct{}, 1), responseReady: make(chan struct{}, 1)}
}

// enqueue queues messages and notifies a waiting response or else the sender.
// If the queue does not have room for all of msgs, it drops all of them. An
// empty address leaves the known one unchanged.
func (q *peerQueue) enqueue(address string, msgs []*clusterpb.ConsensusMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if address != "" {
		q.address = address
	}
	if len(q.messages)+len(msgs) > maxQueuedMessages {
		return
	}
	q.messages = append(q.messages, msgs...)
	if q.openResponses > 0 {
		notify(q.responseReady)
	} else {
		notify(q.sendReady)
	}
}

// dequeueAll empties the queue. It returns the address of the replica and the
// messages.
func (q *peerQueue) dequeueAll() (string, []*clusterpb.ConsensusMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	msgs := q.messages
	q.messages = nil
	return q.address, msgs
}

// beginResponse registers a response that is going to call awaitResponse.
func (q *peerQueue) beginResponse() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.openResponses++
}

// awaitResponse returns the messages for a response. It waits at most
// responseWait for them. If ctx has ended, it leaves them to the sender.
func (q *peerQueue) awaitResponse(ctx context.Context) []*clusterpb.ConsensusMessage {
	t := time.NewTimer(responseWait)
	defer t.Stop()
	select {
	case <-q.responseReady:
	case <-t.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.openResponses--
	if ctx.Err() != nil {
		notify(q.sendReady)
		return nil
	}
	msgs := q.messages
	q.messages = nil
	return msgs
}

// notify signals c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
