// Package httpnet provides the HTTP servers and clients of the daemons.
package httpnet

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timeouts and connection limits of the clients.
const (
	// clientIdleTimeout is short, since a process may talk to hundreds of others, each
	// of them now and then.
	clientIdleTimeout   = 15 * time.Second
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 64
	// maxResponseHeaderBytes bounds the headers of a response, including interim
	// ones.
	maxResponseHeaderBytes = 64 << 10
)

// DialFunc opens a connection to another process, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWithTimeout returns a DialFunc that fails if the connection is not open within
// the timeout.
// A shorter timeout may be set for a request by WithDialTimeout.
func DialWithTimeout(timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		limit := timeout
		if d, ok := ctx.Value(dialTimeoutKey{}).(time.Duration); ok {
			limit = min(limit, d)
		}
		return (&net.Dialer{Timeout: limit}).DialContext(ctx, network, address)
	}
}

type dialTimeoutKey struct{}

// WithDialTimeout returns a context for a request. A connection that is opened for the
// request by a DialFunc of DialWithTimeout has to be open within d.
func WithDialTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, dialTimeoutKey{}, d)
}

// NewClient returns a client for requests to other processes. It uses HTTP/2
// without TLS: all requests to a process share one connection, and repeated headers
// are compressed. If dial is nil, the client dials TCP with a timeout of 1 s.
func NewClient(dial DialFunc) *http.Client {
	t := newTransport(dial)
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: t}
}

// NewHTTP1Client returns a client for frequent requests that need a low latency. It
// uses HTTP/1.1 with a pool of connections to each process. If dial is nil, it
// dials as NewClient does.
func NewHTTP1Client(dial DialFunc) *http.Client {
	return &http.Client{Transport: newTransport(dial)}
}

func newTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     clientIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
