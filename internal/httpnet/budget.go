package httpnet

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// scanInterval is the shortest time between two searches for clients to drop: a
	// search looks at all clients.
	scanInterval = 10 * time.Millisecond
	// reserveTimeout bounds the wait for room for a body. Clients that have stalled are
	// dropped after clientbudget.StallGrace.
	reserveTimeout = 2 * clientbudget.StallGrace
	// stalledPerDrop is the number of stalled clients that DropStalled drops at a time.
	stalledPerDrop = 64
)

// ErrBudget means that there is no room for what a client sends.
var ErrBudget = errors.New("no room for what the client sends")

// ErrNeverFits means that there would be no room for what a client sends even if it were the
// only one.
var ErrNeverFits = errors.New("the process has too little memory for what the client sends")

// Budget bounds what the servers of a process hold for clients, by the decisions of
// package clientbudget. It is safe for concurrent use.
type Budget struct {
	start time.Time

	mu       sync.Mutex
	ledger   *clientbudget.Ledger
	lastScan time.Duration
	stats    BudgetStats
}

// BudgetStats is the state of a Budget, and what it has done since its start.
type BudgetStats struct {
	Bytes       int64
	Connections int
	// Dropped counts the clients that were dropped, Refused those for which there was no
	// room.
	Dropped, Refused int64
	// Limits are the bounds.
	Limits clientbudget.Limits
}

// NewBudget returns a budget for a process with the given memory and at most maxConnections
// connections of clients, 0 for no bound but those that follow from the memory and from the
// limit of open descriptors of the operating system.
func NewBudget(memoryBytes int64, maxConnections int) *Budget {
	descriptors := 0
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	limits := clientbudget.LimitsFor(memoryBytes, descriptors)
	if maxConnections > 0 {
		limits.Connections = min(limits.Connections, maxConnections)
	}
	return &Budget{start: time.Now(), ledger: clientbudget.NewLedger(limits)}
}

func (b *Budget) now() time.Duration { return time.Since(b.start) }

// Stats returns the current statistics.
func (b *Budget) Stats() BudgetStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Bytes, s.Connections = b.ledger.Used()
	s.Limits = b.ledger.Limits()
	return s
}

// connect adds a connection that is not accepted yet. If there is no room, it drops others
// and waits until stop or closed is closed, and then returns nil. waiting returns the
// number of connections that wait to be accepted.
func (b *Budget) connect(waiting func() int, stop, closed <-chan struct{}) *clientbudget.Client {
	for {
		if c := b.tryConnect(); c != nil {
			return c
		}
		b.drop(clientbudget.Want{Connection: true, Waiting: waiting()})
		select {
		case <-stop:
			return nil
		case <-closed:
			return nil
		case <-time.After(scanInterval):
		}
	}
}

func (b *Budget) tryConnect() *clientbudget.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.ledger.Connect(now)
	if c != nil {
		b.ledger.Enter(now, c, clientbudget.Running)
	}
	return c
}

// drop drops clients so that there is room for what is wanted.
func (b *Budget) drop(want clientbudget.Want) {
	b.mu.Lock()
	now := b.now()
	if now-b.lastScan < scanInterval {
		b.mu.Unlock()
		return
	}
	b.lastScan = now
	victims := b.ledger.Victims(now, want)
	b.stats.Dropped += int64(len(victims))
	b.mu.Unlock()
	for _, c := range victims {
		c.Drop()
	}
}

// DropStalled drops some clients that have stalled for the given time while they sent a body
// or read an answer. It is for resources that the budget does not count, such as calls in
// flight. A nil budget drops none.
func (b *Budget) DropStalled(since time.Duration) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := b.now()
	if now-b.lastScan < scanInterval {
		b.mu.Unlock()
		return
	}
	b.lastScan = now
	victims := b.ledger.Stalled(now, since, stalledPerDrop)
	b.stats.Dropped += int64(len(victims))
	b.mu.Unlock()
	for _, c := range victims {
		c.Drop()
	}
}

func (b *Budget) enter(c *clientbudget.Client, p clientbudget.Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Enter(b.now(), c, p)
}

