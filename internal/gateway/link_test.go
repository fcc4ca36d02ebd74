package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

// linkState is the state of the links of a gateway to all upstreams.
type linkState int

const (
	linkUp linkState = iota
	// linkSilent loses everything that is sent; new connections do not open.
	linkSilent
	// linkReset resets all connections, old and new.
	linkReset
	// linkOldOnly carries open connections and refuses new ones.
	linkOldOnly
	// linkSlow delays everything by slowLinkDelay, as a link that is full does.
	linkSlow
	// linkUnanswered opens new connections, but nothing is answered on any: so do
	// upstreams whose slots are all busy.
	linkUnanswered
)

func (s linkState) String() string {
	return [...]string{"up", "silent", "reset", "old only", "slow", "unanswered"}[s]
}

// slowLinkDelay is longer than a load probe is awaited.
const slowLinkDelay = 150 * time.Millisecond

// link is a connection of a gateway to an upstream.
type link struct {
	net.Conn
	group   *gatewayGroup
	gateway string
	address string
}

// Read implements net.Conn. What arrives while the link is silent is lost.
func (l *link) Read(b []byte) (int, error) {
	for {
		n, err := l.Conn.Read(b)
		if l.group.linkOf(l.gateway, l.address) == linkSlow {
			time.Sleep(slowLinkDelay)
		}
		if state := l.group.linkOf(l.gateway, l.address); err != nil || state != linkSilent && state != linkUnanswered {
			return n, err
		}
	}
}

// Write implements net.Conn. What is sent while the link is silent is lost.
func (l *link) Write(b []byte) (int, error) {
	if l.group.linkOf(l.gateway, l.address) == linkSilent {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

func (g *gatewayGroup) linkOf(gateway, address string) linkState {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostUpstreams[address] {
		return linkSilent
	}
	return g.links[gateway]
}

// loseUpstreams makes the upstreams of a zone stop responding to all gateways.
func (g *gatewayGroup) loseUpstreams(zone string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostUpstreams = make(map[string]bool)
	for _, u := range g.cfg.Upstreams {
		g.lostUpstreams[u.Address] = u.Zone == zone
	}
}

// setLinks sets the state of the links of the gateways to all upstreams.
func (g *gatewayGroup) setLinks(state linkState, gateways ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range gateways {
		g.links[id] = state
		for _, c := range g.conns {
			if state == linkReset && c.gateway == id {
				_ = c.Conn.Close()
			}
		}
	}
}

// dialUpstream opens a connection of a gateway to an upstream. start names the start
// of the gateway.
func (g *gatewayGroup) dialUpstream(ctx context.Context, gateway, start, address string) (net.Conn, error) {
	switch g.linkOf(gateway, address) {
	case linkSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	case linkReset:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
	case linkOldOnly:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case linkSlow:
		select {
		case <-time.After(slowLinkDelay):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		}
	}
	near, far := net.Pipe()
	go g.upstreams[address].serve(startedConn{far, start}, gateway)
	conn := &link{Conn: near, group: g, gateway: gateway, address: address}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, conn)
	return conn, nil
}

// dialGateway opens a connection to the gateway with the cluster address.
func (g *gatewayGroup) dialGateway(ctx context.Context, address string) (net.Conn, error) {
	for _, f := range g.forwarders {
		if f.state.gatewayID+":2" != address || g.isStopped(f) {
			continue
		}
		near, far := net.Pipe()
		listener := &oneConnListener{conn: far}
		go func() { _ = http.Serve(listener, f.RelayHandler()) }()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.relays = append(g.relays, near)
		return near, nil
	}
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
}

// oneConnListener is a listener that returns one connection and then an error.
type oneConnListener struct{ conn net.Conn }

func (l *oneConnListener) Accept() (net.Conn, error) {
	conn := l.conn
	l.conn = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *oneConnListener) Close() error   { return nil }
func (l *oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// zoneOf returns the availability zone of a gateway.
func (g *gatewayGroup) zoneOf(gateway string) string {
	for _, e := range g.cfg.Entries {
		if e.Id == gateway {
			return e.Zone
		}
	}
	return ""
}
