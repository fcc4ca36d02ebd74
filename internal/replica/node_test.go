package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
	"balsamcourse.example/balsamcourse/internal/fault"
)

// listMachine keeps the applied entries.
type listMachine struct{ text string }

func (m *listMachine) Apply(_ uint64, data []byte) any {
	m.text += string(data) + "\n"
	return len(m.text)
}

func (m *listMachine) Snapshot() ([]byte, error) { return []byte(m.text), nil }

func (m *listMachine) Restore(data []byte) error {
	m.text = string(data)
	return nil
}

// host runs one replica with its server on loopback.
type host struct {
	node      *Node
	machine   *listMachine
	transport *TwirpTransport
	server    *http.Server
	opts      Options
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func newServer(r Receiver, transport *TwirpTransport) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Protocols: &p, Handler: clusterpb.NewConsensusServer(NewServer(r, transport))}
}

func startHost(t testing.TB, l net.Listener, opts Options) *host {
	t.Helper()
	h := &host{machine: &listMachine{}, transport: NewTwirpTransport(opts.ID, nil)}
	opts.StateMachine, opts.Transport = h.machine, h.transport
	h.opts = opts
	node, err := Start(opts)
	assert.NilError(t, err)
	h.node = node
	h.transport.Bind(node)
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

// startGroup starts n replicas.
func startGroup(t testing.TB, n int) []*host {
	t.Helper()
	var members []*catalogpb.ControlMember
	var listeners []net.Listener
	for i := range n {
		l := listen(t)
		listeners = append(listeners, l)
		members = append(members, &catalogpb.ControlMember{ReplicaId: uint64(i + 1), Address: l.Addr().String()})
	}
	var hosts []*host
	for i := range n {
		hosts = append(hosts, startHost(t, listeners[i], Options{
			ID: uint64(i + 1), DataDir: t.TempDir(), Bootstrap: members, SnapshotEvery: 50,
		}))
	}
	return hosts
}

func waitLeader(t testing.TB, hosts []*host) *host {
	t.Helper()
	var found *host
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, h := range hosts {
			if h.node.Status().IsLeader {
				found = h
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
	return found
}

func waitApplied(t testing.TB, h *host, index uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := h.node.Status(); s.Applied < index {
			return poll.Continue("applied %d of %d as %s", s.Applied, index, s.Role)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestGroupReplicatesAndFailsOver(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	hosts := startGroup(t, 3)
	first := waitLeader(t, hosts)
	var index uint64
	for i := range 120 {
		_, at, err := first.node.Propose(ctx, fmt.Appendf(nil, "change %d", i))
		assert.NilError(t, err)
		index = at
	}
	read, err := first.node.ConfirmedRead(ctx)
	assert.NilError(t, err)
	assert.Assert(t, read >= index)
	for _, h := range hosts {
		waitApplied(t, h, index)
	}
	var rest []*host
	for _, h := range hosts {
		if h != first {
			rest = append(rest, h)
			_, _, err := h.node.Propose(ctx, []byte("x"))
			assert.Equal(t, fault.KindOf(err), fault.NotLeader)
		}
	}
	first.stop()
	second := waitLeader(t, rest)
	_, _, err = second.node.Propose(ctx, []byte("after"))
	assert.NilError(t, err)
}
