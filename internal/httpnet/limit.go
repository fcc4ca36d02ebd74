package httpnet

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"balsamcourse.example/balsamcourse/internal/clientbudget"
)

// limitedListener limits the number of open connections. Connections over the limit
// wait in the accept backlog of the operating system.
type limitedListener struct {
	*net.TCPListener
	slots chan struct{}
	// budget bounds the connections of all listeners of the process; nil means no bound.
	budget *Budget
	// current returns the limits in force; nil means those of the server.
	current func() Limits
	closed  chan struct{}
	once    sync.Once
	// stopped is closed by stop.
	stopped chan struct{}

	mu sync.Mutex
	// stopBy is the time by which a listener that stops is closed; zero before.
	stopBy time.Time
}

const (
	// backlogWait is the time without a new connection after which the backlog of a
	// listener that stops counts as empty.
	backlogWait = 200 * time.Microsecond
	// maxBacklogTime bounds the time for which a listener that stops goes on
	// accepting. A backlog is accepted in much less time, also by a process that
	// seldom runs.
	maxBacklogTime = 500 * time.Millisecond
)

func newLimitedListener(l *net.TCPListener, limit int) *limitedListener {
	return &limitedListener{
		TCPListener: l,
		slots:       make(chan struct{}, limit),
		closed:      make(chan struct{}),
		stopped:     make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	if !l.takeSlot() {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	var client *clientbudget.Client
	if l.budget != nil {
		if client = l.budget.connect(l.waiting, l.stopped, l.closed); client == nil {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
	conn, err := l.accept()
	if err != nil {
		<-l.slots
		if client != nil {
			l.budget.end(client)
		}
		return nil, err
	}
	c := &limitedConn{Conn: conn, closeRead: conn.CloseRead, release: func() { <-l.slots }, current: l.current, headStart: time.Now()}
	if client != nil {
		c.release = func() {
			<-l.slots
			l.budget.end(client)
		}
		c.watch(l.budget, client, conn)
	}
	return c, nil
}

// takeSlot waits for a slot of a connection. It reports false if there is none and the
// listener stops or is closed: open connections may stay idle until it is closed.
func (l *limitedListener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.stopped:
	case <-l.closed:
	}
	return false
}

// accept accepts one connection. Once the listener stops and its backlog is empty, it
// closes it.
func (l *limitedListener) accept() (*net.TCPConn, error) {
	for {
		stopping := l.extendDeadline()
		conn, err := l.TCPListener.AcceptTCP()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		// The process may not have run for a while since the deadline passed.
		if stopping && (l.stopDue() || !l.hasBacklog()) {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// hasBacklog reports whether a connection waits to be accepted.
func (l *limitedListener) hasBacklog() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	// An error means that the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waiting = err == nil && n > 0
	})
	return waiting
}

// waiting returns the number of connections that wait to be accepted.
func (l *limitedListener) waiting() int {
	raw, err := l.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the listener is closed.
	_ = raw.Control(func(fd uintptr) {
		// For a listener, the kernel returns the length of this queue as Unacked.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked)
		}
	})
	return n
}

// stopDue reports whether a listener that stops must be closed.
func (l *limitedListener) stopDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !time.Now().Before(l.stopBy)
}

// extendDeadline lets the next Accept of a listener that stops wait for backlogWait. It
// reports whether the listener stops.
func (l *limitedListener) extendDeadline() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopBy.IsZero() {
		return false
	}
	if next := time.Now().Add(backlogWait); next.Before(l.stopBy) {
		_ = l.SetDeadline(next)
	}
	return true
}

// stop lets Accept return the connections in the backlog and then close the listener.
// To close it at once would reset them, with requests that callers have sent.
func (l *limitedListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopBy.IsZero() {
		l.stopBy = time.Now().Add(maxBacklogTime)
		close(l.stopped)
		// Wakes a pending Accept.
		_ = l.SetDeadline(time.Unix(1, 0))
	}
}

func (l *limitedListener) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopBy.IsZero()
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}
