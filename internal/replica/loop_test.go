package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	catalogpb "balsamcourse.example/balsamcourse/api/catalog/v1"
	clusterpb "balsamcourse.example/balsamcourse/api/cluster/v1"
)

// recordingTransport collects the messages that a replica sends.
type recordingTransport struct {
	mu   sync.Mutex
	sent []*clusterpb.ConsensusMessage
}

func (r *recordingTransport) Send(_ *catalogpb.ControlMember, msgs []*clusterpb.ConsensusMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, msgs...)
}

func (r *recordingTransport) count(kind clusterpb.MessageKind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.sent {
		if m.GetKind() == kind {
			n++
		}
	}
	return n
}

// slowStateMachine takes a time to apply each entry.
type slowStateMachine struct {
	tableStateMachine
	takes time.Duration
}

func (m *slowStateMachine) Apply(index uint64, data []byte) any {
	time.Sleep(m.takes)
	return m.tableStateMachine.Apply(index, data)
}

// TestHeartbeatsThatWaitCountBeforeElectionTimeout guards against incident inc2:
// a follower that was busy with a large entry for longer than the election
// timeout started an election although heartbeats had arrived meanwhile.
func TestHeartbeatsThatWaitCountBeforeElectionTimeout(t *testing.T) {
	const entries = 20
	synctest.Test(t, func(t *testing.T) {
		transport := &recordingTransport{}
		members := []*catalogpb.ControlMember{{ReplicaId: 1}, {ReplicaId: 2}, {ReplicaId: 3}}
		n, err := Start(Options{
			ID: 1, DataDir: t.TempDir(), Bootstrap: members, Transport: transport,
			StateMachine: &slowStateMachine{takes: 3 * DefaultElectionTimeout},
		})
		assert.NilError(t, err)
		defer func() { assert.NilError(t, n.Stop(t.Context())) }()
		formGroup(t, n, members)
		round := uint64(0)
		lead := func(previous uint64, entries ...*clusterpb.LogEntry) {
			round++
			m := &clusterpb.ConsensusMessage{
				Kind: clusterpb.MessageKind_MESSAGE_KIND_APPEND, From: 2, To: 1, FromDisk: 2, Term: 1, Round: round,
				LogIndex: previous, Entries: entries, Commit: previous + uint64(len(entries)),
			}
			if previous > 0 {
				m.LogTerm = 1
			}
			n.Deliver(2, []*clusterpb.ConsensusMessage{m})
		}
		for i := range uint64(entries) {
			lead(i, &clusterpb.LogEntry{Term: 1, Index: i + 1, Data: []byte("x")})
			for range 3 * DefaultElectionTimeout / DefaultHeartbeatInterval {
				time.Sleep(DefaultHeartbeatInterval)
				lead(i + 1)
			}
			synctest.Wait()
		}
		assert.Equal(t, transport.count(clusterpb.MessageKind_MESSAGE_KIND_PRE_VOTE), 0)
	})
}

// formGroup makes n take part in a group with the given members.
func formGroup(t *testing.T, n *Node, members []*catalogpb.ControlMember) {
	t.Helper()
	synctest.Wait()
	formed := []*catalogpb.ControlMember{{ReplicaId: n.opts.ID, DiskId: n.opts.Transport.(*recordingTransport).disk()}}
	for _, m := range members[1:] {
		formed = append(formed, &catalogpb.ControlMember{ReplicaId: m.ReplicaId, DiskId: m.ReplicaId})
	}
	for _, m := range members[1:] {
		n.Deliver(m.ReplicaId, []*clusterpb.ConsensusMessage{{
			Kind: clusterpb.MessageKind_MESSAGE_KIND_FORM, From: m.ReplicaId, To: n.opts.ID, FromDisk: m.ReplicaId,
			Formation: &clusterpb.Membership{Members: formed},
		}})
	}
	synctest.Wait()
	assert.Equal(t, n.Status().Role, "follower")
}

// disk returns the disk id of the replica that has sent messages.
func (r *recordingTransport) disk() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[0].GetFromDisk()
}
