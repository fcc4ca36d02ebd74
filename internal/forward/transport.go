package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// Settings of the transport to upstreams.
const (
	dialTimeout             = 2 * time.Second
	tcpKeepAlive            = 15 * time.Second
	idleConnTimeout         = 60 * time.Second
	maxIdleConnsPerUpstream = 8
	maxResponseHeaderBytes  = 64 << 10
	transportBufferBytes    = 8 << 10
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the HTTP transport to upstreams. A nil dial opens TCP
// connections. The transport does not decompress responses.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive, Control: httpnet.LimitDialedBuffers}
		dial = d.DialContext
	}
	return &http.Transport{
		DialContext:            dialStrict(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         transportBufferBytes,
		WriteBufferSize:        transportBufferBytes,
	}
}
