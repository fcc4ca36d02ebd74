package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// proxyChunk is the number of bytes that a proxy passes on at a time.
const proxyChunk = 16 << 10

// proxy is a link to one target: a TCP proxy on loopback whose connections can be cut,
// reset, silenced, delayed and slowed down.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxyConn]bool
	// healed is closed when a cut ends; nil while there is none.
	healed chan struct{}
	// closed is closed at the end of the proxy.
	closed chan struct{}

	delay          atomic.Int64
	bytesPerSecond atomic.Int64
}

// proxyConn is one connection through the proxy.
type proxyConn struct {
	from, to net.Conn
	// silent is set once nothing is passed on any more.
	silent atomic.Bool
}

func (c *proxyConn) close(reset bool) {
	for _, conn := range []net.Conn{c.from, c.to} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// newProxy listens on the address and passes connections on to the target.
func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[*proxyConn]bool), closed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(&proxyConn{from: conn})
	}
}

func (p *proxy) serve(c *proxyConn) {
	p.track(c, true)
	defer p.track(c, false)
	// A connection that is opened during a cut hangs until its end.
	p.awaitHeal()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		c.close(true)
		return
	}
	p.mu.Lock()
	c.to = to
	p.mu.Unlock()
	done := make(chan bool, 2)
	go func() { done <- p.pump(c, c.from, c.to) }()
	go func() { done <- p.pump(c, c.to, c.from) }()
	reset := <-done
	c.close(reset)
	<-done
}

func (p *proxy) track(c *proxyConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// pump passes on the bytes of one direction until it ends. It reports whether the
// connection was reset.
func (p *proxy) pump(c *proxyConn, from, to net.Conn) (reset bool) {
	buf := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() {
			p.hold(n)
			p.awaitHeal()
			if _, err := to.Write(buf[:n]); err != nil {
				return true
			}
		}
		if err != nil {
			if c.silent.Load() {
				// The other side does not learn of it.
				<-p.closed
			}
			return !isEOF(err)
		}
	}
}

// hold waits for as long as n bytes take on a link that is slow.
func (p *proxy) hold(n int) {
	d := time.Duration(p.delay.Load())
	if rate := p.bytesPerSecond.Load(); rate > 0 {
		d += time.Duration(n) * time.Second / time.Duration(rate)
	}
	if d > 0 {
		time.Sleep(d)
	}
}

func (p *proxy) awaitHeal() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

// cut holds back everything until heal.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

// heal ends a cut, a delay and a limit of the rate.
func (p *proxy) heal() {
	p.delay.Store(0)
	p.bytesPerSecond.Store(0)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close(true)
	}
}

// silence lets all open connections carry nothing any more; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
}

// close closes the listener and all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	close(p.closed)
	p.heal()
	p.reset()
}
