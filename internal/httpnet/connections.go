package httpnet

import (
	"context"
	"net"
	"sync"
)

// Connections opens connections and can close those to one address. It is safe
// for concurrent use.
type Connections struct {
	dial DialFunc
	mu   sync.Mutex
	open map[string]map[*trackedConn]struct{}
}

// trackedConn is a connection that removes itself from its Connections when it
// is closed.
type trackedConn struct {
	net.Conn
	owner   *Connections
	address string
}

// NewConnections returns a Connections that dials with dial, or TCP with a timeout
// of 1 s if dial is nil.
func NewConnections(dial DialFunc) *Connections {
	if dial == nil {
		dial = DialWithTimeout(dialTimeout)
	}
	return &Connections{dial: dial, open: make(map[string]map[*trackedConn]struct{})}
}

// Dial opens a connection; it is a DialFunc. It returns the errors of the
// underlying DialFunc.
func (c *Connections) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, owner: c, address: address}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[address] == nil {
		c.open[address] = make(map[*trackedConn]struct{})
	}
	c.open[address][tracked] = struct{}{}
	return tracked, nil
}

// Close closes the connections to an address, also those in use. After a network
// partition, or if the other VM is gone, a connection may carry nothing for
// minutes without an error.
func (c *Connections) Close(address string) {
	c.mu.Lock()
	conns := c.open[address]
	delete(c.open, address)
	c.mu.Unlock()
	for conn := range conns {
		// An error means that the connection is closed already.
		_ = conn.Conn.Close()
	}
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.open[t.address], t)
	if len(t.owner.open[t.address]) == 0 {
		delete(t.owner.open, t.address)
	}
	t.owner.mu.Unlock()
	return t.Conn.Close()
}
