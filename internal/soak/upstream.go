package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	"balsamcourse.example/balsamcourse/internal/gateway"
	"balsamcourse.example/balsamcourse/internal/wait"
)

const (
	// upstreamSlots is the number of requests that run at a time, upstreamQueue that
	// of those that wait.
	upstreamSlots = 4
	upstreamQueue = 4
	// coldTime is the time for which an upstream is cold after its start.
	coldTime = 3 * time.Second
	// announceInterval is the time between announcements.
	announceInterval = 500 * time.Millisecond
	// serveAfterLeave is the time for which an upstream serves after its departure was
	// acknowledged.
	serveAfterLeave = drainTime + 500*time.Millisecond
	healthPath      = "/health"
)

// faults are the current faults of an upstream.
type faults struct {
	slow, hang, grey, liesIll, double, broken bool
	// pauseUntil is the end of the pause that the upstream asks for.
	pauseUntil time.Duration
}

// upstream is a stand-in of an upstream. It records the arrivals of requests.
type upstream struct {
	index, zone int
	pool        string
	// listen is the address at which it serves, announced the one that it announces,
	// that of its link.
	listen, announced string
	link              *proxy
	headers           gateway.Headers
	formatLoad        func(running, waiting, slots, slow int) string
	operators         func() Operator
	history           *history

	mu       sync.Mutex
	faults   faults
	listener net.Listener
	conns    map[net.Conn]bool
	// start counts its starts; id and started belong to the current one.
	start    int
	id       string
	started  time.Time
	sequence uint64
	leaving  bool
	running  int
	waiting  int
	free     chan struct{}
	stopped  context.CancelFunc
}

// run starts the upstream under a new ID.
func (u *upstream) run(ctx context.Context) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", u.listen)
	if err != nil {
		return errors.Trace(err)
	}
	u.start++
	u.id = fmt.Sprintf("u%d-%d", u.index, u.start)
	u.started = time.Now()
	u.sequence, u.leaving, u.running, u.waiting = 0, false, 0, 0
	u.free = make(chan struct{}, upstreamSlots)
	u.listener, u.conns = l, make(map[net.Conn]bool)
	ctx, u.stopped = context.WithCancel(ctx)
	go u.accept(l)
	go wait.Every(ctx, announceInterval, func() { u.announce(ctx, u.record()) })
	return nil
}

// crash ends the upstream with all its connections. It reports false if it had ended
// already.
func (u *upstream) crash() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listener == nil {
		return false
	}
	u.stopped()
	_ = u.listener.Close()
	u.listener = nil
	for conn := range u.conns {
		closeWithReset(conn)
	}
	return true
}

// restart crashes the upstream and starts it again after a while.
func (u *upstream) restart(ctx context.Context, after time.Duration) error {
	if !u.crash() {
		return nil
	}
	wait.For(ctx, after)
	return u.run(ctx)
}

// leave announces that the upstream leaves until that is acknowledged, serves for a
// while, ends, and starts again under a new ID, in the other pool if move is set.
func (u *upstream) leave(ctx context.Context, after time.Duration, move bool) error {
	u.mu.Lock()
	if u.listener == nil {
		u.mu.Unlock()
		return nil
	}
	u.leaving = true
	start := u.start
	u.mu.Unlock()
	for !u.announce(ctx, u.record()) {
		if !wait.For(ctx, announceInterval/5) {
			return nil
		}
	}
	u.history.addLeave(leave{upstream: u.index, start: start, acked: u.history.now()})
	wait.For(ctx, serveAfterLeave)
	u.mu.Lock()
	id, started := u.id, uint64(u.started.UnixMilli())
	current := u.start == start
	u.mu.Unlock()
	if !current {
		return nil
	}
	dropCtx, cancel := context.WithTimeout(ctx, time.Second)
	// It ends with or without an acknowledgement.
	_ = u.operators().Drop(dropCtx, id, started)
	cancel()
	if move {
		u.mu.Lock()
		u.pool = map[string]string{poolA: poolB, poolB: poolA}[u.pool]
		u.mu.Unlock()
	}
	return u.restart(ctx, after)
}

// record returns what the upstream announces.
func (u *upstream) record() *catalogpb.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := catalogpb.UpstreamState_UPSTREAM_STATE_READY
	if u.leaving {
		state = catalogpb.UpstreamState_UPSTREAM_STATE_DRAINING
	}
	return &catalogpb.Upstream{
		Id: u.id, Address: u.announced, Zone: zoneName(u.zone), Pool: u.pool, Slots: upstreamSlots, State: state,
		Sequence: u.sequence, StartedMs: uint64(u.started.UnixMilli()), ColdMs: uint32(u.coldLeft().Milliseconds()),
	}
}

// coldLeft returns how long the upstream stays cold. u.mu must be held.
func (u *upstream) coldLeft() time.Duration { return max(0, coldTime-time.Since(u.started)) }

// announce sends one announcement to some control VM and reports whether it was
// acknowledged.
func (u *upstream) announce(ctx context.Context, record *catalogpb.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return u.operators().Announce(ctx, record) == nil
}

func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (u *upstream) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		current := u.listener == l
		if current {
			u.conns[conn] = true
		}
		u.mu.Unlock()
		if !current {
			closeWithReset(conn)
			return
		}
		go u.serve(conn)
	}
}

// serve serves one connection.
func (u *upstream) serve(conn net.Conn) {
	defer func() {
		u.mu.Lock()
		delete(u.conns, conn)
		u.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.answer(conn, r, string(body)) {
			return
		}
	}
}

// set changes the current faults.
func (u *upstream) set(change func(*faults)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.faults)
}

