// Package clientbudget decides what a process may hold for its clients: how many
// connections, how many bytes of heads, bodies and answers, and which clients are dropped
// when that is short. It has no I/O and no clock; times are passed in.
package clientbudget

import (
	"cmp"
	"slices"
	"time"
)

// What a client is charged for.
const (
	// ConnectionBytes is the charge of an open connection: the stack of its goroutine
	// (8 KiB), its read and write buffers (4 KiB each) and the structures of the server
	// and the kernel.
	ConnectionBytes = 20 << 10
	// LargeHeadBytes is the charge of a head that does not fit into the read buffer: the
	// lines that have been read and their copies in the map of headers, for a head of 16
	// KiB.
	LargeHeadBytes = 32 << 10
	// TransferBytes is the charge of a body or an answer that is under way, beyond what is
	// buffered of it: the queue of the connection in the kernel.
	TransferBytes = 64 << 10
	// HTTP2Streams is the number of requests of a connection over HTTP/2 at a time, and
	// HTTP2Bytes the charge of such a connection for all of them, in advance: each has a
	// goroutine as soon as its head has arrived (24 KiB with its structures). The
	// connection itself has a receive window, buffers for frames and a head (160 KiB).
	HTTP2Streams = 32
	HTTP2Bytes   = HTTP2Streams*24<<10 + 160<<10
)

const (
	// memoryPercent is the part of the memory of a process that its clients may use. The
	// limit of the Go runtime is 60 % of the memory, of which an idle process uses about
	// 25 MB.
	memoryPercent = 40
	// smallPercent is the part of the budget that only small charges may use.
	smallPercent = 12
	// connectionPercent is the part of the budget that connections may use.
	connectionPercent = 60
	// ownDescriptors is the number of descriptors that are left for files, listeners and
	// connections to other processes of the system, and descriptorPercent the part of the
	// rest that clients may use: each call may need another one to an upstream.
	ownDescriptors    = 64
	descriptorPercent = 40
	// minConnections is the lowest bound of connections.
	minConnections = 16
	// QueuedBytes is what the kernel holds of a connection that is not accepted yet. Those are
	// not charged.
	QueuedBytes = 4 << 10
	// A listener keeps queuePerConnection connections waiting for each that may be open, at
	// least minQueue and at most maxQueue. The longer the queue, the longer callers wait.
	queuePerConnection = 2
	minQueue           = 128
	maxQueue           = 1024
)

const (
	// StallGrace is the time without progress after which a client may be dropped when
	// the budget is short. The head and the body of an ordinary request arrive within a
	// few milliseconds.
	StallGrace = 250 * time.Millisecond
	// connectionGrace is the longest time without progress after which a client that sends
	// a body or reads an answer may be dropped because a connection is needed, and
	// maxQueueWait the time for which new connections should wait at most: the more of them
	// wait, the shorter is the time. A caller that still reads takes 4 KiB in
	// connectionGrace on a link of 16 kbit/s.
	connectionGrace = 2 * time.Second
	maxQueueWait    = 500 * time.Millisecond
	// progressBytes is the number of bytes that count as progress: single bytes would let
	// a client stay without end.
	progressBytes = 4 << 10
	// dropPercent is the part of the budget that is freed at a time when it is short, so
	// that not every client that arrives has to look for one to drop.
	dropPercent = 6
)

// Class says which part of the budget a charge may use.
type Class int

// Classes of charges. Small is for what ordinary small requests need.
const (
	Large Class = iota
	Small
)

// Phase is what a client is waited for.
type Phase int

// Phases. A client in phase Running is not waited for: this process or an upstream is at
// work. One in phase Idle has been answered and has not begun another request. In phase
// SendingRest an upstream has received a part of the body, so that the request may have run.
const (
	Running Phase = iota
	Idle
	SendingHead
	SendingBody
	SendingRest
	ReadingAnswer
)

// ofBody reports whether a client in this phase is waited for to send a body.
func (p Phase) ofBody() bool { return p == SendingBody || p == SendingRest }

// Limits bounds what a process holds for its clients.
type Limits struct {
	// Bytes bounds all charges, LargeBytes the sum up to which large ones are accepted.
	Bytes, LargeBytes int64
	Connections       int
	// Queue is the number of connections of a listener that may wait to be accepted.
	Queue int
}

// LimitsFor returns the limits of a process with the given memory and number of
// descriptors; 0 descriptors means that they are not bounded.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	l := Limits{Bytes: memoryBytes / 100 * memoryPercent}
	l.LargeBytes = l.Bytes / 100 * (100 - smallPercent)
	l.Connections = int(l.Bytes / 100 * connectionPercent / ConnectionBytes)
	if descriptors > 0 {
		l.Connections = min(l.Connections, (descriptors-ownDescriptors)*descriptorPercent/100)
	}
	l.Connections = max(minConnections, l.Connections)
	l.Queue = min(max(minQueue, queuePerConnection*l.Connections), maxQueue)
	return l
}