// moved records that n bytes have moved and that the client is no longer waited for.
func (b *Budget) moved(c *clientbudget.Client, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.ledger.Move(now, c, n)
	b.ledger.Enter(now, c, clientbudget.Running)
}

func (b *Budget) isDropped(c *clientbudget.Client) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Dropped()
}

func (b *Budget) charged(c *clientbudget.Client) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Charged()
}

func (b *Budget) release(c *clientbudget.Client, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Release(c, n)
}

func (b *Budget) end(c *clientbudget.Client) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.End(c)
}

func (b *Budget) charge(c *clientbudget.Client, n int64, class clientbudget.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Charge(c, n, class)
}

// reserve charges n bytes to the client. If there is no room, it drops others and waits
// for up to reserveTimeout.
func (b *Budget) reserve(ctx context.Context, c *clientbudget.Client, n int64, class clientbudget.Class) bool {
	if b.charge(c, n, class) {
		return true
	}
	if !b.mayFit(n, class) {
		return b.refuse()
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	for {
		b.drop(clientbudget.Want{Bytes: n})
		if !wait.For(ctx, scanInterval) {
			break
		}
		if b.charge(c, n, class) {
			return true
		}
	}
	return b.refuse()
}

// mayFit reports whether n bytes could be charged if nothing else were.
func (b *Budget) mayFit(n int64, class clientbudget.Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.MayFit(n, class)
}

// refuse counts a client for which there is no room, and returns false.
func (b *Budget) refuse() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Refused++
	return false
}