// answer answers one request and reports whether the connection is kept.
func (u *upstream) answer(conn net.Conn, r *http.Request, body string) bool {
	u.mu.Lock()
	f, now := u.faults, u.history.now()
	id, h := r.Header.Get(u.headers.RequestID), u.headers
	a := arrival{
		id: id, at: now, upstream: u.index, start: u.start, pool: u.pool, zone: u.zone, cold: u.coldLeft() > 0,
		wrong: wrongRequest(r, id, body), spoilt: f.hang || f.broken,
	}
	common := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: %d\r\n", h.UpstreamID, u.id, h.Load, u.formatLoad(u.running, u.waiting, upstreamSlots, 100), h.ColdMs, u.coldLeft().Milliseconds())
	if u.leaving {
		common += h.Leaving + ": 1\r\n"
	}
	expected := r.Header.Get(h.ExpectUpstream)
	leaving, own := u.leaving, u.id
	u.mu.Unlock()
	if r.URL.Path == healthPath {
		status := "200 OK"
		if leaving || f.liesIll {
			status = "503 Service Unavailable"
		}
		return !f.hang && write(conn, fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", status, common))
	}
	common += fmt.Sprintf("%s: %s\r\n", h.RequestID, id)
	refuse := ""
	switch {
	case expected != "" && expected != own:
		refuse = "421 Misdirected Request\r\n"
	case f.pauseUntil > now:
		refuse = fmt.Sprintf("503 Service Unavailable\r\nRetry-After: %.1f\r\n", (f.pauseUntil - now).Seconds())
	case f.grey && rand.IntN(2) == 0:
		refuse = "503 Service Unavailable\r\n"
	}
	var exit func()
	if refuse == "" {
		if exit = u.enter(); exit == nil {
			refuse = "503 Service Unavailable\r\n"
		}
	}
	if refuse != "" {
		u.history.addArrival(a)
		return write(conn, fmt.Sprintf("HTTP/1.1 %s%s%s: 1\r\nContent-Length: 0\r\n\r\n", refuse, common, h.NotRun))
	}
	defer exit()
	a.ran = true
	return u.work(conn, r, a, f, common, own)
}

// enter waits for a slot and returns the function that gives it back, or nil if too many
// wait.
func (u *upstream) enter() (exit func()) {
	u.mu.Lock()
	if u.waiting >= upstreamQueue {
		u.mu.Unlock()
		return nil
	}
	u.waiting++
	free, start := u.free, u.start
	u.mu.Unlock()
	free <- struct{}{}
	u.count(start, -1, 1)
	return func() {
		<-free
		u.count(start, 0, -1)
	}
}

// count changes the numbers of requests that wait and run, unless the upstream has
// started again since.
func (u *upstream) count(start, waiting, running int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.start == start {
		u.waiting += waiting
		u.running += running
	}
}

const (
	// usualWork is the longest time of the work of a request, slowFactor how much
	// longer it takes at a slow upstream.
	usualWork  = 40 * time.Millisecond
	slowFactor = 12
	// hangTime is the time for which an upstream that hangs keeps silent.
	hangTime = 4 * time.Second
)

// work runs the request and answers it.
func (u *upstream) work(conn net.Conn, r *http.Request, a arrival, f faults, common, own string) bool {
	rng := randomOf(a.id + own)
	took := time.Duration(rng.Int64N(int64(usualWork)))
	if f.slow {
		took *= slowFactor
	}
	if strings.HasPrefix(r.URL.Path, crashRoute.prefix()) {
		a.spoilt = true
		u.history.addArrival(a)
		time.Sleep(took)
		if u.crash() {
			time.AfterFunc(time.Second, func() {
				// The address is free: nothing else starts an upstream that has crashed here.
				_ = u.run(context.Background())
			})
		}
		return false
	}
	body := bodyOf(a.id, a.pool, own)
	large := len(body) > largeFiller
	broken := f.broken && (large || rng.IntN(3) == 0)
	a.spoilt = f.hang || broken
	u.history.addArrival(a)
	time.Sleep(took)
	if f.hang {
		time.Sleep(hangTime)
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: %s\r\n", common, u.headers.ServedBy, own)
	var answer string
	if rng.IntN(2) == 0 {
		answer = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	} else {
		answer = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	if broken {
		kept := rng.IntN(len(answer))
		if large {
			// The gateway has passed on the beginning by then.
			kept = len(answer) - rng.IntN(maxFiller) - 1
		}
		write(conn, answer[:kept])
		if rng.IntN(2) == 0 {
			closeWithReset(conn)
		}
		return false
	}
	if !write(conn, answer) {
		u.history.spoil(a)
		return false
	}
	if f.double && rng.IntN(3) == 0 {
		delay := time.Duration(rng.Int64N(int64(60 * time.Millisecond)))
		time.AfterFunc(delay, func() { write(conn, answer) })
	}
	return true
}

// write reports whether the text was written.
func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// wrongRequest returns what is wrong with a request that has arrived: its path names its
// ID, and its body is that of its ID.
func wrongRequest(r *http.Request, id, body string) string {
	switch {
	case r.URL.Path == healthPath:
		return ""
	case !strings.HasSuffix(r.URL.Path, "/"+id) && !strings.HasPrefix(r.URL.Path, crashRoute.prefix()):
		return fmt.Sprintf("path %s came with ID %s", r.URL.Path, id)
	case r.Method == http.MethodPost:
		_, _, wrong := readBody(id, body)
		return wrong
	case r.Method != http.MethodGet || body != "":
		return fmt.Sprintf("method %s, body of %d bytes", r.Method, len(body))
	}
	return ""
}
