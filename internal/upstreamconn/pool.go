package upstreamconn

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// unackedTimeout bounds the time for which sent bytes may stay unacknowledged
// before the connection fails. It is several times the longest timeout of calls
// that are worth retrying.
const unackedTimeout = 2 * time.Second

// optTCPUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall
// does not define.
const optTCPUserTimeout = 18

// Dialer opens connections to upstreams.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool holds idle connections by address, and bounds the open ones. It is safe
// for concurrent use.
type Pool struct {
	dial Dialer

	mu   sync.Mutex
	idle map[string][]*Conn

	openMu sync.Mutex
	// open holds the number of open connections by address, idle ones included.
	open map[string]int
	// late holds the addresses from which a late response is awaited, on one
	// connection each that is not among the open ones.
	late map[string]bool
}

// ErrTooManyConnections means that the bound on open connections to the address
// is reached.
var ErrTooManyConnections = errors.New("too many open connections to the upstream")

// ErrNoIdleConnection means that no connection to the address is idle.
var ErrNoIdleConnection = errors.New("no idle connection to the upstream")

// NewPool returns an empty pool. A nil dial means TCP over IPv4.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = dialTCP
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn), open: make(map[string]int), late: make(map[string]bool)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAlive: -1,
		Control: func(network, address string, raw syscall.RawConn) error {
			if err := httpnet.LimitDialedBuffers(network, address, raw); err != nil {
				return err
			}
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(unackedTimeout.Milliseconds())))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// Get returns the idle connection to the address that was used last, or opens a
// new one as Open does.
func (p *Pool) Get(ctx context.Context, address string, maxOpen int) (*Conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	return p.Open(ctx, address, maxOpen)
}

// GetIdle returns the idle connection to the address that was used last, or
// ErrNoIdleConnection.
func (p *Pool) GetIdle(address string) (*Conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	return nil, ErrNoIdleConnection
}

// Open opens a new connection to the address. It returns ErrTooManyConnections if
// maxOpen connections to it are open; 0 means no bound.
func (p *Pool) Open(ctx context.Context, address string, maxOpen int) (*Conn, error) {
	if !p.reserveOpen(address, maxOpen) {
		return nil, ErrTooManyConnections
	}
	raw, err := p.dial(ctx, address)
	if err != nil {
		p.releaseOpen(address)
		return nil, errors.Trace(err)
	}
	limit := &limitedReader{r: raw, left: unlimited}
	return &Conn{
		Address:     address,
		raw:         raw,
		limit:       limit,
		reader:      bufio.NewReaderSize(limit, bufferSizeBytes),
		writer:      bufio.NewWriterSize(raw, bufferSizeBytes),
		idleTimeout: defaultIdleTimeout,
		onClose:     func() { p.releaseOpen(address) },
		pool:        p,
	}, nil
}

// reserveOpen counts a connection to the address as open, unless maxOpen are.
func (p *Pool) reserveOpen(address string, maxOpen int) bool {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	if maxOpen > 0 && p.open[address] >= maxOpen {
		return false
	}
	p.open[address]++
	return true
}

// beginLate reports whether a late response may be awaited from the address. endLate
// must be called after it.
func (p *Pool) beginLate(address string) bool {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	if p.late[address] {
		return false
	}
	p.late[address] = true
	return true
}

func (p *Pool) endLate(address string) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	delete(p.late, address)
}

// releaseOpen counts a connection to the address as closed.
func (p *Pool) releaseOpen(address string) {
	p.openMu.Lock()
	defer p.openMu.Unlock()
	p.open[address]--
	if p.open[address] == 0 {
		delete(p.open, address)
	}
}

func (p *Pool) takeIdle(address string) *Conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.idleTimeout {
			c.Reused = true
			return c
		}
		c.Close()
	}
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list[:len(list)-1]
	}
	return c
}

// PrepareReuse reports whether the connection may carry another exchange after x.
// If not, it closes the connection. The context of x no longer interrupts the
// connection. x may be nil if the request has been written completely.
func (p *Pool) PrepareReuse(c *Conn, x *Exchange) bool {
	c.endInterrupts()
	if c.unusable || x != nil && !x.fullySent() || c.reader.Buffered() > 0 {
		c.Close()
		return false
	}
	c.Reused = true
	return true
}

// Release returns a connection to the pool after an exchange whose response has
// been read to its end, or closes it if it cannot be reused. x may be nil if the
// request has been written completely.
func (p *Pool) Release(c *Conn, x *Exchange) {
	if p.PrepareReuse(c, x) {
		p.PutIdle(c)
	}
}

// PutIdle adds a connection for which PrepareReuse returned true to the idle
// ones.
func (p *Pool) PutIdle(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// CloseStale closes idle connections that have exceeded their idle timeout, and
// all idle connections to addresses for which keep returns false.
func (p *Pool) CloseStale(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if keep(address) && time.Since(c.idleSince) < c.idleTimeout {
				live = append(live, c)
				continue
			}
			c.Close()
		}
		if len(live) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = live
	}
}
