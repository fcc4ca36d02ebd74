package experiment

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// zoneDelay is the one-way delay between two availability zones.
const zoneDelay = 500 * time.Microsecond

// network simulates the delay between availability zones and counts connections
// to upstreams. zones maps addresses to their zone.
type network struct {
	mu                  sync.Mutex
	zones               map[string]string
	upstreamConnections atomic.Int64
}

func newNetwork() *network { return &network{zones: make(map[string]string)} }

func (n *network) setZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

func (n *network) zoneOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

// dialer returns a dial function for an entry VM in the given zone. It delays
// connections to other zones and, with countConnections set, counts all
// attempts to connect.
func (n *network) dialer(zone string, countConnections bool) func(context.Context, string, string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		if countConnections {
			n.upstreamConnections.Add(1)
		}
		far := n.zoneOf(address) != zone
		if far {
			time.Sleep(2 * zoneDelay)
		}
		conn, err := d.DialContext(ctx, proto, address)
		if err != nil || !far {
			return conn, err
		}
		return &delayedConn{conn}, nil
	}
}

// delayedConn delays each write by a full round trip between zones. Reads are not
// delayed.
type delayedConn struct{ net.Conn }

// Write implements net.Conn.
func (c *delayedConn) Write(b []byte) (int, error) {
	time.Sleep(2 * zoneDelay)
	return c.Conn.Write(b)
}

// slotLossCounter counts log events in which an upstream leaves the state warm
// and thereby loses slots.
type slotLossCounter struct{ n atomic.Int64 }

// Write implements io.Writer. Each call passes one line of the event log.
func (l *slotLossCounter) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(`"from":"warm"`)) {
		l.n.Add(1)
	}
	return len(b), nil
}