// Client is a connection, or the body of one request.
type Client struct {
	// Drop ends the client. It must not block and is called by the owner of the Ledger.
	Drop func()

	connection bool
	phase      Phase
	// since is the start of the phase, waited the time for which the client was waited for
	// before it, moved the bytes since the last progress.
	since   time.Duration
	waited  time.Duration
	moved   int64
	charged int64
	dropped bool
}

// Dropped reports whether the client has been chosen to be dropped.
func (c *Client) Dropped() bool { return c.dropped }

// Charged returns what the client is charged for.
func (c *Client) Charged() int64 { return c.charged }

// Phase returns the phase of the client.
func (c *Client) Phase() Phase { return c.phase }

// waitedFor returns the time for which the client has been waited for since its last
// progress.
func (c *Client) waitedFor(now time.Duration) time.Duration {
	if !c.awaited() {
		return c.waited
	}
	return c.waited + now - c.since
}

func (c *Client) awaited() bool {
	return c.phase == SendingHead || c.phase.ofBody() || c.phase == ReadingAnswer
}

// stalled reports whether the client is waited for and has made no progress for the given
// time.
func (c *Client) stalled(now, grace time.Duration) bool {
	return c.awaited() && c.waitedFor(now) >= grace
}

// Ledger holds the clients of a process and their charges. It is not safe for concurrent
// use.
type Ledger struct {
	limits      Limits
	used        int64
	connections int
	clients     map[*Client]struct{}
	// releasing is what clients that were dropped have not yet released.
	releasing            int64
	releasingConnections int
}

// NewLedger returns a ledger without clients.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, clients: make(map[*Client]struct{})}
}

// Limits returns the limits.
func (l *Ledger) Limits() Limits { return l.limits }

// Used returns the sum of the charges and the number of connections.
func (l *Ledger) Used() (bytes int64, connections int) { return l.used, l.connections }

// Connect adds a connection that is about to send a head, or returns nil if there is no
// room for it.
func (l *Ledger) Connect(now time.Duration) *Client {
	if l.connections >= l.limits.Connections || l.used+ConnectionBytes > l.limits.Bytes {
		return nil
	}
	c := &Client{connection: true, phase: SendingHead, since: now}
	l.clients[c] = struct{}{}
	l.connections++
	l.add(c, ConnectionBytes)
	return c
}

// Begin adds the body of a request.
func (l *Ledger) Begin(now time.Duration) *Client {
	c := &Client{since: now}
	l.clients[c] = struct{}{}
	return c
}

// End removes the client with its charges. It may be called more than once.
func (l *Ledger) End(c *Client) {
	if _, ok := l.clients[c]; !ok {
		return
	}
	delete(l.clients, c)
	if c.connection {
		l.connections--
	}
	if c.dropped {
		l.releasing -= c.charged
		if c.connection {
			l.releasingConnections--
		}
	}
	l.used -= c.charged
	c.charged = 0
}

// Enter starts a phase of the client. The time for which it was waited for counts on until
// it makes progress; a whole head is progress.
func (l *Ledger) Enter(now time.Duration, c *Client, p Phase) {
	c.waited = c.waitedFor(now)
	if p == Idle || c.phase == Idle || c.phase == SendingHead {
		c.waited, c.moved = 0, 0
	}
	c.phase, c.since = p, now
}

// Move records that the client has sent or read n bytes.
func (l *Ledger) Move(now time.Duration, c *Client, n int) {
	if c.phase == SendingHead {
		// A head counts as a whole: it has no more than a few KiB.
		return
	}
	if c.moved += int64(n); c.moved >= progressBytes {
		c.waited, c.since, c.moved = 0, now, 0
	}
}

// Charge charges n bytes to the client and reports whether there is room for them.
func (l *Ledger) Charge(c *Client, n int64, class Class) bool {
	limit := l.limits.LargeBytes
	if class == Small {
		limit = l.limits.Bytes
	}
	if c.dropped || n > 0 && l.used+n > limit {
		return false
	}
	l.add(c, n)
	return true
}

// MayFit reports whether there is room for n bytes when nothing else is charged.
func (l *Ledger) MayFit(n int64, class Class) bool {
	if class == Small {
		return n <= l.limits.Bytes
	}
	return n <= l.limits.LargeBytes
}

// Force charges n bytes that are held in any case.
func (l *Ledger) Force(c *Client, n int64) {
	l.add(c, n)
}

// Release takes n bytes off the charge of the client.
func (l *Ledger) Release(c *Client, n int64) {
	l.add(c, -min(n, c.charged))
}

func (l *Ledger) add(c *Client, n int64) {
	if _, ok := l.clients[c]; !ok {
		return
	}
	c.charged += n
	l.used += n
	if c.dropped {
		l.releasing += n
	}
}

