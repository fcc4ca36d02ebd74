package upconn

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// userTimeout bounds the wait for the acknowledgement of sent bytes: several
// times the longest deadline of calls that are worth a second attempt.
const userTimeout = 2 * time.Second

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall
// does not name.
const tcpUserTimeout = 18

// Dialer opens connections to upstreams.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dial Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool; a nil dial uses the network.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = dialNetwork
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

func dialNetwork(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds())))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// Get returns an idle connection to the address, the one used last, or a new
// one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	return p.Open(ctx, address)
}

// Open opens a new connection.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Conn{
		Address: address,
		raw:     raw,
		reader:  bufio.NewReaderSize(raw, bufferBytes),
		writer:  bufio.NewWriterSize(raw, bufferBytes),
		keepFor: defaultIdle,
	}, nil
}

func (p *Pool) takeIdle(address string) *Conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if time.Since(c.idleSince) < c.keepFor {
			c.Reused = true
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string) *Conn {
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

// Reusable reports whether the connection may carry another exchange after x,
// and closes it otherwise.
func (p *Pool) Reusable(c *Conn, x *Exchange) bool {
	if c.broken || x != nil && !x.sentWhole() || c.reader.Buffered() > 0 {
		c.Close()
		return false
	}
	c.Reused = true
	return true
}

// Release gives a connection back after an exchange whose answer has been read
// to its end. x may be nil for one that has carried nothing yet.
func (p *Pool) Release(c *Conn, x *Exchange) {
	if p.Reusable(c, x) {
		p.Keep(c)
	}
}

// Keep keeps a connection that Reusable has found fit for another exchange.
func (p *Pool) Keep(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// Sweep closes the connections that have been idle for too long, and all to
// addresses for which keep reports false.
func (p *Pool) Sweep(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if keep(address) && time.Since(c.idleSince) < c.keepFor {
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
