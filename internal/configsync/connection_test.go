package configsync

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// tcpProxy forwards TCP connections to a server. dropTraffic makes the existing
// connections drop all bytes without a reset; later ones work.
type tcpProxy struct {
	address     string
	target      string
	mu          sync.Mutex
	connections []chan struct{}
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &tcpProxy{address: l.Addr().String(), target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.forward(conn)
		}
	}()
	return p
}

func (p *tcpProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	dropping := make(chan struct{})
	p.mu.Lock()
	p.connections = append(p.connections, dropping)
	p.mu.Unlock()
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			defer pair[0].Close()
			b := make([]byte, 4096)
			for {
				n, err := pair[0].Read(b)
				select {
				case <-dropping:
					_, _ = io.Copy(io.Discard, pair[0])
					return
				default:
				}
				if err != nil {
					return
				}
				if _, err := pair[1].Write(b[:n]); err != nil {
					return
				}
			}
		}()
	}
}

// connected reports whether there is a connection that carries bytes.
func (p *tcpProxy) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections) > 0
}

func (p *tcpProxy) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		close(c)
	}
	p.connections = nil
}

// leaselessControl answers renewals with its configuration but grants no lease.
type leaselessControl struct {
	clusterpb.Distribution
	revision atomic.Uint64
}

func (c *leaselessControl) Renew(_ context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	resp := &clusterpb.RenewResponse{}
	if revision := c.revision.Load(); req.Revision < revision {
		resp.Config = &catalogpb.Config{Revision: revision}
		resp.Revision = revision
	}
	return resp, nil
}

// After a network partition that outlasts the retransmissions of TCP, the
// connection to a control VM carries nothing and is not reset. Reusing it would
// keep the entry VM from ever receiving another configuration.
func TestSilentConnectionIsReplaced(t *testing.T) { checkSilentConnectionIsReplaced(t) }

// On one core, the call that failed is still registered with its connection when
// the failure is handled.
func TestSilentConnectionIsReplacedOnOneCore(t *testing.T) {
	previous := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(previous) })
	checkSilentConnectionIsReplaced(t)
}

func checkSilentConnectionIsReplaced(t *testing.T) {
	c := &leaselessControl{}
	c.revision.Store(1)
	server, err := httpnet.Listen("127.0.0.1:0", clusterpb.NewDistributionServer(c), httpnet.Limits{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	proxy := newTCPProxy(t, server.Address())
	connections := httpnet.NewConnections(nil)
	s := New(Options{
		Entry:            &catalogpb.Entry{Id: "g", ClusterAddress: "127.0.0.1:1", Incarnation: 1},
		ControlAddresses: []string{proxy.address},
		Client:           httpnet.NewClient(connections.Dial),
		CloseConnections: connections.Close,
		ServesStale:      true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var workers conc.WaitGroup
	workers.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	reach := func(revision uint64) bool {
		for range 1000 {
			if s.revision() == revision {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	assert.Assert(t, reach(1))
	proxy.dropTraffic()
	c.revision.Store(2)
	assert.Assert(t, reach(2), "revision 2 did not arrive within 10 s of the connection going silent")
}

// failureCounter counts the requests that got no answer.
type failureCounter struct {
	http.RoundTripper
	failed atomic.Int64
}

func (c *failureCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err != nil {
		c.failed.Add(1)
	}
	return resp, err
}

// When a network fault silences all open connections at once, the first renewal that
// fails must be the last: one timeout for each control VM adds up to seconds for which a
// newer configuration is not in force.
func TestAllSilentConnectionsCostOneRenewal(t *testing.T) {
	c := &leaselessControl{}
	c.revision.Store(1)
	server, err := httpnet.Listen("127.0.0.1:0", clusterpb.NewDistributionServer(c), httpnet.Limits{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	var proxies []*tcpProxy
	var addresses []string
	for range 4 {
		p := newTCPProxy(t, server.Address())
		proxies, addresses = append(proxies, p), append(addresses, p.address)
	}
	connections := httpnet.NewConnections(nil)
	client := httpnet.NewClient(connections.Dial)
	counter := &failureCounter{RoundTripper: client.Transport}
	client.Transport = counter
	s := New(Options{
		Entry:            &catalogpb.Entry{Id: "g", ClusterAddress: "127.0.0.1:1", Incarnation: 1},
		ControlAddresses: addresses,
		Client:           client,
		CloseConnections: connections.Close,
		ServesStale:      true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var workers conc.WaitGroup
	workers.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Renewals without a lease go from one control VM to the next.
		for _, p := range proxies {
			if !p.connected() {
				return poll.Continue("no connection to %s yet", p.address)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	for _, p := range proxies {
		p.dropTraffic()
	}
	before := counter.failed.Load()
	c.revision.Store(2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.revision() == 2 {
			return poll.Success()
		}
		return poll.Continue("revision 2 has not arrived")
	}, poll.WithTimeout(30*time.Second))
	failed := counter.failed.Load() - before
	assert.Assert(t, failed <= 1, "%d renewals failed", failed)
}