// Hold charges n bytes of an answer until release is called, or reports false if there is
// no room. A nil budget has room for all.
func (b *Budget) Hold(n int64) (release func(), ok bool) {
	if b == nil {
		return func() {}, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.ledger.Begin(b.now())
	if !b.ledger.Charge(c, n, clientbudget.Large) {
		b.ledger.End(c)
		return nil, false
	}
	return func() { b.end(c) }, true
}

const (
	// maxSmallBody is the length up to which a body may use the part of the budget that is
	// kept for small requests, and the size of the first buffer of a body of unknown
	// length.
	maxSmallBody = 16 << 10
	// bufferGrowth is the factor by which the buffer of a body of unknown length grows.
	bufferGrowth = 4
)

// Transfer charges the buffers through which an answer is forwarded, until release is called.
// There is always room for them, since the answer has begun: others find less. A nil budget
// charges nothing.
func (b *Budget) Transfer() (release func()) {
	if b == nil {
		return func() {}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.ledger.Begin(b.now())
	b.ledger.Force(c, clientbudget.TransferBytes)
	return func() { b.end(c) }
}

// ReadBody reads src to its end, or until max bytes have been read. src reads body, which
// is nil if no budget applies, and length is its stated length, -1 if unknown. The bytes are
// charged before they are read, times copies, until the request ends: that is the number of
// copies of them that the handler holds at a time. It fails with ErrBudget if there is no
// room for them.
func ReadBody(src io.Reader, body *Body, length, maxBytes, copies int64) ([]byte, error) {
	if length >= 0 {
		size := min(length, maxBytes)
		if !body.reserve(size*copies, size) {
			return nil, ErrBudget
		}
		buffer := make([]byte, size)
		n, err := fill(src, buffer)
		if err == io.EOF && int64(n) < size {
			err = io.ErrUnexpectedEOF
		}
		if int64(n) == size {
			err = nil
			body.readRest()
		}
		return buffer[:n], err
	}
	var read []byte
	for size := min(maxSmallBody, maxBytes); ; size = min(size*bufferGrowth, maxBytes) {
		if !body.reserve((size-int64(len(read)))*copies, size) {
			return nil, ErrBudget
		}
		read = append(make([]byte, 0, size), read...)
		n, err := fill(src, read[len(read):size])
		read = read[:len(read)+n]
		if err == io.EOF {
			return read, nil
		}
		if err == nil && int64(len(read)) == maxBytes {
			body.readRest()
		}
		if err != nil || int64(len(read)) == maxBytes {
			return read, err
		}
	}
}

// fill reads from src until b is full or src returns an error.
func fill(src io.Reader, b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		var m int
		m, err = src.Read(b[n:])
		n += m
	}
	return n, err
}

// Body is the body of a request whose sender the budget watches.
type Body struct {
	io.ReadCloser
	request *request
	ctx     context.Context
	// forwarded is set once the start of the body has been read into memory: the rest is
	// read for an upstream.
	forwarded bool
	// ended is set once a read has failed or has reached the end.
	ended atomic.Bool
}

// ClientBody returns the body of a request that a server with a budget has read, or nil
// if it has none. It must be called before the body is wrapped.
func ClientBody(r *http.Request) *Body {
	b, _ := r.Body.(*Body)
	return b
}

// reserve charges n bytes that will be read of the body, into a buffer of the given size,
// until the request ends. It reports false if there is no room for them. A nil body has room
// for all.
func (b *Body) reserve(n, size int64) bool {
	if b == nil {
		return true
	}
	class := clientbudget.Small
	if size > maxSmallBody {
		class = clientbudget.Large
		n += clientbudget.TransferBytes
	}
	return b.request.budget.reserve(b.ctx, b.request.client, n, class)
}

// readRest records that what follows of the body is read for an upstream.
func (b *Body) readRest() {
	if b != nil {
		b.forwarded = true
	}
}

// Charge charges n bytes that are decoded from the body until the request ends. It fails with
// ErrBudget if there is no room for them, and with ErrNeverFits if there would not be any for
// them and the body if nothing else were held. A nil body has room for all.
func (b *Body) Charge(n int64) error {
	if b == nil {
		return nil
	}
	budget := b.request.budget
	if !budget.mayFit(budget.charged(b.request.client)+n, clientbudget.Large) {
		budget.refuse()
		return ErrNeverFits
	}
	if !budget.reserve(b.ctx, b.request.client, n, clientbudget.Large) {
		return ErrBudget
	}
	return nil
}

// ReserveAnswer charges n bytes of the answer to r until release is called. If there is no
// room, it drops other clients and waits, and reports false if there is still none.
func ReserveAnswer(r *http.Request, n int64) (release func(), ok bool) {
	conn, _ := r.Context().Value(connKey{}).(*limitedConn)
	if conn == nil || conn.budget == nil {
		return func() {}, true
	}
	if !conn.budget.reserve(r.Context(), conn.client, n, clientbudget.Large) {
		return nil, false
	}
	return func() { conn.budget.release(conn.client, n) }, true
}

// Read implements io.Reader. It fails with ErrBudget if the sender has been dropped.
func (b *Body) Read(p []byte) (int, error) {
	phase := clientbudget.SendingBody
	if b.forwarded {
		phase = clientbudget.SendingRest
	}
	b.request.await(phase)
	if b.request.dropped() {
		b.request.moved(0)
		return 0, ErrBudget
	}
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	b.request.moved(n)
	if err != nil && err != io.EOF && b.request.dropped() {
		err = ErrBudget
	}
	return n, err
}

// Wrap returns a handler that tells the budget of the requests that it runs. A server with
// a budget wraps its handler itself.
func (b *Budget) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*limitedConn)
		if conn != nil {
			conn.beginRequest()
			defer conn.endStream()
		}
		hasBody := r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
		if !hasBody && r.ProtoMajor < 2 {
			next.ServeHTTP(w, r)
			return
		}
		q := b.begin(w, r, conn)
		defer b.end(q.client)
		body := &Body{ReadCloser: r.Body, request: q, ctx: r.Context()}
		if hasBody {
			r.Body = body
		}
		if q.http2 {
			if n := headBytes(r); n > readBufferBytes && !b.charge(q.client, headCopies*n, clientbudget.Small) {
				b.refuse()
				// Resets the stream: a refusal would wait for the client.
				panic(http.ErrAbortHandler)
			}
			w = &streamWriter{ResponseWriter: w, request: q}
		}
		next.ServeHTTP(w, r)
		if conn != nil && !q.http2 && !body.ended.Load() {
			// The server reads the rest of the body before it answers.
			conn.awaitClient(clientbudget.SendingBody)
		}
	})
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}
