package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/event"
)

// tableMachine keeps the last entries, like a catalog under change.
type tableMachine struct{ rows [500][]byte }

func (m *tableMachine) Apply(index uint64, data []byte) any {
	m.rows[index%uint64(len(m.rows))] = data
	return index
}

func (m *tableMachine) Snapshot() ([]byte, error) { return json.Marshal(m.rows) }

func (m *tableMachine) Restore(data []byte) error { return json.Unmarshal(data, &m.rows) }

// events collects event lines.
type events struct {
	mu   sync.Mutex
	text strings.Builder
}

func (e *events) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.text.Write(p)
}

func (e *events) logger() event.Logger {
	return event.NewLogger(e, zerolog.InfoLevel, "control", "test")
}

// wait waits for an event.
func (e *events) wait(t testing.TB, ev event.Event) {
	t.Helper()
	waitFor(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(e.text.String(), fmt.Sprintf("%q", ev.Name))
	}, ev.Name)
}

// host runs one replica with its server on loopback.
type host struct {
	node      *Node
	machine   *tableMachine
	transport *TwirpTransport
	server    *http.Server
	listener  net.Listener
	opts      Options
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func memberAt(id uint64, l net.Listener) *catalogpb.ControlMember {
	return &catalogpb.ControlMember{ReplicaId: id, Address: l.Addr().String()}
}

func newServer(r Receiver, transport *TwirpTransport) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Protocols: &p, Handler: clusterpb.NewConsensusServer(NewServer(r, transport))}
}

func startHost(t testing.TB, l net.Listener, opts Options) *host {
	t.Helper()
	h := &host{listener: l, opts: opts, machine: &tableMachine{}}
	if opts.StateMachine == nil {
		opts.StateMachine = h.machine
	}
	if opts.Transport == nil {
		opts.Transport = NewTwirpTransport(opts.ID, nil)
	}
	h.transport = opts.Transport.(*TwirpTransport)
	node, err := Start(opts)
	assert.NilError(t, err)
	h.node = node
	h.transport.SetReceiver(node)
	h.server = newServer(node, h.transport)
	go h.server.Serve(l)
	t.Cleanup(h.stop)
	return h
}

func (h *host) stop() {
	_ = h.node.Stop(context.Background())
	h.transport.Close()
	h.server.Close()
}

// startGroup starts n replicas with the given options, to which it adds the
// membership and folders.
func startGroup(t testing.TB, n int, opts Options) []*host {
	t.Helper()
	var members []*catalogpb.ControlMember
	var listeners []net.Listener
	for i := range n {
		l := listen(t)
		listeners = append(listeners, l)
		members = append(members, memberAt(uint64(i+1), l))
	}
	var hosts []*host
	for i := range n {
		opts.ID, opts.Bootstrap, opts.DataDir = uint64(i+1), members, t.TempDir()
		hosts = append(hosts, startHost(t, listeners[i], opts))
	}
	return hosts
}

func waitFor(t testing.TB, done func() bool, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

func waitLeader(t testing.TB, hosts []*host) *host {
	t.Helper()
	var found *host
	waitFor(t, func() bool {
		for _, h := range hosts {
			if h.node.Status().IsLeader {
				found = h
			}
		}
		return found != nil
	}, "a leader")
	return found
}

func waitApplied(t testing.TB, h *host, index uint64) {
	t.Helper()
	waitFor(t, func() bool { return h.node.Status().AppliedIndex >= index }, "applied entries")
}

// others returns hosts without one.
func others(hosts []*host, one *host) []*host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *host) bool { return h == one })
}

// restart starts a stopped replica again, with an empty folder if wipe is set.
func (h *host) restart(t testing.TB, wipe bool) *host {
	t.Helper()
	address := h.listener.Addr().String()
	h.stop()
	if wipe {
		assert.NilError(t, os.RemoveAll(h.opts.DataDir))
	}
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return startHost(t, l, h.opts)
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
