package configsync

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/httpnet"
)

// wire passes bytes between a client and a server. Connections that exist when
// it is silenced carry nothing any more, without a reset; later ones work.
type wire struct {
	address string
	target  string
	mu      sync.Mutex
	silent  []chan struct{}
}

func newWire(t *testing.T, target string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	w := &wire{address: l.Addr().String(), target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.join(conn)
		}
	}()
	return w
}

func (w *wire) join(near net.Conn) {
	far, err := net.Dial("tcp", w.target)
	if err != nil {
		_ = near.Close()
		return
	}
	silent := make(chan struct{})
	w.mu.Lock()
	w.silent = append(w.silent, silent)
	w.mu.Unlock()
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			defer pair[0].Close()
			b := make([]byte, 4096)
			for {
				n, err := pair[0].Read(b)
				select {
				case <-silent:
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

func (w *wire) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.silent {
		close(c)
	}
	w.silent = nil
}

// plainControl answers renewals with its configuration, without a lease.
type plainControl struct {
	clusterpb.Distribution
	revision atomic.Uint64
}

func (p *plainControl) Renew(_ context.Context, req *clusterpb.RenewRequest) (*clusterpb.RenewResponse, error) {
	resp := &clusterpb.RenewResponse{}
	if revision := p.revision.Load(); req.Revision < revision {
		resp.Config = &catalogpb.Config{Revision: revision}
		resp.Revision = revision
	}
	return resp, nil
}

// TestSilentConnectionIsReplaced silences the connection to control, as after
// a cut that outlasts the retransmissions of TCP: the next configuration must
// come over another one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := &plainControl{}
	c.revision.Store(1)
	server, err := httpnet.Listen("127.0.0.1:0", clusterpb.NewDistributionServer(c), httpnet.Limits{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	w := newWire(t, server.Address())
	s := New(Options{
		Entry:            &catalogpb.Entry{Id: "g", ClusterAddress: "127.0.0.1:1", Incarnation: 1},
		ControlAddresses: []string{w.address},
		Client:           httpnet.NewClient(nil),
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
	w.silence()
	c.revision.Store(2)
	assert.Assert(t, reach(2), "the silent connection is used for ever")
}
