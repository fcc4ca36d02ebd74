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
	"balsamcourse.example/balsamcourse/internal/fault"
)

// tableStateMachine keeps the last 500 entries, so that each entry changes the
// state but the state stays of limited size.
type tableStateMachine struct{ rows [500][]byte }

func (m *tableStateMachine) Apply(index uint64, data []byte) any {
	m.rows[index%uint64(len(m.rows))] = data
	return index
}

func (m *tableStateMachine) Snapshot() ([]byte, error) { return json.Marshal(m.rows) }

func (m *tableStateMachine) Restore(data []byte) error { return json.Unmarshal(data, &m.rows) }

// eventLog collects the lines of a logger.
type eventLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (e *eventLog) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.text.Write(p)
}

func (e *eventLog) logger() event.Logger {
	return event.NewLogger(e, zerolog.InfoLevel, "control", "test")
}

// String returns the lines so far.
func (e *eventLog) String() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.text.String()
}

// waitFor waits until an event is logged.
func (e *eventLog) waitFor(t testing.TB, ev event.Event) {
	t.Helper()
	waitFor(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(e.text.String(), fmt.Sprintf("%q", ev.Name))
	}, ev.Name)
}

// testReplica is a replica with its server on the loopback interface.
type testReplica struct {
	node      *Node
	machine   *tableStateMachine
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

func startReplica(t testing.TB, l net.Listener, opts Options) *testReplica {
	t.Helper()
	r := &testReplica{listener: l, opts: opts, machine: &tableStateMachine{}}
	if opts.StateMachine == nil {
		opts.StateMachine = r.machine
	}
	if opts.Transport == nil {
		opts.Transport = NewTwirpTransport(opts.ID, nil)
	}
	r.transport = opts.Transport.(*TwirpTransport)
	node, err := Start(opts)
	assert.NilError(t, err)
	r.node = node
	r.transport.SetReceiver(node)
	r.server = newServer(node, r.transport)
	go r.server.Serve(l)
	t.Cleanup(r.stop)
	return r
}

func (r *testReplica) stop() {
	_ = r.node.Stop(context.Background())
	r.transport.Close()
	r.server.Close()
}

// startGroup starts a group of n replicas with the given options, to which it
// adds ids, the membership and data directories.
func startGroup(t testing.TB, n int, opts Options) []*testReplica {
	t.Helper()
	return startGroupWith(t, n, func(uint64) Options { return opts })
}

// startGroupWith is startGroup with options for each replica ID.
func startGroupWith(t testing.TB, n int, options func(id uint64) Options) []*testReplica {
	t.Helper()
	var members []*catalogpb.ControlMember
	var listeners []net.Listener
	for i := range n {
		l := listen(t)
		listeners = append(listeners, l)
		members = append(members, memberAt(uint64(i+1), l))
	}
	var replicas []*testReplica
	for i := range n {
		opts := options(uint64(i + 1))
		opts.ID, opts.Bootstrap, opts.DataDir = uint64(i+1), members, t.TempDir()
		replicas = append(replicas, startReplica(t, listeners[i], opts))
	}
	return replicas
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

func waitForLeader(t testing.TB, replicas []*testReplica) *testReplica {
	t.Helper()
	var found *testReplica
	waitFor(t, func() bool {
		for _, r := range replicas {
			if r.node.Status().IsLeader {
				found = r
			}
		}
		return found != nil
	}, "a leader")
	return found
}

// commitAtLeader commits an entry, and returns the leader that has done so and the index
// of the entry. In a group that has just started, a replica that has not heard the first
// leader yet may replace it; the entry is proposed again then.
func commitAtLeader(t testing.TB, ctx context.Context, replicas []*testReplica, data []byte) (*testReplica, uint64) {
	t.Helper()
	for {
		leader := waitForLeader(t, replicas)
		_, index, err := leader.node.Propose(ctx, data)
		if kind := fault.KindOf(err); kind == fault.NoQuorum || kind == fault.NotLeader {
			t.Logf("replica %d: %v", leader.opts.ID, err)
			continue
		}
		assert.NilError(t, err)
		return leader, index
	}
}

func waitForApplied(t testing.TB, r *testReplica, index uint64) {
	t.Helper()
	waitFor(t, func() bool { return r.node.Status().AppliedIndex >= index }, "applied entries")
}

// without returns all replicas but one.
func without(replicas []*testReplica, one *testReplica) []*testReplica {
	return slices.DeleteFunc(slices.Clone(replicas), func(r *testReplica) bool { return r == one })
}

// restart stops a replica and starts it again, with an empty data directory if
// wipe is set.
func (r *testReplica) restart(t testing.TB, wipe bool) *testReplica {
	t.Helper()
	address := r.listener.Addr().String()
	r.stop()
	if wipe {
		assert.NilError(t, os.RemoveAll(r.opts.DataDir))
	}
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return startReplica(t, l, r.opts)
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
