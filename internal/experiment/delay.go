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

// network knows the availability zone of every address, delays what crosses
// zones, and counts connections to upstreams.
type network struct {
	mu          sync.Mutex
	zones       map[string]string
	connections atomic.Int64
}

func newNetwork() *network { return &network{zones: make(map[string]string)} }

func (n *network) place(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

func (n *network) zone(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.zones[address]
}

// dialer returns a dial function for an entry VM in the given zone.
func (n *network) dialer(zone string, count bool) func(context.Context, string, string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, proto, address string) (net.Conn, error) {
		if count {
			n.connections.Add(1)
		}
		far := n.zone(address) != zone
		if far {
			time.Sleep(2 * zoneDelay)
		}
		conn, err := d.DialContext(ctx, proto, address)
		if err != nil || !far {
			return conn, err
		}
		return &delayed{conn}, nil
	}
}

// delayed adds the delay of a round trip to what is written.
type delayed struct{ net.Conn }

// Write implements net.Conn.
func (c *delayed) Write(b []byte) (int, error) {
	time.Sleep(2 * zoneDelay)
	return c.Conn.Write(b)
}

// cutLog counts the events in which a warm upstream lost slots.
type cutLog struct{ n atomic.Int64 }

// Write implements io.Writer for one line of the event log.
func (l *cutLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte(`"from":"warm"`)) {
		l.n.Add(1)
	}
	return len(b), nil
}