// Want is what a client needs that there was no room for.
type Want struct {
	Bytes int64
	// Connection is set if a connection is needed, Waiting the number of those that wait
	// to be accepted.
	Connection bool
	Waiting    int
}

// connectionGrace returns the time without progress after which a connection whose client
// sends a body or reads an answer may be dropped for one of those that wait.
func (l *Ledger) connectionGrace(waiting int) time.Duration {
	grace := maxQueueWait * time.Duration(l.limits.Connections) / time.Duration(max(1, waiting))
	return min(max(grace, StallGrace), connectionGrace)
}

// Victims returns the clients to drop so that there is room, and marks them as dropped:
// those that have made no progress for a while, the longest wait first. Only if there are
// none of them, idle connections are dropped: any if a connection is needed, and otherwise
// those that are charged for more than a connection. For a connection, clients whose requests
// may have run come last of all. What clients that were dropped before have not yet released
// is counted as room.
func (l *Ledger) Victims(now time.Duration, want Want) []*Client {
	if want.Connection {
		return l.connectionVictims(now, want)
	}
	bytes := max(want.Bytes, l.limits.Bytes/100*dropPercent) - l.releasing
	if bytes <= 0 {
		return nil
	}
	stalled := l.collect(func(c *Client) bool {
		// A body has a charge of its own, which is greater than that of its connection.
		return c.stalled(now, StallGrace) && (c.charged > 0 || c.phase == ReadingAnswer) && !(c.connection && c.phase.ofBody())
	}, longestWait(now))
	if victims := l.take(stalled, bytes, 0); len(victims) > 0 {
		return victims
	}
	idle := l.collect(func(c *Client) bool { return c.connection && c.phase == Idle && c.charged > ConnectionBytes }, oldest)
	return l.take(idle, bytes, 0)
}

// connectionVictims returns the clients to drop if a connection is needed; see Victims.
func (l *Ledger) connectionVictims(now time.Duration, want Want) []*Client {
	connections := max(1, want.Waiting, l.limits.Connections*dropPercent/100) - l.releasingConnections
	bytes := int64(0)
	if l.used+ConnectionBytes > l.limits.Bytes {
		bytes = ConnectionBytes - l.releasing
	}
	if bytes <= 0 && connections <= 0 {
		return nil
	}
	grace := l.connectionGrace(want.Waiting)
	stalled := l.collect(func(c *Client) bool {
		switch {
		case !c.connection:
			return bytes > 0 && c.charged > 0 && c.stalled(now, StallGrace)
		case c.phase == SendingHead:
			return c.stalled(now, StallGrace)
		case c.phase == SendingRest:
			return false
		}
		return c.stalled(now, grace)
	}, longestWait(now))
	victims := l.take(stalled, bytes, connections)
	if len(victims) > 0 || connections <= 0 {
		return victims
	}
	idle := l.collect(func(c *Client) bool { return c.connection && c.phase == Idle }, oldest)
	if victims := l.take(idle, 0, connections); len(victims) > 0 {
		return victims
	}
	uploads := l.collect(func(c *Client) bool {
		return c.connection && c.phase == SendingRest && c.stalled(now, connectionGrace)
	}, longestWait(now))
	return l.take(uploads, 0, connections)
}

// longestWait compares clients by the time without progress, the longest first.
func longestWait(now time.Duration) func(a, b *Client) int {
	return func(a, b *Client) int { return cmp.Compare(b.waitedFor(now), a.waitedFor(now)) }
}

// oldest compares clients by the start of their phase, the earliest first.
func oldest(a, b *Client) int { return cmp.Compare(a.since, b.since) }

// Stalled returns the clients whose requests have been read in part or answered in part and
// that have made no progress for the given time, at most n, and marks them as dropped.
func (l *Ledger) Stalled(now, since time.Duration, n int) []*Client {
	stalled := l.collect(func(c *Client) bool {
		return (c.phase.ofBody() && !c.connection || c.phase == ReadingAnswer) && c.waitedFor(now) >= since
	}, longestWait(now))
	stalled = stalled[:min(n, len(stalled))]
	for _, c := range stalled {
		l.markDropped(c)
	}
	return stalled
}

func (l *Ledger) collect(include func(*Client) bool, compare func(a, b *Client) int) []*Client {
	var found []*Client
	for c := range l.clients {
		if !c.dropped && include(c) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, compare)
	return found
}

// take marks clients as dropped until both amounts are reached.
func (l *Ledger) take(from []*Client, bytes int64, connections int) []*Client {
	var taken []*Client
	for _, c := range from {
		if bytes <= 0 && connections <= 0 {
			break
		}
		bytes -= c.charged
		if c.connection {
			connections--
		}
		l.markDropped(c)
		taken = append(taken, c)
	}
	return taken
}

func (l *Ledger) markDropped(c *Client) {
	c.dropped = true
	l.releasing += c.charged
	if c.connection {
		l.releasingConnections++
	}
}
