package replica

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

const (
	// maxQueuedMessages limits the messages queued for one replica.
	maxQueuedMessages = 4096
	// responseWait is how long a response waits for messages.
	responseWait = 200 * time.Millisecond
	// onlyResponseWait replaces it while the address of the sender is not known, so that
	// later messages would be lost. It is shorter than callTimeout.
	onlyResponseWait = 600 * time.Millisecond
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
	// bulkInFlight is set while a call with a large amount of log data is in flight.
	// Log data that follows waits for its end, other messages do not.
	bulkInFlight bool
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

// dequeue takes messages from the queue. It returns the address of the replica, a large
// amount of log data, which has a call of its own, and the messages that do not wait for
// it. After such data it has to be told of the end of that call by endBulk.
func (q *peerQueue) dequeue() (address string, bulk, msgs []*clusterpb.ConsensusMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bulkInFlight {
		return q.address, nil, q.takeWithoutData()
	}
	if dataBytes(q.messages) >= bulkBytes {
		msgs = q.takeWithoutData()
		q.bulkInFlight = true
	}
	rest := q.messages
	q.messages = nil
	if q.bulkInFlight {
		return q.address, rest, msgs
	}
	return q.address, nil, rest
}

// takeWithoutData takes the messages without log data. The caller holds mu.
func (q *peerQueue) takeWithoutData() []*clusterpb.ConsensusMessage {
	var taken []*clusterpb.ConsensusMessage
	q.messages = slices.DeleteFunc(q.messages, func(m *clusterpb.ConsensusMessage) bool {
		if carriesData(m) {
			return false
		}
		taken = append(taken, m)
		return true
	})
	return taken
}

// endBulk ends the call with a large amount of log data.
func (q *peerQueue) endBulk() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bulkInFlight = false
	notify(q.sendReady)
}

// carriesData reports whether the message carries log data.
func carriesData(m *clusterpb.ConsensusMessage) bool {
	return len(m.GetEntries()) > 0 || m.GetSnapshot() != nil
}

// dataBytes returns the amount of log data in the messages.
func dataBytes(msgs []*clusterpb.ConsensusMessage) int {
	n := 0
	for _, m := range msgs {
		n += len(m.GetSnapshot().GetData())
		for _, e := range m.GetEntries() {
			n += len(e.GetData())
		}
	}
	return n
}

// beginResponse registers a response that is going to call awaitResponse.
func (q *peerQueue) beginResponse() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.openResponses++
}

// awaitResponse returns the messages for a response. It waits for them for a
// limited time. If ctx has ended, it leaves them to the sender.
func (q *peerQueue) awaitResponse(ctx context.Context) []*clusterpb.ConsensusMessage {
	t := time.NewTimer(q.maxWait())
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
	if q.address != "" && (q.bulkInFlight || dataBytes(q.messages) >= bulkBytes) {
		msgs := q.takeWithoutData()
		notify(q.sendReady)
		return msgs
	}
	msgs := q.messages
	q.messages = nil
	return msgs
}

// maxWait returns how long a response waits for messages.
func (q *peerQueue) maxWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.address == "" {
		return onlyResponseWait
	}
	return responseWait
}

// notify signals c without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
