// Package httpnet provides the HTTP servers and clients of the daemons.
package httpnet

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the clients.
const (
	clientIdleTimeout = 2 * time.Minute
	dialTimeout       = time.Second
	maxIdlePerPeer    = 64
)

// DialFunc opens a connection to another process.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithTimeout returns a Dial that gives up after the timeout.
func DialWithTimeout(timeout time.Duration) DialFunc {
	return (&net.Dialer{Timeout: timeout}).DialContext
}

// NewClient returns a client for calls to other processes. It speaks HTTP/2
// without TLS: all calls to one process share a connection, and headers that
// repeat cost next to nothing. A nil dial uses the network as it is.
func NewClient(dial DialFunc) *http.Client {
	t := newTransport(dial)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: t}
}

// NewHTTP1Client returns a client for frequent calls that must be quick. It
// speaks HTTP/1.1 over a pool of connections to each process.
func NewHTTP1Client(dial DialFunc) *http.Client {
	return &http.Client{Transport: newTransport(dial)}
}

func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,
	}
}
