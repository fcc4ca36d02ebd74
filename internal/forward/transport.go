package forward

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Defaults of the transport towards upstreams.
const (
	dialTimeout         = 2 * time.Second
	keepAlive           = 15 * time.Second
	idleConnTimeout     = 60 * time.Second
	maxIdlePerUpstream  = 8
	maxAnswerHeadBytes  = 64 << 10
	transportBufferSize = 8 << 10
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns the transport towards upstreams. A nil dial uses the
// network as it is. It does not decompress answers.
func NewTransport(dial DialFunc) *http.Transport {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		dial = d.DialContext
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		ReadBufferSize:         transportBufferSize,
		WriteBufferSize:        transportBufferSize,
	}
}
